//go:build review

package harness

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"oriolevalve/platform/standin"
)

// The flags and times of a flow, as the platform's pages give them.
const (
	flagSynchronize = 1
	flagAcknowledge = 8
	flagReset       = 32
	flagEnd         = 128

	headerLength = 32
	firstRepeat  = 200 * time.Millisecond
	lastRepeat   = 1600 * time.Millisecond
	openingLimit = 1400 * time.Millisecond
	resetWindow  = 76_800
)

// openingTimes are the times of a client's opening packets.
var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// The ways in which a request fails.
var (
	ErrNotOpened = errors.New("the flow did not open")
	ErrReset     = errors.New("the flow was reset")
	ErrClosed    = errors.New("the target closed the flow")
	ErrDeadline  = errors.New("the deadline passed")
)

type segment struct {
	echo          uint32
	from, to      netip.AddrPort
	sequence, ack uint32
	flags         byte
	data          []byte
	// sender is the address from which the datagram came.
	sender netip.Addr
}

func parse(b []byte) (segment, bool) {
	if len(b) < headerLength || len(b) != headerLength+int(binary.BigEndian.Uint16(b[30:])) {
		return segment{}, false
	}
	endpoint := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return segment{
		echo: binary.BigEndian.Uint32(b), from: endpoint(6, 4), to: endpoint(10, 14),
		sequence: binary.BigEndian.Uint32(b[20:]), ack: binary.BigEndian.Uint32(b[24:]), flags: b[28], data: append([]byte(nil), b[headerLength:]...),
	}, true
}

func (s *segment) bytes() []byte {
	b := make([]byte, headerLength, headerLength+len(s.data))
	from, to := s.from.Addr().As4(), s.to.Addr().As4()
	binary.BigEndian.PutUint32(b, s.echo)
	binary.BigEndian.PutUint16(b[4:], s.from.Port())
	copy(b[6:], from[:])
	copy(b[10:], to[:])
	binary.BigEndian.PutUint16(b[14:], s.to.Port())
	binary.BigEndian.PutUint32(b[20:], s.sequence)
	binary.BigEndian.PutUint32(b[24:], s.ack)
	b[28] = s.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(s.data)))
	return append(b, s.data...)
}

// Client is a client in a zone. Its packets go to the host that the routers choose.
type Client struct {
	fleet  *Fleet
	Zone   string
	socket *net.UDPConn
	ip     netip.Addr
	mutex  sync.Mutex
	ports  map[uint16]chan segment
	next   uint16
}

// StartClient starts a client at an address of its own.
func (f *Fleet) StartClient(zone string, number int) (*Client, error) {
	ip := netip.AddrFrom4([4]byte{127, 0, 45, byte(number)})
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, f.ports[0])))
	if err != nil {
		return nil, err
	}
	c := &Client{fleet: f, Zone: zone, socket: socket, ip: ip, ports: map[uint16]chan segment{}, next: uint16(20_000 + rand.IntN(5000))}
	f.mutex.Lock()
	f.clients[ip] = zone
	f.mutex.Unlock()
	go c.receive()
	return c, nil
}

func (c *Client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, sender, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := parse(buffer[:n])
		if !valid {
			continue
		}
		p.sender = sender.Addr()
		c.mutex.Lock()
		inbox := c.ports[p.to.Port()]
		c.mutex.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// Flow is a flow of a client. It has one user.
type Flow struct {
	client        *Client
	inbox         chan segment
	Local, Remote netip.AddrPort
	Opened        time.Time
	// Target is the one whose answer to the opening was acknowledged.
	Target *Target
	// Answers is the number of answers on the flow.
	Answers        int
	echo           uint32
	next, expected uint32
	received       []byte
	unacknowledged int
	ended          bool
	// ResetBy is the address of the sender of a reset, LastHost the host that the routers
	// chose for the last packet.
	ResetBy  netip.Addr
	LastHost *Host
}

// send sends a packet by the host that the routers choose now.
func (f *Flow) send(flags byte, sequence, ack uint32, data []byte) {
	h := f.client.fleet.route(f.client.Zone, f.Local, f.Remote)
	if h == nil {
		return
	}
	f.LastHost = h
	s := segment{echo: f.echo, from: f.Local, to: f.Remote, sequence: sequence, ack: ack, flags: flags, data: data}
	// A host that is down takes no packet.
	_, _ = f.client.socket.WriteToUDPAddrPort(s.bytes(), h.address)
}

// Open opens a flow. The port is accepted if the predicate, which may be nil, accepts the
// host that the routers choose for it.
func (c *Client) Open(service netip.AddrPort, accept func(h *Host) bool) (*Flow, error) {
	c.mutex.Lock()
	var local netip.AddrPort
	for {
		if c.next++; c.next < 20_000 {
			c.next = 20_000
		}
		local = netip.AddrPortFrom(c.ip, c.next)
		if _, taken := c.ports[c.next]; taken {
			continue
		}
		if accept == nil || accept(c.fleet.route(c.Zone, local, service)) {
			break
		}
	}
	inbox := make(chan segment, 64)
	c.ports[local.Port()] = inbox
	c.mutex.Unlock()
	f := &Flow{client: c, inbox: inbox, Local: local, Remote: service, Opened: time.Now()}
	first := rand.Uint32()
	for i, at := range openingTimes {
		time.Sleep(time.Until(f.Opened.Add(at)))
		f.send(flagSynchronize, first, uint32(i), nil)
		limit := openingLimit
		if i+1 < len(openingTimes) {
			limit = openingTimes[i+1]
		}
		timer := time.NewTimer(time.Until(f.Opened.Add(limit)))
		select {
		case p := <-inbox:
			timer.Stop()
			if p.flags&flagReset != 0 {
				f.forget()
				return nil, ErrNotOpened
			}
			f.echo, f.next, f.expected = p.echo, first+1, p.sequence+1
			f.Target = c.fleet.TargetAt(p.sender)
			f.send(flagAcknowledge, f.next, f.expected, nil)
			return f, nil
		case <-timer.C:
		}
	}
	f.forget()
	return nil, ErrNotOpened
}

// Do sends a request and returns its answer. A packet without an acknowledgement is
// repeated after 200 ms, and the pause doubles up to 1.6 s.
func (f *Flow) Do(r standin.Request, limit time.Duration) (standin.Answer, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return standin.Answer{}, err
	}
	data = append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
	if err := f.TakeArrived(); err != nil {
		return standin.Answer{}, err
	}
	f.client.fleet.Record.Write("send %s %s target=%s", f.Local, r.ID, f.targetName())
	start := f.next
	f.next += uint32(len(data))
	f.send(flagAcknowledge, start, f.expected, data)
	sent, pause := time.Now(), firstRepeat
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	repeat := time.NewTimer(pause)
	defer repeat.Stop()
	acknowledged := false
	for {
		select {
		case p := <-f.inbox:
			if err := f.take(&p); err != nil {
				f.client.fleet.Record.Write("fail %s %s %v by=%s after=%s", f.Local, r.ID, err, f.ResetBy, time.Since(sent).Round(time.Millisecond))
				return standin.Answer{}, err
			}
			acknowledged = acknowledged || int32(p.ack-f.next) >= 0
		case <-repeat.C:
			if !acknowledged {
				f.send(flagAcknowledge, start, f.expected, data)
			}
			pause = min(2*pause, lastRepeat)
			repeat.Reset(pause)
		case <-deadline.C:
			f.client.fleet.Record.Write("fail %s %s deadline", f.Local, r.ID)
			return standin.Answer{}, ErrDeadline
		}
		if len(f.received) < 4 {
			continue
		}
		if length := int(binary.BigEndian.Uint32(f.received)); len(f.received) >= 4+length {
			var a standin.Answer
			err := json.Unmarshal(f.received[4:4+length], &a)
			f.received = f.received[4+length:]
			f.Answers++
			f.client.fleet.Record.Write("answer %s %s target=%s after=%s", f.Local, r.ID, a.Target, time.Since(sent).Round(time.Millisecond))
			return a, err
		}
	}
}

// TakeArrived handles the packets that arrived between two requests.
func (f *Flow) TakeArrived() error {
	for {
		select {
		case p := <-f.inbox:
			if err := f.take(&p); err != nil {
				f.client.fleet.Record.Write("idle flow %s %v by=%s", f.Local, err, f.ResetBy)
				return err
			}
		default:
			if f.ended {
				return ErrClosed
			}
			return nil
		}
	}
}

// take handles a packet.
func (f *Flow) take(p *segment) error {
	if p.flags&flagReset != 0 {
		if distance := int32(p.sequence - f.expected); distance > resetWindow || distance < -resetWindow {
			return nil
		}
		f.ResetBy = p.sender
		return ErrReset
	}
	f.echo = p.echo
	if p.flags&flagSynchronize != 0 {
		return nil
	}
	if len(p.data) > 0 {
		f.unacknowledged++
	}
	if p.sequence == f.expected {
		f.received = append(f.received, p.data...)
		f.expected += uint32(len(p.data))
		if p.flags&flagEnd != 0 {
			f.expected++
			f.ended = true
		}
	}
	// Each second packet is acknowledged; requests acknowledge too.
	if f.unacknowledged >= 2 || p.flags&flagEnd != 0 {
		f.unacknowledged = 0
		f.send(flagAcknowledge, f.next, f.expected, nil)
	}
	if f.ended && len(f.received) == 0 {
		return ErrClosed
	}
	return nil
}

// Close ends the flow.
func (f *Flow) Close() {
	f.send(flagEnd|flagAcknowledge, f.next, f.expected, nil)
	f.forget()
}

// Forget drops a flow that has failed.
func (f *Flow) Forget() { f.forget() }

func (f *Flow) forget() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	delete(f.client.ports, f.Local.Port())
}

func (f *Flow) targetName() string {
	if f.Target == nil {
		return "unknown"
	}
	return f.Target.Name
}

// ResetterInTouch reports whether the host that sent a reset has run undisturbed for the
// time after which a machine counts as in touch.
func (f *Flow) ResetterInTouch() bool {
	h := f.client.fleet.hostAt(f.ResetBy)
	return h != nil && h.undisturbed() > ContactTime
}

// CheckReset notes a broken rule if the reset of an open flow came from a host while the
// flow's target serves. The target has answered on the flow or runs its request, so the
// flow was open.
func (f *Flow) CheckReset(request string) {
	h := f.client.fleet.hostAt(f.ResetBy)
	if h == nil || f.Target == nil || !f.Target.Alive() {
		return
	}
	ran := f.Target.Runs()[request] > 0
	if f.Answers == 0 && !ran {
		return
	}
	f.client.fleet.Record.Violate("FLOW: %s to %s, open at %s for %s (%d answers, request %s ran: %v), was reset by %s while its target serves",
		f.Local, f.Remote, f.Target.Name, time.Since(f.Opened).Round(time.Millisecond), f.Answers, request, ran, h.ID)
}

// CheckForeignReset notes a broken rule if the reset of an open flow came from another target
// while the flow's own target serves.
func (f *Flow) CheckForeignReset(request string) {
	sender := f.client.fleet.TargetAt(f.ResetBy)
	if sender == nil || f.Target == nil || sender == f.Target || !f.Target.Alive() || f.Answers == 0 {
		return
	}
	f.client.fleet.Record.Violate("FLOW: %s to %s, open at %s for %s (%d answers), was reset by %s while its target serves; its packet went through %s",
		f.Local, f.Remote, f.Target.Name, time.Since(f.Opened).Round(time.Millisecond), f.Answers, sender.Name, f.LastHost.ID)
}
