package packet

import (
	"slices"
	"time"
)

// warmUpWindow is the span in which a cold target gets no more than its allowance. The bound is on
// one second; the rest covers the difference in the way of two packets to a target.
const warmUpWindow = 1100 * time.Millisecond

// WarmUpAllowance is the number of opening packets that the host may forward to a target in its
// warm-up within warmUpWindow. No other host has one for the same warm-up.
type WarmUpAllowance struct {
	// Shared holds while other targets of the service are warm, Sole while none is.
	Shared, Sole int
}

// warmUpGuard limits the opening packets that a target gets in its warm-up.
type warmUpGuard struct {
	// guarded is set if the view guards warm-ups, sole if no target of the service is warm.
	guarded, sole bool
	// openings are the times of the opening packets of the last warmUpWindow.
	openings []time.Duration
}

// cold reports whether the target is in a guarded warm-up.
func (t *targetRecord) cold(now time.Duration) bool { return t.guarded && now < t.WarmUpEnd }

// admits reports whether the target may be sent an opening packet.
func (t *targetRecord) admits(now time.Duration) bool {
	if !t.cold(now) {
		return true
	}
	t.openings = slices.DeleteFunc(t.openings, func(at time.Duration) bool { return now-at > warmUpWindow })
	limit := t.WarmUpAllowance.Shared
	if t.sole {
		limit = t.WarmUpAllowance.Sole
	}
	return len(t.openings) < limit
}

// forwardOpening forwards an opening packet or a copy of it. One that a cold target can't be sent
// is dropped: the target may have answered an earlier copy, and a reset would end the flow.
func forwardOpening(now time.Duration, t *targetRecord, reason Reason) Decision {
	if !t.admits(now) {
		return Decision{Action: Drop, Reason: ReasonCold, Name: t.Name}
	}
	if t.cold(now) {
		t.openings = append(t.openings, now)
	}
	return forward(t, reason)
}

// admitsNone counts an accepting target of a service, and reports whether it takes no new flow of
// this host until its warm-up ends.
func (p *Plane) admitsNone(now time.Duration, s *service, t *targetRecord) bool {
	if t.State != Accepting {
		return false
	}
	if !t.cold(now) {
		s.warm++
		return false
	}
	s.cold++
	if p.warmsAt == 0 || t.WarmUpEnd < p.warmsAt {
		p.warmsAt = t.WarmUpEnd
	}
	return t.WarmUpAllowance == WarmUpAllowance{}
}

// noteSole tells the service's targets whether others of it are warm.
func (s *service) noteSole() {
	for i := range s.groups {
		for _, t := range s.groups[i].targets {
			t.sole = s.warm == 0
		}
	}
}

// endWarmUps makes targets whose warm-up has ended take new flows.
func (p *Plane) endWarmUps(now time.Duration) {
	if p.warmsAt != 0 && now >= p.warmsAt {
		p.groupTargets(now)
	}
}

// ColdCount returns the number of accepting targets whose new flows are limited by their warm-up.
func (p *Plane) ColdCount() int {
	count := 0
	for _, s := range p.services {
		count += s.cold
	}
	return count
}

// refusalReason says why a route has no target for a new flow.
func (p *Plane) refusalReason(route *Route) Reason {
	for _, share := range route.Services {
		if s := p.services[share.Service]; s != nil && s.cold > 0 && s.warm == 0 {
			return ReasonCold
		}
	}
	return ReasonNoTarget
}
