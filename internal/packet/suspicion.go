package packet

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// manyHosts is the number of hosts of a data centre from which they ask suspected targets.
	// Fewer see enough flows of each target for deadFlows.
	manyHosts = 8
	// ConnectLimit is the time for a connection to a suspected target, which the system of a
	// live one opens however busy its program is: many round trips between data centres.
	ConnectLimit = 200 * time.Millisecond
	// ConnectPause is the time between the starts of the two tries to connect. A lost packet
	// is repeated only after a second, so the second try stands for the repeat.
	ConnectPause = 150 * time.Millisecond
	// RefusedPause is the same after a refusal, which comes at once, so that the question lasts
	// for questionSpan all the same.
	RefusedPause = 300 * time.Millisecond
	// questionSpan is the time of a question whose tries fail.
	questionSpan = ConnectPause + ConnectLimit
	// AnswerLimit is the time for the answer of a target that was connected to.
	AnswerLimit = 300 * time.Millisecond
	// lateLimit is the time by which a try may end late. One that ends later waited for the
	// host's own processor, which a quota takes away for up to 0.1 s.
	lateLimit = 80 * time.Millisecond
	// askInterval is the time between two questions to a target, aliveInterval that after a
	// sign of life in between: a busy target is slow for longer than one request takes.
	askInterval   = time.Second
	aliveInterval = 2 * time.Second
	// renewInterval is the time after which a dead target is asked again. It leaves time for
	// the question before deadRetention ends the verdict.
	renewInterval = 1200 * time.Millisecond
	// runningQuestions bounds the questions of a host at a time, questionRate those of a
	// second: a quarter of the targets of a data centre that fall dark together, of which a
	// host of a large fleet has flows at about ten.
	runningQuestions = 8
	questionRate     = 16
	// earlyRate is the rate a second of questions after a client's first repeat of data alone,
	// earlyBurst the number at once. One request in thirty waits that long at a busy target, and
	// questions cost connections and slots; the second repeat comes 400 ms later. After a
	// question that failed, here or at another host, there is no such limit for eagerSpan.
	earlyRate  = 0.25
	earlyBurst = 2.0
	eagerSpan  = 3 * time.Second
	// secondRepeat is a time between a client's first repeat, after 200 ms, and its second, after
	// 600 ms.
	secondRepeat = 500 * time.Millisecond
	// spreadLimit bounds the random delay of a question that other hosts gave cause for.
	spreadLimit = 50 * time.Millisecond
	// proofAnswers is the number of requests that others have to answer, each within
	// proofLimit, of those that came in the questionSpan from the start of a question that
	// failed: they show that the host's own link carries packets in less time than the question
	// had. Later ones may show that a cut has healed since.
	proofAnswers = 3
	proofLimit   = ConnectLimit
)

// QuestionOutcome is what a question to a target itself showed.
type QuestionOutcome uint8

// The outcomes of questions.
const (
	// Inconclusive questions show nothing.
	Inconclusive QuestionOutcome = iota
	// AnsweredItself means that the target said who it is, whatever it said of its health.
	AnsweredItself
	// AnsweredByOther means that another target has the address.
	AnsweredByOther
	// ConnectionRefused means that nothing listens at the address.
	ConnectionRefused
	// NoConnection means that nothing answers at the address.
	NoConnection
	QuestionOutcomeCount
)

var questionOutcomeNames = [QuestionOutcomeCount]string{"inconclusive", "itself", "other_target", "refused", "no_connection"}

// String returns the name of the outcome in logs and metrics.
func (o QuestionOutcome) String() string { return questionOutcomeNames[o] }

// failed reports whether the outcome speaks against the target.
func (o QuestionOutcome) failed() bool { return o >= AnsweredByOther }

// ConnectionAttempt is a try to connect to a target.
type ConnectionAttempt struct {
	// Lasted is the time from its start to its end.
	Lasted time.Duration
	// Refused is set if the target's machine refused it, Expired if its time ran out. Any other
	// end is the host's own.
	Refused, Expired bool
}

// FailedConnections returns the outcome of a question whose tries to connect all failed.
func FailedConnections(attempts []ConnectionAttempt) QuestionOutcome {
	outcome := ConnectionRefused
	for _, a := range attempts {
		switch {
		case a.Lasted > ConnectLimit+lateLimit, !a.Refused && !a.Expired:
			return Inconclusive
		case a.Expired:
			outcome = NoConnection
		}
	}
	return outcome
}

// Question asks a target itself whether it lives.
type Question struct {
	Target     TargetKey
	Name       string
	Address    netip.AddrPort
	HealthPath string
	// Asked is the time of the question. The others say what gave cause for it: the packets
	// that clients of this host repeated for Silence, Unanswered if an opening packet was
	// among them, and HeardAge, the age of what another host found, zero if none said so.
	Asked           time.Duration
	Retransmissions int
	Unanswered      bool
	Silence         time.Duration
	HeardAge        time.Duration
	life            uint32
}

// Reply is the outcome of a question.
type Reply struct {
	Question
	Outcome QuestionOutcome
	// Ended is the time of the outcome.
	Ended time.Duration
}

// TargetNews is what hosts tell each other of a target.
type TargetNews struct {
	Target TargetKey
	// At is the time of the question that failed, or that was answered if Lives is set.
	At    time.Duration
	Lives bool
}

// suspicion is what speaks against a target beside the packets of this host's flows. Times
// are zero if they never were.
type suspicion struct {
	// wanted is set while a question is to be asked, from the time due on; asking while one
	// runs.
	wanted, asking bool
	due            time.Duration
	// asked is the start of the last question, outcome that of the last one that ended.
	asked   time.Duration
	outcome QuestionOutcome
	// failed is the start of the last question if it failed, and nothing spoke for the target
	// since; alive that of the last one that the target answered.
	failed, alive time.Duration
	// proofs is the number of requests that came since asked, in time, and that others
	// answered; reached is set if one was of the target's data centre.
	proofs  int
	reached bool
	// heard is the time of the last question of another host that failed.
	heard time.Duration
	// dead is set while the target counts as dead by questions, from the time judged on.
	// listed is set while the plane keeps it among those.
	dead, listed bool
	judged       time.Duration
}

// progress drops what speaks against a target that gave a sign of life.
func (s *suspicion) progress() { s.failed, s.heard, s.dead, s.wanted = 0, 0, false, false }

// reportedDead reports whether another host's question failed that nothing has answered since.
func (s *suspicion) reportedDead(now time.Duration) bool {
	return s.heard > s.alive && now-s.heard <= deadRetention
}

// avoided reports whether new flows avoid the target.
func (s *suspicion) avoided(now time.Duration) bool {
	return s.countsAsDead(now) || s.reportedDead(now)
}

// countsAsDead reports whether the target counts as dead by questions.
func (s *suspicion) countsAsDead(now time.Duration) bool {
	return s.dead && now-s.failed <= deadRetention
}

// inquiry is the plane's part in questions to targets.
type inquiry struct {
	// wanted holds targets to be asked, examined those that are being asked or whose question
	// failed and awaits proof, and dead those that count as dead.
	wanted, examined, dead []*targetRecord
	running                int
	// second is the start of the span in which begun questions count against questionRate.
	second time.Duration
	begun  int
	// early is what was left of earlyBurst at the time counted. It does not count until eager.
	early          float64
	counted, eager time.Duration
	news           []TargetNews
}

// asksTargets reports whether the hosts ask suspected targets of a service, which needs a path and
// many hosts.
func (v *View) asksTargets(service string) bool {
	return v.hosts[Local] >= manyHosts && v.healthPaths[service] != ""
}

// mayCountAsDead reports whether a target can come to count as dead by questions. Those that leave by
// plan close their own flows.
func (p *Plane) mayCountAsDead(t *targetRecord) bool {
	return (t.State == Accepting || t.State == Lapsed) && t.entry != nil && p.view.asksTargets(t.Service)
}

// noteQuickAnswer notes that a target answered a request that came at a time.
func (p *Plane) noteQuickAnswer(now time.Duration, t *targetRecord, requested time.Duration) {
	if now-requested > proofLimit {
		return
	}
	for _, examined := range p.inquiry.examined {
		s := &examined.suspicion
		if requested <= s.asked || requested > s.asked+questionSpan {
			continue
		}
		s.proofs++
		s.reached = s.reached || examined.dataCentre == t.dataCentre
	}
}

// suspect wants a question to a target that did not answer what a client sent first at a time. A
// sign of life since then means that it is busy, and so does a first repeat of data most of the
// time.
func (p *Plane) suspect(now time.Duration, t *targetRecord, sent time.Duration, first bool) {
	s := &t.suspicion
	if t.answeredAt > sent || s.wanted || s.asking || !p.mayCountAsDead(t) || t.unreachable(now) || first && !p.inquiry.admitEarly(now) {
		return
	}
	p.want(t, now)
}

// admitEarly counts a question after a first repeat, and reports whether it may be asked.
func (i *inquiry) admitEarly(now time.Duration) bool {
	if now < i.eager {
		return true
	}
	i.early = min(earlyBurst, i.early+earlyRate*(now-i.counted).Seconds())
	i.counted = now
	if i.early < 1 {
		return false
	}
	i.early--
	return true
}

// want asks a target from a time on, but not too often.
func (p *Plane) want(t *targetRecord, from time.Duration) {
	s := &t.suspicion
	if s.wanted || s.asking || !p.mayCountAsDead(t) {
		return
	}
	if s.asked != 0 {
		interval := askInterval
		if s.alive == s.asked {
			interval = aliveInterval
		}
		from = max(from, s.asked+interval)
	}
	s.wanted, s.due = true, from
	p.inquiry.wanted = append(p.inquiry.wanted, t)
}

// HearNews takes over what another host found out about a target.
func (p *Plane) HearNews(now time.Duration, n TargetNews) {
	t := p.targets[n.Target]
	if t == nil || p.view == nil || n.Lives || !p.mayCountAsDead(t) {
		return
	}
	s := &t.suspicion
	if n.At <= s.heard || n.At <= s.alive || n.At <= t.answeredAt || now-n.At > deadRetention {
		return
	}
	s.heard = n.At
	p.inquiry.eager = now + eagerSpan
	// Without flows there nothing depends on the target but where new ones go.
	if t.open > 0 && s.asked < n.At && !s.dead {
		p.want(t, now+time.Duration(p.random.Int64N(int64(spreadLimit))))
	}
}

// Questions returns the questions to be asked now. Each gets a Reply.
func (p *Plane) Questions(now time.Duration) []Question {
	i := &p.inquiry
	for _, t := range i.dead {
		s := &t.suspicion
		if s.countsAsDead(now) && t.State == Accepting && !s.wanted && !s.asking && now-s.asked >= renewInterval {
			p.want(t, now)
		}
	}
	if len(i.wanted) == 0 {
		return nil
	}
	var list []Question
	i.wanted = slices.DeleteFunc(i.wanted, func(t *targetRecord) bool {
		s := &t.suspicion
		switch {
		case !s.wanted:
			return true
		case t.silentSince == 0 && !s.dead && !s.reportedDead(now), !p.mayCountAsDead(t):
			s.wanted = false
			return true
		case now < s.due || !i.admit(now):
			return false
		}
		s.wanted, s.asking, s.asked, s.proofs, s.reached = false, true, now, 0, false
		if !slices.Contains(i.examined, t) {
			i.examined = append(i.examined, t)
		}
		q := Question{
			Target: t.Key, Name: t.Name, Address: t.Address, HealthPath: p.view.healthPaths[t.Service], Asked: now,
			Retransmissions: t.repeats, Unanswered: t.unanswered, life: t.life,
		}
		if t.silentSince != 0 {
			q.Silence = now - t.silentSince
		}
		if s.heard != 0 {
			q.HeardAge = now - s.heard
		}
		list = append(list, q)
		return true
	})
	return list
}

// admit counts a question that begins, and reports whether it may.
func (i *inquiry) admit(now time.Duration) bool {
	if now-i.second >= time.Second {
		i.second, i.begun = now, 0
	}
	if i.running >= runningQuestions || i.begun >= questionRate {
		return false
	}
	i.running++
	i.begun++
	return true
}

// TakeReply learns from the outcome of a question.
func (p *Plane) TakeReply(now time.Duration, r *Reply) {
	// A plane that was made anew gets replies to the questions of the one before.
	p.inquiry.running = max(0, p.inquiry.running-1)
	t := p.targets[r.Target]
	if t == nil || t.life != r.life || !t.suspicion.asking {
		return
	}
	s := &t.suspicion
	s.asking, s.outcome = false, r.Outcome
	switch {
	case r.Outcome == AnsweredItself:
		s.alive, s.failed, s.heard, s.dead = r.Asked, 0, 0, false
		p.inquiry.news = append(p.inquiry.news, TargetNews{Target: t.Key, At: r.Asked, Lives: true})
	case !r.Outcome.failed() || t.answeredAt > r.Asked:
	case s.dead:
		s.failed = r.Asked
		p.tell(t)
	default:
		s.failed, p.inquiry.eager = r.Asked, now+eagerSpan
	}
}

// tell passes on that a question to a target failed.
func (p *Plane) tell(t *targetRecord) {
	p.inquiry.news = append(p.inquiry.news, TargetNews{Target: t.Key, At: t.suspicion.failed})
}

// Judge draws the verdicts for which proof has come, and ends those that no longer hold. It
// returns what other hosts are to be told.
func (p *Plane) Judge(now time.Duration) []TargetNews {
	i := &p.inquiry
	if len(i.examined) > 0 {
		i.examined = slices.DeleteFunc(i.examined, func(t *targetRecord) bool { return !t.suspicion.asking && p.judge(now, t) })
	}
	if len(i.dead) > 0 {
		i.dead = slices.DeleteFunc(i.dead, func(t *targetRecord) bool { return p.ended(now, t) })
	}
	news := i.news
	i.news = nil
	return news
}

// judge decides on a target whose question failed, and reports whether that is over.
func (p *Plane) judge(now time.Duration, t *targetRecord) bool {
	s := &t.suspicion
	suspected := t.silentSince != 0 || s.reportedDead(now)
	switch {
	case s.failed == 0 || s.dead || !suspected || !p.mayCountAsDead(t):
		return true
	case s.proofs < proofAnswers || !s.reached || t.unreachable(now):
		// Without an answer of the target's data centre nothing shows that the way there is
		// open. A sign of life is not enough: behind a cut targets still send what they owe.
		if now-s.failed <= questionSpan+proofLimit {
			return false
		}
		s.failed = 0
		p.want(t, now)
		return true
	}
	s.dead, s.judged = true, now
	if !s.listed {
		s.listed = true
		p.inquiry.dead = append(p.inquiry.dead, t)
	}
	p.tell(t)
	b := HealthChange{
		Target: t.Name, DataCentre: t.DataCentre, Silent: true, Dead: true, Retransmissions: t.repeats, Flows: t.repeaters,
		Unanswered: t.unanswered, Asked: s.outcome, QuestionAge: now - s.failed,
	}
	if t.silentSince != 0 {
		b.Silence = now - t.silentSince
	}
	if s.heard != 0 {
		b.HeardAge = now - s.heard
	}
	p.beliefs = append(p.beliefs, b)
	p.endFlows(ReasonTargetDead, func(key Flow, f *flowRecord) bool {
		if f.target != t || !f.leaves(t) {
			return false
		}
		route := p.view.routes[key.Service]
		return !f.active || route != nil && route.Idempotent
	})
	return true
}

// abandoned reports whether the client of a flow is told to open a new one, because the target
// counts as dead by questions. Those test the target, so that no packet has to.
func (f *flowRecord) abandoned(now time.Duration, route *Route, k *Packet) bool {
	return f.target.suspicion.countsAsDead(now) && f.leaves(f.target) && route.Idempotent && k.Length > 0 && !k.RST
}

// leaves reports whether a flow at a target that counts as dead by questions leaves it: it was
// there before the verdict, in the target's present life. Later ones are of hosts that may know
// more.
func (f *flowRecord) leaves(t *targetRecord) bool {
	return f.life == t.life && f.known <= t.suspicion.judged
}

// ended reports whether a target no longer counts as dead, and notes that.
func (p *Plane) ended(now time.Duration, t *targetRecord) bool {
	s := &t.suspicion
	if s.listed && s.countsAsDead(now) && p.mayCountAsDead(t) {
		return false
	}
	expired := s.dead
	s.dead, s.listed = false, false
	p.beliefs = append(p.beliefs, HealthChange{Target: t.Name, DataCentre: t.DataCentre, Retried: expired})
	return true
}
