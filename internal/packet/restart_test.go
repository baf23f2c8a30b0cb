package packet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
)

// Guards against a target that starts again under its name and inherits what its former
// life showed: silence, death, a load of flows that are gone, response times. The
// pattern is a target with ten busy flows that crashes, is silent for clients that
// repeat, and starts again before its entry lapses.
func TestTargetThatStartsAgainIsNew(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	targets := []packet.Target{
		{Key: 1, Name: "crashing", Service: "s0", DataCentre: "a", Slots: 2, StartedAtMillis: 1000},
		{Key: 2, Name: "steady", Service: "s0", DataCentre: "a", Slots: 2, StartedAtMillis: 1000},
	}
	publish := func(crashing packet.Target) {
		plane.SetView(packet.NewView("a", []packet.Route{{
			Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s0", Weight: 1}}, Idempotent: true,
		}}, []packet.Target{crashing, targets[1]}))
	}
	publish(targets[0])
	status := func(now time.Duration) packet.TargetStatus { return plane.Status(now)[0] }
	send := func(now time.Duration, client int, sequence uint32, tag packet.TargetKey) packet.Decision {
		return plane.Decide(now, &packet.Packet{
			Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, Sequence: sequence, Acknowledgement: 1,
			Tag: tag.Tag(), Length: 10,
		})
	}
	now := time.Millisecond
	for client := range 10 {
		require.Equal(t, packet.ReasonAdopted, send(now, client, 7, 1).Reason)
	}
	for range 4 {
		now += 300 * time.Millisecond
		for client := range 10 {
			send(now, client, 7, 1)
		}
	}
	before := status(now)
	require.True(t, before.Silent)
	require.Equal(t, 10, before.OpenFlows)
	require.Equal(t, 10, before.ActiveFlows)

	// A view that is made anew without another start changes nothing.
	publish(targets[0])
	require.Equal(t, before, status(now))

	again := targets[0]
	again.StartedAtMillis, again.WarmUpEnd = 2000, now+time.Second
	publish(again)
	want := packet.TargetStatus{Name: "crashing", Service: "s0", DataCentre: "a", WarmingUp: true, Speed: 1, Load: 1}
	require.Equal(t, want, status(now))

	// Flows of the former life reach the target, which resets them, and count for
	// nothing, however they end.
	for client := range 10 {
		d := send(now, client, 7, 1)
		require.Equal(t, packet.Forward, d.Action)
		require.Equal(t, packet.TargetKey(1), d.Target)
	}
	require.Equal(t, want, status(now))
	plane.Decide(now, &packet.Packet{
		Flow: packet.Flow{Client: clientAddress(0), Service: serviceAddress(0)}, Sequence: 17, RST: true, Tag: packet.TargetKey(1).Tag(),
	})
	for now += time.Minute; plane.FlowCount() > 0; now += time.Second {
		plane.Sweep(now)
	}
	require.Zero(t, status(now).OpenFlows)
	require.Zero(t, status(now).ActiveFlows)

	// New flows count as ever.
	now += time.Second
	d := plane.Decide(now, &packet.Packet{Flow: packet.Flow{Client: clientAddress(20), Service: serviceAddress(0)}, Sequence: 9, SYN: true})
	require.Equal(t, packet.ReasonPlaced, d.Reason)
	require.Equal(t, 1, plane.Status(now)[0].OpenFlows+plane.Status(now)[1].OpenFlows)
}
