package commands

import (
	"context"
	"fmt"
	"time"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the fleet as one host sees it",
		Description: `Example:
   oriolevalve status --host 127.0.0.11:7102 --host 127.0.0.12:7102`,
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseStatus(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type fleetStatus struct {
	*remote
	command *cli.Command
}

func parseStatus(c *cli.Command) (*fleetStatus, error) {
	if _, err := positional(c); err != nil {
		return nil, err
	}
	r, err := parseRemote(c)
	return &fleetStatus{remote: r, command: c}, err
}

func (p *fleetStatus) construct(w *tableWriter, response *operatorpb.StatusResponse) {
	w.row("answered by:", response.GetHost())
	w.row("revision:", fmt.Sprint(response.GetRevision()))
	w.row("accepted at:", response.GetAcceptedAt().AsTime().UTC().Format(time.RFC3339))
	w.row("platform reachable:", fmt.Sprint(response.GetPlatformReachable()))
	w.row("")
	w.row("HOST", "DATA CENTRE", "STATE", "REVISION")
	for _, h := range response.GetHosts() {
		w.row(h.GetId(), h.GetDataCentre(), h.GetState(), fmt.Sprint(h.GetRevision()))
	}
	w.row("")
	w.row("SERVICE", "TARGET", "OWNER", "HEALTHY", "SESSIONS", "IN PROGRESS", "QUEUED")
	for _, t := range response.GetTargets() {
		w.row(t.GetService(), t.GetName(), t.GetOwner(), fmt.Sprint(t.GetHealthy()),
			fmt.Sprint(t.GetSessions()), fmt.Sprint(t.GetInProgress()), fmt.Sprint(t.GetQueued()))
	}
}

func (p *fleetStatus) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	response, err := p.status(ctx)
	if err != nil {
		return err
	}
	return failure(p.print(p.command, response, func(w *tableWriter) { p.construct(w, response) }))
}
