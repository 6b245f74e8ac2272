// Package cli holds the code that the commands of coveferryd and coveferryctl share: their
// environment and exit codes.
package cli

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// Exit codes of both programs.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command failed
	ExitUsage   = 2 // arguments, settings or a bundle are invalid
)

// Env is the process environment of a command. It is bound to kong's Run methods: func (c
// *SomeCmd) Run(env *cli.Env) error.
type Env struct {
	Ctx    context.Context
	Stdin  io.Reader
	Stdout io.Writer // results only, so that it can be piped
	Stderr io.Writer // progress and messages
}

// errUsage marks errors that are caused by the user's input.
var errUsage = errors.New("bad input")

// BadInput marks err as caused by the user's input, so that the program exits with ExitUsage.
func BadInput(err error) error { return errors.Mark(err, errUsage) }

// ExitCode returns the exit code for an error returned by a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}
