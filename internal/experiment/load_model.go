package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"oriolevalve/internal/packet"
)

// The model of packet hosts in front of targets with slots. Each request has a flow of
// its own, as in the services with the highest rate of new flows.
const (
	loadDataCentres = 3
	loadSlots       = 2
	// loadQueue is the number of requests that wait at a target before it sheds.
	loadQueue = 8
	// loadWork is the mean work of a request, loadSpread the sigma of its logarithm.
	loadWork   = 50 * time.Millisecond
	loadSpread = 0.5
	// loadWayLocal and loadWayRemote are the times from a host to a target and back to
	// the client, in the host's data centre and in another one.
	loadWayLocal  = 2 * time.Millisecond
	loadWayRemote = 3 * time.Millisecond
	// loadAim is the time in which an answer is wanted, loadDeadline that after which it
	// is worth nothing.
	loadAim      = 400 * time.Millisecond
	loadDeadline = 3 * time.Second
	// loadCold is the length of a new target's warm-up, loadColdFactor its slowness.
	loadCold       = 2 * time.Second
	loadColdFactor = 1.6
	// loadLapse is the time until the entry of a dead target goes.
	loadLapse = 3600 * time.Millisecond
)

// loadCopies are the times at which a client repeats an opening packet, and gives up.
var loadCopies = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// loadRoute returns the address of a kind's route.
func loadRoute(kind int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(kind + 1)}), 443)
}

// loadTarget is a target of the model.
type loadTarget struct {
	packet.Target
	waiting []*loadRequest
	running int
	// slow multiplies the work of requests; a dead target answers nothing.
	slow float64
	dead bool
	born time.Duration
	busy time.Duration
	// demand is the expected number of requests in progress of the open flows.
	demand float64
	// lived is the time in which the target took new flows.
	lived, since time.Duration
}

// loadKind is a kind of request, with a route of its own.
type loadKind struct {
	// share is the part of the requests, work their mean work but for the tail.
	share float64
	work  time.Duration
	// tail is the part of the requests that need tailFactor times the work.
	tail, tailFactor float64
	// requests is the number of requests of a flow, pause the mean time between two.
	requests int
	pause    time.Duration
}

// meanWork returns the mean work of a request.
func (k *loadKind) meanWork() time.Duration {
	return time.Duration(float64(k.work) * (1 + k.tail*(k.tailFactor-1)))
}

// demand returns the mean number of requests in progress of a flow at a target of mean speed.
func (k *loadKind) demand() float64 {
	if k.requests < 2 {
		return 0
	}
	return k.work.Seconds() / (k.work + k.pause).Seconds()
}

// loadRequest is a flow with its request on the way.
type loadRequest struct {
	flow    packet.Flow
	kind    int
	host    int
	target  *loadTarget
	started time.Duration
	copies  int
	// made is the number of requests before this one.
	made int
}

type loadEvent struct {
	at    time.Duration
	order int
	run   func()
}

type loadQueueOfEvents []loadEvent

func (q loadQueueOfEvents) Len() int { return len(q) }
func (q loadQueueOfEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q loadQueueOfEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *loadQueueOfEvents) Push(x any)   { *q = append(*q, x.(loadEvent)) }
func (q *loadQueueOfEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// loadModel plays requests through a placement in virtual time.
type loadModel struct {
	now       time.Duration
	events    loadQueueOfEvents
	order     int
	random    *rand.Rand
	hosts     int
	targets   []*loadTarget
	placement placement
	clients   int
	// rate is the number of requests a second of each data centre's clients.
	rate   [loadDataCentres]float64
	kinds  []loadKind
	result loadResult
}

func dataCentreName(i int) string { return string(rune('a' + i)) }

// dataCentreOf returns the data centre of a host: they are dealt to them in turn.
func dataCentreOf(host int) int { return host % loadDataCentres }

// hostsIn returns the number of hosts in a data centre.
func (m *loadModel) hostsIn(dataCentre int) int {
	return (m.hosts - dataCentre + loadDataCentres - 1) / loadDataCentres
}

func newLoadModel(hosts, targets int, use float64, seed uint64) *loadModel {
	m := &loadModel{random: rand.New(rand.NewPCG(seed, 5)), hosts: hosts, kinds: []loadKind{{share: 1, work: loadWork, requests: 1}}}
	for range targets {
		m.addTarget()
	}
	for i := range m.rate {
		m.rate[i] = use * float64(targets*loadSlots) / loadWork.Seconds() / loadDataCentres
	}
	return m
}

// setKinds sets the kinds of requests; the work of all stays as it was.
func (m *loadModel) setKinds(kinds ...loadKind) {
	before, after := 0.0, 0.0
	for i := range m.kinds {
		before += m.kinds[i].share * m.kinds[i].meanWork().Seconds()
	}
	for i := range kinds {
		after += kinds[i].share * kinds[i].meanWork().Seconds()
	}
	m.kinds = kinds
	for i := range m.rate {
		m.rate[i] *= before / after
	}
}

// drawKind returns the kind of a new flow: long flows are fewer than their requests.
func (m *loadModel) drawKind() int {
	if len(m.kinds) == 1 {
		return 0
	}
	drawn := m.random.Float64() * m.flowsPerRequest()
	for i := range m.kinds {
		drawn -= m.kinds[i].share / float64(m.kinds[i].requests)
		if drawn < 0 {
			return i
		}
	}
	return len(m.kinds) - 1
}

func (m *loadModel) flowsPerRequest() float64 {
	sum := 0.0
	for i := range m.kinds {
		sum += m.kinds[i].share / float64(m.kinds[i].requests)
	}
	return sum
}

func (m *loadModel) addTarget() {
	i := len(m.targets)
	t := &loadTarget{slow: 1, since: m.now, born: m.now, Target: packet.Target{
		Key: packet.TargetKey(i + 1), Service: "s", DataCentre: dataCentreName(i % loadDataCentres), Slots: loadSlots,
	}}
	if m.now > 0 {
		t.WarmUpEnd = m.now + loadCold
	} else {
		t.born = -loadCold
	}
	m.targets = append(m.targets, t)
}

// close ends the time in which a target takes new flows.
func (m *loadModel) close(t *loadTarget, state packet.TargetState) {
	if t.State == packet.Accepting {
		t.lived += m.now - t.since
	}
	t.State = state
}

func (m *loadModel) at(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, loadEvent{at: m.now + d, order: m.order, run: run})
}

// run plays until the end, and the requests in progress to their own.
func (m *loadModel) run(p placement, end time.Duration) {
	m.placement = p
	p.view(m)
	for i := range m.rate {
		m.arriveNext(i, end)
	}
	m.sweep(end)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(loadEvent)
		m.now = e.at
		e.run()
	}
	for _, t := range m.targets {
		m.close(t, packet.Gone)
	}
}

func (m *loadModel) sweep(end time.Duration) {
	m.placement.sweep(m)
	if m.now < end {
		m.at(250*time.Millisecond, func() { m.sweep(end) })
	}
}

func (m *loadModel) arriveNext(dataCentre int, end time.Duration) {
	wait := time.Duration(m.random.ExpFloat64() / (m.rate[dataCentre] * m.flowsPerRequest()) * float64(time.Second))
	if m.now+wait >= end {
		return
	}
	m.at(wait, func() {
		m.clients++
		r := &loadRequest{
			kind: m.drawKind(),
			host: dataCentre + loadDataCentres*m.random.IntN(m.hostsIn(dataCentre)), started: m.now,
			flow: packet.Flow{Client: netip.AddrPortFrom(
				netip.AddrFrom4([4]byte{100, byte(64 + m.clients>>22), byte(m.clients >> 14), byte(m.clients >> 6)}), uint16(1024+m.clients&63))},
		}
		r.flow.Service = loadRoute(r.kind)
		m.open(r)
		m.arriveNext(dataCentre, end)
	})
}

func (m *loadModel) way(r *loadRequest) time.Duration {
	if r.remote() {
		return loadWayRemote
	}
	return loadWayLocal
}

// remote reports whether the target is in another data centre than the host.
func (r *loadRequest) remote() bool {
	return r.target.DataCentre != dataCentreName(dataCentreOf(r.host))
}

// open passes an opening packet or a copy of it to the placement.
func (m *loadModel) open(r *loadRequest) {
	r.target = m.placement.place(m, r)
	if r.target == nil {
		m.result.failed++
		return
	}
	if !r.target.dead {
		r.target.demand += m.kinds[r.kind].demand()
		m.at(m.way(r), func() { m.serve(r) })
		return
	}
	copies := r.copies
	if r.copies++; r.copies == len(loadCopies) {
		m.result.failed++
		return
	}
	m.at(loadCopies[copies]-(m.now-r.started), func() { m.open(r) })
}

func (m *loadModel) serve(r *loadRequest) {
	t := r.target
	switch {
	case t.dead:
		m.timeOut(r)
	case t.running < loadSlots:
		m.begin(r)
	case len(t.waiting) < loadQueue:
		t.waiting = append(t.waiting, r)
	default:
		m.result.shed++
		m.at(m.way(r), func() { m.finish(r, false) })
	}
}

func (m *loadModel) begin(r *loadRequest) {
	t := r.target
	t.running++
	k := &m.kinds[r.kind]
	work := float64(k.work) * math.Exp(loadSpread*m.random.NormFloat64()-loadSpread*loadSpread/2) * t.slow
	if k.tail > 0 && m.random.Float64() < k.tail {
		work *= k.tailFactor
	}
	if m.now-t.born < loadCold {
		work *= loadColdFactor
	}
	t.busy += time.Duration(work)
	m.at(time.Duration(work), func() {
		t.running--
		if t.dead {
			m.timeOut(r)
			return
		}
		m.at(m.way(r), func() { m.finish(r, true) })
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			m.begin(next)
		}
	})
}

// timeOut ends a request without an answer at its deadline.
func (m *loadModel) timeOut(r *loadRequest) {
	m.at(max(0, loadDeadline-(m.now-r.started)), func() { m.finish(r, false) })
}

// finish ends a request, and its flow after the last one.
func (m *loadModel) finish(r *loadRequest, served bool) {
	took := m.now - r.started
	m.count(r, served, took)
	if k := &m.kinds[r.kind]; served && r.made+1 < k.requests {
		m.placement.answered(m, r)
		m.at(time.Duration(m.random.ExpFloat64()*float64(k.pause)), func() {
			r.started = m.now
			r.made++
			m.placement.requested(m, r)
			m.at(m.way(r), func() { m.serve(r) })
		})
		return
	}
	r.target.demand -= m.kinds[r.kind].demand()
	m.placement.finished(m, r, served)
}

// count counts the outcome of a request.
func (m *loadModel) count(r *loadRequest, served bool, took time.Duration) {
	switch {
	case !served || took > loadDeadline:
		m.result.failed++
		return
	case took > loadAim:
		m.result.late++
	default:
		m.result.inAim++
	}
	if r.remote() {
		m.result.remote++
	}
	m.result.times = append(m.result.times, took.Seconds()*1e3)
	if r.kind > 0 {
		m.result.lightTimes = append(m.result.lightTimes, took.Seconds()*1e3)
	}
}

// kill makes a target fall silent; its entry goes later.
func (m *loadModel) kill(t *loadTarget) {
	t.dead = true
	for _, r := range t.waiting {
		m.timeOut(r)
	}
	t.waiting = nil
	m.at(loadLapse, func() {
		m.close(t, packet.Lapsed)
		m.placement.view(m)
	})
}

// replace starts a target and drains another one.
func (m *loadModel) replace(t *loadTarget) {
	m.addTarget()
	m.close(t, packet.Draining)
	m.placement.view(m)
}

// every runs a step at an interval from a time on, count times.
func (m *loadModel) every(from, interval time.Duration, count int, step func(i int)) {
	for i := range count {
		m.at(from+time.Duration(i)*interval, func() { step(i) })
	}
}
