package commands

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"oriolevalve/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three hosts and four targets in one process, with a host stop and a target drain",
		UsageText: "oriolevalve demo\n\n" +
			"Prints the progress and, last, one JSON line. The exit code is 0 only if no flow was\n" +
			"broken and no request doubled, lost or misrouted.",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the callers and the fabric"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			summary, err := demo.Run(ctx, c.Root().Writer, c.Uint64("seed"))
			if err != nil {
				return cli.Exit(err, ExitError)
			}
			if err := json.NewEncoder(c.Root().Writer).Encode(summary); err != nil {
				return err
			}
			if !summary.Good() {
				return cli.Exit("a flow was broken, or a request was doubled, lost or misrouted", ExitError)
			}
			return nil
		},
	}
}
