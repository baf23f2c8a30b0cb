package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oriolevalve/internal/node"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	// nodeStatusTimeout bounds a question to a host, which answers within a second.
	nodeStatusTimeout = 5 * time.Second
	// nodeStatusLimit bounds the bytes of an answer: 11,000 targets take 2 MB.
	nodeStatusLimit = 16 << 20
)

func nodeStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "node-status",
		Usage: "show what hosts that forward packets know of targets",
		Description: `The address is that of the host's metrics. Without --all, targets without flows that
answer are left out.

Example:
   oriolevalve node-status --host 127.0.1.1:7375 --host 127.0.1.2:7375`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host", Usage: "metrics `ADDRESS` of a host; may be repeated"},
			&cli.BoolFlag{Name: "all", Usage: "show all targets"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := parseNodeStatus(c)
			if err != nil {
				return err
			}
			return p.process(ctx)
		},
	}
}

type nodeStatus struct {
	command *cli.Command
	hosts   []string
	all     bool
}

func parseNodeStatus(c *cli.Command) (*nodeStatus, error) {
	if _, err := positional(c); err != nil {
		return nil, err
	}
	p := &nodeStatus{command: c, hosts: c.StringSlice("host"), all: c.Bool("all")}
	if len(p.hosts) == 0 {
		return nil, usageError("name at least one host with --host")
	}
	return p, nil
}

func (p *nodeStatus) construct(w *tableWriter, s *node.Status) {
	w.row("host:", s.Host)
	w.row("data centre:", s.DataCentre)
	w.row("takes packets:", fmt.Sprint(s.Ready))
	w.row("other hosts alive:", fmt.Sprint(s.Alive))
	w.row("configuration:", fmt.Sprint(s.Version))
	if len(s.Evacuated) > 0 {
		w.row("evacuated data centres:", strings.Join(s.Evacuated, ", "))
	}
	w.row("")
	w.row("COLLECTION", "REVISION", "AGE", "RANK")
	for _, l := range s.Collections {
		w.row(l.Name, fmt.Sprint(l.Revision), milliseconds(l.Age), fmt.Sprint(l.Rank))
	}
	w.row("")
	w.row("SERVICE", "TARGET", "DATA CENTRE", "STATE", "OPEN", "ACTIVE", "RESPONSE", "SPEED", "LOAD", "BELIEF")
	for _, t := range s.Targets {
		if p.all || t.Open > 0 || t.Health != "answers" {
			w.row(t.Service, t.Name, t.DataCentre, t.State, fmt.Sprint(t.Open), fmt.Sprint(t.Active), milliseconds(t.Response),
				ratio(t.Speed), ratio(t.Load), belief(&t))
		}
	}
	w.row("")
	w.row("targets are of", milliseconds(s.TargetsAge), "before")
}

// belief returns what a host believes of a target, with the last question to it.
func belief(t *node.TargetStatus) string {
	if t.Asked == "" {
		return t.Health
	}
	return fmt.Sprintf("%s (asked %s ago: %s)", t.Health, milliseconds(t.AskedAge), t.Asked)
}

// ratio formats a value that hosts of earlier builds do not tell.
func ratio(value float64) string {
	if value == 0 {
		return "-"
	}
	return strconv.FormatFloat(value, 'f', 2, 64)
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// process asks each host in turn. A host that does not answer is reported at the
// end.
func (p *nodeStatus) process(ctx context.Context) error {
	var failed error
	for _, host := range p.hosts {
		s, err := askNode(ctx, host)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "host %s", host))
			continue
		}
		w := newTable(p.command.Root().Writer)
		p.construct(w, s)
		if err := w.flush(); err != nil {
			return failure(err)
		}
	}
	if failed != nil {
		return failure(failed)
	}
	return nil
}

func askNode(ctx context.Context, host string) (*node.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeStatusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+node.StatusPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the question")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "asking for the status")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, nodeStatusLimit))
	if closing := response.Body.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the status")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("the host answered with status %d", response.StatusCode)
	}
	var s node.Status
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decoding the status")
	}
	return &s, nil
}
