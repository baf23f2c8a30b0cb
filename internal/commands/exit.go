package commands

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// usageError returns an error that ends the process with ExitUsage.
func usageError(format string, arguments ...any) error {
	return cli.Exit(fmt.Sprintf(format, arguments...), ExitUsage)
}

// failure returns an error that ends the process with ExitError.
func failure(err error) error { return exit(err, ExitError) }

// exit keeps the message only: cli.Exit prints an error with its stack trace.
func exit(err error, code int) error {
	if err == nil {
		return nil
	}
	return cli.Exit(err.Error(), code)
}

// groupAction handles a command that only has subcommands. The library's own
// action ends with code 3, which means a conflict here.
func groupAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("unknown command %q; see %s --help", c.Args().First(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// positional returns the arguments if their number matches the names.
func positional(c *cli.Command, names ...string) ([]string, error) {
	list := c.Args().Slice()
	if len(list) != len(names) {
		if len(names) == 0 {
			return nil, usageError("unexpected argument %q", list[0])
		}
		return nil, usageError("needs %s, got %d arguments", strings.Join(names, " "), len(list))
	}
	for i, value := range list {
		if value == "" {
			return nil, usageError("%s is empty", names[i])
		}
	}
	return list, nil
}
