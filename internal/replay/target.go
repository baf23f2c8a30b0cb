package replay

import (
	"time"

	"oriolevalve/internal/host"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

// targetModel is the process at a target address.
type targetModel struct {
	w          *world
	address    string
	name       string
	service    string
	dataCentre string
	slots      int
	alive      bool
	nextRun    uint64
	// running maps the requests in progress to what happens if the target dies.
	running map[uint64]func()
	// conditions until a time
	slowUntil  time.Time
	slow       time.Duration
	shedUntil  time.Time
	hangUntil  time.Time
	falseUntil time.Time
}

// runAtTarget sends a request to a target and calls done once, unless the host
// has died.
func (w *world) runAtTarget(n *node, a host.Dispatch, done func(target.Reply)) {
	finished := false
	finish := func(r target.Reply) {
		if finished {
			return
		}
		finished = true
		if w.without("outcome") && r.Outcome == target.OutcomeUnknown {
			r.Outcome = target.OutcomeNotRun
		}
		n.do(func() { done(r) })
	}
	v := n.traffic.View()
	declared, _, known := v.Target(a.Target)
	m := w.targets[declared.Address]
	if !known || m == nil {
		finish(target.Reply{Outcome: target.OutcomeNotRun, Reason: target.ReasonTargetDown})
		return
	}
	unknown := target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonAttemptLost}
	w.after(a.NotAfter.Sub(w.now), func() { finish(target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonDeadline}) })
	separated := func() bool {
		_, cut := w.cutSince(n.id, n.dataCentre, m.address, m.dataCentre)
		return cut
	}
	if separated() {
		w.after(silenceTimeout, func() { finish(unknown) })
		return
	}
	delay := hostDelay
	if n.dataCentre == m.dataCentre {
		delay = localDelay
	}
	w.after(delay, func() {
		m.receive(a, func(r target.Reply) {
			w.after(delay, func() {
				if separated() {
					w.after(silenceTimeout, func() { finish(unknown) })
					return
				}
				finish(r)
			})
		})
	})
}

// receive runs a request, or refuses it.
func (m *targetModel) receive(a host.Dispatch, reply func(target.Reply)) {
	w := m.w
	refuse := func(reason target.Reason) { reply(target.Reply{Outcome: target.OutcomeNotRun, Reason: reason}) }
	switch {
	case !m.alive:
		refuse(target.ReasonTargetDown)
		return
	case w.now.After(a.NotAfter):
		refuse(target.ReasonDeadline)
		return
	case w.now.Before(m.shedUntil):
		w.result.Shed++
		refuse(target.ReasonShed)
		return
	case len(m.running) >= m.slots:
		w.result.OverSlots++
		refuse(target.ReasonShed)
		return
	}
	m.nextRun++
	run := m.nextRun
	m.running[run] = func() { reply(target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonAttemptLost}) }
	w.ran(m, string(a.Request.Body))
	if w.now.Before(m.hangUntil) {
		return
	}
	mean := w.trace.ServiceTime.Std()
	took := mean/2 + time.Duration(w.random.Int64N(int64(mean)+1))
	if w.now.Before(m.slowUntil) {
		took += m.slow
	}
	// The target ends the run at the deadline, which it gets with the request.
	late := w.now.Add(took).After(a.NotAfter)
	w.after(min(took, a.NotAfter.Sub(w.now)), func() {
		if m.running[run] == nil {
			return
		}
		delete(m.running, run)
		if late {
			return
		}
		reply(target.Reply{Outcome: target.OutcomeAnswered, Body: []byte(string(a.Request.Body) + "@" + m.address)})
	})
}

func (m *targetModel) crash() {
	m.alive = false
	running := m.running
	m.running = map[uint64]func(){}
	for run := uint64(1); run <= m.nextRun; run++ {
		if lost := running[run]; lost != nil {
			lost()
		}
	}
}

// probeTarget asks for the health, which may be reported falsely.
func (w *world) probeTarget(n *node, id flow.TargetID, done func(bool)) {
	declared, _, known := n.traffic.View().Target(id)
	m := w.targets[declared.Address]
	if !known || m == nil {
		return
	}
	ok := m.alive
	if w.now.Before(m.falseUntil) {
		ok = !ok
	}
	if _, separated := w.cutSince(n.id, n.dataCentre, m.address, m.dataCentre); separated {
		w.after(silenceTimeout, func() { n.do(func() { done(false) }) })
		return
	}
	w.after(2*hostDelay, func() { n.do(func() { done(ok) }) })
}
