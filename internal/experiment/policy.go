package experiment

import (
	"fmt"

	"oriolevalve/pkg/flow"

	"github.com/zeebo/xxh3"
)

// policy places new sessions.
type policy struct {
	name string
	// bound is the balance bound; zero for policies without one.
	bound float64
	// home returns the function by which every host derives the target of a
	// flow from the target set. It is nil if hosts cannot derive it, so that
	// every flow must be recorded.
	home func(targets []flow.TableTarget) func(flow.Key) flow.TargetID
	// place chooses the target of a new session.
	place func(s *simulation, n *session) flow.TargetID
}

// bounds are the balance bounds that the experiment compares.
var bounds = []float64{1.02, 1.05, 1.10, 1.15, 1.25, 1.5}

func policies() []policy {
	list := []policy{
		{name: "random", place: func(s *simulation, _ *session) flow.TargetID {
			return s.members[s.policyRandom.IntN(len(s.members))].ID
		}},
		{name: "round_robin", place: func(s *simulation, _ *session) flow.TargetID {
			host := s.policyRandom.IntN(len(s.next))
			s.next[host]++
			return s.members[s.next[host]%len(s.members)].ID
		}},
		// The floor that no policy can go below: exact counts without delay.
		{name: "least_exact", place: func(s *simulation, _ *session) flow.TargetID {
			best := s.members[0].ID
			for _, m := range s.members[1:] {
				if s.targets[m.ID].sessions < s.targets[best].sessions {
					best = m.ID
				}
			}
			return best
		}},
		{name: "rendezvous", home: rendezvous, place: placeAtHome},
		{name: "maglev", home: maglev, place: placeAtHome},
	}
	for _, bound := range bounds {
		list = append(list, policy{name: fmt.Sprintf("maglev_bound_%.2f", bound), bound: bound, home: maglev, place: placeBounded})
	}
	return list
}

func maglev(targets []flow.TableTarget) func(flow.Key) flow.TargetID {
	return flow.NewTable(targets, flow.TableSize).TargetOf
}

func rendezvous(targets []flow.TableTarget) func(flow.Key) flow.TargetID {
	return func(k flow.Key) flow.TargetID {
		var best flow.TargetID
		var bestScore uint64
		for _, t := range targets {
			if score := xxh3.HashSeed(k[:], uint64(t.ID)); best == 0 || score > bestScore {
				best, bestScore = t.ID, score
			}
		}
		return best
	}
}

func placeAtHome(_ *simulation, n *session) flow.TargetID { return n.home }

// placeBounded is the decision of the owner of the table target, with the
// loads that this owner knows.
func placeBounded(s *simulation, n *session) flow.TargetID {
	loads := s.loadsKnownTo(s.targets[n.home].owner)
	for i := range loads {
		loads[i].Decline = 1 - s.rampShare(loads[i].Target)
	}
	return flow.PlaceSession(n.key, n.home, loads, s.policy.bound)
}
