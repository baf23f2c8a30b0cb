package packet_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
)

// longFlows is a host with open flows of clients that pause between requests, half of
// them on a route whose requests must run once.
type longFlows struct {
	plane   *packet.Plane
	targets []packet.Target
	now     time.Duration
}

const (
	idempotentService = 0
	onceService       = 1
)

func newLongFlows() *longFlows {
	l := &longFlows{plane: packet.NewPlane(rand.New(rand.NewPCG(1, 2))), now: time.Second}
	for i := range 2 {
		l.targets = append(l.targets, packet.Target{Key: packet.TargetKey(i + 1), Name: string(rune('p' + i)), Service: "s0", DataCentre: "a", Slots: 20})
	}
	l.publish()
	return l
}

func (l *longFlows) publish() {
	shares := []packet.ServiceShare{{Service: "s0", Weight: 1}}
	l.plane.SetView(packet.NewView("a", []packet.Route{
		{Address: serviceAddress(idempotentService), Services: shares, Idempotent: true},
		{Address: serviceAddress(onceService), Services: shares},
	}, slices.Clone(l.targets), packet.WithCompleteTargets(true)))
}

// send passes a packet of a client's flow at a target.
func (l *longFlows) send(client int, target packet.TargetKey, sequence, acknowledged uint32, length int) packet.Decision {
	return l.plane.Decide(l.now, &packet.Packet{
		Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(client % 2)}, Tag: target.Tag(),
		Sequence: sequence, Acknowledgement: acknowledged, Length: length,
	})
}

// ended returns the clients whose flows ended, and requires that each has the reason and
// its last acknowledgement, without which the client takes no reset.
func (l *longFlows) ended(t *testing.T, reason packet.Reason, acknowledged uint32) []int {
	var clients []int
	for _, e := range l.plane.TerminatedFlows() {
		require.Equal(t, reason, e.Reason)
		require.Equal(t, "p", e.Name)
		require.Equal(t, acknowledged, e.Packet.Acknowledgement)
		for client := range 40 {
			if e.Packet.Flow == (packet.Flow{Client: clientAddress(client), Service: serviceAddress(client % 2)}) {
				clients = append(clients, client)
			}
		}
	}
	slices.Sort(clients)
	return clients
}

// Guards against a request that must not run twice and is lost because its flow, open
// and idle, is at a target that has left: the client learned of the end only by sending
// it. The pattern is long flows with pauses while targets are replaced.
func TestFlowsOfATargetThatEndedAreReset(t *testing.T) {
	l := newLongFlows()
	for client := range 20 {
		l.send(client, packet.TargetKey(client/10+1), 100, 7, 0)
	}
	for _, state := range []packet.TargetState{packet.Draining, packet.Departed, packet.Lapsed} {
		l.targets[0].State = state
		l.publish()
		require.Empty(t, l.plane.TerminatedFlows(), "%s targets may run", state)
	}
	l.targets[0].State = packet.Gone
	l.publish()
	require.Equal(t, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, l.ended(t, packet.ReasonTargetGone, 7))
	l.publish()
	require.Empty(t, l.plane.TerminatedFlows(), "once")
	require.Equal(t, 10, l.plane.FlowCount())
	require.Equal(t, packet.ReasonOpen, l.send(15, 2, 100, 7, 10).Reason)
}

// Guards against idle flows that stay at a target which seems dead, so that the next
// request of each is lost, and against the end of a flow with a request in progress that
// must not run twice.
func TestIdleFlowsLeaveATargetThatSeemsDead(t *testing.T) {
	l := newLongFlows()
	const first, idle = 10, 20
	for client := range idle {
		l.send(client, 1, 100, 7, 0)
	}
	// Ten clients send a request and repeat it; others are answered by the other target.
	for client := range first {
		l.send(client, 1, 100, 7, 10)
	}
	for step := range 6 {
		l.now += 200 * time.Millisecond
		for client := range first {
			if d := l.send(client, 1, 100, 7, 10); d.Action == packet.Refuse {
				require.Equal(t, packet.ReasonTargetDead, d.Reason)
				require.Zero(t, client%2, "a request that must run once may have run")
			}
		}
		client := 30 + step
		l.plane.Decide(l.now, &packet.Packet{
			Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(client % 2)}, Sequence: 50, SYN: true,
		})
		l.send(client, 2, 51, 9, 0)
	}
	require.Equal(t, []int{10, 11, 12, 13, 14, 15, 16, 17, 18, 19}, l.ended(t, packet.ReasonTargetDead, 7))
}
