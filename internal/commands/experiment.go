package commands

import (
	"context"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/experiment"

	"github.com/urfave/cli/v3"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "measure steering and placement: " + experiment.Names(),
		ArgsUsage: "NAME",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that fixes all random choices", Value: 1},
			&cli.StringFlag{Name: "output", Usage: "`DIRECTORY` for the results", Required: true},
			&cli.StringSliceFlag{Name: "policy", Usage: "compare only the policy `NAME`; may be repeated"},
			&cli.StringSliceFlag{Name: "pattern", Usage: "play only the load pattern `NAME`; may be repeated"},
			&cli.BoolFlag{Name: "quick", Usage: "run only a few small scenarios"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return cli.Exit("expected one NAME of: "+experiment.Names(), ExitUsage)
			}
			if err := experiment.Run(ctx, c.Args().First(), experiment.Options{
				Seed: c.Uint64("seed"), Output: c.String("output"), Clock: clock.System{},
				Policies: c.StringSlice("policy"), Patterns: c.StringSlice("pattern"), Quick: c.Bool("quick"),
			}); err != nil {
				return exit(err, ExitError)
			}
			return nil
		},
	}
}
