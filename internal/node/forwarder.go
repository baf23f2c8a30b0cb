package node

import (
	"net"
	"net/netip"
	"os"
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
	// quietLimit is the time without a packet after which a node that has left the
	// rotation closes its socket: what is in the buffer has been forwarded.
	quietLimit = 20 * time.Millisecond
	// finishLimit bounds the time for these packets: those of a full buffer on 0.06 of
	// a core.
	finishLimit = 500 * time.Millisecond
	// loggedWait is the time in the socket from which a packet's line names it.
	loggedWait = 50 * time.Millisecond
)

// forwarder decides on the packets of a socket. Its goroutine is the only user of its
// plane.
type forwarder struct {
	node   *Node
	socket *packetSocket
	plane  *packet.Plane
	// rebuild replaces the plane after an unexpected error.
	rebuild func()
	guard   socketGuard
	// buffer holds a datagram behind room for its envelope.
	buffer, reset []byte
	envelope      int
	clientPort    uint16
	packet        packet.Packet
	swept         time.Duration
}

func newForwarder(n *Node, socket *packetSocket) *forwarder {
	envelope := n.codec.EnvelopeLength()
	f := &forwarder{
		node: n, socket: socket, guard: socketGuard{node: n, part: partPackets}, envelope: envelope,
		buffer: make([]byte, envelope+datagramLimit), reset: make([]byte, 0, datagramLimit),
		clientPort: socket.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
	}
	f.rebuild = func() {
		f.plane = packet.NewPlane(n.random(), packet.WithLearnedCosts(n.settings.LearnedCosts), packet.WithFlowLifetime(n.settings.FlowLifetime.Std()))
	}
	f.rebuild()
	return f
}

// run forwards packets until the socket is closed, or until the node stops and no
// packet has come for quietLimit. Packets that arrive before the first view wait in
// the socket's buffer, which saves their senders a repeat.
func (f *forwarder) run() error {
	select {
	case <-f.node.prepared:
	case <-f.node.clock.After(packet.StartupGracePeriod):
	}
	for {
		length, came, err := f.socket.read(f.buffer[f.envelope:], &f.node.pauses)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if ended, err := f.guard.ended(err); ended {
			return err
		}
		if err != nil {
			continue
		}
		f.handle(length, came)
		if f.node.finishing.Load() {
			if err := f.socket.SetReadDeadline(time.Now().Add(quietLimit)); err != nil {
				return errors.Wrap(err, "limiting the last reads")
			}
		}
	}
}

// handle decides on a datagram of a length in the buffer.
func (f *forwarder) handle(length int, came arrival) {
	n, k := f.node, &f.packet
	defer n.recovered(partPackets, f.rebuild)
	if !n.codec.Decode(f.buffer[f.envelope:f.envelope+length], k) {
		n.metrics.decided(packet.Drop, packet.ReasonMalformed)
		n.log.Warn(logs.PacketDropped, zap.Stringer("reason", packet.ReasonMalformed), zap.Int("length", length))
		return
	}
	now := came.read
	k.Waited, k.AfterPause = came.waited, came.afterPause
	confirmed := time.Duration(n.targetsConfirmed.Load())
	if v := n.view.Load(); v != f.plane.View() {
		f.plane.SetView(v)
		for _, s := range f.plane.SharedIdentities() {
			n.log.Warn(logs.TargetLeftOut, logs.Text("target", s.Name), logs.Text("service", s.Service), logs.Text("kept", s.Kept),
				zap.Bool("tag_only", s.TagOnly))
		}
		for _, e := range f.plane.EvacuationChanges() {
			n.logEvacuation(&e, now)
		}
	}
	f.plane.ConfirmTargets(confirmed)
	for _, news := range n.contested.takeHeard() {
		f.plane.AddContestedFlow(news)
	}
	f.judge(now)
	if now-f.swept > sweepInterval {
		f.sweep(now)
	}
	d := packet.Decision{Action: packet.Drop, Reason: packet.ReasonLate}
	if !k.SYN || !n.pauses.stale(now) {
		d = f.plane.Decide(now, k)
	}
	if k.SYN {
		n.metrics.decisionTime.Observe((n.now() - now).Seconds())
	}
	n.metrics.decided(d.Action, d.Reason)
	if err := f.act(&d, f.buffer[:f.envelope+length]); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Warn(logs.PacketNotSent, zap.Stringer("client", k.Flow.Client), logs.Cause(err))
	}
	f.plane.NoteDelay(k.Flow, now, n.now())
	if d.Reason != packet.ReasonOpen {
		n.logDecision(k, &d)
	}
	n.contested.putSeen(f.plane.ContestedFlows())
	for _, q := range f.plane.Questions(now) {
		go n.question(q)
	}
	for _, b := range f.plane.HealthChanges() {
		n.logBelief(b)
	}
	for _, e := range f.plane.TerminatedFlows() {
		f.end(&e)
	}
}

// end tells the client of a flow that it ended.
func (f *forwarder) end(e *packet.TerminatedFlow) {
	d := packet.Decision{Action: packet.Refuse, Reason: e.Reason, Name: e.Name}
	f.node.metrics.decided(d.Action, d.Reason)
	if err := f.refuse(&e.Packet); err != nil && !errors.Is(err, net.ErrClosed) {
		f.node.log.Warn(logs.PacketNotSent, zap.Stringer("client", e.Packet.Flow.Client), logs.Cause(err))
	}
	f.node.logDecision(&e.Packet, &d)
}

// refuse sends a reset to the client of a packet.
func (f *forwarder) refuse(k *packet.Packet) error {
	client := netip.AddrPortFrom(k.Flow.Client.Addr(), f.clientPort)
	return send(f.socket.UDPConn, f.node.codec.AppendReset(f.reset, k), client)
}

// act sends what a decision on a datagram asks for.
func (f *forwarder) act(d *packet.Decision, datagram []byte) error {
	switch d.Action {
	case packet.Forward:
		f.node.codec.Encapsulate(datagram, d.Target, d.Tag)
		return send(f.socket.UDPConn, datagram, d.Address)
	case packet.Refuse:
		return f.refuse(&f.packet)
	case packet.Drop:
	}
	return nil
}

// sweep renews what the plane and the metrics know of flows.
func (f *forwarder) sweep(now time.Duration) {
	n := f.node
	f.swept = now
	f.plane.Sweep(now)
	f.exchangeSpeeds(now)
	n.metrics.flows.Set(float64(f.plane.FlowCount()))
	n.metrics.coldTargets.Set(float64(f.plane.ColdCount()))
	if n.statusWanted.CompareAndSwap(true, false) {
		n.targets.Store(&targetReport{at: now, targets: f.plane.Status(now)})
	}
}

func send(socket *net.UDPConn, datagram []byte, to netip.AddrPort) error {
	_, err := socket.WriteToUDPAddrPort(datagram, to)
	return err
}

// decisionEvents names the log lines of decisions.
var decisionEvents = map[packet.Reason]string{
	packet.ReasonPlaced:          logs.FlowPlaced,
	packet.ReasonPlacedElsewhere: logs.FlowPlaced,
	packet.ReasonPlacedAgain:     logs.FlowPlacedAgain,
	packet.ReasonAdopted:         logs.FlowAdopted,
	packet.ReasonContested:       logs.FlowAdopted,
	packet.ReasonRouteUnknown:    logs.FlowAdopted,
	packet.ReasonNoRoute:         logs.FlowRefused,
	packet.ReasonNoTarget:        logs.FlowRefused,
	packet.ReasonCold:            logs.FlowRefused,
	packet.ReasonTargetGone:      logs.FlowRefused,
	packet.ReasonTargetDead:      logs.FlowRefused,
	packet.ReasonNotOpen:         logs.PacketDropped,
	packet.ReasonTargetUnknown:   logs.PacketDropped,
	packet.ReasonNoConfiguration: logs.PacketDropped,
	packet.ReasonLate:            logs.PacketDropped,
	packet.ReasonEvacuated:       logs.FlowRefused,
}

func (n *Node) logDecision(k *packet.Packet, d *packet.Decision) {
	event, found := decisionEvents[d.Reason]
	if !found {
		return
	}
	if d.Action == packet.Drop && d.Reason == packet.ReasonEvacuated {
		event = logs.PacketDropped
	}
	copies, waited := zap.Skip(), zap.Skip()
	if k.Waited >= loggedWait {
		waited = zap.Duration("waited", k.Waited)
	}
	if k.SYN {
		copies = zap.Uint32("copy", k.Acknowledgement)
	}
	n.log.Info(event,
		zap.Stringer("client", k.Flow.Client), zap.Stringer("service", k.Flow.Service), zap.Stringer("reason", d.Reason),
		zap.Uint32("tag", k.Tag), copies, waited, logs.Text("target", d.Name), zap.Uint64("configuration", n.metrics.version.Load()))
}

func (n *Node) logBelief(b packet.HealthChange) {
	switch {
	case b.Target == "" && b.Silent:
		n.log.Warn(logs.DataCentreSilent, logs.Text("data_centre", b.DataCentre), zap.Int("targets", b.Retransmissions), zap.Duration("silence", b.Silence))
		return
	case b.Target == "":
		n.log.Info(logs.DataCentreAnswers, logs.Text("data_centre", b.DataCentre), zap.Bool("retried", b.Retried))
		return
	}
	if b.Dead {
		if b.QuestionAge > 0 {
			n.metrics.verdicts.Inc()
		}
		n.log.Warn(logs.TargetDead, logs.Text("target", b.Target), logs.Text("data_centre", b.DataCentre), zap.Int("repeats", b.Retransmissions),
			zap.Int("flows", b.Flows), zap.Bool("opening_unanswered", b.Unanswered), zap.Duration("silence", b.Silence),
			zap.Stringer("asked", b.Asked), zap.Duration("asked_age", b.QuestionAge), zap.Duration("heard_age", b.HeardAge))
		return
	}
	if !b.Silent {
		n.log.Info(logs.TargetAnswers, logs.Text("target", b.Target), logs.Text("data_centre", b.DataCentre), zap.Bool("retried", b.Retried))
		return
	}
	n.log.Warn(logs.TargetSilent, logs.Text("target", b.Target), logs.Text("data_centre", b.DataCentre), zap.Int("repeats", b.Retransmissions),
		zap.Bool("opening_unanswered", b.Unanswered), zap.Duration("silence", b.Silence))
}
