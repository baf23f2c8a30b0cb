package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The times of the copies of an opening packet, and that at which the client gives up.
var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

var (
	errNotOpened = errors.New("the flow did not open")
	errReset     = errors.New("the flow was reset")
	errDeadline  = errors.New("the deadline passed")
)

// client is a client machine. Its flows have a port each.
type client struct {
	world  *world
	zone   string
	ip     netip.Addr
	socket *net.UDPConn
	mutex  sync.Mutex
	next   uint16
	inbox  map[uint16]chan segment
}

func (w *world) startClient(ip, zone string) (*client, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, w.packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{world: w, zone: zone, ip: address, socket: socket, next: 20_000, inbox: map[uint16]chan segment{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s, valid := parseSegment(buffer[:n])
		if !valid {
			continue
		}
		if own := s.flags == flagRST && s.sum == 0 && len(s.data) == 0; !own && !s.intact() {
			c.world.violate("MIXED: client %s got a packet that its sender did not write so: %+v", c.ip, s)
		}
		c.mutex.Lock()
		inbox := c.inbox[s.to.Port()]
		c.mutex.Unlock()
		select {
		case inbox <- s:
		default:
		}
	}
}

// userFlow is a flow of a client with one user.
type userFlow struct {
	client         *client
	key            flowKey
	inbox          chan segment
	echo           uint32
	own            uint32
	next, expected uint32
	// opened is the time of the first opening packet, copies the number of its copies.
	opened time.Time
	copies int
	// answerer is the target that answered last.
	answerer string
}

func (f *userFlow) send(s segment) {
	s.echo, s.from, s.to = f.echo, f.key.client, f.key.service
	host, found := f.client.world.fabric.route(f.client.zone, f.key)
	if !found {
		return
	}
	f.client.world.noteTook(f.key, host)
	_, _ = f.client.socket.WriteToUDPAddrPort(s.bytes(), host.packets)
}

// open opens a flow to a service.
func (c *client) open(service netip.AddrPort) (*userFlow, error) {
	inbox := make(chan segment, 256)
	c.mutex.Lock()
	c.next++
	port := c.next
	c.inbox[port] = inbox
	c.mutex.Unlock()
	f := &userFlow{client: c, key: flowKey{client: netip.AddrPortFrom(c.ip, port), service: service}, inbox: inbox, opened: time.Now()}
	first := rand.Uint32()
	for i, at := range openingTimes[:3] {
		time.Sleep(time.Until(f.opened.Add(at)))
		f.copies = i
		f.send(segment{sequence: first, ack: uint32(i), flags: flagSYN})
		timer := time.NewTimer(time.Until(f.opened.Add(openingTimes[i+1])))
		select {
		case s := <-inbox:
			timer.Stop()
			if s.flags&flagRST != 0 {
				f.forget()
				return nil, errNotOpened
			}
			f.own, f.echo, f.next, f.expected = s.sequence, s.echo, first+1, s.sequence+1
			f.acknowledge()
			return f, nil
		case <-timer.C:
		}
	}
	f.forget()
	return nil, errNotOpened
}

func (f *userFlow) acknowledge() { f.send(segment{sequence: f.next, ack: f.expected, flags: flagACK}) }

// take handles a packet and returns the answer in it, if there is one. The client returns the last
// echo that it received on the flow.
func (f *userFlow) take(s *segment) (answer []byte, err error) {
	switch {
	case s.flags&flagRST != 0:
		if distance := int32(s.sequence - f.expected); s.sum == 0 && (distance > 76_800 || distance < -76_800) {
			return nil, nil
		}
		f.client.world.noteReset(f.key, s.sum == 0)
		return nil, errReset
	case s.flags&flagSYN != 0:
		f.echo = s.echo
		if s.sequence == f.own {
			f.acknowledge()
		}
		return nil, nil
	}
	f.echo = s.echo
	if len(s.data) == 0 {
		return nil, nil
	}
	if s.sequence == f.expected {
		f.expected += uint32(len(s.data))
		answer = s.data
	}
	f.acknowledge()
	return answer, nil
}

// do sends a request and waits for its answer.
func (f *userFlow) do(method, id string, deadline time.Duration) error {
	request := []byte(fmt.Sprintf("%s / HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, f.key.service, id))
	w := f.client.world
	w.noteSent(id)
	send := func() { f.send(segment{sequence: f.next, ack: f.expected, flags: flagACK, data: request}) }
	send()
	ended, repeat := time.After(deadline), firstRepeat
	again := time.After(repeat)
	for {
		select {
		case <-ended:
			return errDeadline
		case <-again:
			send()
			repeat = min(2*repeat, lastRepeat)
			again = time.After(repeat)
		case s := <-f.inbox:
			answer, err := f.take(&s)
			if err != nil {
				return err
			}
			if answer == nil {
				continue
			}
			f.next += uint32(len(request))
			f.answerer = headerOf(answer, "X-Instance-Id")
			if got := headerOf(answer, "X-Request-Id"); got != id {
				w.violate("MIXED: request %s got the answer of %s", id, got)
			}
			f.acknowledge()
			return nil
		}
	}
}

// rest handles the packets that come in a pause between two requests.
func (f *userFlow) rest(pause time.Duration) error {
	for ended := time.After(pause); ; {
		select {
		case <-ended:
			return nil
		case s := <-f.inbox:
			if _, err := f.take(&s); err != nil {
				return err
			}
		}
	}
}

func (f *userFlow) close() {
	f.send(segment{sequence: f.next, ack: f.expected, flags: flagACK | flagFIN})
	f.forget()
}

func (f *userFlow) forget() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	delete(f.client.inbox, f.key.client.Port())
}
