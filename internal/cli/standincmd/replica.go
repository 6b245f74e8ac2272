package standincmd

import (
	"os"
	"time"

	"coveferry/internal/cli"
	"coveferry/platform/platformtest"
)

// ReplicaCmd serves a stand-in of a replica on the users' platform.
type ReplicaCmd struct {
	Listen string        `default:"127.0.0.1:8001" help:"IP and port."`
	Name   string        `default:"i-1" help:"Id of the instance."`
	Events int           `default:"0" help:"Events of each answer; 0 answers without a stream."`
	Pause  time.Duration `default:"25ms" help:"Time between two events."`
	Cold   time.Duration `default:"0s" help:"For how long after its start it says that it is cold."`

	Linger  time.Duration `default:"0s" help:"For how long a stream runs on after its caller has left."`
	Closing float64       `default:"0" help:"Share of the answers that end with their connection."`
	Repeat  bool          `help:"Send half of its refusals once more, before the next answer on the connection."`
}

// Run runs the command.
func (c *ReplicaCmd) Run(env *cli.Env) error {
	replica := &platformtest.Replica{ID: c.Name, Events: c.Events, Pause: c.Pause, Record: env.Stdout, Crash: crash, ColdUntil: time.Now().Add(c.Cold), Closing: c.Closing, Linger: c.Linger}
	l, err := listen(c.Listen)
	if err != nil {
		return err
	}
	if c.Repeat {
		replica.Repeater = platformtest.NewRepeater(l)
		l = replica.Repeater
	}
	return serveOn(env, l, replica)
}

// exitCrashed is the exit code of a stand-in that a request crashed.
const exitCrashed = 3

func crash() { os.Exit(exitCrashed) }
