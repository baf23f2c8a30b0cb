package replay

import (
	"fmt"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/host"
	"oriolevalve/internal/peer"
	"oriolevalve/internal/target"
)

// node runs the decision code of one host.
type node struct {
	w          *world
	id         string
	dataCentre string
	control    *host.Control
	traffic    *host.Traffic

	alive    bool
	epoch    int
	paused   bool
	pausedAt time.Time
	// deferred holds what arrived during a pause, in order.
	deferred []func()
	// crashed are called when the host dies.
	crashed []func()

	nextToken uint64
	acks      map[uint64]func(peer.SendAck)
	replies   map[uint64]func(target.Reply)
	watching  bool
	nextPoll  time.Time

	revision uint64
	stopping bool
	stopAt   time.Time
	leftAt   time.Time
}

func (w *world) startNode(id, dataCentre string) {
	n := w.nodes[id]
	epoch := 1
	if n != nil {
		epoch = n.epoch + 1
	}
	n = &node{
		w: w, id: id, dataCentre: dataCentre, alive: true, epoch: epoch,
		acks: map[uint64]func(peer.SendAck){}, replies: map[uint64]func(target.Reply){},
	}
	w.nodes[id] = n
	w.order = append(w.order, n)
	self := peer.Member{ID: id, DataCentre: dataCentre, Address: id, Incarnation: uint64(w.now.Unix())}
	var seeds []peer.Member
	for _, h := range w.trace.Hosts {
		if h.ID != id {
			seeds = append(seeds, peer.Member{ID: h.ID, DataCentre: h.DataCentre, Address: h.ID})
		}
	}
	n.control = host.NewControl(self, peer.WithSeed(w.random.Uint64()), peer.WithSeeds(seeds...))
	n.traffic = host.NewTraffic(id, w.random.Uint64())
	n.tick()
}

// do runs a function on the host: at once, after the pause, or never.
func (n *node) do(run func()) {
	switch {
	case !n.alive:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

// onCrash registers a function for the end of the host.
func (n *node) onCrash(run func()) { n.crashed = append(n.crashed, run) }

func (n *node) end() {
	n.alive = false
	n.epoch++
	for _, run := range n.crashed {
		run()
	}
	n.crashed, n.deferred = nil, nil
}

func (n *node) pause() { n.paused, n.pausedAt = true, n.w.now }

// resume delivers what waited before the control state notices the pause,
// which is the worst order.
func (n *node) resume() {
	if !n.alive || !n.paused {
		return
	}
	n.paused = false
	waiting := n.deferred
	n.deferred = nil
	for _, run := range waiting {
		n.do(run)
	}
}

func (n *node) tick() {
	n.do(func() {
		n.handle(host.ControlTick{})
		n.perform(n.traffic.Tick(n.w.now))
		n.poll()
		n.finishStop()
		n.w.after(host.TickInterval, n.tick)
	})
}

// poll reads the platform's head as the safety net of the watch.
func (n *node) poll() {
	if n.nextPoll.IsZero() {
		n.nextPoll = n.w.now.Add(time.Duration(n.w.random.Int64N(int64(pollInterval))))
	}
	if !n.w.now.Before(n.nextPoll) {
		n.nextPoll = n.w.now.Add(pollInterval)
		n.read(configuration.HeadKey)
	}
}

func (n *node) handle(e host.ControlEvent) {
	for _, a := range n.control.Handle(n.w.now, e) {
		n.performControl(a)
	}
}

func (n *node) peerEvent(e peer.Event) { n.handle(host.PeerEvent{Event: e}) }

func (n *node) configurationEvent(e configuration.SyncEvent) {
	n.handle(host.ConfigurationEvent{Event: e})
}

func (n *node) performControl(a host.ControlAction) {
	w := n.w
	switch a := a.(type) {
	case host.SendToPeer:
		n.send(a.Action)
	case host.FetchFromPeer:
		n.fetch(a)
	case host.ReadFromPlatform:
		n.read(a.Key)
	case host.SetView:
		view := a.View
		n.perform(n.traffic.SetView(w.now, view))
		if w.without("permit") {
			n.traffic.SetPermit(w.now.Add(time.Hour))
		}
	case host.Relinquish:
		n.perform(n.traffic.Relinquish(w.now))
	case host.SetPermit:
		if w.without("permit") {
			a.Until = a.Until.Add(time.Hour)
		}
		n.traffic.SetPermit(a.Until)
	case host.Watch:
		n.watching = a.On
	case host.Adopted:
		w.adopted(n, a.State)
	case host.Alarm:
		w.log("%s alarm: %s", n.id, a.Reason)
	}
}

func (n *node) send(a peer.Action) {
	switch a := a.(type) {
	case peer.SendPing:
		n.w.ping(n, a)
	case peer.SendPingRequest:
		n.w.pingRequest(n, a)
	case peer.SendAck:
		if reply := n.acks[a.Token]; reply != nil {
			delete(n.acks, a.Token)
			reply(a)
		}
	}
}

func (n *node) receivePing(m peer.Message, reply func(peer.SendAck)) {
	n.nextToken++
	n.acks[n.nextToken] = reply
	n.peerEvent(peer.PingReceived{Token: n.nextToken, Message: m})
}

func (n *node) receivePingRequest(r peer.PingRequest, reply func(peer.SendAck)) {
	n.nextToken++
	n.acks[n.nextToken] = reply
	n.peerEvent(peer.PingRequestReceived{Token: n.nextToken, Request: r})
}

func (n *node) fetch(a host.FetchFromPeer) {
	to := n.w.nodes[a.Peer.Address]
	n.w.call(n, to, func(reply func(func())) {
		delta, err := to.control.State().Delta(a.Known)
		reply(func() {
			kind := configuration.SyncDelta
			if err != nil {
				kind = configuration.SyncPeerFailed
			}
			n.configurationEvent(configuration.SyncEvent{Kind: kind, Peer: a.Peer.ID, Delta: delta})
		})
	}, func(failure) {
		n.configurationEvent(configuration.SyncEvent{Kind: configuration.SyncPeerFailed, Peer: a.Peer.ID})
	})
}

func (n *node) read(key string) {
	n.w.platform.read(n, key, func(value []byte, ok bool) {
		kind := configuration.SyncObject
		if !ok {
			kind = configuration.SyncPlatformFailed
		}
		n.configurationEvent(configuration.SyncEvent{Kind: kind, Key: key, Value: value})
	})
}

// perform carries out the actions of the traffic side.
func (n *node) perform(actions []host.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case host.Dispatch:
			n.dispatch(a)
		case host.Relay:
			n.relay(a)
		case host.Finish:
			if reply := n.replies[a.ID]; reply != nil {
				delete(n.replies, a.ID)
				reply(a.Reply)
			}
		case host.Wait:
			n.w.after(a.After, func() { n.do(func() { n.perform(n.traffic.Retry(n.w.now, a.ID)) }) })
		case host.Consult:
			n.consult(a)
		case host.SendHandover:
			n.handover(a)
		case host.Probe:
			n.probe(a)
		case host.Publish:
			n.handle(host.StatusPublished(a))
		}
	}
}

func (n *node) dispatch(a host.Dispatch) {
	n.w.runAtTarget(n, a, func(reply target.Reply) {
		n.perform(n.traffic.AttemptFinished(n.w.now, a.ID, a.Target, reply, target.LoadReport{}))
	})
}

func (n *node) relay(a host.Relay) {
	to := n.w.nodes[a.Host]
	n.w.call(n, to, func(reply func(func())) {
		id := to.traffic.NewID()
		to.replies[id] = func(r target.Reply) {
			reply(func() { n.perform(n.traffic.RelayFinished(n.w.now, a.ID, r)) })
		}
		to.perform(to.traffic.ArriveFromPeer(n.w.now, id, *a.Request))
	}, func(f failure) { n.perform(n.traffic.RelayFinished(n.w.now, a.ID, relayReply(f))) })
}

func (n *node) consult(a host.Consult) {
	to := n.w.nodes[a.Host]
	answer := func(r target.ConsultReply, failed bool) {
		n.perform(n.traffic.ConsultAnswered(n.w.now, a, r, failed))
	}
	if n.w.without("consult") {
		answer(target.ConsultReply{Authoritative: true}, false)
		return
	}
	n.w.call(n, to, func(reply func(func())) {
		r, actions := to.traffic.Consult(n.w.now, a.Request)
		to.perform(actions)
		reply(func() { answer(r, false) })
	}, func(failure) { answer(target.ConsultReply{}, true) })
}

func (n *node) handover(a host.SendHandover) {
	if n.w.without("handover") {
		return
	}
	to := n.w.nodes[a.To]
	n.w.call(n, to, func(reply func(func())) {
		to.perform(to.traffic.HandoverReceived(n.w.now, a.Handover))
		reply(func() {})
	}, func(failure) {})
}

func (n *node) probe(a host.Probe) {
	n.w.probeTarget(n, a.Target, func(ok bool) {
		n.perform(n.traffic.ProbeFinished(n.w.now, a.Target, ok, target.LoadReport{}))
	})
}

// arrive takes a request of a caller; reply is called once unless the host
// dies first.
func (n *node) arrive(r target.Request, reply func(target.Reply)) uint64 {
	id := n.traffic.NewID()
	n.replies[id] = reply
	if n.stopping && n.w.now.Sub(n.leftAt) >= host.LeaveTime {
		delete(n.replies, id)
		reply(r.Refusal(target.ReasonStopping))
		return id
	}
	n.perform(n.traffic.Arrive(n.w.now, id, r))
	return id
}

// stop begins a planned stop.
func (n *node) stop() {
	n.do(func() {
		n.stopping, n.stopAt = true, n.w.now
		n.handle(host.Leave{})
		n.leftAt = n.w.now
	})
}

// finishStop ends the process once nothing is in progress and the departure
// has spread, or at the drain timeout.
func (n *node) finishStop() {
	if !n.stopping || !n.alive {
		return
	}
	open := n.traffic.Open()
	waited := n.w.now.Sub(n.leftAt)
	if (open > 0 || waited < host.LeaveTime) && waited < drainTimeout {
		return
	}
	n.w.result.CutByStop += open
	n.w.result.StopSeconds = max(n.w.result.StopSeconds, waited.Seconds())
	n.w.log("%s stopped after %s, %d open", n.id, waited, open)
	n.end()
}

func (n *node) String() string { return fmt.Sprintf("%s (%s)", n.id, n.dataCentre) }
