package packet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
)

// unevenFleet is a host with targets that take so many times as long as the first one for a
// request. Clients arrive at 40 a second, one request each, of 25 ms in the mean and seven times
// as long in 3 of 100.
type unevenFleet struct {
	plane  *packet.Plane
	random *rand.Rand
	slow   []float64
	now    time.Duration
	// reject is a target that answers in 2 ms, or zero.
	reject  packet.TargetKey
	clients int
	later   []func(now time.Duration) bool
	taken   []packet.TargetKey
}

func newUnevenFleet(learned bool, seed uint64, slow ...float64) *unevenFleet {
	f := &unevenFleet{
		plane: packet.NewPlane(rand.New(rand.NewPCG(seed, 1)), packet.WithLearnedCosts(learned)), random: rand.New(rand.NewPCG(seed, 2)), slow: slow,
	}
	f.publish(1)
	return f
}

// publish shows targets that started at a time.
func (f *unevenFleet) publish(born int64) {
	var targets []packet.Target
	for i := range f.slow {
		targets = append(targets, packet.Target{
			Key: packet.TargetKey(i + 1), Name: string(rune('a' + i)), Service: "s", DataCentre: "a", Slots: 2, StartedAtMillis: born,
		})
	}
	routes := []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
	f.plane.SetView(packet.NewView("a", routes, targets, packet.WithHosts(9, 9, 9), packet.WithCompleteTargets(true)))
}

func (f *unevenFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 25 * time.Millisecond {
		f.later = slices.DeleteFunc(f.later, func(due func(time.Duration) bool) bool { return due(f.now) })
		if f.now%(250*time.Millisecond) == 0 {
			f.plane.Sweep(f.now)
		}
		f.clients++
		flow := packet.Flow{Client: clientAddress(f.clients), Service: serviceAddress(0)}
		d := f.plane.Decide(f.now, &packet.Packet{Flow: flow, SYN: true, Sequence: 1})
		f.plane.Decide(f.now, &packet.Packet{Flow: flow, Tag: d.Tag, Sequence: 2, Acknowledgement: 9, Length: 5})
		f.taken = append(f.taken, d.Target)
		work := 25 * math.Exp(0.5*f.random.NormFloat64()) * f.slow[d.Target-1]
		if f.random.Float64() < 0.03 {
			work *= 7
		}
		if d.Target == f.reject {
			work = 2
		}
		answered := f.now + time.Duration(work*float64(time.Millisecond))
		f.later = append(f.later, func(now time.Duration) bool {
			if answered > now+25*time.Millisecond {
				return false
			}
			f.plane.Decide(answered, &packet.Packet{Flow: flow, Tag: d.Tag, Sequence: 7, Acknowledgement: 10, FIN: true})
			return true
		})
	}
}

// share returns the part of the last flows that targets took.
func (f *unevenFleet) share(last int, targets ...packet.TargetKey) float64 {
	count := 0
	for _, t := range f.taken[len(f.taken)-last:] {
		if slices.Contains(targets, t) {
			count++
		}
	}
	return float64(count) / float64(last)
}

var (
	even   = []float64{1, 1, 1, 1, 1, 1, 1, 1, 1}
	uneven = []float64{1.67, 1, 0.625, 1.67, 1, 0.625, 1.67, 1, 0.625}
)

// Load: targets at 0.6, 1 and 1.6 times the speed. Guards against slow ones that take a third of
// the requests.
func TestFasterTargetsTakeMoreFlows(t *testing.T) {
	f := newUnevenFleet(true, 1, uneven...)
	f.run(40 * time.Second)
	require.Greater(t, f.share(400, 3, 6, 9), 0.55)
	require.Less(t, f.share(400, 1, 4, 7), 0.15)
	changes := f.plane.SpeedChanges()
	require.NotEmpty(t, changes)
	require.Equal(t, "s", changes[0].Service)
	faster, _ := f.plane.UnevenTargets()
	require.Equal(t, 3, faster)
}

// Load: targets of one speed whose requests differ. Guards against chance that is taken for a
// difference: every flow goes where it went before costs were learned.
func TestEvenTargetsAreServedAsBefore(t *testing.T) {
	for seed := range uint64(5) {
		before, learned := newUnevenFleet(false, seed, even...), newUnevenFleet(true, seed, even...)
		before.run(30 * time.Second)
		learned.run(30 * time.Second)
		require.Equal(t, before.taken, learned.taken, seed)
	}
}

// Failure: a target rejects its requests at once. Guards against one that passes for the fastest
// and draws the flows of all.
func TestRejectingTargetIsNotTheFastest(t *testing.T) {
	f := newUnevenFleet(true, 3, uneven...)
	f.run(20 * time.Second)
	f.reject = 2
	f.run(20 * time.Second)
	require.Less(t, f.share(400, 2), 0.2)
}

// Guards against what was learned of a target's former life, or comes from a host that tells
// nonsense.
func TestHeardSpeeds(t *testing.T) {
	f := newUnevenFleet(true, 4, even...)
	fact := func(target packet.TargetKey, slowness, weight float64) packet.SpeedFact {
		return packet.SpeedFact{Tag: target.Tag(), Life: 1, Slowness: slowness, Weight: weight}
	}
	speeds := func() (list []float64) {
		f.now += time.Second
		f.plane.Sweep(f.now)
		for _, s := range f.plane.Status(f.now) {
			list = append(list, s.Speed)
		}
		return list
	}
	require.Equal(t, 6, f.plane.HearSpeeds(f.now, []packet.SpeedFact{
		fact(1, 0.5, 30), fact(2, 0, 30), fact(3, -0.5, 30), fact(4, 0.5, 30), fact(5, 0, 30), fact(6, -0.5, 30),
	}))
	learned := speeds()
	require.Less(t, learned[0], 0.7)
	require.InDelta(t, 1, learned[1], 0.05)
	require.Greater(t, learned[2], 1.4)
	require.Equal(t, 1.0, learned[8], "nothing is known")

	former := fact(1, 2, 30)
	former.Life = 0
	require.Zero(t, f.plane.HearSpeeds(f.now, []packet.SpeedFact{
		former, fact(99, 2, 30), fact(2, math.NaN(), 30), fact(3, 2, math.NaN()), fact(4, 2, -1),
	}))
	require.InDeltaSlice(t, learned, speeds(), 0.05)

	f.publish(2)
	require.Equal(t, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, speeds())
	require.Empty(t, f.plane.SpeedFacts(f.now, nil, 9))
}

// Guards against what was heard that is told as the host's own, and against a message in which
// some targets never come.
func TestOnlyOwnSpeedsAreTold(t *testing.T) {
	f := newUnevenFleet(true, 5, even...)
	f.plane.HearSpeeds(0, []packet.SpeedFact{{Tag: packet.TargetKey(1).Tag(), Life: 1, Slowness: 1, Weight: 20}})
	require.Empty(t, f.plane.SpeedFacts(0, nil, 9))
	f.run(20 * time.Second)
	told := map[uint32]bool{}
	for range 3 {
		facts := f.plane.SpeedFacts(f.now, nil, 3)
		require.Len(t, facts, 3)
		for _, s := range facts {
			told[s.Tag] = true
		}
	}
	require.Len(t, told, 9)
	require.Empty(t, newUnevenFleet(false, 5, even...).plane.SpeedFacts(0, nil, 9))
}

// Guards against a refusal while another service of the route takes flows, and against the use
// of one that the route gives no weight.
func TestRouteGoesElsewhereWhereAServiceHasNoTarget(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	show := func(weight uint32, services ...string) {
		var targets []packet.Target
		for i, s := range services {
			targets = append(targets, packet.Target{Key: packet.TargetKey(i + 1), Service: s, DataCentre: "a", Slots: 2})
		}
		plane.SetView(packet.NewView("a", []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{
			{Service: "major", Weight: 90}, {Service: "minor", Weight: weight},
		}}}, targets, packet.WithCompleteTargets(true)))
	}
	clients := 0
	open := func() packet.Decision {
		clients++
		return plane.Decide(0, &packet.Packet{Flow: packet.Flow{Client: clientAddress(clients), Service: serviceAddress(0)}, SYN: true, Sequence: 1})
	}
	show(10, "minor")
	reasons := map[packet.Reason]int{}
	for range 200 {
		d := open()
		require.Equal(t, packet.Forward, d.Action)
		reasons[d.Reason]++
	}
	require.InDelta(t, 180, reasons[packet.ReasonPlacedElsewhere], 20)
	show(0, "minor")
	require.Equal(t, packet.ReasonNoTarget, open().Reason)
	show(10, "none")
	require.Equal(t, packet.ReasonNoTarget, open().Reason)
}

// Load: one of two services is full, so that its requests wait for more than a slot, while the
// other one idles. Guards against requests that wait there, and against shares that change while
// both have room.
func TestRouteGoesElsewhereWhereAServiceIsFull(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)), packet.WithLearnedCosts(true))
	var targets []packet.Target
	for i := range 12 {
		service := "minor"
		if i < 2 {
			service = "major"
		}
		targets = append(targets, packet.Target{Key: packet.TargetKey(i + 1), Service: service, DataCentre: "a", Slots: 2})
	}
	plane.SetView(packet.NewView("a", []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{
		{Service: "major", Weight: 90}, {Service: "minor", Weight: 10},
	}}}, targets, packet.WithCompleteTargets(true)))
	// No request is answered: eight in progress are twice the slots of the major service.
	elsewhere := 0
	for i := range 40 {
		now := time.Duration(i) * 50 * time.Millisecond
		d := plane.Decide(now, &packet.Packet{Flow: packet.Flow{Client: clientAddress(i), Service: serviceAddress(0)}, SYN: true, Sequence: 1})
		require.Equal(t, packet.Forward, d.Action)
		if d.Reason == packet.ReasonPlacedElsewhere {
			elsewhere++
			require.Greater(t, d.Target, packet.TargetKey(2))
		}
		if i < 6 {
			require.Zero(t, elsewhere)
		}
	}
	require.Greater(t, elsewhere, 5)
}

// Guards against an allocation for each answered request from which the plane learns.
func TestLearningDoesNotAllocate(t *testing.T) {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)), packet.WithLearnedCosts(true))
	plane.SetView(fleet(2, 18))
	turn := requestTurns(plane, 1)
	require.Zero(t, testing.AllocsPerRun(1000, func() { turn(0) }))
}

// requestTurns opens flows and returns a function that plays a request of one of them: its
// packet and the acknowledgement of its response.
func requestTurns(plane *packet.Plane, flows int) func(flow int) {
	packets := make([]packet.Packet, flows)
	for i := range packets {
		packets[i] = packet.Packet{Flow: packet.Flow{Client: clientAddress(i), Service: serviceAddress(i % 2)}, SYN: true}
		packets[i].Tag = plane.Decide(0, &packets[i]).Tag
		packets[i].SYN = false
	}
	now := time.Duration(0)
	return func(flow int) {
		k := &packets[flow]
		k.Sequence += 100
		k.Length = 100
		plane.Decide(now, k)
		now += 20 * time.Millisecond
		k.Acknowledgement++
		k.Length = 0
		plane.Decide(now, k)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, learned := range []bool{false, true} {
		b.Run(fmt.Sprintf("learned=%t", learned), func(b *testing.B) {
			plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)), packet.WithLearnedCosts(learned))
			plane.SetView(fleet(2, 150))
			turn := requestTurns(plane, 300)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				turn(i % 300)
			}
		})
	}
}
