// Package soakcmd holds `coveferryctl soak`.
package soakcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/soak"
	"coveferry/platform/platformtest"
)

// Cmd runs the fault soak.
type Cmd struct {
	Seed      uint64        `default:"1" help:"Seed of the first run."`
	Seeds     int           `default:"1" help:"How many seeds to run, one after another."`
	For       time.Duration `default:"30s" help:"How long each run lasts; its last 9 s are without faults."`
	Routers   int           `default:"3" help:"Routers, in two failure domains."`
	Endpoints int           `default:"4" help:"Endpoints of each of the two services."`
	Callers   int           `default:"4" help:"Callers of each router."`
	Daemon    string        `placeholder:"FILE" type:"path" help:"The daemon; by default coveferryd beside this program."`
	Dir       string        `placeholder:"DIR" type:"path" help:"Where settings and logs are kept; by default a new folder that is removed if nothing failed."`
	JSON      bool          `name:"json" help:"Print results as JSON lines."`
	Quiet     bool          `short:"q" help:"Don't print the faults as they strike."`
	List      bool          `help:"List the seeds that once failed, with their causes, and run nothing."`
	Kept      bool          `help:"Run the seeds that once failed."`
}

// Help implements kong.HelpProvider.
func (*Cmd) Help() string {
	return `Runs the real daemon as separate processes on loopback, with stand-ins of the
platform's store and replicas, injects faults from outside by signals and proxies,
and checks the promises to callers. See docs/operations/soak.md. It ends with 1 if
a promise was broken.`
}

// Run runs the command.
func (c *Cmd) Run(env *cli.Env) error {
	if c.List {
		return printKeptSeeds(env.Stdout)
	}
	if c.For <= soak.FaultFreeEnd {
		return cli.BadInput(errors.Newf("--for is %s; write more than %s", c.For, soak.FaultFreeEnd))
	}
	tool, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this program")
	}
	daemon, err := c.daemonPath(tool)
	if err != nil {
		return err
	}
	dir, err := c.logDir()
	if err != nil {
		return err
	}
	violations := 0
	for _, seed := range c.seeds() {
		n, err := c.runSeed(env, seed, soak.Options{Tool: tool, Daemon: daemon, Dir: dir})
		if err != nil {
			return err
		}
		violations += n
	}
	if violations > 0 {
		return errors.Newf("%d broken promises; the logs are in %s", violations, dir)
	}
	if c.Dir == "" {
		return errors.Wrap(os.RemoveAll(dir), "remove the logs")
	}
	return nil
}

func printKeptSeeds(w io.Writer) error {
	for _, kept := range soak.RegressionSeeds() {
		if _, err := fmt.Fprintf(w, "%d  %s\n", kept.Seed, kept.Cause); err != nil {
			return errors.Wrap(err, "write the list")
		}
	}
	return nil
}

func (c *Cmd) seeds() []uint64 {
	var seeds []uint64
	if c.Kept {
		for _, kept := range soak.RegressionSeeds() {
			seeds = append(seeds, kept.Seed)
		}
		return seeds
	}
	for i := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	return seeds
}

func (c *Cmd) logDir() (string, error) {
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "coveferry-soak-")
		return dir, errors.Wrap(err, "make a folder for logs")
	}
	return c.Dir, errors.Wrap(os.MkdirAll(c.Dir, 0o755), "make the folder for logs")
}

// daemonPath returns the path of the daemon that is run as routers. With `go run` there is no
// daemon next to this program, so the error explains how to build it.
func (c *Cmd) daemonPath(tool string) (string, error) {
	daemon := c.Daemon
	if daemon == "" {
		daemon = filepath.Join(filepath.Dir(tool), "coveferryd")
	}
	if _, err := os.Stat(daemon); err != nil {
		return "", cli.BadInput(errors.Newf("there is no daemon at %s; build both programs with "+
			"`go build -o target/ ./cmd/...` and run `target/coveferryctl soak`, or name one with --daemon", daemon))
	}
	return daemon, nil
}

// runSeed runs one seed with the program paths and the directory of o, and returns the number
// of violations.
func (c *Cmd) runSeed(env *cli.Env, seed uint64, o soak.Options) (violations int, err error) {
	o.Seed, o.Duration, o.Routers, o.Endpoints, o.Callers = seed, c.For, c.Routers, c.Endpoints, c.Callers
	o.Wire, o.Progress = platformtest.NewSoak(), env.Stderr
	if c.Quiet {
		o.Progress = io.Discard
	}
	result, err := soak.Run(env.Ctx, o)
	if err != nil {
		return 0, err
	}
	return len(result.Violations), c.print(env.Stdout, result)
}

func (c *Cmd) print(w io.Writer, r *soak.Result) error {
	if c.JSON {
		return errors.Wrap(json.NewEncoder(w).Encode(r), "write the result")
	}
	_, err := fmt.Fprintf(w, "seed %d: %d faults, %d requests, %d served, %d processes, %d broken promises\n",
		r.Seed, len(r.Faults), r.Requests, r.Served, r.Processes, len(r.Violations))
	if err == nil && r.Streams.Resumed > 0 {
		_, err = fmt.Fprintf(w, "  streams: %d of %d resumed ones went on, %d of %d new ones began\n",
			r.Streams.Continued, r.Streams.Resumed, r.Streams.Begun, r.Streams.New)
	}
	for _, v := range r.Violations {
		_, writeErr := fmt.Fprintf(w, "  %s: %s: %s\n", v.Promise, v.Request, v.What)
		err = errors.CombineErrors(err, writeErr)
	}
	return errors.Wrap(err, "write the result")
}
