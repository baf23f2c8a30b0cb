//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	slots      = 2
	queueLimit = 8
	workTime   = 3 * time.Millisecond
	// tickInterval is the time between two looks at what is due.
	tickInterval = 5 * time.Millisecond
	// firstRepeat is the time until a missing packet is sent again. It doubles up to lastRepeat.
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	// repeatLimit is the number of repeats after which a target gives up.
	repeatLimit = 8
)

// entry is what a target says of itself in the store.
type entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Slots        int    `json:"slots"`
	State        string `json:"state"`
	WarmupLeftMs int    `json:"warmupLeftMs"`
	Seq          int    `json:"seq"`
	Born         int64  `json:"born"`
}

// target is a sound target: it registers itself, opens flows and answers their requests.
type target struct {
	name, service, zone string
	key                 uint64
	address             netip.AddrPort
	clientPort          uint16
	store               *store
	record              *record
	socket              *net.UDPConn
	health              *http.Server
	born                int64
	mutex               sync.Mutex
	seq                 int
	flows               map[flowKey]*targetFlow
	work                chan work
	closed              chan struct{}
}

// flowKey names a flow by its ends: the client's and the route's.
type flowKey struct{ client, service netip.AddrPort }

// targetFlow is the target's end of a flow. It is half open until its sequence number is
// acknowledged.
type targetFlow struct {
	first, own           uint32
	open, ended          bool
	echo, next, expected uint32
	received             string
	unacknowledged       *segment
	repeatAt             time.Time
	repeat               time.Duration
	repeats              int
}

type work struct {
	key flowKey
	id  string
}

func startTarget(s *store, r *record, number uint64, service, zone string, address netip.AddrPort, clientPort uint16) (*target, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	t := &target{
		name: fmt.Sprintf("i-%010x", number), service: service, zone: zone, key: number, address: address, clientPort: clientPort, store: s,
		record: r, socket: socket, born: time.Now().UnixMilli(), flows: map[flowKey]*targetFlow{}, work: make(chan work, queueLimit),
		closed: make(chan struct{}),
	}
	t.health = &http.Server{ReadTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", t.name)
		w.Header().Set("X-Server-Load", "0,0,8")
	})}
	go func() {
		// The server ends with the target.
		_ = t.health.Serve(listener)
	}()
	for range slots {
		go t.answerRequests()
	}
	go t.receive()
	go t.tick()
	go t.beat()
	return t, t.register()
}

// register writes the target's entry, unless only its sequence would change.
func (t *target) register() error {
	t.mutex.Lock()
	t.seq++
	own := entry{
		Service: t.service, Address: t.address.String(), Zone: t.zone, Version: "v1", Slots: slots, State: "ready", Seq: t.seq, Born: t.born,
	}
	t.mutex.Unlock()
	var stored entry
	if spec := t.store.spec("servers", t.name); spec != nil && json.Unmarshal(spec, &stored) == nil {
		stored.Seq = own.Seq
		if stored == own {
			return nil
		}
	}
	return t.store.put("servers", t.name, own)
}

func (t *target) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-t.closed:
			return
		case <-ticker.C:
			if err := t.register(); err != nil {
				t.record.note("target %s can't register: %v", t.name, err)
			}
		}
	}
}

func (t *target) stop() {
	close(t.closed)
	// The run is over.
	_ = t.health.Close()
	_ = t.socket.Close()
}

func (t *target) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < envelopeLength+headerLength {
			continue
		}
		intended := binary.BigEndian.Uint64(buffer)
		p, valid := parseSegment(buffer[envelopeLength:n])
		if !valid || intended != 0 && intended != t.key {
			continue
		}
		if !intact(buffer[envelopeLength:n]) {
			t.record.violate("UNASKED: target %s got a packet of %s that its sender did not write so", t.name, p.from)
			continue
		}
		t.mutex.Lock()
		t.handle(time.Now(), &p)
		t.mutex.Unlock()
	}
}

func (t *target) handle(now time.Time, p *segment) {
	key := flowKey{p.from, p.to}
	f := t.flows[key]
	switch {
	case p.has(flagSYN):
		t.open(now, key, f, p)
	case p.has(flagRST):
		delete(t.flows, key)
	case f == nil, !f.open && p.ack != f.own+1:
		// The target does not hold the flow: its own sequence number was not acknowledged.
		t.record.stray(key)
		t.send(&segment{echo: p.echo, from: p.to, to: p.from, sequence: p.ack, flags: flagRST})
	case f.ended:
		t.answerEnded(p)
	default:
		t.follow(key, f, p)
	}
}

func (t *target) open(now time.Time, key flowKey, f *targetFlow, p *segment) {
	if f == nil || f.first != p.sequence {
		f = &targetFlow{first: p.sequence, own: rand.Uint32(), expected: p.sequence + 1, repeat: firstRepeat}
		f.next = f.own + 1
		t.flows[key] = f
		t.record.opening(key)
	}
	f.echo = p.echo
	if f.open {
		t.emit(key, f, flagACK, "")
		return
	}
	f.unacknowledged = &segment{from: key.service, to: key.client, sequence: f.own, ack: f.expected, flags: flagSYN | flagACK}
	f.repeatAt = now.Add(f.repeat)
	t.resend(f)
}

func (t *target) follow(key flowKey, f *targetFlow, p *segment) {
	f.echo = p.echo
	if !f.open {
		f.open, f.unacknowledged = true, nil
		t.record.opened(key, t.address)
	}
	if u := f.unacknowledged; u != nil && int32(p.ack-(u.sequence+uint32(len(u.data)))) >= 0 {
		f.unacknowledged = nil
	}
	if len(p.data) > 0 {
		if p.sequence != f.expected {
			t.emit(key, f, flagACK, "")
			return
		}
		// A request is one packet, which its answer acknowledges.
		f.expected += uint32(len(p.data))
		f.received += string(p.data)
		t.take(key, f)
	}
	if p.has(flagFIN) && p.sequence == f.expected {
		f.expected++
		f.ended = true
		t.emit(key, f, flagACK|flagFIN, "")
	}
}

// answerEnded answers a packet of a flow that has ended here.
func (t *target) answerEnded(p *segment) {
	switch {
	case p.has(flagFIN):
		t.send(&segment{echo: p.echo, from: p.to, to: p.from, sequence: p.ack, ack: p.sequence + 1, flags: flagACK})
	case len(p.data) > 0:
		t.send(&segment{echo: p.echo, from: p.to, to: p.from, sequence: p.ack, flags: flagRST})
	}
}

// take passes on a request that is complete.
func (t *target) take(key flowKey, f *targetFlow) {
	head, rest, complete := strings.Cut(f.received, "\r\n\r\n")
	if !complete {
		return
	}
	f.received = rest
	_, id, found := strings.Cut(head, "X-Request-Id: ")
	if !found {
		t.record.violate("UNASKED: target %s got a request without an identity", t.name)
		return
	}
	id, _, _ = strings.Cut(id, "\r\n")
	select {
	case t.work <- work{key, id}:
	default:
		t.write(key, f, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
}

func (t *target) answerRequests() {
	for {
		select {
		case <-t.closed:
			return
		case w := <-t.work:
			t.record.ran(w.id, t.name, t.service, time.Now())
			time.Sleep(workTime)
			t.mutex.Lock()
			if f := t.flows[w.key]; f != nil && !f.ended {
				t.write(w.key, f, response(w.id))
			}
			t.mutex.Unlock()
		}
	}
}

// write sends the bytes of an answer, which fit one packet.
func (t *target) write(key flowKey, f *targetFlow, text string) {
	f.unacknowledged = &segment{from: key.service, to: key.client, sequence: f.next, flags: flagACK, data: []byte(text)}
	f.repeat, f.repeats, f.repeatAt = firstRepeat, 0, time.Now().Add(firstRepeat)
	t.emit(key, f, flagACK, text)
	f.next += uint32(len(text))
}

func (t *target) emit(key flowKey, f *targetFlow, flags byte, text string) {
	t.send(&segment{echo: f.echo, from: key.service, to: key.client, sequence: f.next, ack: f.expected, flags: flags, data: []byte(text)})
}

func (t *target) resend(f *targetFlow) {
	f.unacknowledged.echo, f.unacknowledged.ack = f.echo, f.expected
	t.send(f.unacknowledged)
}

func (t *target) send(p *segment) {
	// A client that went away gets no packet.
	_, _ = t.socket.WriteToUDPAddrPort(p.bytes(), netip.AddrPortFrom(p.to.Addr(), t.clientPort))
}

// tick repeats what was not acknowledged in time.
func (t *target) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.closed:
			return
		case now := <-ticker.C:
			t.mutex.Lock()
			for key, f := range t.flows {
				if f.unacknowledged == nil || now.Before(f.repeatAt) {
					continue
				}
				if f.repeats++; f.repeats > repeatLimit {
					delete(t.flows, key)
					continue
				}
				t.resend(f)
				f.repeat = min(2*f.repeat, lastRepeat)
				f.repeatAt = now.Add(f.repeat)
			}
			t.mutex.Unlock()
		}
	}
}
