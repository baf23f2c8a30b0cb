package commands

import (
	"context"

	"oriolevalve/pkg/operatorpb"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func operationCommand() *cli.Command {
	return &cli.Command{
		Name:     "operation",
		Usage:    "look up operations",
		Action:   groupAction,
		Commands: []*cli.Command{operationShowCommand()},
	}
}

func operationShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "tell whether an operation took effect",
		ArgsUsage: "IDENTITY",
		Description: `Exit code 0 means applied, 1 not applied, 4 still unknown.

Example:
   oriolevalve operation show 7d1c1a4e-30f5-4c0e-9c0a-6f0c0d2f7b11`,
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseOperationShow(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type operationShow struct {
	*remote
	command  *cli.Command
	identity string
}

func parseOperationShow(c *cli.Command) (*operationShow, error) {
	names, err := positional(c, "IDENTITY")
	if err != nil {
		return nil, err
	}
	r, err := parseRemote(c)
	return &operationShow{remote: r, command: c, identity: names[0]}, err
}

func (p *operationShow) construct() *operatorpb.ShowOperationRequest {
	return &operatorpb.ShowOperationRequest{Identity: p.identity}
}

func (p *operationShow) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var result *operatorpb.ChangeResult
	err := p.read(ctx, func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
		result, err = client.ShowOperation(ctx, p.construct())
		return err
	})
	if err != nil {
		return err
	}
	if err := p.print(p.command, result, func(w *tableWriter) { changeTable(w, result, false) }); err != nil {
		return failure(err)
	}
	switch result.GetStatus() {
	case operatorpb.ChangeStatus_CHANGE_STATUS_APPLIED:
		return nil
	case operatorpb.ChangeStatus_CHANGE_STATUS_NOT_APPLIED:
		return failure(errors.Newf("not applied: %s", result.GetReason()))
	case operatorpb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		return exit(errors.Newf("conflict: the current version is %d: %s", result.GetCurrentVersion(), result.GetReason()), ExitConflict)
	default:
		return exit(errors.Newf("the outcome is still unknown: %s", result.GetReason()), ExitUnknown)
	}
}
