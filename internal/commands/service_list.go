package commands

import (
	"context"
	"fmt"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func serviceListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the services in force",
		Description: `Example:
   oriolevalve service list --output json`,
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseServiceList(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type serviceList struct {
	*remote
	command *cli.Command
}

func parseServiceList(c *cli.Command) (*serviceList, error) {
	if _, err := positional(c); err != nil {
		return nil, err
	}
	r, err := parseRemote(c)
	return &serviceList{remote: r, command: c}, err
}

func (p *serviceList) construct(w *tableWriter, response *operatorpb.ListServicesResponse) {
	w.row("NAME", "ADDRESS", "PROTOCOL", "VERSION", "JOINED", "DRAINING")
	for _, s := range response.GetServices() {
		count := map[string]int{}
		for _, t := range s.GetTargets() {
			count[t.GetState()]++
		}
		w.row(s.GetName(), s.GetAddress(), s.GetProtocol(), fmt.Sprint(s.GetVersion()), fmt.Sprint(count["joined"]), fmt.Sprint(count["draining"]))
	}
}

func (p *serviceList) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	response, err := p.listServices(ctx, "")
	if err != nil {
		return err
	}
	return failure(p.print(p.command, response, func(w *tableWriter) { p.construct(w, response) }))
}
