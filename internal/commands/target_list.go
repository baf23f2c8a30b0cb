package commands

import (
	"context"
	"fmt"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func targetListCommand() *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the targets of a service",
		ArgsUsage: "SERVICE",
		Description: `Example:
   oriolevalve target list dispatch`,
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseTargetList(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type targetList struct {
	*remote
	command *cli.Command
	name    string
}

func parseTargetList(c *cli.Command) (*targetList, error) {
	names, err := positional(c, "SERVICE")
	if err != nil {
		return nil, err
	}
	r, err := parseRemote(c)
	return &targetList{remote: r, command: c, name: names[0]}, err
}

func targetTable(w *tableWriter, s *operatorpb.Service) {
	w.row("TARGET", "ADDRESS", "DATA CENTRE", "STATE", "SLOTS", "CONNECTIONS", "WEIGHT")
	for _, t := range s.GetTargets() {
		w.row(t.GetName(), t.GetAddress(), t.GetDataCentre(), t.GetState(), fmt.Sprint(t.GetSlots()), fmt.Sprint(t.GetConnections()), fmt.Sprint(t.GetWeight()))
	}
}

func (p *targetList) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	s, err := p.service(ctx, p.name)
	if err != nil {
		return err
	}
	return failure(p.print(p.command, s, func(w *tableWriter) { targetTable(w, s) }))
}
