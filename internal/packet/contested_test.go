package packet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// twoHosts returns two hosts that see the same targets of one service.
func twoHosts(targets int) (first, second *packet.Plane) {
	var list []packet.Target
	for key := range targets {
		list = append(list, packet.Target{Key: packet.TargetKey(key + 1), Name: string(rune('a' + key)), Service: "s", DataCentre: "a", Slots: 9})
	}
	routes := []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
	planes := [2]*packet.Plane{}
	for i := range planes {
		planes[i] = packet.NewPlane(rand.New(rand.NewPCG(1, uint64(i))))
		planes[i].SetView(packet.NewView("a", routes, list, packet.WithCompleteTargets(true)))
	}
	return planes[0], planes[1]
}

func syn(client int, copies uint32) *packet.Packet {
	return &packet.Packet{Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, SYN: true, Sequence: 1, Acknowledgement: copies}
}

func data(client int, tag, sequence uint32) *packet.Packet {
	return &packet.Packet{
		Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, Tag: tag, Sequence: sequence, Acknowledgement: 9, Length: 50,
	}
}

// Guards against a flow that another host leads to the target which answered its opening first
// and lost: that target resets it.
func TestContestedFlowIsFoundByOtherHosts(t *testing.T) {
	opening, adopting := twoHosts(2)
	lost := opening.Decide(0, syn(1, 0))
	own := opening.Decide(200*time.Millisecond, syn(1, 1))
	require.NotEqual(t, lost.Target, own.Target)
	flow := packet.Flow{Client: clientAddress(1), Service: serviceAddress(0)}
	require.Equal(t, []packet.ContestedFlow{{Flow: flow, Sequence: 1}}, opening.ContestedFlows(), "it is not open")
	opening.Decide(204*time.Millisecond, data(1, own.Tag, 2))
	news := opening.ContestedFlows()
	require.Equal(t, []packet.ContestedFlow{{Flow: flow, Target: own.Target, Sequence: 2, Opened: 200 * time.Millisecond}}, news)
	require.Empty(t, opening.ContestedFlows())
	adopting.AddContestedFlow(news[0])

	for i, tag := range []uint32{lost.Tag, own.Tag, lost.Tag} {
		d := adopting.Decide(time.Duration(i+1)*time.Second, data(1, tag, uint32(52+50*i)))
		require.Equal(t, own.Target, d.Target)
		require.Equal(t, own.Tag, d.Tag, "the target's next packets carry the right tag")
		if i == 0 {
			require.Equal(t, packet.ReasonContested, d.Reason)
		}
	}
	// A later flow from the same port is another one.
	adopting.Decide(4*time.Second, &packet.Packet{Flow: news[0].Flow, Tag: own.Tag, Sequence: 200, RST: true})
	d := adopting.Decide(5*time.Second, data(1, lost.Tag, 1<<30))
	require.Equal(t, lost.Target, d.Target)
}

// Guards against a second target for an opening whose first one lives: its answer was lost, and
// two answers mislead the hosts that see the flow later. Guards as well against an opening whose
// copies all go to a target that is full and sends nothing.
func TestCopyOfAnOpeningStaysAtATargetThatLives(t *testing.T) {
	opening, _ := twoHosts(4)
	lost := opening.Decide(0, syn(0, 0))
	client := 1
	for opening.Decide(0, syn(client, 0)).Target != lost.Target {
		client++
	}
	// The first client got no answer, another one of the same target did.
	opening.Decide(100*time.Millisecond, data(client, lost.Tag, 2))
	d := opening.Decide(200*time.Millisecond, syn(0, 1))
	require.Equal(t, lost.Target, d.Target)
	require.Equal(t, packet.ReasonCopy, d.Reason)
	// A target that answers others, but neither of two packets of an opening, is full.
	opening.Decide(500*time.Millisecond, data(client, lost.Tag, 52))
	opening.Decide(510*time.Millisecond, &packet.Packet{
		Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, Tag: lost.Tag, Sequence: 102, Acknowledgement: 500,
	})
	d = opening.Decide(600*time.Millisecond, syn(0, 2))
	require.NotEqual(t, lost.Target, d.Target)
	require.Equal(t, packet.ReasonPlacedAgain, d.Reason)
	require.Equal(t, []packet.ContestedFlow{{Flow: syn(0, 0).Flow, Sequence: 1}}, opening.ContestedFlows())
}

// Guards against a contested flow of which nobody knows where it opened, because the end of its
// handshake reached a host that did not see its opening: in whichever order that and the news of
// the opening arrive, and whatever is said of it later.
func TestContestedFlowOpensThroughAnotherHost(t *testing.T) {
	for _, newsFirst := range []bool{true, false} {
		first, second := twoHosts(2)
		_, third := twoHosts(2)
		lost := first.Decide(0, syn(1, 0))
		own := first.Decide(200*time.Millisecond, syn(1, 1))
		require.NotEqual(t, lost.Target, own.Target)
		told := first.ContestedFlows()
		require.Len(t, told, 1)
		if newsFirst {
			second.AddContestedFlow(told[0])
		}
		second.Decide(204*time.Millisecond, data(1, own.Tag, 2))
		if !newsFirst {
			require.Empty(t, second.ContestedFlows())
			second.AddContestedFlow(told[0])
		}
		news := second.ContestedFlows()
		require.Len(t, news, 1)
		require.Equal(t, own.Target, news[0].Target)
		for _, h := range []*packet.Plane{first, third} {
			h.AddContestedFlow(news[0])
			// The news of the opening take a longer way, and a host that took a repeat of the flow's
			// first packet believed its tag.
			h.AddContestedFlow(told[0])
			h.AddContestedFlow(packet.ContestedFlow{Flow: news[0].Flow, Target: lost.Target, Sequence: 2, Opened: news[0].Opened + time.Second})
			require.Equal(t, own.Target, h.Decide(5*time.Second, data(1, lost.Tag, 52)).Target)
		}
	}
}

// Guards against a limit that leaves the latest contested flows out.
func TestManyContestedFlows(t *testing.T) {
	_, adopting := twoHosts(2)
	for client := range 6000 {
		adopting.AddContestedFlow(packet.ContestedFlow{Flow: syn(client, 0).Flow, Target: 1, Sequence: 2, Opened: time.Second})
	}
	for client := 3000; client < 6000; client++ {
		require.Equal(t, packet.TargetKey(1), adopting.Decide(2*time.Second, data(client, packet.TargetKey(2).Tag(), 52)).Target)
	}
}

// Guards against a second target for an opening that was sent late, because the host was paused
// between its decision and the sending.
func TestCopyOfAnOpeningThatWasSentLate(t *testing.T) {
	opening, _ := twoHosts(4)
	first := opening.Decide(0, syn(1, 0))
	opening.NoteDelay(syn(1, 0).Flow, 0, 900*time.Millisecond)
	for copies, arrived := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		k := syn(1, uint32(copies+1))
		k.Waited = 900*time.Millisecond - arrived
		d := opening.Decide(900*time.Millisecond, k)
		require.Equal(t, first.Target, d.Target)
		require.Equal(t, packet.ReasonCopy, d.Reason)
	}
	require.Empty(t, opening.ContestedFlows())
}

// Guards against contested flows that use memory for good.
func TestContestedFlowsAreForgotten(t *testing.T) {
	_, adopting := twoHosts(2)
	flow := packet.ContestedFlow{Flow: packet.Flow{Client: clientAddress(1), Service: serviceAddress(0)}, Target: 2, Sequence: 2, Opened: time.Second}
	adopting.AddContestedFlow(flow)
	adopting.Sweep(2 * time.Minute)
	require.Equal(t, packet.TargetKey(1), adopting.Decide(2*time.Minute, data(1, packet.TargetKey(1).Tag(), 52)).Target)
}

// opening is a flow whose opening went through one host, to one target or more.
type opening struct {
	host    int
	sent    []packet.TargetKey
	own     packet.TargetKey
	opened  time.Duration
	answers []uint32
	next    uint32
}

// Guards against a packet of an open flow that reaches another target than its own, whichever of
// the targets that got its opening answered, which answer was lost or came late, and through
// whichever host the packet goes once the news of the flow has arrived there.
func TestContestedFlowsStayAtTheirTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		hosts := make([]*packet.Plane, 3)
		var targets []packet.Target
		for key := range 5 {
			targets = append(targets, packet.Target{Key: packet.TargetKey(key + 1), Service: "s", DataCentre: "a", Slots: 3})
		}
		routes := []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
		for i := range hosts {
			hosts[i] = packet.NewPlane(rand.New(rand.NewPCG(seed, uint64(i))))
			hosts[i].SetView(packet.NewView("a", routes, targets, packet.WithHosts(3, 3, 3), packet.WithCompleteTargets(true)))
		}
		now, flows := time.Duration(0), []*opening{}
		for client := range rapid.IntRange(1, 8).Draw(t, "flows") {
			f := &opening{host: rapid.IntRange(0, 2).Draw(t, "host"), next: 2}
			for copies := range uint32(rapid.IntRange(1, 3).Draw(t, "packets")) {
				d := hosts[f.host].Decide(now, syn(client, copies))
				require.Equal(t, packet.Forward, d.Action)
				f.sent = append(f.sent, d.Target)
				now += 200 * time.Millisecond
			}
			// Any of the targets may be the one whose answer arrives first.
			f.own, f.opened = rapid.SampledFrom(f.sent).Draw(t, "own"), now
			hosts[f.host].Decide(now, data(client, f.own.Tag(), f.next))
			for _, news := range hosts[f.host].ContestedFlows() {
				for i, h := range hosts {
					if i != f.host {
						h.AddContestedFlow(news)
					}
				}
			}
			for _, key := range f.sent {
				f.answers = append(f.answers, key.Tag())
			}
			flows = append(flows, f)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond
			client := rapid.IntRange(0, len(flows)-1).Draw(t, "client")
			f := flows[client]
			if now-f.opened > 9*time.Second {
				// The targets have given up.
				continue
			}
			f.next += 50
			tag := rapid.SampledFrom(f.answers).Draw(t, "tag")
			d := hosts[rapid.IntRange(0, 2).Draw(t, "through")].Decide(now, data(client, tag, f.next))
			require.Equal(t, packet.Forward, d.Action)
			require.Equal(t, f.own, d.Target)
		}
	})
}
