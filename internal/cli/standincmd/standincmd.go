// Package standincmd holds the commands of `coveferryctl standin`: stand-ins of the engines
// and services to which coveferry routes, run as separate processes to try out a deployment.
package standincmd

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"coveferry/internal/cli"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
	"coveferry/internal/standin/service"
)

// Cmd is the command group.
type Cmd struct {
	Engine  EngineCmd  `cmd:"" help:"Serve a model engine that makes words up, with the completions protocol and switches under /control/."`
	Service ServiceCmd `cmd:"" help:"Serve a plain HTTP service that counts what it ran."`

	Replica ReplicaCmd `cmd:"" help:"Serve a replica of the users' platform that records what it runs on standard output."`

	ConfigService ConfigServiceCmd `cmd:"" help:"Serve a configuration service that publishes the files of a folder."`
}

// EngineCmd serves a stand-in engine.
type EngineCmd struct {
	Listen      string        `default:"127.0.0.1:8000" help:"IP and port."`
	Model       []string      `default:"stand-in" help:"Models that it serves."`
	Slots       int           `default:"8" help:"Requests that run at once."`
	TokenTime   time.Duration `default:"20ms" help:"Time of a decode step."`
	PrefixCache int           `default:"65536" help:"Tokens of prompt prefixes that it remembers."`
	Fenced      bool          `help:"Refuse orders with an old fencing number."`
}

// Run runs the command.
func (c *EngineCmd) Run(env *cli.Env) error {
	e := engine.New(engine.Config{
		Models: c.Model, Slots: c.Slots, TokenTime: c.TokenTime,
		PrefixCacheTokens: c.PrefixCache, Priorities: true, Fenced: c.Fenced,
	})
	return serve(env, c.Listen, e.Handler())
}

// ServiceCmd serves a stand-in service.
type ServiceCmd struct {
	Listen      string        `default:"127.0.0.1:8001" help:"IP and port."`
	ServiceTime time.Duration `default:"20ms" help:"Time of a call."`
}

// Run runs the command.
func (c *ServiceCmd) Run(env *cli.Env) error {
	return serve(env, c.Listen, service.New(service.Config{ServiceTime: c.ServiceTime}).Handler())
}

// Timeouts of a stand-in's server.
const (
	headerTimeout = 5 * time.Second
	grace         = 5 * time.Second
)

// serve runs a server until the environment's context ends.
func serve(env *cli.Env, address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	return serveOn(env, l, h)
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, cli.BadInput(errors.Wrap(err, "listen"))
	}
	return l, nil
}

// serveOn is serve on a listener.
func serveOn(env *cli.Env, l net.Listener, h http.Handler) error {
	s := server.New(server.Config{Listener: l, Handler: h, HeaderTimeout: headerTimeout, Grace: grace})
	fmt.Fprintf(env.Stderr, "serving on http://%s\n", s.Addr())
	var stopErr error
	var g run.Group
	g.Add(s.Run, func(error) { stopErr = s.Stop() })
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case <-env.Ctx.Done():
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
	return errors.CombineErrors(g.Run(), stopErr)
}
