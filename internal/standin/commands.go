// Package standin implements the command line of the stand-ins: one file per
// command, and one table that names them all.
package standin

import (
	"context"
	"fmt"
	"io"

	"oriolevalve/internal/standin/caller"
	"oriolevalve/internal/standin/target"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// All returns the commands in the order of the help text.
func All() []*cli.Command {
	return []*cli.Command{
		platformCommand(),
		target.Command(),
		caller.Command(),
	}
}

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "standins",
		Usage:          "stand-ins for the systems around oriolevalve",
		Commands:       All(),
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(ctx, arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "error:", err)
		var coder cli.ExitCoder
		if errors.As(err, &coder) {
			return coder.ExitCode()
		}
		return 2
	}
	return 0
}
