package target_test

import (
	"testing"
	"time"

	"oriolevalve/internal/target"

	"github.com/stretchr/testify/require"
)

// Guards against two faults of an owner that took over without records. It replies as
// authoritative about a request that may have run before the takeover. Or it does not
// for a request that cannot have run, so that first messages in moved buckets end with
// an unknown outcome.
func TestConsultOfIncompleteOwner(t *testing.T) {
	for _, c := range []struct {
		name     string
		takeover target.TakeoverStarted
		accepted time.Time
		complete bool
	}{
		{"accepted later", target.TakeoverStarted{}, epoch.Add(time.Second), true},
		{"accepted at the takeover", target.TakeoverStarted{}, epoch, false},
		{"accepted before", target.TakeoverStarted{}, epoch.Add(-time.Second), false},
		{"not stated to be the first attempt", target.TakeoverStarted{}, time.Time{}, false},
		{"previous owner still runs", target.TakeoverStarted{PreviousOwner: "host-2"}, epoch.Add(time.Second), false},
		{"complete owner", target.TakeoverStarted{FirstOwner: true}, time.Time{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			declared, policy := declaration()
			owner := target.NewOwner(declared, policy, target.WithHost("self"))
			owner.Handle(epoch, c.takeover)
			reply, _ := owner.HandleConsult(epoch.Add(2*time.Second), target.ConsultRequest{
				From: "host-3", Target: declared.ID, Key: key("van"), FirstAccepted: c.accepted,
			})
			require.Equal(t, c.complete, reply.Authoritative)
		})
	}
}
