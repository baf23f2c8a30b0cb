package commands

import (
	"context"
	"fmt"
	"os/user"

	"oriolevalve/internal/operator"
	"oriolevalve/pkg/operatorpb"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/status"
)

// change is what all commands share that change the configuration.
type change struct {
	*remote
	command     *cli.Command
	environment *environment
	identity    string
	actor       string
	wait        bool
	hasBase     bool
	baseVersion uint64
	dryRun      bool
}

func changeFlags(more ...cli.Flag) []cli.Flag {
	return remoteFlags(append(more,
		&cli.StringFlag{Name: "operation", Usage: "operation `IDENTITY`, to repeat an earlier command; default: a new UUID"},
		&cli.StringFlag{Name: "actor", Usage: "operator's `NAME` for the audit trail", Value: loginName(), Sources: cli.EnvVars("ORIOLEVALVE_ACTOR")},
		&cli.Uint64Flag{Name: "base-version", Usage: "`VERSION` of the service that the change is based on; default: the version in force"},
		&cli.BoolFlag{Name: "wait", Usage: "return when the revision is in force on every live host"},
	)...)
}

func loginName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func parseChange(c *cli.Command) (*change, error) {
	r, err := parseRemote(c)
	if err != nil {
		return nil, err
	}
	e := environmentOf(c)
	p := &change{
		remote: r, command: c, environment: e, identity: c.String("operation"), actor: c.String("actor"),
		wait: c.Bool("wait"), hasBase: c.IsSet("base-version"), baseVersion: c.Uint64("base-version"),
	}
	if p.actor == "" {
		return nil, usageError("--actor is required, because the login name is not known")
	}
	if p.identity == "" {
		p.identity = e.newIdentity()
	}
	return p, nil
}

// changeCall sends the change. Repeats carry the same operation.
type changeCall func(ctx context.Context, client operatorpb.OperatorClient, operation *operatorpb.Operation) (*operatorpb.ChangeResult, error)

// fetchBase sets the base version from the service in force, unless it was
// given. A service that doesn't exist is an error, except in a repeat: it may be
// the repeat that asks for the result of the deletion.
func (p *change) fetchBase(ctx context.Context, service string) error {
	if p.hasBase {
		return nil
	}
	services, err := p.listServices(ctx, service)
	if err != nil {
		return err
	}
	for _, s := range services.GetServices() {
		if s.GetName() == service {
			p.baseVersion = s.GetVersion()
			return nil
		}
	}
	if p.command.IsSet("operation") {
		return nil
	}
	return failure(errors.Newf("not applied: there is no service %q", service))
}

func (r *remote) listServices(ctx context.Context, name string) (response *operatorpb.ListServicesResponse, err error) {
	err = r.read(ctx, func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
		response, err = client.ListServices(ctx, &operatorpb.ListServicesRequest{Name: name})
		return err
	})
	return response, err
}

// processOn processes a change that is based on the version of a service.
func (p *change) processOn(ctx context.Context, service string, send changeCall) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if err := p.fetchBase(ctx, service); err != nil {
		return err
	}
	return p.process(ctx, send)
}

// process sends the change, prints the result and, if asked, waits for it to be
// in force.
func (p *change) process(ctx context.Context, send changeCall) error {
	operation := &operatorpb.Operation{Identity: p.identity, Actor: p.actor, BaseVersion: p.baseVersion}
	var result *operatorpb.ChangeResult
	a := p.try(ctx, func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
		result, err = send(ctx, client, operation)
		return err
	})
	switch {
	case a.err != nil && (a.unanswered && !p.dryRun):
		return p.unknown(a.err)
	case a.err != nil && a.settled:
		return failure(errors.New(status.Convert(a.err).Message()))
	case a.err != nil:
		return failure(errors.Wrap(a.err, "not applied: no host answered"))
	}
	if a.unanswered && !p.dryRun && result.GetStatus() == operatorpb.ChangeStatus_CHANGE_STATUS_NOT_APPLIED {
		// The first host may still be at work on the change.
		return p.unknown(errors.Newf("an earlier host did not answer, and the next has not applied it: %s", result.GetReason()))
	}
	return p.report(ctx, result)
}

func (p *change) report(ctx context.Context, result *operatorpb.ChangeResult) error {
	if err := p.print(p.command, result, func(w *tableWriter) { changeTable(w, result, p.dryRun) }); err != nil {
		return failure(err)
	}
	switch result.GetStatus() {
	case operatorpb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		return exit(errors.Newf("conflict: the current version is %d, the change is based on another: %s", result.GetCurrentVersion(), result.GetReason()), ExitConflict)
	case operatorpb.ChangeStatus_CHANGE_STATUS_APPLIED:
		if p.wait && !p.dryRun {
			return p.waitInForce(ctx, result.GetRevision())
		}
		return nil
	case operatorpb.ChangeStatus_CHANGE_STATUS_NOT_APPLIED:
		if p.dryRun && result.GetReason() == operator.DryRunReason {
			return nil
		}
		return failure(errors.Newf("not applied: %s", result.GetReason()))
	default:
		return p.unknown(errors.New(result.GetReason()))
	}
}

// unknown names the command that settles the outcome.
func (p *change) unknown(cause error) error {
	hosts := ""
	for _, address := range p.hosts {
		hosts += " --host " + address
	}
	return exit(errors.Newf("the outcome is unknown: %v\noperation: %s\nto settle it, run: oriolevalve operation show %s%s",
		cause, p.identity, p.identity, hosts), ExitUnknown)
}

var statusNames = map[operatorpb.ChangeStatus]string{
	operatorpb.ChangeStatus_CHANGE_STATUS_APPLIED:     "applied",
	operatorpb.ChangeStatus_CHANGE_STATUS_NOT_APPLIED: "not applied",
	operatorpb.ChangeStatus_CHANGE_STATUS_CONFLICT:    "conflict",
	operatorpb.ChangeStatus_CHANGE_STATUS_UNKNOWN:     "unknown",
}

func changeTable(w *tableWriter, result *operatorpb.ChangeResult, dryRun bool) {
	if dryRun {
		w.row("dry run: nothing is changed")
	} else {
		name, ok := statusNames[result.GetStatus()]
		if !ok {
			name = "unknown"
		}
		w.row("status:", name)
		w.row("operation:", result.GetIdentity())
		if result.GetRevision() > 0 {
			w.row("revision:", fmt.Sprint(result.GetRevision()))
		}
	}
	for _, line := range result.GetDifferences() {
		w.row(line)
	}
}
