package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:     "target",
		Usage:    "manage the targets of a service",
		Action:   groupAction,
		Commands: []*cli.Command{targetJoinCommand(), targetDrainCommand(), targetLeaveCommand(), targetListCommand()},
	}
}

// targetChange is what join, drain and leave share.
type targetChange struct {
	*change
	service string
	target  string
	force   bool
}

func parseTargetChange(c *cli.Command) (*targetChange, error) {
	names, err := positional(c, "SERVICE", "TARGET")
	if err != nil {
		return nil, err
	}
	p, err := parseChange(c)
	if err != nil {
		return nil, err
	}
	return &targetChange{change: p, service: names[0], target: names[1]}, nil
}

func (p *targetChange) construct() *operatorpb.TargetRequest {
	return &operatorpb.TargetRequest{Service: p.service, Target: p.target, Force: p.force}
}

type targetCall func(ctx context.Context, client operatorpb.OperatorClient, request *operatorpb.TargetRequest) (*operatorpb.ChangeResult, error)

func (p *targetChange) process(ctx context.Context, send targetCall) error {
	request := p.construct()
	return p.processOn(ctx, p.service, func(ctx context.Context, client operatorpb.OperatorClient, operation *operatorpb.Operation) (*operatorpb.ChangeResult, error) {
		request.Operation = operation
		return send(ctx, client, request)
	})
}
