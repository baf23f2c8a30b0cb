package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"oriolevalve/pkg/flow"
)

// The workload.
const (
	serviceTime = 100 * time.Millisecond
	utilization = 0.5

	publishInterval = 500 * time.Millisecond
	minimumDelay    = 500 * time.Millisecond
	maximumDelay    = 2 * time.Second
	// reportsKept covers maximumDelay.
	reportsKept = 6

	sampleInterval = time.Second
)

// scenario is the input of one run.
type scenario struct {
	hosts, targets, sessions int
	// lifetime is the mean of a session, exponentially distributed. The shorter
	// it is, the more the delay of the load reports weighs.
	lifetime time.Duration
	policy   policy
	seed     uint64
}

// The phases of a run. The time before steadyAt is not measured. After three
// lifetimes 5% of the initial sessions are left; after one it was 37%, and
// their many exceptions, made while the service was nearly empty, showed in
// the share of recorded flows.
func (c *scenario) steadyAt() time.Duration { return 3 * c.lifetime }
func (c *scenario) joinAt() time.Duration   { return 4 * c.lifetime }
func (c *scenario) drainAt() time.Duration  { return 6 * c.lifetime }
func (c *scenario) endAt() time.Duration    { return 8 * c.lifetime }

// window is the time over which requests in progress are averaged; shorter
// windows show mostly the randomness of the requests. A generation is
// retained and a joined target ramps up for the same time.
func (c *scenario) window() time.Duration { return c.lifetime / 5 }

type session struct {
	key    flow.Key
	home   flow.TargetID
	target flow.TargetID
	// moved is set if a retained generation gives the flow another home.
	moved bool
	// position is the index in simulation.live.
	position int
}

func (n *session) recorded() bool { return n.moved || n.target != n.home }

type report struct {
	sessions uint32
	// arrival is when each host learns the report.
	arrival []time.Duration
}

type simulatedTarget struct {
	owner    int
	joinedAt time.Duration // negative if in service from the start
	sessions uint32

	running, queued int
	waiting         []time.Duration // service times of the queued requests
	changedAt       time.Duration
	// busy is the integral of the requests in progress over time, in seconds.
	busy float64

	reports []report // newest last
}

type eventKind uint8

const (
	sessionArrives eventKind = iota
	sessionEnds
	requestArrives
	requestEnds
	publish
	sample
	join
	drain
	dropGenerations
)

type event struct {
	at      time.Duration
	order   uint64
	kind    eventKind
	session *session
	target  flow.TargetID
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation is one run. The workload and the policy draw from separate
// random sources, so that every policy meets the same sessions and requests.
type simulation struct {
	scenario
	workload, policyRandom *rand.Rand
	now                    time.Duration
	queue                  eventQueue
	order                  uint64
	created                int
	live                   []*session
	targets                map[flow.TargetID]*simulatedTarget
	members                []flow.TableTarget
	home                   func(flow.Key) flow.TargetID
	generations            []func(flow.Key) flow.TargetID
	next                   []int // round-robin position of each host
	loads                  []flow.Load
	result                 *result
}

// newcomer is the identifier of the target that joins.
func (s *simulation) newcomer() flow.TargetID { return flow.TargetID(s.scenario.targets + 1) }

func simulate(c scenario) *result {
	s := &simulation{
		scenario:     c,
		workload:     rand.New(rand.NewPCG(c.seed, 1)),
		policyRandom: rand.New(rand.NewPCG(c.seed, 2)),
		targets:      make(map[flow.TargetID]*simulatedTarget),
		next:         make([]int, c.hosts),
		result:       &result{scenario: c},
	}
	for i := range s.next {
		s.next[i] = s.policyRandom.IntN(c.targets)
	}
	for i := range c.targets {
		s.addTarget(flow.TargetID(i+1), -2*c.window())
	}
	s.updateHomes()
	// The initial sessions are placed one after the other with exact loads.
	for range c.sessions {
		s.openSession(true)
	}
	s.schedule(0, event{kind: publish})
	s.schedule(s.exponential(c.lifetime/time.Duration(c.sessions)), event{kind: sessionArrives})
	s.schedule(s.exponential(s.requestInterval()), event{kind: requestArrives})
	s.schedule(c.steadyAt(), event{kind: sample})
	s.schedule(c.joinAt(), event{kind: join})
	s.schedule(c.drainAt(), event{kind: drain})
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > c.endAt() {
			break
		}
		s.now = e.at
		s.handle(e)
	}
	return s.result
}

func (s *simulation) schedule(at time.Duration, e event) {
	s.order++
	e.at, e.order = at, s.order
	heap.Push(&s.queue, e)
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.workload.ExpFloat64() * float64(mean))
}

// slots follows the sizes of section 1.5: the fund's targets have 3.
const slots = 3

func (s *simulation) requestInterval() time.Duration {
	return time.Duration(float64(serviceTime) / (utilization * slots * float64(s.scenario.targets)))
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case sessionArrives:
		s.openSession(false)
		s.schedule(s.now+s.exponential(s.lifetime/time.Duration(s.sessions)), event{kind: sessionArrives})
	case sessionEnds:
		s.targets[e.session.target].sessions--
		last := s.live[len(s.live)-1]
		s.live[e.session.position], last.position = last, e.session.position
		s.live = s.live[:len(s.live)-1]
	case requestArrives:
		s.startRequest()
		s.schedule(s.now+s.exponential(s.requestInterval()), event{kind: requestArrives})
	case requestEnds:
		s.endRequest(e.target)
	case publish:
		s.publishReports()
		s.schedule(s.now+publishInterval, event{kind: publish})
	case sample:
		s.result.add(s)
		s.schedule(s.now+sampleInterval, event{kind: sample})
	case join:
		s.addTarget(s.newcomer(), s.now)
		s.updateHomes()
	case drain:
		s.members = slices.Delete(s.members, 0, 1)
		s.updateHomes()
	case dropGenerations:
		s.generations = s.generations[:0]
		for _, n := range s.live {
			n.moved = false
		}
	}
}

func (s *simulation) addTarget(id flow.TargetID, joinedAt time.Duration) {
	centres := []string{"a", "b", "c"}
	hosts := make([]flow.Host, s.hosts)
	for i := range hosts {
		hosts[i] = flow.Host{ID: fmt.Sprintf("host-%d", i), DataCentre: centres[i%len(centres)]}
	}
	first := flow.OwnerOrder(id, centres[int(id)%len(centres)], hosts)[0]
	s.targets[id] = &simulatedTarget{owner: slices.Index(hosts, first), joinedAt: joinedAt, changedAt: s.now}
	s.members = append(s.members, flow.TableTarget{ID: id, Weight: 1})
}

// updateHomes derives the home of every flow again after a change of the
// target set, and retains the earlier generation.
func (s *simulation) updateHomes() {
	if s.policy.home == nil {
		return
	}
	if s.home != nil {
		s.generations = append(s.generations, s.home)
		s.schedule(s.now+s.window(), event{kind: dropGenerations})
	}
	s.home = s.policy.home(slices.Clone(s.members))
	for _, n := range s.live {
		s.updateHome(n)
	}
}

func (s *simulation) updateHome(n *session) {
	if s.home == nil {
		n.moved = true
		return
	}
	n.home = s.home(n.key)
	for _, g := range s.generations {
		if g(n.key) != n.home {
			n.moved = true
		}
	}
}

func (s *simulation) openSession(exact bool) {
	s.created++
	n := &session{key: flow.KeyOfSession(1, strconv.Itoa(s.created)+"/"+strconv.FormatUint(s.seed, 10)), position: len(s.live)}
	s.updateHome(n)
	if exact {
		s.publishExactly()
	}
	n.target = s.policy.place(s, n)
	s.live = append(s.live, n)
	s.targets[n.target].sessions++
	s.schedule(s.now+s.exponential(s.lifetime), event{kind: sessionEnds, session: n})
}

// startRequest sends a request of a random session to the session's target.
func (s *simulation) startRequest() {
	duration := s.exponential(serviceTime)
	index := s.workload.Float64()
	if len(s.live) == 0 {
		return
	}
	id := s.live[int(index*float64(len(s.live)))].target
	t := s.targets[id]
	t.integrate(s.now)
	if t.running >= slots {
		t.queued++
		t.waiting = append(t.waiting, duration)
		return
	}
	t.running++
	s.schedule(s.now+duration, event{kind: requestEnds, target: id})
}

func (s *simulation) endRequest(id flow.TargetID) {
	t := s.targets[id]
	t.integrate(s.now)
	if t.queued == 0 {
		t.running--
		return
	}
	t.queued--
	duration := t.waiting[0]
	t.waiting = t.waiting[1:]
	s.schedule(s.now+duration, event{kind: requestEnds, target: id})
}

func (t *simulatedTarget) integrate(now time.Duration) {
	t.busy += float64(t.running+t.queued) * (now - t.changedAt).Seconds()
	t.changedAt = now
}

// publishReports gossips the loads of all targets. Each host learns each
// report after its own random delay.
func (s *simulation) publishReports() {
	for id := range flow.TargetID(s.scenario.targets + 1) {
		t := s.targets[id+1]
		if t == nil {
			continue
		}
		r := report{sessions: t.sessions}
		if len(t.reports) == reportsKept {
			r.arrival = t.reports[0].arrival[:0]
			copy(t.reports, t.reports[1:])
			t.reports = t.reports[:reportsKept-1]
		}
		for range s.hosts {
			delay := minimumDelay + time.Duration(s.policyRandom.Int64N(int64(maximumDelay-minimumDelay)))
			r.arrival = append(r.arrival, s.now+delay)
		}
		t.reports = append(t.reports, r)
	}
}

func (s *simulation) publishExactly() {
	for _, t := range s.targets {
		t.reports = append(t.reports[:0], report{sessions: t.sessions, arrival: make([]time.Duration, s.hosts)})
	}
}

// loadsKnownTo returns the loads as a host knows them: exact for the targets
// that it owns, else from the newest report that has arrived.
func (s *simulation) loadsKnownTo(host int) []flow.Load {
	s.loads = s.loads[:0]
	for _, m := range s.members {
		t := s.targets[m.ID]
		l := flow.Load{Target: m.ID, Weight: m.Weight}
		if t.owner == host {
			l.Sessions, l.Eligible = t.sessions, true
		} else {
			for i := len(t.reports) - 1; i >= 0; i-- {
				if t.reports[i].arrival[host] <= s.now {
					l.Sessions, l.Eligible = t.reports[i].sessions, true
					break
				}
			}
		}
		s.loads = append(s.loads, l)
	}
	return s.loads
}

// rampShare returns the share of new sessions that a target takes: from 0.1
// at its join to 1 at the end of the warm-up.
func (s *simulation) rampShare(id flow.TargetID) float64 {
	age := s.now - s.targets[id].joinedAt
	return min(1, 0.1+0.9*float64(age)/float64(s.window()))
}
