package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "create or change the services that files declare, all or none",
		Description: `Each file holds one or many JSON objects, one for each service.

Examples:
   oriolevalve apply --file examples/head-office.json --dry-run
   oriolevalve apply --file examples/head-office.json --file examples/fund.json --wait`,
		Flags: changeFlags(
			&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with declarations; may be repeated", Required: true},
			&cli.BoolFlag{Name: "dry-run", Usage: "show the difference and change nothing"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseApply(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type apply struct {
	*change
	declarations []declaration
}

func parseApply(c *cli.Command) (*apply, error) {
	if _, err := positional(c); err != nil {
		return nil, err
	}
	if c.IsSet("base-version") {
		return nil, usageError("--base-version has no effect here: give base_version in the files")
	}
	p, err := parseChange(c)
	if err != nil {
		return nil, err
	}
	p.dryRun = c.Bool("dry-run")
	list, err := readDeclarations(c.StringSlice("file"))
	return &apply{change: p, declarations: list}, failure(err)
}

func (p *apply) construct(ctx context.Context) (*operatorpb.ApplyRequest, error) {
	response, err := p.listServices(ctx, "")
	if err != nil {
		return nil, err
	}
	inForce := map[string]*operatorpb.Service{}
	for _, s := range response.GetServices() {
		inForce[s.GetName()] = s
	}
	request := &operatorpb.ApplyRequest{DryRun: p.dryRun}
	for i := range p.declarations {
		d := &p.declarations[i]
		request.Declarations = append(request.Declarations, d.message(inForce[d.Name]))
	}
	return request, nil
}

func (p *apply) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request, err := p.construct(ctx)
	if err != nil {
		return err
	}
	return p.change.process(ctx, func(ctx context.Context, client operatorpb.OperatorClient, operation *operatorpb.Operation) (*operatorpb.ChangeResult, error) {
		request.Operation = operation
		return client.Apply(ctx, request)
	})
}
