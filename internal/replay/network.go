package replay

import (
	"time"

	"oriolevalve/internal/peer"
	"oriolevalve/internal/target"
)

const (
	// hostDelay is the one-way delay between data centres, callerDelay the one
	// to callers, and localDelay the one within a data centre.
	hostDelay   = 500 * time.Microsecond
	callerDelay = time.Millisecond
	localDelay  = 100 * time.Microsecond
	// silenceTimeout is how long a call waits on a silent connection.
	silenceTimeout = 2 * time.Second
)

// failure says what is known about a call without a reply.
type failure uint8

const (
	noFailure failure = iota
	// notSent means that the callee certainly did not get the call.
	notSent
	// maybeSent means that the callee may have got it.
	maybeSent
)

// cut separates two sides until a time.
type cut struct {
	a, b  string
	since time.Time
	until time.Time
}

func (w *world) delay(a, b *node) time.Duration {
	if a.dataCentre == b.dataCentre {
		return localDelay
	}
	return hostDelay
}

// cutSince returns since when two named places are separated. A place has a
// name and a data centre.
func (w *world) cutSince(a, aCentre, b, bCentre string) (time.Time, bool) {
	matches := func(side, name, centre string) bool { return side == name || side == centre }
	for _, c := range w.cuts {
		if !c.until.IsZero() && !w.now.Before(c.until) {
			continue
		}
		if matches(c.a, a, aCentre) && matches(c.b, b, bCentre) || matches(c.a, b, bCentre) && matches(c.b, a, aCentre) {
			return c.since, true
		}
	}
	return time.Time{}, false
}

// call runs a function on another host and calls done exactly once on the
// calling host: with noFailure after the function called reply, or with what is
// known if it did not.
func (w *world) call(from, to *node, run func(reply func(func())), done func(failure)) {
	finished := false
	finish := func(f failure, then func()) {
		if finished {
			return
		}
		finished = true
		from.do(func() {
			if then != nil {
				then()
				return
			}
			done(f)
		})
	}
	if to == nil {
		w.after(hostDelay, func() { finish(notSent, nil) })
		return
	}
	delay := w.delay(from, to)
	if since, separated := w.cutSince(from.id, from.dataCentre, to.id, to.dataCentre); separated {
		if w.now.Sub(since) >= silenceTimeout {
			w.after(silenceTimeout/2, func() { finish(notSent, nil) })
		} else {
			w.after(silenceTimeout, func() { finish(maybeSent, nil) })
		}
		return
	}
	w.after(delay, func() {
		if !to.alive {
			w.after(delay, func() { finish(notSent, nil) })
			return
		}
		epoch := to.epoch
		to.onCrash(func() { w.after(delay, func() { finish(maybeSent, nil) }) })
		w.watchSilence(from, to, func() bool { return finished || to.epoch != epoch }, func() { finish(maybeSent, nil) })
		to.do(func() {
			run(func(then func()) {
				w.after(delay, func() {
					if _, separated := w.cutSince(from.id, from.dataCentre, to.id, to.dataCentre); !separated {
						finish(noFailure, then)
					}
				})
			})
		})
	})
}

// watchSilence fails a call whose connection has been silent too long, because
// the callee is paused or separated.
func (w *world) watchSilence(from, to *node, over func() bool, fail func()) {
	var check func()
	check = func() {
		if over() {
			return
		}
		silent := time.Time{}
		if to.paused {
			silent = to.pausedAt
		}
		if since, separated := w.cutSince(from.id, from.dataCentre, to.id, to.dataCentre); separated {
			silent = since
		}
		if !silent.IsZero() && w.now.Sub(silent) >= silenceTimeout {
			fail()
			return
		}
		w.after(silenceTimeout/4, check)
	}
	w.after(silenceTimeout/4, check)
}

// ping carries a ping of the membership.
func (w *world) ping(from *node, a peer.SendPing) {
	to := w.nodes[a.To.Address]
	w.call(from, to, func(reply func(func())) {
		to.receivePing(a.Message, func(ack peer.SendAck) {
			reply(func() { from.peerEvent(peer.AckReceived{Sequence: a.Sequence, Message: ack.Message}) })
		})
	}, func(failure) { from.peerEvent(peer.PingFailed{Sequence: a.Sequence}) })
}

func (w *world) pingRequest(from *node, a peer.SendPingRequest) {
	to := w.nodes[a.To.Address]
	w.call(from, to, func(reply func(func())) {
		to.receivePingRequest(a.Request, func(ack peer.SendAck) {
			reply(func() {
				if ack.Failed {
					from.peerEvent(peer.PingFailed{Sequence: a.Sequence})
					return
				}
				from.peerEvent(peer.AckReceived{Sequence: a.Sequence, Message: ack.Message})
			})
		})
	}, func(failure) { from.peerEvent(peer.PingFailed{Sequence: a.Sequence}) })
}

// relayReply turns a failed relay into a reply.
func relayReply(f failure) target.Reply {
	if f == notSent {
		return target.Reply{Outcome: target.OutcomeNotRun, Reason: target.ReasonOwnerUnreachable}
	}
	return target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonAttemptLost}
}
