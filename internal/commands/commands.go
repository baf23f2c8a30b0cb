// Package commands implements the command line of oriolevalve: one file per
// command, each in the order usage, parse, construct, process, and one table
// that names them all.
package commands

import (
	"context"
	"fmt"
	"io"

	"oriolevalve/internal/clock"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitConflict = 3
	// ExitUnknown means that the outcome of a change is unknown; "operation
	// show" with the operation's identity settles it.
	ExitUnknown = 4
)

// All returns the commands in the order of the help text.
func All() []*cli.Command {
	return []*cli.Command{
		applyCommand(),
		serviceCommand(),
		targetCommand(),
		statusCommand(),
		nodeStatusCommand(),
		auditCommand(),
		operationCommand(),
		checkCommand(),
		checkConfigCommand(),
		runCommand(),
		demoCommand(),
		replayCommand(),
		experimentCommand(),
		versionCommand(),
	}
}

// environment holds what commands take from their surroundings.
type environment struct {
	clock       clock.Clock
	newIdentity func() string
	// readConfiguration reads the files of `check-config`; nil if the program knows no format but
	// declarations.
	readConfiguration configurationReader
}

// Option changes the surroundings of the commands.
type Option func(*environment)

// WithClock sets the time source for polling.
func WithClock(c clock.Clock) Option { return func(e *environment) { e.clock = c } }

// WithIdentitySource sets the source of operation identities. The default draws
// UUIDs.
func WithIdentitySource(source func() string) Option {
	return func(e *environment) { e.newIdentity = source }
}

const environmentKey = "environment"

func environmentOf(c *cli.Command) *environment {
	return c.Root().Metadata[environmentKey].(*environment)
}

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer, options ...Option) int {
	e := &environment{clock: clock.System{}, newIdentity: uuid.NewString}
	for _, option := range options {
		option(e)
	}
	root := &cli.Command{
		Name:                  "oriolevalve",
		Usage:                 "a layer-4 load balancer whose hosts act together",
		Commands:              All(),
		Action:                groupAction,
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		Metadata:              map[string]any{environmentKey: e},
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print the shell completion script for bash, zsh, fish or pwsh"
		},
	}
	if err := root.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "error:", err)
		var coder cli.ExitCoder
		if errors.As(err, &coder) {
			return coder.ExitCode()
		}
		return ExitUsage
	}
	return ExitOK
}
