package node

import (
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/warmup"

	"github.com/stretchr/testify/require"
)

// Guards against warm targets of an evacuated data centre that count as room, so that nobody claims
// the warm-ups of the only targets that take flows.
func TestEvacuatedTargetsAreNoReasonToLeaveWarmUpsUnclaimed(t *testing.T) {
	configuration := &catalog.Configuration{ServiceSpecs: []catalog.ServiceSpec{{Name: "s", WarmUpRate: 4}}}
	targets := []packet.Target{
		{Name: "cold", Service: "s", DataCentre: "a", Slots: 2, StartedAtMillis: 1, WarmUpEnd: 10 * time.Second},
		{Name: "warm-1", Service: "s", DataCentre: "b", Slots: 2, StartedAtMillis: 1},
		{Name: "warm-2", Service: "s", DataCentre: "b", Slots: 2, StartedAtMillis: 1},
	}
	for requested, wanted := range map[bool]int{false: 0, true: 1} {
		w := &warmUps{bound: warmup.Bound{Overshoot: 1.5, Slack: 5}, claims: warmup.NewClaims()}
		w.allow(targets, []packet.Evacuation{{DataCentre: "b", Requested: requested}}, configuration, time.Second)
		require.Len(t, w.wanted, wanted, "evacuation requested: %t", requested)
	}
}
