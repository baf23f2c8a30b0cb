package commands

import (
	"context"
	"fmt"
	"strings"
	"time"

	"oriolevalve/pkg/operatorpb"

	"github.com/cockroachdb/errors"
)

// waitInterval is the time between two looks at the fleet.
const waitInterval = 500 * time.Millisecond

// waitInForce polls the fleet's status until every live host has the revision
// in force. The error names the hosts that lag.
func (p *change) waitInForce(ctx context.Context, revision uint64) error {
	clock := p.environment.clock
	deadline := clock.Now().Add(p.timeout)
	for {
		response, err := p.status(ctx)
		lagging := laggingHosts(response, revision)
		if err == nil && len(lagging) == 0 {
			_, err := fmt.Fprintf(p.command.Root().ErrWriter, "revision %d is in force on every live host\n", revision)
			return failure(err)
		}
		wait := clock.After(waitInterval)
		if !clock.Now().Add(waitInterval).After(deadline) {
			select {
			case <-wait:
				continue
			case <-ctx.Done():
			}
		}
		if err != nil {
			return failure(errors.Wrapf(err, "the change is applied; it is not known whether revision %d is in force everywhere", revision))
		}
		return failure(errors.Newf("the change is applied; revision %d is not in force on: %s", revision, strings.Join(lagging, ", ")))
	}
}

// laggingHosts returns the live hosts below the revision. A host that leaves or
// is dead does not count; a suspect one does, because it may serve.
func laggingHosts(response *operatorpb.StatusResponse, revision uint64) []string {
	var list []string
	for _, h := range response.GetHosts() {
		live := h.GetState() == "alive" || h.GetState() == "suspect"
		if live && h.GetRevision() < revision {
			list = append(list, fmt.Sprintf("%s (revision %d)", h.GetId(), h.GetRevision()))
		}
	}
	return list
}

func (r *remote) status(ctx context.Context) (response *operatorpb.StatusResponse, err error) {
	err = r.read(ctx, func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
		response, err = client.Status(ctx, &operatorpb.StatusRequest{})
		return err
	})
	return response, err
}
