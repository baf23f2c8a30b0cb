package caller

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/standin/fabric"
	"oriolevalve/internal/standin/record"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command of the stand-ins' program that runs the model.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "play callers against hosts and print a report as one JSON line",
		Description: `Example:
   standins caller --host 127.0.0.11:7100 --host 127.0.0.12:7100 --service dispatch --sessions 200 --duration 30s \
     --photo-service photo-intake --photo-share 0.1 --record dispatch.jsonl --plot latency.png`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host", Usage: "caller `ADDRESS` of a host; repeat it for each host", Required: true},
			&cli.StringFlag{Name: "service", Usage: "name or address of the service", Required: true},
			&cli.StringFlag{Name: "method", Usage: "full gRPC method name", Value: "/application.v1.Application/Submit"},
			&cli.StringFlag{Name: "name", Usage: "name of the caller", Value: "caller"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the run", Value: 1},
			&cli.IntFlag{Name: "sessions", Usage: "sessions that are open at once", Value: 100},
			&cli.IntFlag{Name: "messages", Usage: "messages of each session", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "time during which new sessions begin; 0 for one round"},
			&cli.DurationFlag{Name: "think", Usage: "mean time between messages", Value: 200 * time.Millisecond},
			&cli.FloatFlag{Name: "idle-share", Usage: "share of sessions that pause once"},
			&cli.DurationFlag{Name: "idle-time", Usage: "length of the pause", Value: 30 * time.Second},
			&cli.FloatFlag{Name: "idempotent-share", Usage: "share of messages that may run twice", Value: 0.5},
			&cli.IntFlag{Name: "body-size", Usage: "bytes of a message", Value: 256},
			&cli.StringFlag{Name: "photo-service", Usage: "service of photo uploads"},
			&cli.FloatFlag{Name: "photo-share", Usage: "share of messages that are followed by an upload"},
			&cli.IntFlag{Name: "photo-size", Usage: "bytes of an upload", Value: 200_000},
			&cli.IntFlag{Name: "repeats", Usage: "largest number of repeats of a message", Value: 8},
			&cli.DurationFlag{Name: "repeat-pause", Usage: "mean pause before the first repeat", Value: 100 * time.Millisecond},
			&cli.FloatFlag{Name: "careless-share", Usage: "share of sessions that repeat unknown outcomes unmarked"},
			&cli.DurationFlag{Name: "request-timeout", Usage: "deadline of one attempt", Value: 10 * time.Second},
			&cli.StringSliceFlag{Name: "record", Usage: "application record `FILE` of a target, compared after the run"},
			&cli.StringFlag{Name: "plot", Usage: "write the latency plot to a `FILE` (.png or .svg)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := Run(ctx, parse(c))
			if err != nil {
				return err
			}
			if err := json.NewEncoder(c.Root().Writer).Encode(report); err != nil {
				return errors.Wrap(err, "writing the report")
			}
			if path := c.String("plot"); path != "" {
				return report.Plot(path)
			}
			return nil
		},
	}
}

func parse(c *cli.Command) Options {
	o := Options{
		Seed: c.Uint64("seed"), Sprayer: fabric.NewSprayer(c.Uint64("seed"), c.StringSlice("host")),
		Service: c.String("service"), Method: c.String("method"), Name: c.String("name"),
		Sessions: c.Int("sessions"), Messages: c.Int("messages"), Duration: c.Duration("duration"), Think: c.Duration("think"),
		IdleShare: c.Float("idle-share"), IdleTime: c.Duration("idle-time"), IdempotentShare: c.Float("idempotent-share"),
		BodySize: c.Int("body-size"), PhotoService: c.String("photo-service"), PhotoShare: c.Float("photo-share"), PhotoSize: c.Int("photo-size"),
		Repeats: c.Int("repeats"), RepeatPause: c.Duration("repeat-pause"), CarelessShare: c.Float("careless-share"),
		Timeout: c.Duration("request-timeout"), Clock: clock.System{},
	}
	if files := c.StringSlice("record"); len(files) > 0 {
		o.Records = func(context.Context) ([]record.Record, error) { return readRecords(files) }
	}
	return o
}

func readRecords(files []string) ([]record.Record, error) {
	var list []record.Record
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "opening an application record")
		}
		records, err := record.ReadAll(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		list = append(list, records...)
	}
	return list, nil
}
