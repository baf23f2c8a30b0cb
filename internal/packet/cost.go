package packet

import (
	"math"
	"net/netip"
	"time"
)

// What requests cost and how fast targets are, learned from response times. Both are kept as
// logarithms: one request in thirty that takes seven times as long shifts a mean of logarithms
// by 0.06 and a mean of times by 0.18.
const (
	// speedMemory is the time in which what was seen of a target loses two thirds of its weight.
	speedMemory = 10 * time.Second
	// speedDeviation is the standard deviation of the speeds of a service's targets, as
	// logarithms, below which they count as alike: no target is then preferred. speedErrors is
	// the number of standard errors by which the variance has to exceed that of chance.
	speedDeviation = 0.2
	speedErrors    = 3.0
	// speedLeast is the number of targets, with responses each, of which the variance says
	// something.
	speedLeast = 4
	// responseVariance is the variance of the logarithm of response times at one target that is
	// assumed at first: a spread of 0.5 and one request in thirty at seven times the work.
	responseVariance = 0.36
	// responsePrior is the number of responses for which the assumption counts.
	responsePrior = 50
	// speedPrior is the weight of the assumption that a target is like the others, while it
	// is not known how much they differ.
	speedPrior = 4.0
	// slownessBound bounds a learned logarithm of slowness: twelve times. quickness bounds how
	// much faster than the mean a target counts: a fifth of the time is rather that of a request
	// that was rejected or failed at once, and says nothing about the speed.
	slownessBound = 2.5
	quickness     = -1.6
	// costMemory is the number of responses to which the mean of a kind of request goes back.
	costMemory = 400
	// costDeadband is the logarithm of a ratio of costs that counts as none, costLeast the
	// number of responses before a cost counts.
	costDeadband = 0.7
	costLeast    = 50
	// costFirst is the number of responses before a cost serves to judge targets.
	costFirst = 10
	// largeRequest is the data of a packet that is full: the request goes on in others.
	largeRequest = 1200
	// leastResponse stands for shorter response times, which are those of the way.
	leastResponse = time.Millisecond
	// flowUnit is the weight of a flow of mean cost; flowWeightBound bounds the others.
	flowUnit        = 16
	flowWeightBound = 4.0
	// preference is the power of a target's speed by which its load counts while the targets'
	// slots are free: a queue hardly forms then, and a faster target is better for each
	// request. It falls to 1 at preferenceEnd, where each target takes what it can serve.
	preference    = 3.0
	preferenceEnd = 0.5
	// usualShare is the weight of the present use in the usual one, at one look a second: one
	// host's count of its requests changes with each of them.
	usualShare = 0.3
	// weighInterval is the time between two looks at the speeds of all targets.
	weighInterval = time.Second
	// forgottenWeight is the weight at which what was seen counts no more.
	forgottenWeight = 0.05
	// heardWeight bounds the weight of what another host saw of a target.
	heardWeight = 32.0
	// toldWeight is the weight from which on what a host saw is told.
	toldWeight = 1.0
)

// evidence is a mean of logarithms that fades.
type evidence struct {
	sum, weight float64
	at          time.Duration
}

func (e *evidence) fade(now time.Duration) {
	if e.weight > 0 && now > e.at {
		f := math.Exp(-float64(now-e.at) / float64(speedMemory))
		e.sum *= f
		e.weight *= f
		if e.weight < forgottenWeight {
			e.sum, e.weight = 0, 0
		}
	}
	e.at = now
}

func (e *evidence) add(now time.Duration, value, weight float64) {
	e.fade(now)
	e.sum += value * weight
	e.weight += weight
}

// speed is what is known of a target's speed.
type speed struct {
	// own was seen by this host, heard by others.
	own, heard evidence
	// slowness is the logarithm of the time of a request against that at the service's
	// other targets; zero while they count as alike.
	slowness float64
	// loadFactor multiplies the target's load; zero counts as one.
	loadFactor float64
	// timeFactor is the expected time of a request against that at the others, set with
	// loadFactor.
	timeFactor float64
}

// mean returns the mean and its weight.
func (s *speed) mean() (mean, weight float64) {
	weight = s.own.weight + s.heard.weight
	if weight <= 0 {
		return 0, 0
	}
	return (s.own.sum + s.heard.sum) / weight, weight
}

// requestCost is the mean logarithm of the response times of a kind of request, in seconds, at
// a target of mean speed.
type requestCost struct{ mean, count float64 }

// routeCost holds the costs of a route's requests: short ones, and those of several packets.
type routeCost struct {
	short, large requestCost
	// weight is that of the route's flows in the load of a target; zero counts as flowUnit.
	weight int
}

// costs is what a plane learned; nil if it learns nothing.
type costs struct {
	routes map[netip.AddrPort]*routeCost
	// next is the place in the list of targets at which the next message goes on.
	next int
	// variance is that of the logarithm of response times at one target, from count responses.
	variance, count float64
	weighed         time.Duration
	changes         []SpeedChange
}

// SpeedChange says that the targets of a service began to count as of different speeds, or of one.
type SpeedChange struct {
	Service string
	// Spread is the standard deviation of the logarithms of their speeds; zero if they count as
	// alike.
	Spread float64
}

// SpeedChanges returns the changes since the last call.
func (p *Plane) SpeedChanges() []SpeedChange {
	if p.costs == nil {
		return nil
	}
	changes := p.costs.changes
	p.costs.changes = nil
	return changes
}

// unevenSlowness is the logarithm of slowness, either way, from which a target counts as uneven.
const unevenSlowness = 0.2

// UnevenTargets returns the numbers of targets that are known to be faster and slower than the
// mean of their service.
func (p *Plane) UnevenTargets() (faster, slower int) {
	for _, t := range p.entered {
		switch {
		case t.speed.slowness > unevenSlowness:
			slower++
		case t.speed.slowness < -unevenSlowness:
			faster++
		}
	}
	return faster, slower
}

// PlaneOption changes a Plane.
type PlaneOption func(*Plane)

// WithLearnedCosts makes the plane learn what requests cost and how fast targets are.
func WithLearnedCosts(learn bool) PlaneOption {
	return func(p *Plane) {
		if learn {
			p.costs = &costs{routes: map[netip.AddrPort]*routeCost{}, variance: responseVariance, count: responsePrior}
		}
	}
}

// costOf returns the record of a route's costs; nil if the plane learns nothing.
func (p *Plane) costOf(service netip.AddrPort) *routeCost {
	if p.costs == nil {
		return nil
	}
	c := p.costs.routes[service]
	if c == nil {
		c = &routeCost{}
		p.costs.routes[service] = c
	}
	return c
}

// forgetCosts drops what was learned of routes that the view does not have.
func (p *Plane) forgetCosts() {
	if p.costs == nil {
		return
	}
	for address := range p.costs.routes {
		if p.view.routes[address] == nil {
			delete(p.costs.routes, address)
		}
	}
}

// learn takes in the response time of a flow's request. Left out are requests that the host saw
// in part or repeated, those that waited behind others of the host, and targets in their warm-up.
// An acknowledgement that comes with the next request tells the client's pause, and is left out by
// the caller.
func (c *costs) learn(now time.Duration, f *flowRecord) {
	t := f.target
	if f.cost == nil || f.next == f.syn+1 || f.repeated != 0 && f.repeated >= f.requested || t.active > t.Slots || now < t.WarmUpEnd {
		return
	}
	r := &f.cost.short
	if f.large {
		r = &f.cost.large
	}
	took := math.Log(max(now-f.requested, leastResponse).Seconds())
	mean, weight := t.speed.mean()
	mean *= weight / (weight + speedPrior)
	r.count = min(r.count+1, costMemory)
	quick := r.count > costFirst && took-r.mean < quickness
	if quick {
		took = r.mean + quickness
	}
	r.mean += (took - mean - r.mean) / r.count
	if r.count < costFirst || quick {
		return
	}
	deviation := min(took-r.mean, slownessBound)
	c.count = min(c.count+1, costMemory)
	c.variance += ((deviation-mean)*(deviation-mean) - c.variance) / c.count
	t.speed.own.add(now, deviation, 1)
}

// weighSpeeds renews how the speeds of a service's targets count in their loads. Only speeds
// against each other matter, and those only if they differ by more than chance. Each is then
// drawn towards the mean by how little is known of it.
func (s *service) weighSpeeds(now time.Duration, variance float64) {
	var sum, squares, noise, count float64
	for i := range s.groups {
		for _, t := range s.groups[i].targets {
			t.speed.own.fade(now)
			t.speed.heard.fade(now)
			if mean, weight := t.speed.mean(); weight >= toldWeight {
				sum += mean
				squares += mean * mean
				noise += variance / weight
				count++
			}
		}
	}
	centre, between := 0.0, 0.0
	if count >= speedLeast {
		centre, noise = sum/count, noise/count
		between = squares/count - centre*centre - noise
		least := speedDeviation * speedDeviation
		if s.spread > 0 {
			least /= 2
		}
		if between < least || between < speedErrors*noise*math.Sqrt(2/count) {
			between = 0
		}
	}
	s.spread = math.Sqrt(between)
	for i := range s.groups {
		g := &s.groups[i]
		g.usual += usualShare * (g.use - g.usual)
		power := preference - (preference-1)*min(1, g.usual/preferenceEnd)
		for _, t := range g.targets {
			t.speed.weigh(centre, between, variance, power)
		}
	}
}

// weigh draws what is known of a target's speed towards the mean of the others; between is the
// variance of their speeds, variance that of one response.
func (s *speed) weigh(centre, between, variance, power float64) {
	s.slowness, s.loadFactor, s.timeFactor = 0, 1, 1
	mean, weight := s.mean()
	if between == 0 || weight <= 0 {
		return
	}
	known := between / (between + variance/weight)
	s.slowness = known * min(max(mean-centre, quickness), slownessBound)
	s.loadFactor, s.timeFactor = math.Exp(power*s.slowness), math.Exp(s.slowness)
}

// flowWeight returns the weight of a route's flow in the load of a target.
func (c *routeCost) flowWeight() int {
	if c == nil || c.weight == 0 {
		return flowUnit
	}
	return c.weight
}

// weighRoutes renews the weights of routes' flows, by what their requests cost against the mean
// of all routes.
func (c *costs) weighRoutes() {
	sum, count := 0.0, 0.0
	for _, r := range c.routes {
		if r.short.count >= costLeast {
			sum += r.short.mean
			count++
		}
	}
	for _, r := range c.routes {
		r.weight = flowUnit
		if r.short.count < costLeast {
			continue
		}
		if deviation := r.short.mean - sum/count; math.Abs(deviation) > costDeadband {
			r.weight = int(flowUnit * min(max(math.Exp(deviation), 1/flowWeightBound), flowWeightBound))
		}
	}
}

// SpeedFact is what a host itself saw of a target's speed.
type SpeedFact struct {
	// Tag names the target, Life is from the time of its start.
	Tag  uint32
	Life uint8
	// Slowness is the mean logarithm of the time of its requests against that of the same at
	// other targets, Weight the number of them, which fades.
	Slowness, Weight float64
}

func (t *targetRecord) lifeMark() uint8 { return uint8(t.StartedAtMillis) }

// SpeedFacts appends what the host saw of up to so many targets, in turn.
func (p *Plane) SpeedFacts(now time.Duration, facts []SpeedFact, limit int) []SpeedFact {
	if p.costs == nil {
		return facts
	}
	for range p.entered {
		if limit == 0 {
			return facts
		}
		p.costs.next = (p.costs.next + 1) % len(p.entered)
		t := p.entered[p.costs.next]
		if t.speed.own.fade(now); t.speed.own.weight < toldWeight || !t.ownsTag {
			continue
		}
		limit--
		facts = append(facts, SpeedFact{
			Tag: t.Key.Tag(), Life: t.lifeMark(), Slowness: t.speed.own.sum / t.speed.own.weight, Weight: t.speed.own.weight,
		})
	}
	return facts
}

// HearSpeeds takes in what another host saw. It returns the number of facts about targets, in
// their present life, that this host knows.
func (p *Plane) HearSpeeds(now time.Duration, facts []SpeedFact) (known int) {
	if p.costs == nil {
		return 0
	}
	for _, f := range facts {
		t := p.tags[f.Tag]
		if t == nil || t.lifeMark() != f.Life || math.IsNaN(f.Slowness) || !(f.Weight > 0) {
			continue
		}
		t.speed.heard.add(now, min(max(f.Slowness, quickness), slownessBound), min(f.Weight, heardWeight))
		known++
	}
	return known
}
