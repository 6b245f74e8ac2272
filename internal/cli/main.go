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

// Completion prints what a shell needs to complete a program's commands. Embed
// it as a command in a program's grammar.
type Completion struct{}

// Help implements kong's help.
func (Completion) Help() string {
	return `Put this line in your shell's start file (bash, or zsh with bashcompinit):

  eval "$(coveferryctl completion)"`
}

// Run implements kong's command.
func (Completion) Run(env *Env, k *kong.Kong) error {
	path, err := os.Executable()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "complete -C %s %s\n", path, k.Model.Name)
	return err
}

// Main parses the arguments by the grammar, runs the command they name with an
// Env and exits. SIGINT and SIGTERM end the Env's context; a second SIGINT ends the
// process at once.
func Main(name, description string, grammar any) {
	os.Exit(run(name, description, grammar))
}

func run(name, description string, grammar any) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second Ctrl-C ends the process at once. A second SIGTERM doesn't: what
	// stops daemons may say so twice, and the first is being followed.
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
		report(os.Stderr, name, err)
	}
	return ExitCode(err)
}

// report writes an error, each line with the program's name, as what reads the
// lines may not keep them together.
func report(w io.Writer, name string, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(w, "%s: %s\n", name, line)
	}
}
