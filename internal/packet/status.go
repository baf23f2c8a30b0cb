package packet

import (
	"cmp"
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
	// Silent is set if the target gets no new flows while others answer. Repeats,
	// Unanswered and Silence say why, as in HealthChange; Unreachable is set if its whole
	// data centre is silent.
	Silent, Unanswered, Unreachable bool
	Retransmissions                 int
	Silence                         time.Duration
	// WarmingUp is set in the target's warm-up, Dead if flows that may leave it do.
	WarmingUp, Dead bool
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
			Unreachable: t.unreachable(now), Silent: t.avoided(now),
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
