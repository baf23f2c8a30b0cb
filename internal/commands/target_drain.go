package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func targetDrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop new sessions at a target; open ones continue",
		ArgsUsage: "SERVICE TARGET",
		Description: `Example:
   oriolevalve target drain dispatch dispatch-3 --wait`,
		Flags: changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseTargetChange(c)
			if err != nil {
				return err
			}
			return p.process(ctx, func(ctx context.Context, client operatorpb.OperatorClient, request *operatorpb.TargetRequest) (*operatorpb.ChangeResult, error) {
				return client.DrainTarget(ctx, request)
			})
		},
	}
}
