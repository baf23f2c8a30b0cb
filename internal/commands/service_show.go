package commands

import (
	"context"
	"fmt"

	"oriolevalve/pkg/operatorpb"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func serviceShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show one service with its policy and targets",
		ArgsUsage: "NAME",
		Description: `Example:
   oriolevalve service show dispatch`,
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseServiceShow(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type serviceShow struct {
	*remote
	command *cli.Command
	name    string
}

func parseServiceShow(c *cli.Command) (*serviceShow, error) {
	names, err := positional(c, "NAME")
	if err != nil {
		return nil, err
	}
	r, err := parseRemote(c)
	return &serviceShow{remote: r, command: c, name: names[0]}, err
}

func (p *serviceShow) construct(w *tableWriter, s *operatorpb.Service) {
	policy := s.GetPolicy()
	w.row("name:", s.GetName())
	w.row("address:", s.GetAddress())
	w.row("protocol:", s.GetProtocol())
	w.row("version:", fmt.Sprint(s.GetVersion()))
	w.row("balance_bound:", fmt.Sprint(policy.GetBalanceBound()))
	w.row("idle_timeout:", policy.GetIdleTimeout().AsDuration().String())
	w.row("drain_timeout:", policy.GetDrainTimeout().AsDuration().String())
	w.row("warm_up:", policy.GetWarmUp().AsDuration().String())
	w.row("queue_limit:", fmt.Sprint(policy.GetQueueLimit()))
	w.row("caller_rate:", fmt.Sprint(policy.GetCallerRate()))
	w.row("eject_floor:", fmt.Sprint(policy.GetEjectFloor()))
	w.row("")
	targetTable(w, s)
}

func (p *serviceShow) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	s, err := p.service(ctx, p.name)
	if err != nil {
		return err
	}
	return failure(p.print(p.command, s, func(w *tableWriter) { p.construct(w, s) }))
}

// service returns the service in force with that name.
func (r *remote) service(ctx context.Context, name string) (*operatorpb.Service, error) {
	response, err := r.listServices(ctx, name)
	if err != nil {
		return nil, err
	}
	for _, s := range response.GetServices() {
		if s.GetName() == name {
			return s, nil
		}
	}
	return nil, failure(errors.Newf("there is no service %q", name))
}
