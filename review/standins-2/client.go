//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The opening of a flow.
const (
	secondOpening = 200 * time.Millisecond
	thirdOpening  = 600 * time.Millisecond
	openingLimit  = 1400 * time.Millisecond
	// ackDelay is the time after which a single packet is acknowledged; of two the second one is.
	ackDelay = 20 * time.Millisecond
	// firstPort is the first port of a client's flows.
	firstPort = 20_000
)

// The outcomes of requests.
const (
	outcomeAnswered = "answered"
	outcomeReset    = "reset"
	outcomeRefused  = "not opened"
	outcomeDeadline = "deadline"
	outcomeShed     = "not executed"
)

// client is a client of the platform. The fabric chooses the host of each of its packets.
type client struct {
	address  netip.AddrPort
	fabric   *fabric
	record   *record
	socket   *net.UDPConn
	mutex    sync.Mutex
	flows    map[uint16]*clientFlow
	port     uint16
	requests int
	closed   chan struct{}
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	key                   flowKey
	first, own, next      uint32
	echo, expected        uint32
	opened, ended         bool
	began                 time.Time
	copies                uint32
	received              string
	unacknowledged        *segment
	repeatAt              time.Time
	repeat                time.Duration
	unanswered            int
	ackAt                 time.Time
	request, pending      string
	deadline              time.Time
	closeAfter, hasAnswer bool
	host                  netip.AddrPort
	limit                 time.Duration
}

func startClient(address netip.AddrPort, f *fabric, r *record) (*client, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	c := &client{address: address, fabric: f, record: r, socket: socket, flows: map[uint16]*clientFlow{}, port: firstPort, closed: make(chan struct{})}
	go c.receive()
	go c.tick()
	return c, nil
}

func (c *client) stop() {
	close(c.closed)
	// The run is over.
	_ = c.socket.Close()
}

// open opens a flow and sends a request on it once it is open. With closeAfter the client closes the
// flow after the answer; otherwise it keeps it open.
func (c *client) open(service netip.AddrPort, closeAfter bool, limit time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.port++
	now := time.Now()
	f := &clientFlow{
		key: flowKey{netip.AddrPortFrom(c.address.Addr(), c.port), service}, first: rand.Uint32(), began: now, closeAfter: closeAfter, limit: limit,
	}
	f.next = f.first + 1
	c.flows[c.port] = f
	c.newRequest(f, now)
	c.sendOpening(f)
}

// askAgain sends another request on each open flow that waits for none.
func (c *client) askAgain() (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for _, f := range c.flows {
		if !f.opened || f.ended || f.request != "" {
			continue
		}
		c.newRequest(f, now)
		c.write(f, now)
		count++
	}
	return count
}

func (c *client) newRequest(f *clientFlow, now time.Time) {
	c.requests++
	f.request = fmt.Sprintf("%s-%d", c.address.Addr(), c.requests)
	f.deadline = now.Add(f.limit)
	f.host = c.fabric.route(f.key)
	f.pending = fmt.Sprintf("POST /stamp HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", f.key.service, f.request)
	c.record.sent(f.request, f.key, f.host, now)
}

func (c *client) sendOpening(f *clientFlow) {
	c.send(f, &segment{from: f.key.client, to: f.key.service, sequence: f.first, ack: f.copies, flags: flagSYN})
}

// write sends the pending request, which fits one packet.
func (c *client) write(f *clientFlow, now time.Time) {
	f.unacknowledged = &segment{from: f.key.client, to: f.key.service, sequence: f.next, flags: flagACK, data: []byte(f.pending)}
	f.next += uint32(len(f.pending))
	f.pending, f.hasAnswer = "", false
	f.repeat, f.repeatAt = firstRepeat, now.Add(firstRepeat)
	c.resend(f)
}

func (c *client) resend(f *clientFlow) {
	f.unacknowledged.echo, f.unacknowledged.ack = f.echo, f.expected
	c.send(f, f.unacknowledged)
}

func (c *client) acknowledge(f *clientFlow, flags byte) {
	f.unanswered, f.ackAt = 0, time.Time{}
	c.send(f, &segment{echo: f.echo, from: f.key.client, to: f.key.service, sequence: f.next, ack: f.expected, flags: flagACK | flags})
}

func (c *client) send(f *clientFlow, p *segment) {
	f.host = c.fabric.route(f.key)
	// A host that is down takes no packet.
	_, _ = c.socket.WriteToUDPAddrPort(p.bytes(), f.host)
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := parseSegment(buffer[:n])
		if !valid {
			c.record.violate("MIXED: client %s got bytes from %s that are no packet", c.address.Addr(), from)
			continue
		}
		ownReset := p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if !ownReset && !intact(buffer[:n]) {
			c.record.violate("MIXED: client %s got a packet from %s that its sender did not write so", c.address.Addr(), from)
			continue
		}
		c.mutex.Lock()
		if f := c.flows[p.to.Port()]; f != nil && f.key == (flowKey{p.to, p.from}) && !f.ended {
			c.handle(time.Now(), f, &p, from, ownReset)
		}
		c.mutex.Unlock()
	}
}

func (c *client) handle(now time.Time, f *clientFlow, p *segment, from netip.AddrPort, ownReset bool) {
	if p.has(flagRST) {
		c.takeReset(now, f, p, from, ownReset)
		return
	}
	f.echo = p.echo
	switch {
	case p.has(flagSYN) && !f.opened:
		f.opened, f.own, f.expected = true, p.sequence, p.sequence+1
		c.acknowledge(f, 0)
		c.write(f, now)
		return
	case p.has(flagSYN):
		// A repeat of the answer that opened the flow is acknowledged again; one of another target
		// opens nothing.
		if p.sequence == f.own {
			c.acknowledge(f, 0)
		}
		return
	case !f.opened:
		return
	}
	if u := f.unacknowledged; u != nil && int32(p.ack-(u.sequence+uint32(len(u.data)))) >= 0 {
		f.unacknowledged = nil
	}
	if len(p.data) > 0 {
		c.takeData(now, f, p)
	}
	if p.has(flagFIN) && p.sequence+uint32(len(p.data)) == f.expected {
		f.expected++
		c.acknowledge(f, 0)
		f.ended = true
	}
}

func (c *client) takeData(now time.Time, f *clientFlow, p *segment) {
	if p.sequence != f.expected {
		c.acknowledge(f, 0)
		return
	}
	f.expected += uint32(len(p.data))
	f.received += string(p.data)
	if f.unanswered++; f.unanswered >= 2 {
		c.acknowledge(f, 0)
	} else {
		f.ackAt = now.Add(ackDelay)
	}
	c.takeAnswer(now, f)
}

// takeAnswer takes an answer that is complete off the received bytes.
func (c *client) takeAnswer(now time.Time, f *clientFlow) {
	switch {
	case f.received == response(f.request):
		c.finish(f, outcomeAnswered, now)
	case strings.HasPrefix(f.received, "HTTP/1.1 503") && strings.HasSuffix(f.received, "\r\n\r\n"):
		c.finish(f, outcomeShed, now)
	case !strings.HasPrefix(response(f.request), f.received) && !strings.HasPrefix(f.received, "HTTP/1.1 503"):
		c.record.violate("MIXED: request %s got another answer: %q", f.request, f.received)
		c.finish(f, "another answer", now)
	default:
		return
	}
	f.received = ""
	if f.closeAfter {
		c.acknowledge(f, flagFIN)
		f.ended = true
	}
}

func (c *client) finish(f *clientFlow, outcome string, now time.Time) {
	c.record.answered(f.request, outcome, now)
	f.request = ""
}

// takeReset ends a flow. A reset of the system's own counts near the client's last acknowledgement,
// or while the flow is not open.
func (c *client) takeReset(now time.Time, f *clientFlow, p *segment, from netip.AddrPort, ownReset bool) {
	if f.opened && !near(p.sequence, f.expected) {
		return
	}
	outcome := outcomeRefused
	if f.opened {
		outcome = outcomeReset
		c.record.tookReset(f.key, from, f.host, now)
	}
	if f.request != "" {
		if ownReset {
			outcome += " by host " + from.Addr().String()
		} else {
			outcome += " by target " + from.Addr().String()
		}
		c.finish(f, outcome, now)
	}
	f.ended = true
}

// tick sends what is due again.
func (c *client) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-ticker.C:
			c.mutex.Lock()
			for _, f := range c.flows {
				if !f.ended {
					c.look(now, f)
				}
			}
			c.mutex.Unlock()
		}
	}
}

func (c *client) look(now time.Time, f *clientFlow) {
	age := now.Sub(f.began)
	switch {
	case !f.opened && age >= openingLimit:
		c.finish(f, outcomeRefused, now)
		f.ended = true
	case !f.opened && (f.copies == 0 && age >= secondOpening || f.copies == 1 && age >= thirdOpening):
		f.copies++
		c.sendOpening(f)
	case !f.opened:
	case f.request != "" && now.After(f.deadline):
		c.finish(f, outcomeDeadline, now)
		f.ended = true
	default:
		if f.unacknowledged != nil && now.After(f.repeatAt) {
			f.repeat = min(2*f.repeat, lastRepeat)
			f.repeatAt = now.Add(f.repeat)
			c.resend(f)
		}
		if !f.ackAt.IsZero() && now.After(f.ackAt) {
			c.acknowledge(f, 0)
		}
	}
}

// response returns the answer to a request.
func response(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Seal: %08x\r\nContent-Length: %d\r\n\r\n%s", checksumOf(id), len(id), id)
}
