package node

import (
	"net"
	"net/netip"
	"time"

	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// datagramLimit exceeds the longest packet, so that an oversized one shows.
	datagramLimit = 2048
	// sweepInterval is the time between two looks at a part of the flows.
	sweepInterval = 250 * time.Millisecond
)

// forward decides on the packets of a socket until it is closed. It is the only
// user of its plane. Packets that arrive before the first view wait in the
// socket's buffer, which saves their senders a repeat.
func (n *Node) forward(socket *net.UDPConn) error {
	select {
	case <-n.prepared:
	case <-n.clock.After(packet.PrepareLimit):
	}
	plane := packet.NewPlane(n.random())
	envelope := n.codec.EnvelopeLength()
	buffer := make([]byte, envelope+datagramLimit)
	reset := make([]byte, 0, datagramLimit)
	clientPort := socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	var k packet.Packet
	var swept time.Duration
	for {
		length, _, err := socket.ReadFromUDPAddrPort(buffer[envelope:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading a packet")
		}
		if !n.codec.Decode(buffer[envelope:envelope+length], &k) {
			n.metrics.decided(packet.Drop, packet.ReasonMalformed)
			n.log.Warn(logs.PacketDropped, zap.Stringer("reason", packet.ReasonMalformed), zap.Int("length", length))
			continue
		}
		now := n.now()
		if v := n.view.Load(); v != plane.View() {
			plane.SetView(v)
		}
		if now-swept > sweepInterval {
			swept = now
			plane.Sweep(now)
			n.metrics.flows.Set(float64(plane.Flows()))
			if n.statusWanted.CompareAndSwap(true, false) {
				n.targets.Store(&targetReport{at: now, targets: plane.Status(now)})
			}
		}
		d := plane.Decide(now, &k)
		if k.Synchronize {
			n.metrics.decisionTime.Observe((n.now() - now).Seconds())
		}
		n.metrics.decided(d.Action, d.Reason)
		switch d.Action {
		case packet.Forward:
			n.codec.Address(buffer[:envelope+length], d.Target, d.Tag)
			err = send(socket, buffer[:envelope+length], d.Address)
		case packet.Refuse:
			err = send(socket, n.codec.AppendReset(reset, &k), netip.AddrPortFrom(k.Flow.Client.Addr(), clientPort))
		case packet.Drop:
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.log.Warn(logs.PacketNotSent, zap.Stringer("client", k.Flow.Client), logs.Cause(err))
		}
		if d.Reason != packet.ReasonOpen {
			n.logDecision(&k, &d)
		}
		for _, b := range plane.Beliefs() {
			n.logBelief(b)
		}
	}
}

func send(socket *net.UDPConn, datagram []byte, to netip.AddrPort) error {
	_, err := socket.WriteToUDPAddrPort(datagram, to)
	return err
}

// decisionEvents names the log lines of decisions.
var decisionEvents = map[packet.Reason]string{
	packet.ReasonPlaced:          logs.FlowPlaced,
	packet.ReasonPlacedAgain:     logs.FlowPlacedAgain,
	packet.ReasonAdopted:         logs.FlowAdopted,
	packet.ReasonRouteUnknown:    logs.FlowAdopted,
	packet.ReasonNoRoute:         logs.FlowRefused,
	packet.ReasonNoTarget:        logs.FlowRefused,
	packet.ReasonTargetGone:      logs.FlowRefused,
	packet.ReasonTargetDead:      logs.FlowRefused,
	packet.ReasonNotOpen:         logs.PacketDropped,
	packet.ReasonTargetUnknown:   logs.PacketDropped,
	packet.ReasonNoConfiguration: logs.PacketDropped,
}

func (n *Node) logDecision(k *packet.Packet, d *packet.Decision) {
	event, found := decisionEvents[d.Reason]
	if !found {
		return
	}
	copies := zap.Skip()
	if k.Synchronize {
		copies = zap.Uint32("copy", k.Acknowledgement)
	}
	n.log.Info(event,
		zap.Stringer("client", k.Flow.Client), zap.Stringer("service", k.Flow.Service), zap.Stringer("reason", d.Reason),
		zap.Uint32("tag", k.Tag), copies, zap.String("target", d.Name), zap.Uint64("configuration", n.metrics.version.Load()))
}

func (n *Node) logBelief(b packet.Belief) {
	switch {
	case b.Target == "" && b.Silent:
		n.log.Warn(logs.DataCentreSilent, zap.String("data_centre", b.DataCentre), zap.Int("targets", b.Repeats), zap.Duration("silence", b.Silence))
		return
	case b.Target == "":
		n.log.Info(logs.DataCentreAnswers, zap.String("data_centre", b.DataCentre), zap.Bool("retried", b.Retried))
		return
	}
	if b.Dead {
		n.log.Warn(logs.TargetDead, zap.String("target", b.Target), zap.String("data_centre", b.DataCentre), zap.Int("repeats", b.Repeats),
			zap.Int("flows", b.Flows), zap.Bool("opening_unanswered", b.Unanswered), zap.Duration("silence", b.Silence))
		return
	}
	if !b.Silent {
		n.log.Info(logs.TargetAnswers, zap.String("target", b.Target), zap.String("data_centre", b.DataCentre), zap.Bool("retried", b.Retried))
		return
	}
	n.log.Warn(logs.TargetSilent, zap.String("target", b.Target), zap.String("data_centre", b.DataCentre), zap.Int("repeats", b.Repeats),
		zap.Bool("opening_unanswered", b.Unanswered), zap.Duration("silence", b.Silence))
}
