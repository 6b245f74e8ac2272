package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// Completion prints the shell configuration for completing a program's commands. Embed it as a
// command in a program's grammar.
type Completion struct{}

// Help implements kong.HelpProvider.
func (Completion) Help() string {
	return `Put this line in your shell's start file (bash, or zsh with bashcompinit):

  eval "$(coveferryctl completion)"`
}

// Run runs the command.
func (Completion) Run(env *Env, k *kong.Kong) error {
	path, err := os.Executable()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "complete -C %s %s\n", path, k.Model.Name)
	return err
}

// Main parses the arguments with the grammar, runs the selected command with an Env and exits.
// SIGINT and SIGTERM cancel the Env's context; a second SIGINT terminates the process
// immediately.
func Main(name, description string, grammar any) {
	os.Exit(run(name, description, grammar))
}

func run(name, description string, grammar any) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second Ctrl-C terminates the process immediately. A second SIGTERM doesn't: a service
	// manager may send it twice while the shutdown is in progress.
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	env := &Env{Ctx: ctx, Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	parser := kong.Must(grammar,
		kong.Name(name), kong.Description(description), kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(env))
	kongplete.Complete(parser)
	parsed, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = parsed.Run()
	} else {
		err = BadInput(err)
	}
	if err != nil {
		printError(os.Stderr, name, err)
	}
	return ExitCode(err)
}

// printError prints an error, each line prefixed with the program's name, since log collectors
// may separate the lines.
func printError(w io.Writer, name string, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(w, "%s: %s\n", name, line)
	}
}
