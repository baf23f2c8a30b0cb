package commands

import (
	"context"
	"fmt"
	"strings"
	"time"

	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/timestamppb"
)

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list accepted changes, newest first",
		Description: `Examples:
   oriolevalve audit --service dispatch --since 24h
   oriolevalve audit --actor nadia --since 2026-12-01T00:00:00Z --limit 200`,
		Flags: remoteFlags(
			&cli.StringFlag{Name: "service", Usage: "only changes of the service `NAME`"},
			&cli.StringFlag{Name: "actor", Usage: "only changes by the operator `NAME`"},
			&cli.StringFlag{Name: "since", Usage: "only changes since a `TIME` (RFC 3339) or for a duration such as 24h"},
			&cli.Int32Flag{Name: "limit", Usage: "largest number of entries", Value: 50},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseAudit(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type audit struct {
	*remote
	command *cli.Command
	service string
	actor   string
	since   time.Time
	limit   int32
}

func parseAudit(c *cli.Command) (*audit, error) {
	if _, err := positional(c); err != nil {
		return nil, err
	}
	r, err := parseRemote(c)
	if err != nil {
		return nil, err
	}
	p := &audit{remote: r, command: c, service: c.String("service"), actor: c.String("actor"), limit: c.Int32("limit")}
	if p.limit < 1 {
		return nil, usageError("--limit must be at least 1")
	}
	if text := c.String("since"); text != "" {
		if length, err := time.ParseDuration(text); err == nil && length > 0 {
			p.since = environmentOf(c).clock.Now().Add(-length)
		} else if p.since, err = time.Parse(time.RFC3339, text); err != nil {
			return nil, usageError("--since %q is neither an RFC 3339 time nor a duration", text)
		}
	}
	return p, nil
}

func (p *audit) construct() *operatorpb.ListAuditRequest {
	request := &operatorpb.ListAuditRequest{Service: p.service, Actor: p.actor, Limit: p.limit}
	if !p.since.IsZero() {
		request.Since = timestamppb.New(p.since)
	}
	return request
}

func (p *audit) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var response *operatorpb.ListAuditResponse
	err := p.read(ctx, func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
		response, err = client.ListAudit(ctx, p.construct())
		return err
	})
	if err != nil {
		return err
	}
	return failure(p.print(p.command, response, func(w *tableWriter) {
		w.row("REVISION", "TIME", "ACTOR", "ACTION", "SERVICE", "VERSIONS", "OPERATION", "DIFFERENCES")
		for _, e := range response.GetEntries() {
			w.row(fmt.Sprint(e.GetRevision()), e.GetTime().AsTime().UTC().Format(time.RFC3339), e.GetActor(), e.GetAction(), e.GetService(),
				fmt.Sprintf("%d -> %d", e.GetVersionBefore(), e.GetVersionAfter()), e.GetIdentity(), strings.Join(e.GetDifferences(), "; "))
		}
	}))
}
