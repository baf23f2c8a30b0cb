package packet

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// StartupGracePeriod is the time after the start from which a host without a view
	// refuses new flows. Until then the client's next copy, 200 ms or 400 ms later,
	// is likely to find it prepared.
	StartupGracePeriod = time.Second
	// sequenceWindow is the distance in bytes of two packets of one flow at most:
	// four times what a client may have in flight, as for resets.
	sequenceWindow = 76_800
	// closedLimit is the time that a closed flow is remembered for late packets.
	closedLimit = 3 * time.Second
	// defaultIdle is the idle timeout of a flow whose route has none, defaultLifetime the
	// lifetime of flows if no option gives it.
	defaultIdle     = time.Minute
	defaultLifetime = time.Minute
	// sweepPart is the share of flows that one sweep visits.
	sweepPart = 16
)

// flowState is the progress of a flow's handshake.
type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowClosed
)

// flowRecord is what the host saw of a flow.
type flowRecord struct {
	target *targetRecord
	// life is that of the target in which the flow was counted.
	life uint32
	// previous was tried before target for the same opening.
	previous *targetRecord
	state    flowState
	active   bool
	// began is the time of the first opening packet, placed that at which the opening was sent to
	// the target first. contested is set if it was sent to another one as well, by this host or
	// maybe by the one that took it first.
	began, placed time.Duration
	contested     bool
	// syn is the sequence number of the opening packet, if the host saw that or the first packet
	// after it; copies is the number of its repeats that were seen.
	syn, copies uint32
	// next is the sequence number that follows the data seen so far, acknowledged
	// the last acknowledgement.
	next, acknowledged uint32
	requested, seen    time.Duration
	idle               time.Duration
	// cost is that of the route's requests, if the plane learns it, weight that of the flow in
	// the load of its target. large is set if the request that waits takes several packets.
	cost   *routeCost
	weight int
	large  bool
	// repeated is the time of the last packet that the client repeated, held that at which the
	// last one that had waited in the host was decided on.
	repeated, held time.Duration
	// known is the time from which the host knows the flow at its target.
	known time.Duration
}

// Plane decides on packets. It is not safe for concurrent use.
type Plane struct {
	view     *View
	random   *rand.Rand
	flows    map[Flow]*flowRecord
	targets  map[TargetKey]*targetRecord
	tags     map[uint32]*targetRecord
	services map[string]*service
	// dataCentres are those of targets but for the host's own one.
	dataCentres map[string]*dataCentreRecord
	sweep       []Flow
	beliefs     []HealthChange
	endings     []TerminatedFlow
	// entered are the records of the view's targets, in their order.
	entered []*targetRecord
	// shared holds the entries that the view left out, sharedBefore those that the one before
	// it did, and sharedNew those to be reported.
	shared, sharedBefore map[SharedIdentity]bool
	sharedNew            []SharedIdentity
	// unlisted holds the flows at targets that are not listed, unreadable the tags of entries
	// that can't be read.
	unlisted   map[unlistedKey]unlistedFlow
	unreadable map[uint32]bool
	// contested holds the flows whose tags may mislead, for as long as a flow may be open.
	contested    contestedFlows
	flowLifetime time.Duration
	// confirmed is the latest time at which the view's targets were all that were listed.
	confirmed time.Duration
	// returns holds the data centres whose targets come back after an evacuation.
	returns map[string]*dataCentreReturn
	// evacuationsNew are the changes that were not reported yet.
	evacuationsNew []EvacuationChange
	// answered holds the latest opening times of flows that were answered, in
	// ascending order.
	answered [deadAnswers]time.Duration
	inquiry  inquiry
	// costs is what the plane learned of requests; nil if it learns nothing.
	costs *costs
	// warmsAt is the time at which the next guarded warm-up ends; zero if there is none.
	warmsAt time.Duration
}

// NewPlane returns a plane without a view: it drops every packet.
func NewPlane(random *rand.Rand, options ...PlaneOption) *Plane {
	p := &Plane{
		random: random, flows: map[Flow]*flowRecord{}, targets: map[TargetKey]*targetRecord{},
		tags: map[uint32]*targetRecord{}, services: map[string]*service{}, dataCentres: map[string]*dataCentreRecord{},
		shared: map[SharedIdentity]bool{}, sharedBefore: map[SharedIdentity]bool{},
		unlisted: map[unlistedKey]unlistedFlow{}, unreadable: map[uint32]bool{}, contested: contestedFlows{flows: map[Flow]ContestedFlow{}},
		flowLifetime: defaultLifetime,
		returns:      map[string]*dataCentreReturn{},
		inquiry:      inquiry{early: earlyBurst},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// View returns the view in use; nil before the first.
func (p *Plane) View() *View { return p.view }

// FlowCount returns the number of flows that the host remembers.
func (p *Plane) FlowCount() int { return len(p.flows) }

// SetView replaces the view. Flows and beliefs about targets stay.
func (p *Plane) SetView(v *View) {
	p.noteEvacuations(v)
	p.view = v
	p.shared, p.sharedBefore = p.sharedBefore, p.shared
	clear(p.shared)
	for _, t := range p.targets {
		t.entry = nil
	}
	p.entered = p.entered[:0]
	for i := range v.targets {
		p.entered = append(p.entered, p.enter(&v.targets[i]))
	}
	gone := p.adoptEntries()
	p.groupTargets(0)
	p.forgetCosts()
	if gone {
		p.endFlows(ReasonTargetGone, func(_ Flow, f *flowRecord) bool { return f.target.State == Gone })
	}
	for key, t := range p.targets {
		if t.entry == nil && t.open == 0 {
			delete(p.targets, key)
		}
	}
	p.measure()
}

// adoptEntries takes over what the view says of each target, and makes the tags anew. It
// reports whether a target with open flows has ended.
func (p *Plane) adoptEntries() (gone bool) {
	clear(p.tags)
	for i, t := range p.entered {
		entry := &p.view.targets[i]
		if t.entry != entry {
			p.leaveOut(entry, cmp.Or(t.entry, &t.Target))
			continue
		}
		if t.StartedAtMillis != entry.StartedAtMillis && t.StartedAtMillis != 0 {
			t.startAgain()
		}
		gone = gone || entry.State == Gone && t.State != Gone && t.open > 0
		t.Target, t.distance = *entry, p.view.distance(entry)
		t.dataCentre = p.dataCentreOf(t)
		t.guarded = p.view.guarded
		p.enterTag(t)
	}
	clear(p.unreadable)
	for _, key := range p.view.unreadable {
		p.unreadable[key.Tag()] = true
	}
	return gone
}

// groupTargets makes the groups of targets that take new flows anew. Warm-ups that end later than
// the given time go on.
func (p *Plane) groupTargets(now time.Duration) {
	p.warmsAt = 0
	for _, s := range p.services {
		s.clear()
	}
	for i, t := range p.entered {
		if t.entry != &p.view.targets[i] || !t.ownsTag || t.State != Accepting && t.State != Lapsed {
			continue
		}
		s := p.services[t.Service]
		if s == nil {
			s = &service{}
			p.services[t.Service] = s
		}
		if p.evacuated(t) {
			s.evacuated++
			continue
		}
		if p.admitsNone(now, s, t) {
			continue
		}
		t.returning = p.returns[t.DataCentre]
		s.add(t)
	}
	for name, s := range p.services {
		if s.empty() {
			delete(p.services, name)
		}
		s.noteSole()
	}
}

// dataCentreOf returns the record of a remote target's data centre. Data centres are
// few and stay.
func (p *Plane) dataCentreOf(t *targetRecord) *dataCentreRecord {
	if t.distance == Local {
		return nil
	}
	d := p.dataCentres[t.DataCentre]
	if d == nil {
		d = &dataCentreRecord{name: t.DataCentre}
		p.dataCentres[t.DataCentre] = d
	}
	return d
}

// measure renews what placement knows of each service.
func (p *Plane) measure() {
	for _, s := range p.services {
		s.measure(p.view.hosts)
	}
}

// weighSpeeds renews how the learned speeds of targets count.
func (p *Plane) weighSpeeds(now time.Duration) {
	if p.costs == nil || now-p.costs.weighed < weighInterval {
		return
	}
	p.costs.weighed = now
	p.costs.weighRoutes()
	for name, s := range p.services {
		even := s.spread == 0
		s.weighSpeeds(now, p.costs.variance)
		if even != (s.spread == 0) {
			p.costs.changes = append(p.costs.changes, SpeedChange{Service: name, Spread: s.spread})
		}
	}
}

// Decide returns what to do with a packet. The time is that since the start of
// the host and does not go back.
func (p *Plane) Decide(now time.Duration, k *Packet) Decision {
	switch {
	case p.view == nil && k.SYN && now > StartupGracePeriod:
		return Decision{Action: Refuse, Reason: ReasonNoConfiguration}
	case p.view == nil:
		return Decision{Action: Drop, Reason: ReasonNoConfiguration}
	}
	if k.SYN {
		return p.open(now, k)
	}
	return p.follow(now, k)
}

// follow decides on a packet of a flow that the client takes for open.
func (p *Plane) follow(now time.Duration, k *Packet) Decision {
	f := p.flows[k.Flow]
	if f != nil && p.reused(f, k) {
		p.forget(k.Flow, f)
		f = nil
	}
	if f != nil && f.state == flowOpening && k.Sequence != f.next {
		// The flow opened through another host: the tag may since be that of a target which
		// answered the opening and lost.
		p.forget(k.Flow, f)
		f = nil
	}
	if f == nil {
		return p.adopt(now, k)
	}
	arrived := k.arrived(now)
	if f.state == flowOpening {
		// The tag of the first acknowledgement names the target that answered.
		if t := p.tags[k.Tag]; t != nil && t != f.target {
			p.move(now, f, t)
		}
		f.state, f.acknowledged = flowOpen, k.Acknowledgement
		f.target.progress(arrived)
		p.noteAnswered(f.requested)
		p.noteQuickAnswer(arrived, f.target, f.requested)
		if f.contested || p.opensElsewhere(k) {
			p.tellOpenFlow(k.Flow, f)
		}
	}
	if f.life == f.target.life {
		defer p.reconsider(now, f.target)
		p.observe(now, f, k)
	}
	f.seen = now
	if f.target.State == Gone {
		p.endUnlisted(k.Flow, f)
		if k.RST {
			return Decision{Action: Drop, Reason: ReasonTargetGone}
		}
		return Decision{Action: Refuse, Reason: ReasonTargetGone, Name: f.target.Name}
	}
	route := p.view.routes[k.Flow.Service]
	if route == nil {
		return Decision{Action: Refuse, Reason: ReasonNoRoute}
	}
	// A target that started again resets flows of its former life itself.
	if f.life == f.target.life && (f.abandoned(now, route, k) || p.abandons(now, f.target, route, k)) {
		p.forget(k.Flow, f)
		return Decision{Action: Refuse, Reason: ReasonTargetDead, Name: f.target.Name}
	}
	return forward(f.target, ReasonOpen)
}

// reused reports whether a packet belongs to a later flow of the same addresses,
// which another host opened. A tag alone does not tell: if two targets answered
// the opening, the client may return the tag of the other one.
func (p *Plane) reused(f *flowRecord, k *Packet) bool {
	distance := int32(k.Sequence - f.next)
	return k.Tag != 0 && k.Tag != f.target.Key.Tag() && (distance > sequenceWindow || distance < -sequenceWindow)
}

// adopt decides on a packet of a flow that another host opened.
func (p *Plane) adopt(now time.Duration, k *Packet) Decision {
	if k.Tag == 0 {
		return Decision{Action: Drop, Reason: ReasonNotOpen}
	}
	t, route, reason := p.tags[k.Tag], p.view.routes[k.Flow.Service], ReasonAdopted
	if own := p.contestedTarget(k); own != nil && own != t {
		t, reason = own, ReasonContested
	}
	switch {
	case t == nil:
		return p.followUnlisted(now, k, p.view.complete && route != nil && !p.unreadable[k.Tag], "")
	case t.State == Unnamed && route != nil:
		// Another writer's entry leads to no target, and the flow's own may live.
		return Decision{Action: Drop, Reason: ReasonTargetUnknown}
	case t.State == Gone && k.RST:
		return Decision{Action: Drop, Reason: ReasonTargetGone}
	case t.State == Gone:
		return p.followUnlisted(now, k, true, t.Name)
	case route == nil:
		// The host that opened the flow may know a newer configuration.
		return forward(t, ReasonRouteUnknown)
	case k.RST:
		return forward(t, reason)
	case p.abandons(now, t, route, k):
		return Decision{Action: Refuse, Reason: ReasonTargetDead, Name: t.Name}
	}
	f := &flowRecord{
		target: t, life: t.life, state: flowOpen, syn: k.Sequence - 1, next: k.Sequence, acknowledged: k.Acknowledgement, seen: now,
		idle: route.IdleTimeout, known: now, cost: p.costOf(k.Flow.Service),
	}
	f.weight = f.cost.flowWeight()
	p.flows[k.Flow] = f
	if p.opensElsewhere(k) {
		p.tellOpenFlow(k.Flow, f)
	}
	t.open++
	t.openWeight += f.weight
	p.observe(now, f, k)
	return forward(t, reason)
}

// observe learns from a packet of an open flow how its target does. What the packet shows of the
// target holds from its arrival.
func (p *Plane) observe(now time.Duration, f *flowRecord, k *Packet) {
	arrived := k.arrived(now)
	if int32(k.Acknowledgement-f.acknowledged) > 0 {
		f.acknowledged = k.Acknowledgement
		if f.active {
			if p.costs != nil && k.Length == 0 {
				p.costs.learn(arrived, f)
			}
			f.active = false
			f.target.active--
			f.target.activeWeight -= f.weight
			f.target.answered(arrived, max(arrived-f.requested, 0))
			p.noteQuickAnswer(arrived, f.target, f.requested)
		} else {
			f.target.progress(arrived)
		}
	}
	if k.Length > 0 {
		end := k.Sequence + uint32(k.Length)
		if int32(end-f.next) > 0 {
			f.large = f.large && f.active || k.Length >= largeRequest
			f.next, f.requested = end, now
			if !f.active && f.state == flowOpen {
				f.active = true
				f.target.active++
				f.target.activeWeight += f.weight
			}
		} else if arrived-f.held >= answerTime {
			f.target.repeat(now, f)
			p.suspect(now, f.target, f.requested, arrived-f.requested < secondRepeat)
		}
		if k.Waited >= answerTime {
			f.held = now
		}
	}
	if (k.FIN || k.RST) && f.state != flowClosed {
		p.release(f)
		f.state = flowClosed
	}
}

// place returns a target for a new flow, or nil and the reason if the route's services have
// none. The excluded targets did not answer and are taken only if there is no
// other.
func (p *Plane) place(now time.Duration, route *Route, excluded, alsoExcluded *targetRecord) (*targetRecord, Reason) {
	drawn := p.serviceOf(route)
	s := p.services[drawn]
	p.drawReturns(now)
	t := p.placeAt(now, s, excluded, alsoExcluded)
	if len(route.Services) > 1 && (t == nil || p.costs != nil && s.fullyUsed(spillFull)) {
		if other := p.placeElsewhere(now, route, drawn, t == nil, excluded, alsoExcluded); other != nil {
			return other, ReasonPlacedElsewhere
		}
	}
	switch {
	case t != nil:
		return t, ReasonPlaced
	case s != nil && excluded != nil && !p.evacuated(excluded):
		return excluded, ReasonCopy
	case s != nil && s.evacuated > 0 && s.cold == 0:
		return nil, ReasonEvacuated
	default:
		return nil, p.refusalReason(route)
	}
}

// placeAt returns a target of a service, which may be nil, or nil if it has none.
func (p *Plane) placeAt(now time.Duration, s *service, excluded, alsoExcluded *targetRecord) *targetRecord {
	if s == nil {
		return nil
	}
	t := s.place(now, p.random, excluded, alsoExcluded)
	if p.admitReturns(t == nil || t.avoided(now)) {
		t = s.place(now, p.random, excluded, alsoExcluded)
	}
	return t
}

// placeElsewhere returns a target of another service of the route than the drawn one, or nil if
// none has room. Any that takes flows will do if the flow can't be placed otherwise.
func (p *Plane) placeElsewhere(
	now time.Duration, route *Route, drawn string, anyUse bool, excluded, alsoExcluded *targetRecord,
) *targetRecord {
	for i := range route.Services {
		other := &route.Services[i]
		s := p.services[other.Service]
		if other.Service == drawn || other.Weight == 0 || s == nil {
			continue
		}
		if t := p.placeAt(now, s, excluded, alsoExcluded); t != nil && (anyUse || !s.fullyUsed(spillStart)) {
			return t
		}
	}
	return nil
}

// serviceOf draws the service of a new flow by the weights of its route.
func (p *Plane) serviceOf(route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	var sum uint64
	for _, s := range route.Services {
		sum += uint64(s.Weight)
	}
	if sum == 0 {
		return ""
	}
	drawn := p.random.Uint64N(sum)
	for _, s := range route.Services {
		if drawn < uint64(s.Weight) {
			return s.Service
		}
		drawn -= uint64(s.Weight)
	}
	return ""
}

// release takes a flow off its target's counts.
func (p *Plane) release(f *flowRecord) {
	if f.state == flowClosed {
		return
	}
	if f.life != f.target.life {
		f.active = false
		return
	}
	f.target.open--
	f.target.openWeight -= f.weight
	if f.active {
		f.active = false
		f.target.active--
		f.target.activeWeight -= f.weight
	}
}

// move counts a flow that is opening at another target.
func (p *Plane) move(now time.Duration, f *flowRecord, t *targetRecord) {
	p.release(f)
	t.opened(now, f.weight)
	f.target, f.life, f.active, f.known = t, t.life, true, now
}

func (p *Plane) forget(key Flow, f *flowRecord) {
	p.release(f)
	delete(p.flows, key)
}

// Sweep visits a part of the flows and forgets those that ended or are idle.
// It also renews the mean response times. At four calls a second it visits 300
// flows within 14 s and 11,000 within 28 s.
func (p *Plane) Sweep(now time.Duration) {
	p.endWarmUps(now)
	p.measure()
	p.weighSpeeds(now)
	p.reconsiderDataCentres(now)
	p.forgetUnlisted(now)
	p.forgetContested(now)
	if len(p.sweep) == 0 {
		for key := range p.flows {
			p.sweep = append(p.sweep, key)
		}
	}
	for range len(p.sweep)/sweepPart + 1 {
		if len(p.sweep) == 0 {
			return
		}
		key := p.sweep[len(p.sweep)-1]
		p.sweep = p.sweep[:len(p.sweep)-1]
		f := p.flows[key]
		if f == nil {
			continue
		}
		limit := f.idle
		if limit == 0 {
			limit = defaultIdle
		}
		switch f.state {
		case flowOpening:
			limit = handshakeLimit
		case flowClosed:
			limit = closedLimit
		}
		if now-f.seen > limit {
			p.forget(key, f)
		}
	}
}

func forward(t *targetRecord, reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, Target: t.Key, Name: t.Name, Address: t.Address, Tag: t.Key.Tag()}
}
