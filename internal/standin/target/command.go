package target

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/duration"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command of the stand-ins' program that runs a target.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a target until it is interrupted",
		Description: `Example:
   standins target --name desk-1 --service application-desk --address 127.0.0.1:7301 --control 127.0.0.1:7401 \
     --slots 3 --service-time 40ms --queue 2 --record desk-1.jsonl`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "name of the target in its records", Required: true},
			&cli.StringFlag{Name: "service", Usage: "name of the service in the records", Required: true},
			&cli.StringFlag{Name: "address", Usage: "gRPC `ADDRESS`", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "control", Usage: "HTTP `ADDRESS` of the records and the behaviour"},
			&cli.IntFlag{Name: "slots", Usage: "requests that run at once", Value: 2},
			&cli.IntFlag{Name: "connections", Usage: "requests that are held at once", Value: 2000},
			&cli.IntFlag{Name: "queue", Usage: "requests that wait for a slot"},
			&cli.DurationFlag{Name: "service-time", Usage: "time that a request takes", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: "cold-time", Usage: "time after the start in which requests take longer"},
			&cli.FloatFlag{Name: "cold-factor", Usage: "how much longer", Value: 5},
			&cli.StringFlag{Name: "health", Usage: "honest, serving or not_serving", Value: "honest"},
			&cli.StringFlag{Name: "load", Usage: "honest, idle or full", Value: "honest"},
			&cli.DurationFlag{Name: "lag", Usage: "age of the reported health and load"},
			&cli.BoolFlag{Name: "draining", Usage: "refuse new sessions"},
			&cli.BoolFlag{Name: "shedding", Usage: "refuse all requests"},
			&cli.StringFlag{Name: "record", Usage: "append the application record to a `FILE`"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	o := parse(c)
	if path := c.String("record"); path != "" {
		file, openError := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if openError != nil {
			return errors.Wrap(openError, "opening the application record")
		}
		defer func() { err = errors.CombineErrors(err, errors.Wrap(file.Close(), "closing the application record")) }()
		o.Record = file
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := Start(o)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "address=%s control=%s\n", s.Address(), s.ControlAddress()); err != nil {
		return errors.CombineErrors(err, s.Stop())
	}
	<-ctx.Done()
	return s.Stop()
}

func parse(c *cli.Command) Options {
	return Options{
		Name: c.String("name"), Service: c.String("service"), Address: c.String("address"),
		ControlAddress: c.String("control"), Slots: c.Int("slots"), Connections: c.Int("connections"), Clock: clock.System{},
		Behaviour: Behaviour{
			ServiceTime: duration.Duration(c.Duration("service-time")), ColdTime: duration.Duration(c.Duration("cold-time")),
			ColdFactor: c.Float("cold-factor"), QueueLimit: c.Int("queue"), Shedding: c.Bool("shedding"),
			Draining: c.Bool("draining"), Health: c.String("health"), Load: c.String("load"),
			Lag: duration.Duration(c.Duration("lag")),
		},
	}
}
