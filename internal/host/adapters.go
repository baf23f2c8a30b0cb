package host

import (
	"time"

	"oriolevalve/internal/caller"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/operator"
	"oriolevalve/pkg/flow"
)

// directory answers the callers' server from the view in force.
type directory struct{ process *Process }

// Service implements caller.Directory.
func (d directory) Service(authority string) (caller.Service, bool) {
	v := d.process.traffic.View()
	if v == nil {
		return caller.Service{}, false
	}
	s, known := v.ServiceByAuthority(authority)
	if !known {
		return caller.Service{}, false
	}
	return caller.Service{ID: s.ID, CallerRate: s.Policy.CallerRate}, true
}

// Permitted implements caller.Directory. Steering checks the permit of later
// messages itself.
func (d directory) Permitted(first bool, now time.Time) bool {
	v := d.process.traffic.View()
	return v != nil && (!first || now.Before(v.Snapshot().PermitUntil()))
}

// SessionKey implements caller.Directory.
func (directory) SessionKey(service flow.ServiceID, session string) flow.Key {
	return flow.KeyOfSession(service, session)
}

// currentState gives the operators' server the configuration in force.
type currentState struct{ process *Process }

// State implements operator.Current.
func (c currentState) State() *configuration.State { return c.process.state.Load() }

// fleet gives the operators' server the fleet as this host sees it.
type fleet struct{ process *Process }

// Sessions implements operator.Fleet.
func (f fleet) Sessions(id flow.TargetID) configuration.Sessions {
	for _, s := range f.process.status.Load().statuses {
		if s.Target == id {
			return configuration.Sessions{Open: uint64(s.Sessions), Complete: !s.Stale && !s.Partial}
		}
	}
	return configuration.Sessions{}
}

// Status implements operator.Fleet.
func (f fleet) Status() operator.FleetStatus {
	s := f.process.status.Load()
	v := operator.FleetStatus{Host: f.process.settings.HostID, PlatformReachable: f.process.platformOK.Load()}
	for _, m := range s.members {
		h := operator.HostStatus{ID: m.ID, DataCentre: m.DataCentre, State: m.State.String(), Revision: m.Revision}
		if m.ID == v.Host {
			h.Revision = f.process.state.Load().Revision()
		}
		v.Hosts = append(v.Hosts, h)
	}
	for _, t := range s.statuses {
		v.Targets = append(v.Targets, t.TargetStatus)
	}
	return v
}
