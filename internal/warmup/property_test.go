package warmup_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"oriolevalve/internal/packet"
	"oriolevalve/internal/warmup"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// With a fixed seed every run executes the same property tests.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// warmUpTime is the warm-up of the target of the property test.
const warmUpTime = 4 * time.Second

var service = netip.MustParseAddrPort("198.18.0.1:443")

// process is a process of a host: its claims, its plane and what it knows of the target.
type process struct {
	holder string
	claims *warmup.Claims
	plane  *packet.Plane
	known  warmup.Life
	end    time.Duration
}

// fleet is a model of hosts, a store and a target that starts again and again.
type fleet struct {
	t       *rapid.T
	now     time.Duration
	bound   warmup.Bound
	rate    float64
	sole    bool
	hosts   []*process
	started int
	store   map[string]string
	late    []func()
	// life is that of the target, warm the time at which its warm-up ends.
	life warmup.Life
	warm time.Duration
	// faulted is set if a claim or the memory of a plane was lost in this life.
	faulted  bool
	openings []time.Duration
	clients  int
}

func (f *fleet) newPlane() *packet.Plane { return packet.NewPlane(rand.New(rand.NewPCG(1, 2))) }

func (f *fleet) newProcess() *process {
	f.started++
	return &process{holder: fmt.Sprint("process-", f.started), claims: warmup.NewClaims(), plane: f.newPlane()}
}

// restartTarget begins a life of the target. Its entry had lapsed, so no host sends it flows until
// it learns of the new one.
func (f *fleet) restartTarget() {
	f.life, f.warm, f.faulted = warmup.Life{Target: "i-1", Born: f.life.Born + 1}, f.now+warmUpTime, false
	f.openings = nil
	for _, h := range f.hosts {
		h.known = warmup.Life{}
		f.show(h)
	}
}

// show publishes what a host knows.
func (f *fleet) show(h *process) {
	var targets []packet.Target
	if !f.sole {
		targets = append(targets, packet.Target{Key: 2, Name: "i-2", Service: "s", DataCentre: "a", Slots: 4, StartedAtMillis: 1})
	}
	if h.known.Target != "" {
		cold := packet.Target{Key: 1, Name: h.known.Target, Service: "s", DataCentre: "a", Slots: 4, StartedAtMillis: h.known.Born, WarmUpEnd: h.end}
		if h.claims.Holds(h.known) {
			cold.WarmUpAllowance = f.bound.Allowance(f.rate)
		}
		targets = append(targets, cold)
	}
	h.plane.SetView(packet.NewView("a", []packet.Route{{
		Address: service, Services: []packet.ServiceShare{{Service: "s", Weight: 1}},
	}}, targets, packet.WithGuardedWarmUps(true)))
}

// call carries out a call of a host that is due. The store is linearizable; answers get lost, and
// calls are carried out late.
func (f *fleet) call(h *process) {
	call, due := h.claims.Next(f.now)
	if !due {
		f.show(h)
		return
	}
	name := call.Life.Name()
	perform := func() warmup.Outcome {
		holder, found := f.store[name]
		switch {
		case call.Operation == warmup.Delete:
			delete(f.store, name)
		case call.Operation == warmup.Create && !found:
			f.store[name] = h.holder
		case !found:
			return warmup.Missing
		case call.Operation == warmup.Create || holder != h.holder:
			return warmup.Taken
		}
		return warmup.Done
	}
	outcome := warmup.Lost
	switch rapid.IntRange(0, 5).Draw(f.t, "fate") {
	case 0:
		outcome = warmup.Refused
	case 1:
		perform()
	case 2:
		f.late = append(f.late, func() { perform() })
	default:
		outcome = perform()
	}
	h.claims.Done(call, outcome, f.now)
	f.show(h)
	holders := 0
	for _, other := range f.hosts {
		if other.claims.Holds(f.life) {
			holders++
		}
	}
	require.True(f.t, holders <= 1 || f.faulted || f.now >= f.warm, "%d hosts hold the warm-up", holders)
}

// open sends opening packets of new flows, and copies of them, through a host.
func (f *fleet) open(h *process, flows int) {
	first := f.clients
	f.clients += flows
	for number := range uint32(2) {
		for client := first; client < f.clients; client++ {
			d := h.plane.Decide(f.now, &packet.Packet{
				Flow:            packet.Flow{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(client >> 8), byte(client)}), 1000), Service: service},
				Acknowledgement: number, SYN: true,
			})
			if d.Action == packet.Forward && d.Target == 1 && f.now < f.warm {
				f.openings = append(f.openings, f.now)
			}
		}
	}
}

// check requires that no second has more openings than the bound.
func (f *fleet) check() {
	first := 0
	for last, at := range f.openings {
		for at-f.openings[first] >= time.Second {
			first++
		}
		require.LessOrEqual(f.t, float64(last-first+1), f.rate*f.bound.Overshoot+f.bound.Slack, "a second from %v on", f.openings[first])
	}
}

// Guards against a cold target that gets more new flows in a second than it bears, summed over all
// hosts: any host tries to claim the warm-up at any time, as with memberships that disagree, in
// parts of the fleet and at a start of all; answers are lost, calls are carried out late, processes
// and the target start again, the store loses claims, a plane loses its memory.
func TestColdTargetGetsNoMoreThanItsBound(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			t: t, bound: warmup.Bound{Overshoot: 1.5, Slack: float64(rapid.IntRange(0, 8).Draw(t, "slack"))},
			rate: float64(rapid.SampledFrom([]int{0, 0, 3, 10, 40}).Draw(t, "rate")), sole: rapid.Bool().Draw(t, "sole"), store: map[string]string{},
		}
		for range rapid.IntRange(1, 6).Draw(t, "hosts") {
			f.hosts = append(f.hosts, f.newProcess())
		}
		f.restartTarget()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
			h := f.hosts[i]
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0, 1, 2, 3:
				f.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
				h.plane.Sweep(f.now)
			case 4, 5, 6:
				// The host hears late of the entry, whose warm-up then seems to end later.
				h.known, h.end = f.life, f.warm+time.Duration(rapid.IntRange(0, 800).Draw(t, "delay"))*time.Millisecond
				h.claims.Want(h.known, h.end)
				f.show(h)
			case 7, 8, 9, 10:
				f.call(h)
			case 11:
				for _, perform := range f.late {
					perform()
				}
				f.late = nil
			case 12:
				f.hosts[i] = f.newProcess()
				f.show(f.hosts[i])
			case 13:
				if rapid.IntRange(0, 3).Draw(t, "target") == 0 {
					used += len(f.openings)
					f.check()
					f.restartTarget()
				}
			case 14:
				if f.faulted {
					break
				}
				f.faulted = true
				if rapid.Bool().Draw(t, "restored") {
					delete(f.store, f.life.Name())
				} else {
					h.plane = f.newPlane()
					f.show(h)
				}
			default:
				f.open(h, rapid.IntRange(1, 60).Draw(t, "flows"))
			}
		}
		used += len(f.openings)
		f.check()
	})
	require.Greater(t, used, 1000, "cold targets got flows in the model")
}
