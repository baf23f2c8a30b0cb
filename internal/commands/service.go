package commands

import "github.com/urfave/cli/v3"

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:     "service",
		Usage:    "manage services",
		Action:   groupAction,
		Commands: []*cli.Command{serviceCreateCommand(), serviceListCommand(), serviceShowCommand(), serviceDeleteCommand()},
	}
}
