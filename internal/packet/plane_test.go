package packet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func sorted(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }

func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

func clientAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 22), byte(i >> 14)}), uint16(10_000+i&0x3fff))
}

// fleet returns a view with equal numbers of targets for each service, spread
// over the data centres a, b and c.
func fleet(services, targets int) *packet.View {
	var routes []packet.Route
	for i := range services {
		routes = append(routes, packet.Route{
			Address: serviceAddress(i), Services: []packet.ServiceShare{{Service: fmt.Sprint("s", i), Weight: 1}},
		})
	}
	list := make([]packet.Target, targets)
	for i := range list {
		list[i] = packet.Target{
			Key: packet.TargetKey(0x1000 + i), Service: fmt.Sprint("s", i%services), DataCentre: string(rune('a' + i/services%3)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80), Slots: 1000,
		}
	}
	return packet.NewView("a", routes, list, packet.WithHosts(3, 3, 3), packet.WithCompleteTargets(true))
}

// Guards against a packet of an open flow that reaches another target than the
// one that holds the flow, through the host that opened it or another one, and
// against a new flow at a target that doesn't take it.
func TestFlowStaysAtItsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		hosts := make([]*packet.Plane, 3)
		for i := range hosts {
			hosts[i] = packet.NewPlane(rand.New(rand.NewPCG(seed, uint64(i))))
		}
		targets := make([]packet.Target, rapid.IntRange(1, 6).Draw(t, "targets"))
		for i := range targets {
			targets[i] = packet.Target{
				Key: packet.TargetKey(i + 1), Service: fmt.Sprint("s", i%2), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"), Slots: 1,
			}
		}
		routes := []packet.Route{
			{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s0", Weight: 1}}},
			{Address: serviceAddress(1), Services: []packet.ServiceShare{{Service: "s1", Weight: 1}}},
		}
		publish := func() {
			v := packet.NewView("a", routes, slices.Clone(targets), packet.WithHosts(2, 2, 2))
			for _, h := range hosts {
				h.SetView(v)
			}
		}
		publish()
		open := map[int]packet.TargetKey{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			client := rapid.IntRange(0, 5).Draw(t, "client")
			service := client % 2
			k := packet.Packet{Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(service)}, Sequence: 7}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
				targets[i].State = rapid.SampledFrom([]packet.TargetState{packet.Accepting, packet.Draining, packet.Departed}).Draw(t, "state")
				publish()
				continue
			case 1:
				if _, found := open[client]; found {
					continue
				}
				k.SYN = true
				d := host.Decide(now, &k)
				accepting := slices.ContainsFunc(targets, func(t packet.Target) bool {
					return t.State == packet.Accepting && t.Service == fmt.Sprint("s", service)
				})
				if d.Action != packet.Forward {
					require.False(t, accepting, "refused although a target accepts flows")
					continue
				}
				if d.Reason == packet.ReasonPlaced {
					target := targets[d.Target-1]
					require.Equal(t, packet.Accepting, target.State)
					require.Equal(t, fmt.Sprint("s", service), target.Service)
				}
				open[client] = d.Target
			default:
				target, found := open[client]
				if !found {
					continue
				}
				k.Sequence, k.Tag = 8, target.Tag()
				k.Length = rapid.IntRange(0, 100).Draw(t, "length")
				k.Acknowledgement = uint32(rapid.IntRange(1, 100).Draw(t, "ack"))
				d := host.Decide(now, &k)
				require.Equal(t, packet.Forward, d.Action)
				require.Equal(t, target, d.Target)
			}
		}
	})
}

// Guards against an allocation for each packet of an open flow.
func TestOpenFlowDoesNotAllocate(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	plane.SetView(fleet(2, 18))
	k := packet.Packet{Flow: packet.Flow{Client: clientAddress(1), Service: serviceAddress(1)}, SYN: true, Sequence: 1}
	d := plane.Decide(0, &k)
	k = packet.Packet{Flow: k.Flow, Sequence: 2, Acknowledgement: 9, Tag: d.Tag, Length: 100}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		k.Sequence += 100
		k.Acknowledgement++
		plane.Decide(time.Second, &k)
	}))
}

// Guards against memory and counts that grow with flows that ended: after all
// flows are idle, targets count none, so the next flows spread evenly.
func TestIdleFlowsAreForgotten(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	plane.SetView(fleet(1, 6))
	for i := range 600 {
		k := packet.Packet{Flow: packet.Flow{Client: clientAddress(i), Service: serviceAddress(0)}, SYN: true, Sequence: 1}
		d := plane.Decide(0, &k)
		if i%3 == 0 {
			continue
		}
		k = packet.Packet{Flow: k.Flow, Sequence: 2, Acknowledgement: 9, Tag: d.Tag, Length: 10, FIN: i%3 == 1}
		plane.Decide(time.Millisecond, &k)
	}
	require.Equal(t, 600, plane.FlowCount())
	for range 200 {
		plane.Sweep(2 * time.Minute)
	}
	require.Zero(t, plane.FlowCount())
	counts := map[packet.TargetKey]int{}
	for i := range 60 {
		k := packet.Packet{Flow: packet.Flow{Client: clientAddress(i), Service: serviceAddress(0)}, SYN: true, Sequence: 1}
		counts[plane.Decide(3*time.Minute, &k).Target]++
	}
	// Two of the six targets are in the host's data centre and take all.
	require.Len(t, counts, 2)
	for _, n := range counts {
		require.Equal(t, 30, n)
	}
}

// Guards against an entry or packet that stops the plane: any bytes of a header
// give a decision.
func FuzzDecide(f *testing.F) {
	f.Add(uint32(1), uint32(2), uint32(3), uint16(10), byte(1), byte(0))
	f.Add(uint32(0), uint32(0), uint32(0), uint16(0), byte(255), byte(9))
	f.Fuzz(func(t *testing.T, tag, sequence, acknowledgement uint32, length uint16, flags, service byte) {
		plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
		k := packet.Packet{
			Flow: packet.Flow{Client: clientAddress(1), Service: serviceAddress(int(service))},
			Tag:  tag, Sequence: sequence, Acknowledgement: acknowledgement, Length: int(length),
			SYN: flags&1 != 0, FIN: flags&4 != 0, RST: flags&8 != 0,
		}
		require.Equal(t, packet.Drop, plane.Decide(0, &k).Action)
		plane.SetView(fleet(2, 18))
		for i := range 3 {
			d := plane.Decide(time.Duration(i)*time.Second, &k)
			require.Equal(t, d.Action == packet.Forward, d.Target != 0)
			if d.Action == packet.Forward {
				require.Equal(t, d.Target.Tag(), d.Tag)
			}
			k.Sequence++
		}
	})
}

func BenchmarkOpenFlow(b *testing.B) {
	for _, c := range []struct {
		flows   int
		learned bool
	}{{300, false}, {11_000, false}, {300, true}, {11_000, true}} {
		flows := c.flows
		b.Run(fmt.Sprintf("%d/learned=%t", flows, c.learned), func(b *testing.B) {
			plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)), packet.WithLearnedCosts(c.learned))
			plane.SetView(fleet(2, 150))
			packets := make([]packet.Packet, flows)
			for i := range packets {
				k := packet.Packet{Flow: packet.Flow{Client: clientAddress(i), Service: serviceAddress(i % 2)}, SYN: true}
				d := plane.Decide(0, &k)
				packets[i] = packet.Packet{Flow: k.Flow, Tag: d.Tag, Length: 100}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := &packets[i%flows]
				k.Sequence += 100
				k.Acknowledgement++
				plane.Decide(time.Second, k)
			}
		})
	}
}

func BenchmarkNewFlow(b *testing.B) {
	for _, size := range []struct {
		services, targets int
		learned           bool
	}{{2, 14, false}, {2, 150, false}, {800, 11_000, false}, {2, 14, true}, {2, 150, true}, {800, 11_000, true}} {
		b.Run(fmt.Sprintf("%d/learned=%t", size.targets, size.learned), func(b *testing.B) {
			plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)), packet.WithLearnedCosts(size.learned))
			plane.SetView(fleet(size.services, size.targets))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := packet.Packet{
					Flow: packet.Flow{Client: clientAddress(i % (1 << 20)), Service: serviceAddress(i % size.services)},
					SYN:  true, Sequence: uint32(i),
				}
				plane.Decide(time.Duration(i)*time.Microsecond, &k)
			}
		})
	}
}

func BenchmarkSetView(b *testing.B) {
	for _, size := range []struct{ services, targets int }{{2, 14}, {2, 150}, {800, 11_000}} {
		b.Run(fmt.Sprint(size.targets), func(b *testing.B) {
			plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
			views := [2]*packet.View{fleet(size.services, size.targets), fleet(size.services, size.targets)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				plane.SetView(views[i%2])
			}
		})
	}
}

// Guards against a change of belief that is not reported, or reported with a
// cause that it does not have: engineers read why a target got no flows.
func TestBeliefsAreReported(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	targets := []packet.Target{{Key: 1, Name: "one", Service: "s", DataCentre: "a", Slots: 9}}
	routes := []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
	plane.SetView(packet.NewView("a", routes, targets, packet.WithCompleteTargets(true)))
	open := func(client int, at time.Duration, copies uint32) packet.Decision {
		return plane.Decide(at, &packet.Packet{
			Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, SYN: true, Sequence: 1, Acknowledgement: copies,
		})
	}
	acknowledge := func(client int, at time.Duration, tag uint32) {
		plane.Decide(at, &packet.Packet{
			Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, Tag: tag, Sequence: 2, Acknowledgement: 9,
		})
	}
	open(1, 0, 0)
	require.Empty(t, plane.HealthChanges())
	tag := open(1, 200*time.Millisecond, 1).Tag
	require.Equal(t, []packet.HealthChange{{Target: "one", DataCentre: "a", Silent: true, Retransmissions: 1, Unanswered: true}}, plane.HealthChanges())
	acknowledge(1, 300*time.Millisecond, tag)
	require.Equal(t, []packet.HealthChange{{Target: "one", DataCentre: "a"}}, plane.HealthChanges())
	open(2, 5*time.Second, 0)
	open(2, 5200*time.Millisecond, 1)
	require.Len(t, plane.HealthChanges(), 1)
	// After the retry the client's packet shows nothing of the target.
	open(3, 9*time.Second, 0)
	plane.Decide(9050*time.Millisecond, &packet.Packet{
		Flow: packet.Flow{Client: clientAddress(1), Service: serviceAddress(0)}, Tag: tag, Sequence: 2, Acknowledgement: 9,
	})
	require.Equal(t, []packet.HealthChange{{Target: "one", DataCentre: "a", Retried: true}}, plane.HealthChanges())
	open(3, 9200*time.Millisecond, 1)
	require.Len(t, plane.HealthChanges(), 1)
}

// Guards against a data centre that new flows avoid without a line that says so,
// and against one that is given up because a single target of it died.
func TestBeliefsAboutDataCentresAreReported(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	var targets []packet.Target
	for key := range 3 {
		targets = append(targets, packet.Target{Key: packet.TargetKey(key + 1), Name: fmt.Sprint(key + 1), Service: "s", DataCentre: "b", Slots: 9})
	}
	routes := []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
	plane.SetView(packet.NewView("a", routes, targets, packet.WithCompleteTargets(true)))
	client := 0
	lose := func(at time.Duration) packet.Decision {
		client++
		k := packet.Packet{Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, SYN: true, Sequence: 1}
		d := plane.Decide(at, &k)
		k.Acknowledgement = 1
		plane.Decide(at+200*time.Millisecond, &k)
		return d
	}
	beliefs := func(at time.Duration) []packet.HealthChange {
		plane.Sweep(at)
		var list []packet.HealthChange
		for _, b := range plane.HealthChanges() {
			if b.Target == "" {
				list = append(list, b)
			}
		}
		return list
	}
	lose(0)
	require.Empty(t, beliefs(200*time.Millisecond))
	d := lose(300 * time.Millisecond)
	require.Equal(t, []packet.HealthChange{{DataCentre: "b", Silent: true, Retransmissions: 2, Silence: 300 * time.Millisecond}}, beliefs(500*time.Millisecond))
	plane.Decide(600*time.Millisecond, &packet.Packet{
		Flow: packet.Flow{Client: clientAddress(client), Service: serviceAddress(0)}, Tag: d.Tag, Sequence: 2, Acknowledgement: 9,
	})
	require.Equal(t, []packet.HealthChange{{DataCentre: "b", Silence: 400 * time.Millisecond}}, beliefs(600*time.Millisecond))
}
