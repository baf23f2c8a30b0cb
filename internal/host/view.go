package host

import (
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

// View is what the traffic side works with: one configuration revision, the
// live hosts and the statuses of the targets. It is immutable.
type View struct {
	snapshot      *flow.Snapshot
	configuration *configuration.Configuration
	services      map[flow.ServiceID]*configuration.Service
	byAuthority   map[string]*configuration.Service
	targets       map[flow.TargetID]targetOf
	// alive holds the hosts that take part in the owner election.
	alive map[string]bool
	// reachable holds the hosts that answer, among them those that leave.
	reachable map[string]bool
	// settledAt is the time since which the set of hosts is unchanged.
	settledAt time.Time
}

type targetOf struct {
	service *configuration.Service
	target  configuration.Target
}

// viewInput is everything that a view is derived from.
type viewInput struct {
	self          string
	hosts         []flow.Host
	reachable     []string
	settledAt     time.Time
	configuration *configuration.Configuration
	statuses      map[flow.TargetID]flow.TargetStatus
	permitUntil   time.Time
	now           time.Time
}

// newView builds a view and reuses the unchanged tables of the previous one,
// which may be nil.
func newView(in viewInput, previous *View) *View {
	v := &View{
		configuration: in.configuration,
		services:      make(map[flow.ServiceID]*configuration.Service),
		byAuthority:   make(map[string]*configuration.Service),
		targets:       make(map[flow.TargetID]targetOf),
		alive:         make(map[string]bool),
		reachable:     make(map[string]bool),
		settledAt:     in.settledAt,
	}
	for _, h := range in.hosts {
		v.alive[h.ID] = true
	}
	for _, id := range in.reachable {
		v.reachable[id] = true
	}
	input := flow.SnapshotInput{Revision: in.configuration.Revision, Self: in.self, Hosts: in.hosts}
	for i := range in.configuration.Services {
		s := &in.configuration.Services[i]
		v.services[s.ID] = s
		v.byAuthority[s.Name] = s
		v.byAuthority[s.Address] = s
		service := flow.ServiceInput{ID: s.ID}
		for _, t := range s.Targets {
			v.targets[t.ID] = targetOf{service: s, target: t}
			status, known := in.statuses[t.ID]
			if !known {
				// A target whose owner has not reported yet counts as healthy,
				// so that a new service can start.
				status = flow.TargetStatus{Target: t.ID, Healthy: true}
			}
			service.Targets = append(service.Targets, flow.TargetInput{
				ID: t.ID, DataCentre: t.DataCentre, Weight: t.Weight,
				InTable: t.State == configuration.TargetJoined, Status: status,
			})
		}
		for _, g := range s.LiveGenerations(in.now) {
			service.Generations = append(service.Generations, g.Targets)
		}
		input.Services = append(input.Services, service)
	}
	var old *flow.Snapshot
	if previous != nil {
		old = previous.snapshot
	}
	v.snapshot = flow.NewSnapshot(input, old).WithPermit(in.permitUntil)
	return v
}

// withPermit returns a copy whose permit ends at the given time.
func (v *View) withPermit(until time.Time) *View {
	c := *v
	c.snapshot = v.snapshot.WithPermit(until)
	return &c
}

// Snapshot returns the steering snapshot.
func (v *View) Snapshot() *flow.Snapshot { return v.snapshot }

// Configuration returns the configuration in force.
func (v *View) Configuration() *configuration.Configuration { return v.configuration }

// ServiceByAuthority finds a service by its name or address.
func (v *View) ServiceByAuthority(authority string) (*configuration.Service, bool) {
	s, known := v.byAuthority[authority]
	return s, known
}

// Target finds a target and its service.
func (v *View) Target(id flow.TargetID) (configuration.Target, *configuration.Service, bool) {
	t, known := v.targets[id]
	return t.target, t.service, known
}
