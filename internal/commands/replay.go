package commands

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"oriolevalve/internal/replay"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "run recorded traces against the decision code and check their stated outcomes",
		ArgsUsage: "FILE...",
		UsageText: "oriolevalve replay internal/replay/testdata/traces/*.json\n" +
			"oriolevalve replay --log --without handover FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "log", Usage: "print the events of the replay"},
			&cli.BoolFlag{Name: "measures", Usage: "print all measures"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "run each trace with that many consecutive seeds"},
			&cli.StringFlag{Name: "follow", Usage: "log every step of one session, such as s12"},
			&cli.Uint64Flag{Name: "seed", Usage: "replace the trace's seed"},
			&cli.StringSliceFlag{Name: "without", Usage: "switch a decision off: handover, consult, permit, outcome or deduplication"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return cli.Exit("replay needs at least one trace file", ExitUsage)
			}
			missed := 0
			for _, path := range c.Args().Slice() {
				held, err := replayFile(c, path)
				if err != nil {
					return exit(err, ExitUsage)
				}
				if !held {
					missed++
				}
			}
			if missed > 0 {
				return exit(errors.Newf("%d of %d traces missed their stated outcome", missed, c.Args().Len()), ExitError)
			}
			return nil
		},
	}
}

func replayFile(c *cli.Command, path string) (bool, error) {
	trace, err := replay.LoadTrace(path)
	if err != nil {
		return false, err
	}
	if c.IsSet("seed") {
		trace.Seed = c.Uint64("seed")
	}
	trace.Follow = c.String("follow")
	trace.Without = append(trace.Without, c.StringSlice("without")...)
	held := true
	for range c.Int("seeds") {
		one, err := replaySeed(c, trace)
		if err != nil {
			return false, err
		}
		held = held && one
		trace.Seed++
	}
	return held, nil
}

func replaySeed(c *cli.Command, trace *replay.Trace) (bool, error) {
	result := replay.Run(trace)
	out := c.Root().Writer
	if c.Bool("log") {
		for _, line := range result.Log {
			if _, err := fmt.Fprintln(out, line); err != nil {
				return false, err
			}
		}
	}
	if c.Bool("measures") {
		if _, err := fmt.Fprint(out, result.Text()); err != nil {
			return false, err
		}
	}
	verdicts, held := result.Check(trace.Expect)
	for _, v := range verdicts {
		word := "held"
		if !v.Held {
			word = "MISSED"
		}
		if _, err := fmt.Fprintf(out, "%-6s %s seed %d: %s = %.4g, stated %s\n",
			word, trace.Name, trace.Seed, v.Measure, v.Value, v.Bound); err != nil {
			return false, err
		}
	}
	return held, nil
}
