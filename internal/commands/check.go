package commands

import (
	"context"
	"fmt"

	"oriolevalve/internal/settings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check the settings of hosts without starting them",
		Description: `All problems are reported with their path and what is allowed.

Example:
   oriolevalve check --settings examples/host-1.json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` of a host; may be repeated"},
			&cli.StringSliceFlag{Name: "node", Usage: "settings `FILE` of a host that forwards packets; may be repeated"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			p, err := parseCheck(c)
			if err != nil {
				return err
			}
			return p.process()
		},
	}
}

type check struct {
	command *cli.Command
	files   []string
	nodes   []string
}

func parseCheck(c *cli.Command) (*check, error) {
	if _, err := positional(c); err != nil {
		return nil, err
	}
	p := &check{command: c, files: c.StringSlice("settings"), nodes: c.StringSlice("node")}
	if len(p.files)+len(p.nodes) == 0 {
		return nil, usageError("name at least one file with --settings or --node")
	}
	return p, nil
}

func (p *check) process() error {
	failed := 0
	for _, file := range p.files {
		h, err := settings.LoadHost(file)
		if err := p.report(file, h.HostID, h.DataCentre, err, &failed); err != nil {
			return err
		}
	}
	for _, file := range p.nodes {
		n, err := settings.LoadNode(file)
		if err := p.report(file, n.HostID, n.DataCentre, err, &failed); err != nil {
			return err
		}
	}
	if failed > 0 {
		return failure(errors.Newf("%d of %d files have problems", failed, len(p.files)+len(p.nodes)))
	}
	return nil
}

// report prints the outcome for a file and counts the files with problems.
func (p *check) report(file, host, dataCentre string, err error, failed *int) error {
	line := fmt.Sprintf("%s: host %s in data centre %s: ok", file, host, dataCentre)
	var problems settings.Problems
	switch {
	case errors.As(err, &problems):
		*failed++
		line = fmt.Sprintf("%s: %d problems\n%v", file, len(problems), problems)
	case err != nil:
		return failure(err)
	}
	if _, err := fmt.Fprintln(p.command.Root().Writer, line); err != nil {
		return failure(err)
	}
	return nil
}
