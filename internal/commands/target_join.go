package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func targetJoinCommand() *cli.Command {
	return &cli.Command{
		Name:      "join",
		Usage:     "add a target to a service",
		ArgsUsage: "SERVICE TARGET",
		Description: `Example:
   oriolevalve target join dispatch dispatch-15 --address 127.0.0.65:9000 --data-centre dc-1 --slots 2`,
		Flags: changeFlags(
			&cli.StringFlag{Name: "address", Usage: "IP `ADDRESS` and port of the target", Required: true},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the target", Required: true},
			&cli.Int32Flag{Name: "slots", Usage: "requests that the target runs at once", Required: true},
			&cli.Int32Flag{Name: "connections", Usage: "flows that the target holds at once", Value: 2000},
			&cli.Uint32Flag{Name: "weight", Usage: "share of the target in the table", Value: 1},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseTargetJoin(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type targetJoin struct {
	*targetChange
	declaration targetDeclaration
}

func parseTargetJoin(c *cli.Command) (*targetJoin, error) {
	p, err := parseTargetChange(c)
	if err != nil {
		return nil, err
	}
	return &targetJoin{targetChange: p, declaration: targetDeclaration{
		Name: p.target, Address: c.String("address"), DataCentre: c.String("data-centre"),
		Slots: c.Int32("slots"), Connections: c.Int32("connections"), Weight: c.Uint32("weight"),
	}}, nil
}

func (p *targetJoin) construct() *operatorpb.JoinTargetRequest {
	return &operatorpb.JoinTargetRequest{Service: p.service, Target: p.declaration.message()}
}

func (p *targetJoin) process(ctx context.Context) error {
	request := p.construct()
	return p.processOn(ctx, p.service, func(ctx context.Context, client operatorpb.OperatorClient, operation *operatorpb.Operation) (*operatorpb.ChangeResult, error) {
		request.Operation = operation
		return client.JoinTarget(ctx, request)
	})
}
