package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func targetLeaveCommand() *cli.Command {
	return &cli.Command{
		Name:      "leave",
		Usage:     "remove a drained target",
		ArgsUsage: "SERVICE TARGET",
		Description: `The hosts refuse it while the target has open sessions. Forced removal breaks them.

Examples:
   oriolevalve target leave dispatch dispatch-3
   oriolevalve target leave dispatch dispatch-3 --force`,
		Flags: changeFlags(
			&cli.BoolFlag{Name: "force", Usage: "remove the target although sessions are open"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseTargetChange(c)
			if err != nil {
				return err
			}
			p.force = c.Bool("force")
			return p.process(ctx, func(ctx context.Context, client operatorpb.OperatorClient, request *operatorpb.TargetRequest) (*operatorpb.ChangeResult, error) {
				return client.LeaveTarget(ctx, request)
			})
		},
	}
}
