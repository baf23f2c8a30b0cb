package replay

import (
	"fmt"
	"strings"
	"time"

	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

// retryPause is the mean time before a caller sends a request again.
const retryPause = 200 * time.Millisecond

// session is one caller with its session, or a caller without one.
type session struct {
	w           *world
	load        *Load
	key         string
	open        bool
	target      string
	openedAt    time.Time
	sequence    int
	remaining   int
	moved       bool
	lostMessage bool
}

// message is one request with all its attempts.
type message struct {
	id            string
	session       *session
	first, last   bool
	nonIdempotent bool
	sent          time.Time
	attempts      int
	tries         int
	// unknownAttempts counts the attempts whose outcome the caller does not know.
	unknownAttempts int
	runs            int
	firstRun        time.Time
	ranAttempt      map[string]bool
	// refused are the attempts that the caller was told did not run.
	refused  []refusal
	answered bool
	finished bool
	notRun   bool
}

// refusal is a reply "not run".
type refusal struct {
	attempt string
	marked  bool
	at      time.Time
}

// falseNotRun reports whether a reply "not run" was false: that attempt ran, or
// it was marked as a repeat and the request had run before the reply. About an
// unmarked repeat the reply says nothing beyond that attempt.
func (m *message) falseNotRun() bool {
	for _, r := range m.refused {
		if m.ranAttempt[r.attempt] || r.marked && m.nonIdempotent && m.runs > 0 && !r.at.Before(m.firstRun) {
			return true
		}
	}
	return false
}

func (w *world) startLoad(l *Load) {
	count := l.Sessions + l.Callers
	for i := range count {
		// Spreads the start over one interval.
		offset := time.Duration(int64(l.Interval.Std()) * int64(i) / int64(count))
		w.after(l.Start.Std()+offset, func() { w.openSession(l) })
	}
}

func (w *world) openSession(l *Load) {
	if l.Stop > 0 && w.now.Sub(w.start) >= l.Stop.Std() {
		return
	}
	c := &session{w: w, load: l, open: true, remaining: 1}
	if l.Sessions > 0 {
		c.key = fmt.Sprintf("s%d", len(w.callers))
		c.remaining = 1 + w.random.IntN(2*max(l.Length, 1))
	}
	w.callers = append(w.callers, c)
	c.next()
}

// next sends the next message of a session.
func (c *session) next() {
	w := c.w
	m := &message{
		id: fmt.Sprintf("m%d", len(w.messages)), session: c, first: c.sequence == 0,
		last: c.remaining == 1, nonIdempotent: w.random.Float64() < c.load.NonIdempotent,
		sent: w.now, ranAttempt: map[string]bool{},
	}
	w.messages = append(w.messages, m)
	c.sequence++
	c.remaining--
	m.attempt()
	if w.random.Float64() < c.load.DuplicateShare {
		m.attempt()
	}
}

// attempt sends the message through a random host.
func (m *message) attempt() {
	w := m.session.w
	l := m.session.load
	m.attempts++
	w.result.Attempts++
	tag := fmt.Sprintf("%s.%d", m.id, m.attempts)
	w.attempts[tag] = m
	r := target.Request{
		HasSession: m.session.key != "", First: m.first, SessionEnd: m.last, Identity: m.id,
		Idempotent: !m.nonIdempotent, NotAfter: w.now.Add(min(l.Patience.Std(), target.MaxRequestTime)),
		Caller: m.session.key, Method: "/app/Call", Body: []byte(tag),
	}
	if w.without("deduplication") {
		r.Identity = tag
	}
	if !l.Unmarked {
		r.HasAttempt, r.Attempt, r.FirstAttemptAt = true, uint32(m.unknownAttempts), m.sent
	}
	done := false
	finish := func(reply target.Reply) {
		if !done {
			done = true
			m.result(tag, r.Attempt > 0, reply)
		}
	}
	w.after(l.Patience.Std(), func() {
		finish(target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonDeadline})
	})
	n := w.spray()
	// A refused connection is not an answer of the system.
	refused := func() {
		if !done && !m.finished {
			done = true
			w.after(retryPause, m.retry)
		}
	}
	if n == nil {
		refused()
		return
	}
	m.follow("%s sent to %s, first %v, last %v", tag, n.id, m.first, m.last)
	w.after(callerDelay, func() {
		if !n.alive {
			// The connection is refused, so nothing was sent.
			w.after(callerDelay, refused)
			return
		}
		n.onCrash(func() {
			w.after(callerDelay, func() { finish(target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonAttemptLost}) })
		})
		n.do(func() {
			v := n.traffic.View()
			if v == nil {
				w.after(callerDelay, func() { finish(r.Refusal(target.ReasonPermitExpired)) })
				return
			}
			s, known := v.ServiceByAuthority(l.Service)
			if !known {
				w.after(callerDelay, func() { finish(r.Refusal(target.ReasonUnknownService)) })
				return
			}
			r.Service = s.ID
			if r.HasSession {
				r.Key = flow.KeyOfSession(s.ID, m.session.key)
			}
			n.arrive(r, func(reply target.Reply) { w.after(callerDelay, func() { finish(reply) }) })
		})
	})
}

// spray chooses the host that the fabric hands a message to.
func (w *world) spray() *node {
	var list []*node
	for _, n := range w.order {
		if w.nodes[n.id] != n {
			continue
		}
		if n.alive || w.now.Sub(w.impaired["end "+n.id]) < fabricLag {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.random.IntN(len(list))]
}

// ran records that a target runs an attempt.
func (w *world) ran(t *targetModel, tag string) {
	m := w.attempts[tag]
	m.ranAttempt[tag] = true
	m.follow("%s runs at %s", tag, t.address)
	m.runs++
	if m.runs == 1 {
		m.firstRun = w.now
	} else if m.nonIdempotent {
		w.log("%s runs a second time at %s", tag, t.address)
	}
	if t.service != m.session.load.Service {
		w.result.Misrouted++
		w.log("%s of %s runs at %s of %s", tag, m.session.load.Service, t.address, t.service)
	}
	if drained, draining := w.drainedAt[t.address]; draining && m.first && w.now.Sub(drained) > leavingLimit && m.session.target == "" {
		w.result.LateAtDraining++
		w.log("%s opens a session at draining %s", tag, t.address)
	}
}

// result handles the outcome of an attempt at the caller.
func (m *message) result(tag string, marked bool, reply target.Reply) {
	w := m.session.w
	if reply.Outcome == target.OutcomeNotRun {
		m.refused = append(m.refused, refusal{attempt: tag, marked: marked, at: w.now})
	}
	m.follow("%s: %s %s", tag, reply.Outcome, reply.Reason)
	if m.finished {
		return
	}
	if reply.Outcome != target.OutcomeAnswered {
		w.log("%s: %s %s", tag, reply.Outcome, reply.Reason)
	}
	switch reply.Outcome {
	case target.OutcomeAnswered:
		m.answer(reply)
		return
	case target.OutcomeUnknown:
		m.unknownAttempts++
	}
	m.tries++
	if m.tries <= m.session.load.Repeats {
		w.after(retryPause/2+time.Duration(w.random.Int64N(int64(retryPause)))*time.Duration(m.tries), m.retry)
		return
	}
	m.finished = true
	m.notRun = m.unknownAttempts == 0
	w.log("%s ends as %s: %s", tag, reply.Outcome, reply.Reason)
	m.session.lostMessage = m.session.lostMessage || m.notRun
	m.proceed()
}

func (m *message) retry() {
	if !m.finished {
		m.attempt()
	}
}

func (m *message) follow(format string, arguments ...any) {
	w := m.session.w
	if key := m.session.key; key != "" && key == w.trace.Follow {
		w.log(key+" "+format, arguments...)
	}
}

// answer checks that the answer is whole and belongs to this request.
func (m *message) answer(reply target.Reply) {
	w := m.session.w
	m.finished, m.answered = true, true
	w.latencies = append(w.latencies, float64(w.now.Sub(m.sent).Microseconds())/1000)
	tag, address, whole := strings.Cut(string(reply.Body), "@")
	if !whole || w.attempts[tag] != m {
		w.result.WrongAnswers++
	}
	c := m.session
	if c.target == "" {
		c.target, c.openedAt = address, w.now
	} else if c.target != address && c.key != "" {
		if !c.moved && !w.explained(c) {
			w.result.MovedReplicated++
		}
		if !c.moved {
			w.log("%s moved from %s to %s", c.key, c.target, address)
		}
		c.moved = true
	}
	m.proceed()
}

// proceed goes on with the session, or opens the next one.
func (m *message) proceed() {
	c := m.session
	w := c.w
	pause := c.load.Interval.Std()/2 + time.Duration(w.random.Int64N(int64(c.load.Interval.Std())+1))
	if c.remaining > 0 && (c.target != "" || c.sequence > 1) {
		w.after(pause, c.next)
		return
	}
	c.open = false
	w.after(pause, func() { w.openSession(c.load) })
}
