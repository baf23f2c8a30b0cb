package commands

import (
	"context"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/pkg/operatorpb"

	"github.com/urfave/cli/v3"
)

func serviceCreateCommand() *cli.Command {
	return &cli.Command{
		Name:      "create",
		Usage:     "create a service without targets",
		ArgsUsage: "NAME",
		Description: `Examples:
   oriolevalve service create dispatch --address 127.0.0.40:80 --balance-bound 1.15
   oriolevalve service create ledger --address 127.0.0.41:5432 --idle-timeout 10m --wait`,
		Flags: changeFlags(
			&cli.StringFlag{Name: "address", Usage: "IP `ADDRESS` and port that callers use", Required: true},
			&cli.StringFlag{Name: "protocol", Usage: "`PROTOCOL` of the service: grpc", Value: "grpc"},
			&cli.FloatFlag{Name: "balance-bound", Usage: "limit on a target's open sessions over the mean"},
			&cli.DurationFlag{Name: "idle-timeout", Usage: "time after which a silent flow counts as ended"},
			&cli.DurationFlag{Name: "drain-timeout", Usage: "time that a stopping host waits for requests in progress"},
			&cli.DurationFlag{Name: "warm-up", Usage: "time over which a joined target reaches its full share"},
			&cli.Int32Flag{Name: "queue-limit", Usage: "requests that may wait for a slot of a target"},
			&cli.FloatFlag{Name: "caller-rate", Usage: "new flows a second of one caller at one host; 0 for no limit"},
			&cli.FloatFlag{Name: "eject-floor", Usage: "share of targets below which ejection stops"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseServiceCreate(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type serviceCreate struct {
	*change
	declaration declaration
}

func parseServiceCreate(c *cli.Command) (*serviceCreate, error) {
	names, err := positional(c, "NAME")
	if err != nil {
		return nil, err
	}
	if c.IsSet("base-version") {
		return nil, usageError("--base-version has no effect here: a new service has none")
	}
	p, err := parseChange(c)
	if err != nil {
		return nil, err
	}
	d := declaration{Name: names[0], Address: c.String("address"), Protocol: c.String("protocol"), Policy: &policyDeclaration{}}
	if refusal := configuration.CheckProtocol(configuration.Protocol(d.Protocol)); refusal != "" {
		return nil, usageError("--protocol %q is not allowed: %s", d.Protocol, refusal)
	}
	number := func(to **float64, name string) {
		if c.IsSet(name) {
			value := c.Float(name)
			*to = &value
		}
	}
	span := func(to **duration.Duration, name string) {
		if c.IsSet(name) {
			value := duration.Duration(c.Duration(name))
			*to = &value
		}
	}
	number(&d.Policy.BalanceBound, "balance-bound")
	number(&d.Policy.CallerRate, "caller-rate")
	number(&d.Policy.EjectFloor, "eject-floor")
	span(&d.Policy.IdleTimeout, "idle-timeout")
	span(&d.Policy.DrainTimeout, "drain-timeout")
	span(&d.Policy.WarmUp, "warm-up")
	if c.IsSet("queue-limit") {
		value := c.Int32("queue-limit")
		d.Policy.QueueLimit = &value
	}
	return &serviceCreate{change: p, declaration: d}, nil
}

// construct leaves the base version 0: a service of that name is a conflict.
func (p *serviceCreate) construct() *operatorpb.ApplyRequest {
	message := p.declaration.message(nil)
	return &operatorpb.ApplyRequest{Declarations: []*operatorpb.ServiceDeclaration{message}}
}

func (p *serviceCreate) process(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request := p.construct()
	return p.change.process(ctx, func(ctx context.Context, client operatorpb.OperatorClient, operation *operatorpb.Operation) (*operatorpb.ChangeResult, error) {
		request.Operation = operation
		return client.Apply(ctx, request)
	})
}
