//go:build review

package harness

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"oriolevalve/platform/standin"
)

const (
	// firstNumber precedes the numbers of targets, from which their names are made.
	firstNumber = 0x7f3a9000
	// targetsPerNet is the number of targets of a block of loopback addresses.
	targetsPerNet  = 250
	envelopeLength = 8
	// repeatLimit is the number of repeats after which a target gives up.
	repeatLimit = 8
	tick        = 20 * time.Millisecond
	bornMillis  = 1_786_000_000_000
	// answerBytes is the size of an answer's body, as that of a feed: two packets.
	answerBytes   = 2000
	segmentLength = 1200
)

// FlowKey identifies a flow by its client and the service address.
type FlowKey struct{ Client, Service netip.AddrPort }

// Target is a target: it registers itself in the store and answers requests.
type Target struct {
	Name, Service, Zone, Address string
	// Work is the time that a request takes.
	Work    time.Duration
	fleet   *Fleet
	key     uint64
	socket  *net.UDPConn
	mutex   sync.Mutex
	state   string
	beats   int
	flows   map[FlowKey]*targetFlow
	runs    map[string]int
	reached map[FlowKey][]time.Time
	opened  map[FlowKey]bool
	ended   bool
	cut     bool
}

// targetFlow is a flow that a target holds.
type targetFlow struct {
	key            FlowKey
	first          uint32
	echo           uint32
	next, expected uint32
	received       []byte
	unacknowledged int
	opened, closed bool
	// sent holds what the client has not acknowledged.
	sent    []segment
	repeats int
	due     time.Time
	pause   time.Duration
}

// Lose lets the links of a zone to the others lose a share of the targets' packets to clients.
func (f *Fleet) Lose(zone string, share float64) {
	f.mutex.Lock()
	f.lossy, f.loss = zone, share
	f.mutex.Unlock()
	f.Record.Write("loss %s %.3f", zone, share)
}

// lost draws whether a packet of a target in a zone to a client is lost.
func (f *Fleet) lost(zone string, client netip.Addr) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	other := f.clients[client]
	return f.loss > 0 && zone != other && (zone == f.lossy || other == f.lossy) && rand.Float64() < f.loss
}

// StartTarget starts a target at an address that no other one has had.
func (f *Fleet) StartTarget(service, zone string, work time.Duration) (*Target, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.number++
	n := f.number - firstNumber
	address := fmt.Sprintf("127.0.%d.%d:%d", 50+n/targetsPerNet, 1+n%targetsPerNet, f.ports[0])
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		return nil, err
	}
	t := &Target{
		Name: fmt.Sprintf("i-%08x", f.number), Service: service, Zone: zone, Address: address, Work: work, fleet: f, key: f.number, socket: socket,
		state: "ready", flows: map[FlowKey]*targetFlow{}, runs: map[string]int{}, reached: map[FlowKey][]time.Time{}, opened: map[FlowKey]bool{},
	}
	f.targets = append(f.targets, t)
	f.Record.Write("target %s starts service=%s zone=%s address=%s", t.Name, service, zone, address)
	go t.receive()
	go t.repeat()
	return t, t.register()
}

// register writes the target's entry in the store.
func (t *Target) register() error {
	t.mutex.Lock()
	t.beats++
	entry := map[string]any{
		"service": t.Service, "address": t.Address, "zone": t.Zone, "version": "v1", "slots": t.fleet.Slots, "state": t.state, "warmupLeftMs": 0,
		"seq": t.beats, "born": bornMillis,
	}
	t.mutex.Unlock()
	return t.fleet.Store.Put("servers", t.Name, entry)
}

// Retire drains a target and ends it after the time for which a draining target serves.
func (t *Target) Retire() {
	t.mutex.Lock()
	t.state = "draining"
	t.mutex.Unlock()
	t.fleet.Record.Write("target %s drains", t.Name)
	if err := t.register(); err != nil {
		t.fleet.Record.Write("target %s: %v", t.Name, err)
	}
	time.AfterFunc(DrainTime+500*time.Millisecond, func() {
		t.mutex.Lock()
		t.ended = true
		t.mutex.Unlock()
		t.fleet.Record.Write("target %s leaves", t.Name)
		_ = t.socket.Close()
		t.fleet.Store.Delete("servers", t.Name)
	})
}

// Cut partitions the target from all hosts and clients, or ends that. It goes on reporting
// to the store.
func (t *Target) Cut(cut bool) {
	t.mutex.Lock()
	t.cut = cut
	t.mutex.Unlock()
	t.fleet.Record.Write("target %s cut=%v", t.Name, cut)
}

// Alive reports whether the target serves.
func (t *Target) Alive() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.ended
}

// Runs returns how often each request ran.
func (t *Target) Runs() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.runs)
}

// Reached returns the times at which packets of each flow arrived, whether the target was
// the intended one or not.
func (t *Target) Reached() map[FlowKey][]time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.reached)
}

// Opened reports whether the target got the end of a flow's handshake.
func (t *Target) Opened(key FlowKey) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.opened[key]
}

func (t *Target) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < envelopeLength {
			continue
		}
		p, valid := parse(buffer[envelopeLength:n])
		if !valid {
			continue
		}
		intended := binary.BigEndian.Uint64(buffer)
		t.mutex.Lock()
		if !t.cut {
			key := FlowKey{p.from, p.to}
			t.reached[key] = append(t.reached[key], time.Now())
			// A target to which a packet is not sent says nothing.
			if intended == 0 || intended == t.key {
				t.handle(key, &p)
			}
		}
		t.mutex.Unlock()
	}
}

// send sends a packet to the client of a flow.
func (t *Target) send(f *targetFlow, s segment) {
	if t.cut || t.fleet.lost(t.Zone, f.key.Client.Addr()) {
		return
	}
	s.echo, s.from, s.to = f.echo, f.key.Service, f.key.Client
	_, _ = t.socket.WriteToUDPAddrPort(s.bytes(), netip.AddrPortFrom(s.to.Addr(), t.fleet.ports[0]))
}

// keep sends a packet that is repeated until it is acknowledged.
func (t *Target) keep(f *targetFlow, s segment) {
	if len(f.sent) == 0 {
		f.repeats, f.pause, f.due = 0, firstRepeat, time.Now().Add(firstRepeat)
	}
	f.sent = append(f.sent, s)
	f.next += length(&s)
	t.send(f, s)
}

// length returns the sequence numbers that a packet takes.
func length(s *segment) uint32 {
	n := uint32(len(s.data))
	if s.flags&(flagSynchronize|flagEnd) != 0 {
		n++
	}
	return n
}

func (t *Target) handle(key FlowKey, p *segment) {
	f := t.flows[key]
	if p.flags&flagSynchronize != 0 {
		if f == nil || f.first != p.sequence {
			f = &targetFlow{key: key, first: p.sequence, echo: p.echo, next: rand.Uint32(), expected: p.sequence + 1}
			t.flows[key] = f
			t.keep(f, segment{sequence: f.next, ack: f.expected, flags: flagSynchronize | flagAcknowledge})
			return
		}
		if !f.opened {
			f.echo = p.echo
			t.send(f, f.sent[0])
		}
		return
	}
	if p.flags&flagReset != 0 {
		delete(t.flows, key)
		return
	}
	// A packet that acknowledges what another target has sent is of a flow that this one
	// does not hold.
	if f == nil || !f.opened && p.ack != f.next {
		t.send(&targetFlow{key: key, echo: p.echo}, segment{sequence: p.ack, flags: flagReset})
		return
	}
	f.opened, f.echo = true, p.echo
	t.opened[key] = true
	for len(f.sent) > 0 && int32(p.ack-(f.sent[0].sequence+length(&f.sent[0]))) >= 0 {
		f.sent = f.sent[1:]
		f.repeats, f.pause, f.due = 0, firstRepeat, time.Now().Add(firstRepeat)
	}
	if f.closed {
		if p.flags&flagEnd != 0 {
			t.send(f, segment{sequence: f.next, ack: f.expected, flags: flagAcknowledge})
		}
		return
	}
	if len(p.data) > 0 {
		f.unacknowledged++
	}
	if p.sequence == f.expected {
		f.received = append(f.received, p.data...)
		f.expected += length(p)
		if p.flags&flagEnd != 0 {
			f.closed = true
			t.keep(f, segment{sequence: f.next, ack: f.expected, flags: flagEnd | flagAcknowledge})
			return
		}
	}
	if f.unacknowledged >= 2 {
		f.unacknowledged = 0
		t.send(f, segment{sequence: f.next, ack: f.expected, flags: flagAcknowledge})
	}
	for len(f.received) >= 4 {
		n := int(binary.BigEndian.Uint32(f.received))
		if len(f.received) < 4+n {
			break
		}
		message := f.received[4 : 4+n]
		f.received = f.received[4+n:]
		t.run(f, message)
	}
}

func (t *Target) run(f *targetFlow, message []byte) {
	var r standin.Request
	if err := json.Unmarshal(message, &r); err != nil {
		return
	}
	t.runs[r.ID]++
	t.fleet.Record.Write("run %s %s at %s", f.key.Client, r.ID, t.Name)
	data, err := json.Marshal(standin.Answer{ID: r.ID, Body: strings.Repeat("x", answerBytes), Target: t.Name, Service: t.Service})
	if err != nil {
		return
	}
	time.AfterFunc(t.Work, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if t.flows[f.key] != f || f.closed || t.ended {
			return
		}
		f.unacknowledged = 0
		data = append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
		for chunk := range slices.Chunk(data, segmentLength) {
			t.keep(f, segment{sequence: f.next, ack: f.expected, flags: flagAcknowledge, data: chunk})
		}
		if t.state == "draining" {
			// A target that leaves closes each flow after its next answer.
			f.closed = true
			t.keep(f, segment{sequence: f.next, ack: f.expected, flags: flagEnd | flagAcknowledge})
		}
	})
}

// repeat sends again what was not acknowledged in time.
func (t *Target) repeat() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-t.fleet.ended:
			return
		case now := <-ticker.C:
			t.mutex.Lock()
			if t.ended {
				t.mutex.Unlock()
				return
			}
			for key, f := range t.flows {
				if len(f.sent) == 0 || now.Before(f.due) {
					continue
				}
				if f.repeats++; f.repeats > repeatLimit {
					delete(t.flows, key)
					continue
				}
				for _, s := range f.sent {
					s.ack = f.expected
					t.send(f, s)
				}
				f.pause = min(2*f.pause, lastRepeat)
				f.due = now.Add(f.pause)
			}
			t.mutex.Unlock()
		}
	}
}

// Oldest returns the target of a service in a zone that has served longest and does not
// drain; nil if there is none.
func (f *Fleet) Oldest(service, zone string) *Target {
	for _, t := range f.Targets() {
		t.mutex.Lock()
		serves := t.Service == service && t.Zone == zone && t.state == "ready" && !t.ended
		t.mutex.Unlock()
		if serves {
			return t
		}
	}
	return nil
}

// TargetAt returns the target at an IP address; nil if there is none.
func (f *Fleet) TargetAt(ip netip.Addr) *Target {
	for _, t := range f.Targets() {
		if netip.MustParseAddrPort(t.Address).Addr() == ip {
			return t
		}
	}
	return nil
}

// Targets returns all targets that were started.
func (f *Fleet) Targets() []*Target {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*Target(nil), f.targets...)
}
