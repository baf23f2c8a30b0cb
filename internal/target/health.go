package target

import (
	"math"
	"time"
)

const (
	// ejectionFailures is the number of consecutive failures that eject a target.
	ejectionFailures = 5
	// firstEjection is the duration of the first ejection. It doubles with each
	// further ejection, up to longestEjection, and starts again after a target
	// was not ejected for longer than longestEjection.
	firstEjection   = 5 * time.Second
	longestEjection = time.Minute
	// successValidity is how long failed probes are ignored after a request
	// succeeded.
	successValidity = 10 * time.Second
	// floorStagger is the longest delay of an early return from ejection. The
	// targets that were ejected longest return first. The delay gives gossip time
	// to tell the other owners.
	floorStagger = 2 * time.Second
)

// health is the state of the outlier detection for the target.
type health struct {
	// failures is the number of consecutive failures of requests and probes.
	failures int
	// requestFailures is the number of failed requests among failures.
	requestFailures int
	ejected         bool
	ejectedAt       time.Time
	ejectedUntil    time.Time
	// returnedAt is the end of the last ejection.
	returnedAt time.Time
	// period is the duration of the last ejection.
	period time.Duration
	// succeededAt is the time of the last successful request.
	succeededAt time.Time
	// belowFloorSince is the time since which too few other targets are eligible;
	// zero if there are enough.
	belowFloorSince time.Time
}

// refusesSessions reports whether established sessions are refused too. A target that
// was ejected by failed probes alone still serves them, since the health endpoint may
// be wrong.
func (p *health) refusesSessions() bool { return p.ejected && p.requestFailures > 0 }

func (p *health) recordSuccess(now time.Time) {
	p.failures, p.requestFailures = 0, 0
	p.succeededAt = now
	if p.ejected {
		p.endEjection(now)
	}
}

func (p *health) eject(now time.Time) {
	if p.period == 0 || now.Sub(p.returnedAt) > longestEjection {
		p.period = firstEjection
	} else {
		p.period = min(2*p.period, longestEjection)
	}
	p.ejected, p.ejectedAt, p.ejectedUntil = true, now, now.Add(p.period)
}

func (p *health) endEjection(now time.Time) {
	p.ejected, p.failures, p.requestFailures = false, 0, 0
	p.returnedAt, p.belowFloorSince = now, time.Time{}
}

// recordFailure counts a failed request or probe and ejects the target after
// ejectionFailures, unless too few other targets are eligible.
func (o *Owner) recordFailure(fromRequest bool) {
	p := &o.health
	p.failures++
	if fromRequest {
		p.requestFailures++
	}
	if p.ejected || p.failures < ejectionFailures || o.eligibleOthers() < o.ejectionFloor() {
		return
	}
	p.eject(o.now)
	o.rerouteUnsent()
	if p.refusesSessions() {
		o.flushQueue(ReasonTargetDown)
	}
}

// ejectionFloor returns the number of targets of the service that must stay eligible.
func (o *Owner) ejectionFloor() int {
	return int(math.Ceil(o.policy.EjectFloor * float64(max(1, len(o.loads)))))
}

func (o *Owner) eligibleOthers() int {
	n := 0
	for i := range o.loads {
		if i != o.selfLoadIndex && o.loads[i].Eligible {
			n++
		}
	}
	return n
}

// endEjectionBelowFloor ends the ejection early if too few other targets are eligible.
func (o *Owner) endEjectionBelowFloor() {
	p := &o.health
	if !p.ejected {
		return
	}
	others := o.eligibleOthers()
	if others >= o.ejectionFloor() {
		p.belowFloorSince = time.Time{}
		return
	}
	if p.belowFloorSince.IsZero() {
		p.belowFloorSince = o.now
	}
	share := min(1, float64(o.now.Sub(p.ejectedAt))/float64(longestEjection))
	if others == 0 || o.now.Sub(p.belowFloorSince) >= time.Duration(float64(floorStagger)*(1-share)) {
		p.endEjection(o.now)
	}
}

func (o *Owner) probeFinished(e ProbeFinished) {
	o.probing = false
	if e.Load.Known {
		o.loadReport = e.Load
	}
	if e.OK {
		if o.health.requestFailures == 0 {
			o.health.failures = 0
		}
		return
	}
	if o.health.succeededAt.IsZero() || o.now.Sub(o.health.succeededAt) >= successValidity {
		o.recordFailure(false)
	}
}
