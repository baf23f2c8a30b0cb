package packet_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// pausedFleet plays clients, targets and hosts in simulated time. A paused host reads what came
// meanwhile when it goes on; the fabric takes it out of rotation after two missed questions.
type pausedFleet struct {
	now     time.Duration
	events  []pausedEvent
	hosts   []*pausedHost
	targets map[packet.TargetKey]map[int]*halfOpen
	clients []*pausedClient
	// exact is set if hosts know how long packets waited, and not only a bound.
	exact bool
	// disturbed is the end of the last pause.
	disturbed time.Duration
	strays    int
}

type pausedEvent struct {
	at   time.Duration
	play func()
}

type pausedHost struct {
	plane                 *packet.Plane
	paused, away, stopped bool
	since                 time.Duration
	misses                int
	buffer                []packet.Packet
	arrived               []time.Duration
}

// halfOpen is a target's end of a flow: it repeats its answer until the flow opens there.
type halfOpen struct {
	tag  uint32
	open bool
}

type pausedClient struct {
	own       packet.TargetKey
	tag, next uint32
}

func (f *pausedFleet) after(d time.Duration, play func()) {
	e := pausedEvent{f.now + d, play}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b pausedEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	f.events = slices.Insert(f.events, i, e)
}

func (f *pausedFleet) play() {
	for len(f.events) > 0 {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.play()
	}
}

// send passes a packet to the host in rotation with the highest rank for its client.
func (f *pausedFleet) send(client int, k *packet.Packet) {
	var best *pausedHost
	most := uint64(0)
	for i, h := range f.hosts {
		if rank := rand.New(rand.NewPCG(uint64(client), uint64(i))).Uint64(); !h.away && (best == nil || rank > most) {
			best, most = h, rank
		}
	}
	f.after(time.Millisecond, func() {
		best.buffer, best.arrived = append(best.buffer, *k), append(best.arrived, f.now)
		if !best.paused {
			f.read(best)
		}
	})
}

// read decides on what waits at a host.
func (f *pausedFleet) read(h *pausedHost) {
	buffer, arrived := h.buffer, h.arrived
	h.buffer, h.arrived = nil, nil
	for i := range buffer {
		k := &buffer[i]
		k.AfterPause = arrived[i] < f.now
		if k.AfterPause {
			k.Waited = f.now - h.since
			if f.exact {
				k.Waited = f.now - arrived[i]
			}
		}
		d := h.plane.Decide(f.now, k)
		for _, news := range h.plane.ContestedFlows() {
			f.after(500*time.Millisecond, func() {
				for _, o := range f.hosts {
					if o != h {
						o.plane.AddContestedFlow(news)
					}
				}
			})
		}
		if d.Action == packet.Forward {
			f.after(time.Millisecond, func() { f.take(d.Target, d.Tag, k) })
		}
	}
}

// take handles a packet at a target.
func (f *pausedFleet) take(key packet.TargetKey, tag uint32, k *packet.Packet) {
	client := int(k.Flow.Client.Port()) - 10_000
	flow := f.targets[key][client]
	switch {
	case k.SYN && flow == nil:
		flow = &halfOpen{}
		f.targets[key][client] = flow
		for at, repeat := time.Duration(0), 200*time.Millisecond; at < 9400*time.Millisecond; at, repeat = at+repeat, min(2*repeat, 1600*time.Millisecond) {
			f.after(at+2*time.Millisecond, func() {
				if !flow.open {
					f.answer(client, key, flow.tag)
				}
			})
		}
		flow.tag = tag
	case k.SYN && !flow.open:
		flow.tag = tag
		f.after(2*time.Millisecond, func() { f.answer(client, key, flow.tag) })
	case k.SYN:
	case flow == nil || f.clients[client].own != key:
		if f.now-f.disturbed > 4*time.Second {
			f.strays++
		}
	default:
		flow.open, flow.tag = true, tag
		f.after(2*time.Millisecond, func() { f.clients[client].tag = flow.tag })
	}
}

// answer handles a target's answer to an opening at its client.
func (f *pausedFleet) answer(client int, key packet.TargetKey, tag uint32) {
	c := f.clients[client]
	c.tag = tag
	if c.own == 0 {
		c.own = key
		f.request(client)
	}
}

// request sends a request on an open flow.
func (f *pausedFleet) request(client int) {
	c := f.clients[client]
	f.send(client, data(client, c.tag, c.next))
	c.next += 50
}

func (f *pausedFleet) open(client int) {
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		f.after(at, func() {
			if f.clients[client].own == 0 {
				f.send(client, syn(client, uint32(copies)))
			}
		})
	}
}

func (f *pausedFleet) pause(h *pausedHost, length time.Duration) {
	h.paused, h.since = true, f.now
	f.after(length, func() {
		h.paused, f.disturbed = false, f.now
		f.read(h)
	})
}

// ask asks the hosts whether they take packets, as the fabric does.
func (f *pausedFleet) ask() {
	for _, h := range f.hosts {
		if !h.paused && !h.stopped {
			h.misses, h.away = 0, false
		} else if h.misses++; h.misses >= 2 {
			h.away = true
		}
	}
}

// Guards against openings that waited while their host was paused and lead to several targets,
// whose repeated answers then mislead the hosts that take the open flows: pauses of any length and
// number, at any rate of new flows, with times of arrival and without.
func TestPausesLeadNoFlowAstray(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &pausedFleet{targets: map[packet.TargetKey]map[int]*halfOpen{}, exact: rapid.Bool().Draw(t, "exact")}
		var targets []packet.Target
		for key := packet.TargetKey(1); key <= 5; key++ {
			targets = append(targets, packet.Target{Key: key, Service: "s", DataCentre: "a", Slots: 3})
			f.targets[key] = map[int]*halfOpen{}
		}
		routes := []packet.Route{{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
		for i := range 3 {
			h := &pausedHost{plane: packet.NewPlane(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), uint64(i))))}
			h.plane.SetView(packet.NewView("a", routes, targets, packet.WithHosts(3, 3, 3), packet.WithCompleteTargets(true)))
			f.hosts = append(f.hosts, h)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "times"), 0))
		interval := time.Duration(rapid.IntRange(4, 40).Draw(t, "interval")) * time.Millisecond
		for client := range int(4 * time.Second / interval) {
			f.clients = append(f.clients, &pausedClient{next: 2})
			f.after(time.Duration(client)*interval, func() { f.open(client) })
			f.after(time.Duration(9500+random.IntN(1500))*time.Millisecond, func() {
				if f.clients[client].own != 0 {
					f.request(client)
				}
			})
		}
		for at, n := time.Duration(0), rapid.IntRange(1, 4).Draw(t, "pauses"); n > 0; n-- {
			at += time.Duration(rapid.IntRange(1, 900).Draw(t, "calm")) * time.Millisecond
			length := time.Duration(rapid.IntRange(20, 1900).Draw(t, "length")) * time.Millisecond
			h := f.hosts[rapid.IntRange(0, 1).Draw(t, "host")]
			f.after(at, func() {
				if !h.paused {
					f.pause(h, length)
				}
			})
			at += length
		}
		for at := time.Duration(0); at < 12*time.Second; at += 250 * time.Millisecond {
			f.after(at+time.Duration(random.IntN(10))*time.Millisecond, func() {
				if at%(500*time.Millisecond) == 0 {
					f.ask()
				}
				for _, h := range f.hosts {
					h.plane.Sweep(f.now)
				}
			})
		}
		// One host is stopped by plan, and others take its flows.
		stopped := f.hosts[rapid.IntRange(0, 2).Draw(t, "stopped")]
		f.after(9*time.Second, func() { stopped.stopped = true })
		f.play()
		require.Zero(t, f.strays, "packets at other targets than their flow's")
	})
}
