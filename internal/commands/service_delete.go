package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func serviceDeleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete a service and its targets",
		ArgsUsage: "NAME",
		Description: `Example:
   oriolevalve service delete dispatch --wait`,
		Flags: changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseServiceDelete(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type serviceDelete struct {
	*change
	name string
}

func parseServiceDelete(c *cli.Command) (*serviceDelete, error) {
	names, err := positional(c, "NAME")
	if err != nil {
		return nil, err
	}
	p, err := parseChange(c)
	if err != nil {
		return nil, err
	}
	return &serviceDelete{change: p, name: names[0]}, nil
}

func (p *serviceDelete) construct() *operatorpb.DeleteServiceRequest {
	return &operatorpb.DeleteServiceRequest{Service: p.name}
}

func (p *serviceDelete) process(ctx context.Context) error {
	request := p.construct()
	return p.processOn(ctx, p.name, func(ctx context.Context, client operatorpb.OperatorClient, operation *operatorpb.Operation) (*operatorpb.ChangeResult, error) {
		request.Operation = operation
		return client.DeleteService(ctx, request)
	})
}
