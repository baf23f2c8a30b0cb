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
	// Open is the number of the host's flows, Active that of flows that wait for a
	// response.
	Open, Active int
	// Response is the mean response time; zero before the first.
	Response time.Duration
	// Silent is set if the target gets no new flows while others answer. Repeats,
	// Unanswered and Silence say why, as in Belief; Unreachable is set if its whole
	// data centre is silent.
	Silent, Unanswered, Unreachable bool
	Repeats                         int
	Silence                         time.Duration
	// Cold is set in the target's warm-up, Dead if flows that may leave it do.
	Cold, Dead bool
}

// Status returns what the plane knows of each target, by service and name.
func (p *Plane) Status(now time.Duration) []TargetStatus {
	list := make([]TargetStatus, 0, len(p.targets))
	for _, t := range p.targets {
		s := TargetStatus{
			Name: t.Name, Service: t.Service, DataCentre: t.DataCentre, State: t.State, Open: t.open, Active: t.active,
			Response: t.response, Repeats: t.repeats, Unanswered: t.unanswered, Cold: now < t.ColdUntil, Dead: t.dead,
			Unreachable: t.unreachable(now), Silent: t.avoided(now),
		}
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
