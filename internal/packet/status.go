package packet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TargetStatus is what a plane knows of a target.
type TargetStatus struct {
	Name, Service, DataCentre string
	State                     TargetState
	// OpenFlows is the number of the host's flows, ActiveFlows that of flows that wait for a
	// response.
	OpenFlows, ActiveFlows int
	// MeanResponseTime is the mean response time; zero before the first.
	MeanResponseTime time.Duration
	// Speed is the learned speed against that of the service's other targets; one while they
	// count as alike. Load is what placement compares.
	Speed, Load float64
	// Silent is set if the target gets no new flows while others answer. Repeats,
	// Unanswered and Silence say why, as in HealthChange; Unreachable is set if its whole
	// data centre is silent.
	Silent, Unanswered, Unreachable bool
	Retransmissions                 int
	Silence                         time.Duration
	// WarmingUp is set in the target's warm-up, Dead if flows that may leave it do.
	WarmingUp, Dead bool
	// Evacuated is set if the target gets no new flows since its data centre is evacuated.
	Evacuated bool
	// DeadByQuestion is set if they do because a question to the target failed, Suspected if new
	// flows avoid it because that of another host did. Asked is the outcome of the last
	// question, AskedAge the time since it began; zero if there was none.
	DeadByQuestion, Suspected bool
	Asked                     QuestionOutcome
	AskedAge                  time.Duration
	// Guarded is set if the target takes new flows of the holder of its warm-up only, Held if that
	// is this host.
	Guarded, Held bool
}

// Status returns what the plane knows of each target, by service and name.
func (p *Plane) Status(now time.Duration) []TargetStatus {
	list := make([]TargetStatus, 0, len(p.targets))
	for _, t := range p.targets {
		s := TargetStatus{
			Name: t.Name, Service: t.Service, DataCentre: t.DataCentre, State: t.State, OpenFlows: t.open, ActiveFlows: t.active,
			MeanResponseTime: t.response, Retransmissions: t.repeats, Unanswered: t.unanswered, WarmingUp: now < t.WarmUpEnd, Dead: t.dead && now-t.repeatedAt <= deadRetention,
			Unreachable: t.unreachable(now), Silent: t.avoided(now), Evacuated: p.evacuated(t),
			Speed: math.Exp(-t.speed.slowness),
		}
		s.DeadByQuestion, s.Suspected, s.Asked = t.suspicion.countsAsDead(now), t.suspicion.reportedDead(now), t.suspicion.outcome
		if t.suspicion.asked != 0 {
			s.AskedAge = now - t.suspicion.asked
		}
		if service := p.services[t.Service]; service != nil && t.Slots > 0 {
			s.Load = t.load(now, service.response)
		}
		s.Guarded, s.Held = t.cold(now), t.cold(now) && t.WarmUpAllowance != WarmUpAllowance{}
		if t.silentSince != 0 {
			s.Silence = now - t.silentSince
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return list
}
