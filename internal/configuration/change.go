package configuration

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
)

// ServiceDeclaration is the wanted state of one service.
type ServiceDeclaration struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Protocol Protocol `json:"protocol"`
	// Policy is nil to keep the policy of an existing service. A new service
	// then gets the default policy.
	Policy  *Policy             `json:"policy,omitempty"`
	Targets []TargetDeclaration `json:"targets,omitempty"`
	// ReplaceTargets makes Targets the wanted target set of an existing
	// service. Targets that are not listed are drained, not removed.
	ReplaceTargets bool `json:"replace_targets,omitempty"`
	// BaseVersion is the service's version that the declaration is based on.
	// Zero for a new service.
	BaseVersion uint64 `json:"base_version,omitempty"`
}

// TargetDeclaration is the wanted state of one target.
type TargetDeclaration struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// Connections is DefaultConnections if zero.
	Connections int `json:"connections,omitempty"`
	// Weight is DefaultWeight if zero.
	Weight uint32 `json:"weight,omitempty"`
	// State is TargetJoined if empty.
	State TargetState `json:"state,omitempty"`
}

// Sessions is what the owner of a target reports about its open sessions.
type Sessions struct {
	Open uint64 `json:"open"`
	// Complete is false if the owner may not know every session of the target.
	Complete bool `json:"complete"`
}

// ChangeKind names a change function.
type ChangeKind string

// The kinds of changes.
const (
	ChangeApply         ChangeKind = "apply"
	ChangeDeleteService ChangeKind = "delete_service"
	ChangeJoinTarget    ChangeKind = "join_target"
	ChangeDrainTarget   ChangeKind = "drain_target"
	ChangeLeaveTarget   ChangeKind = "leave_target"
)

// Change is a requested change as data, so that it can be computed again on a
// newer revision.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Declarations belong to ChangeApply; each has its own base version.
	Declarations []ServiceDeclaration `json:"declarations,omitempty"`
	// Service and BaseVersion belong to the other kinds.
	Service     string `json:"service,omitempty"`
	BaseVersion uint64 `json:"base_version,omitempty"`
	// Target names the target to drain or remove.
	Target string `json:"target,omitempty"`
	// Join is the target to add.
	Join *TargetDeclaration `json:"join,omitempty"`
	// Force and Sessions belong to ChangeLeaveTarget.
	Force    bool     `json:"force,omitempty"`
	Sessions Sessions `json:"sessions,omitzero"`
}

// VersionConflictError is the error of a change whose base version is not the
// current version of the service.
type VersionConflictError struct {
	Service string
	Base    uint64
	// Current is zero if the service does not exist.
	Current uint64
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	switch {
	case e.Current == 0:
		return fmt.Sprintf("service %q does not exist (base version %d)", e.Service, e.Base)
	case e.Base == 0:
		return fmt.Sprintf("service %q exists with version %d (base version 0 is for a new service)",
			e.Service, e.Current)
	default:
		return fmt.Sprintf("service %q has version %d, the change is based on version %d",
			e.Service, e.Current, e.Base)
	}
}

// Apply computes the change on a configuration at the given time. The result
// has the next revision; without differences it is the unchanged base. Errors
// are *VersionConflictError, Problems or a refusal with its reason.
func (h Change) Apply(c *Configuration, now time.Time) (*Configuration, []Difference, error) {
	switch h.Kind {
	case ChangeApply:
		return c.ApplyDeclarations(now, h.Declarations)
	case ChangeDeleteService:
		return c.DeleteService(now, h.Service, h.BaseVersion)
	case ChangeJoinTarget:
		if h.Join == nil {
			return nil, nil, errors.New("no target is given")
		}
		return c.JoinTarget(now, h.Service, h.BaseVersion, *h.Join)
	case ChangeDrainTarget:
		return c.DrainTarget(now, h.Service, h.BaseVersion, h.Target)
	case ChangeLeaveTarget:
		return c.LeaveTarget(now, h.Service, h.BaseVersion, h.Target, h.Force, h.Sessions)
	default:
		return nil, nil, errors.Newf("unknown kind of change %q", h.Kind)
	}
}

// ServiceNames returns the names of the services that the change concerns.
func (h Change) ServiceNames() []string {
	if h.Kind != ChangeApply {
		return []string{h.Service}
	}
	var names []string
	for _, d := range h.Declarations {
		names = append(names, d.Name)
	}
	return names
}

// ApplyDeclarations creates or changes the declared services: all of them or
// none.
func (c *Configuration) ApplyDeclarations(
	now time.Time, declarations []ServiceDeclaration,
) (*Configuration, []Difference, error) {
	e := c.edit(now)
	seen := map[string]bool{}
	for _, d := range declarations {
		if seen[d.Name] {
			e.problems.add(servicePath(d.Name), d.Name, "at most one declaration for each service")
			continue
		}
		seen[d.Name] = true
		current, exists := c.Service(d.Name)
		if !exists {
			if d.BaseVersion != 0 {
				return nil, nil, &VersionConflictError{Service: d.Name, Base: d.BaseVersion}
			}
			e.create(d)
			continue
		}
		if d.BaseVersion != current.Version {
			return nil, nil, &VersionConflictError{Service: d.Name, Base: d.BaseVersion, Current: current.Version}
		}
		e.modify(current, d)
	}
	return e.finish()
}

// DeleteService removes a service and its targets.
func (c *Configuration) DeleteService(
	now time.Time, service string, baseVersion uint64,
) (*Configuration, []Difference, error) {
	current, err := c.serviceAt(service, baseVersion)
	if err != nil {
		return nil, nil, err
	}
	e := c.edit(now)
	e.removeAddress(current.Address, current.ID)
	for _, t := range current.Targets {
		e.removeAddress(t.Address, current.ID)
	}
	delete(e.services, current.ID)
	e.deleted = true
	return e.finish()
}

// JoinTarget adds a target. A draining target with the same name and address
// accepts new sessions again and keeps its identifier.
func (c *Configuration) JoinTarget(
	now time.Time, service string, baseVersion uint64, target TargetDeclaration,
) (*Configuration, []Difference, error) {
	current, err := c.serviceAt(service, baseVersion)
	if err != nil {
		return nil, nil, err
	}
	if t, exists := current.Target(target.Name); exists && t.State == TargetJoined {
		return nil, nil, errors.Newf("target %q has already joined service %q", target.Name, service)
	}
	e := c.edit(now)
	s := e.service(current)
	e.declareTarget(s, target)
	return e.finish()
}

// DrainTarget stops new sessions at a target.
func (c *Configuration) DrainTarget(
	now time.Time, service string, baseVersion uint64, target string,
) (*Configuration, []Difference, error) {
	current, i, err := c.targetAt(service, baseVersion, target)
	if err != nil {
		return nil, nil, err
	}
	e := c.edit(now)
	e.service(current).Targets[i].State = TargetDraining
	return e.finish()
}

// LeaveTarget removes a target. Without force it is refused unless the target
// is draining and its owner knows that no session is open there.
func (c *Configuration) LeaveTarget(
	now time.Time, service string, baseVersion uint64, target string, force bool, sessions Sessions,
) (*Configuration, []Difference, error) {
	current, i, err := c.targetAt(service, baseVersion, target)
	if err != nil {
		return nil, nil, err
	}
	if !force {
		switch {
		case current.Targets[i].State != TargetDraining:
			return nil, nil, errors.Newf("target %q is not draining: drain it first", target)
		case sessions.Open > 0:
			return nil, nil, errors.Newf("target %q has %d open sessions", target, sessions.Open)
		case !sessions.Complete:
			return nil, nil, errors.Newf("the open sessions of target %q are not known completely", target)
		}
	}
	e := c.edit(now)
	e.removeAddress(current.Targets[i].Address, current.ID)
	s := e.service(current)
	s.Targets = slices.Delete(s.Targets, i, i+1)
	return e.finish()
}

func (c *Configuration) serviceAt(name string, baseVersion uint64) (*Service, error) {
	s, exists := c.Service(name)
	if !exists {
		return nil, &VersionConflictError{Service: name, Base: baseVersion}
	}
	if s.Version != baseVersion {
		return nil, &VersionConflictError{Service: name, Base: baseVersion, Current: s.Version}
	}
	return s, nil
}

func (c *Configuration) targetAt(service string, baseVersion uint64, target string) (*Service, int, error) {
	s, err := c.serviceAt(service, baseVersion)
	if err != nil {
		return nil, 0, err
	}
	for i := range s.Targets {
		if s.Targets[i].Name == target {
			return s, i, nil
		}
	}
	return nil, 0, errors.Newf("service %q has no target %q", service, target)
}

// edit collects the parts of one change on a copy of the base.
type edit struct {
	base     *Configuration
	next     Configuration
	now      time.Time
	services map[flow.ServiceID]*Service
	deleted  bool
	problems Problems
}

// edit starts a change. Its time is never before the acceptance of the base,
// so that a host with a slow clock cannot shorten a quarantine that began
// before.
func (c *Configuration) edit(now time.Time) *edit {
	now = now.UTC().Truncate(time.Millisecond)
	if now.Before(c.AcceptedAt) {
		now = c.AcceptedAt
	}
	e := &edit{base: c, next: *c, now: now, services: make(map[flow.ServiceID]*Service, len(c.Services))}
	for i := range c.Services {
		e.services[c.Services[i].ID] = &c.Services[i]
	}
	e.next.Revision = c.Revision + 1
	e.next.AcceptedAt = e.now
	e.next.RemovedAddresses = quarantined(c.RemovedAddresses, e.now)
	return e
}

// service returns a copy of a service that the change may modify.
func (e *edit) service(current *Service) *Service {
	s := *current
	s.Targets = slices.Clone(current.Targets)
	s.Generations = slices.Clone(current.LiveGenerations(e.now))
	e.services[s.ID] = &s
	return &s
}

func (e *edit) create(d ServiceDeclaration) {
	e.next.LastServiceID++
	s := &Service{ID: e.next.LastServiceID, Name: d.Name, Address: d.Address, Protocol: d.Protocol, Policy: DefaultPolicy()}
	if d.Policy != nil {
		s.Policy = *d.Policy
	}
	e.checkQuarantine(servicePath(s.Name)+".address", s.Address, s.ID)
	e.services[s.ID] = s
	e.declareTargets(s, d.Targets)
}

func (e *edit) modify(current *Service, d ServiceDeclaration) {
	path := servicePath(current.Name)
	// A caller's session would end with either change.
	if d.Address != current.Address {
		e.problems.add(path+".address", d.Address, "the address %s, which cannot change while the service exists", current.Address)
	}
	if d.Protocol != current.Protocol {
		e.problems.add(path+".protocol", string(d.Protocol), "%q, which cannot change while the service exists", current.Protocol)
	}
	s := e.service(current)
	if d.Policy != nil {
		s.Policy = *d.Policy
	}
	if !d.ReplaceTargets {
		return
	}
	e.declareTargets(s, d.Targets)
	wanted := map[string]bool{}
	for _, t := range d.Targets {
		wanted[t.Name] = true
	}
	for i := range s.Targets {
		if !wanted[s.Targets[i].Name] {
			s.Targets[i].State = TargetDraining
		}
	}
}

func (e *edit) declareTargets(s *Service, declarations []TargetDeclaration) {
	seen := map[string]bool{}
	for _, t := range declarations {
		if seen[t.Name] {
			e.problems.add(servicePath(s.Name)+targetPath(t.Name)+".name", t.Name,
				"a name that no other target of the service has")
			continue
		}
		seen[t.Name] = true
		e.declareTarget(s, t)
	}
}

func (e *edit) declareTarget(s *Service, d TargetDeclaration) {
	path := servicePath(s.Name) + targetPath(d.Name)
	wanted := Target{
		Name: d.Name, Address: d.Address, DataCentre: d.DataCentre, State: d.State,
		Slots: d.Slots, Connections: d.Connections, Weight: d.Weight, JoinedAt: e.now,
	}
	if wanted.State == "" {
		wanted.State = TargetJoined
	}
	if wanted.Connections == 0 {
		wanted.Connections = DefaultConnections
	}
	if wanted.Weight == 0 {
		wanted.Weight = DefaultWeight
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Name != d.Name {
			continue
		}
		// Another address is another target: its sessions are elsewhere.
		if wanted.Address != t.Address {
			e.problems.add(path+".address", wanted.Address,
				"the address %s, which cannot change (declare the new target under another name)", t.Address)
		}
		if wanted.DataCentre != t.DataCentre {
			e.problems.add(path+".data_centre", wanted.DataCentre, "%q, which cannot change", t.DataCentre)
		}
		wanted.ID = t.ID
		// Only a return from draining starts a new ramp-up.
		if wanted.State == t.State || wanted.State == TargetDraining {
			wanted.JoinedAt = t.JoinedAt
		}
		*t = wanted
		return
	}
	e.next.LastTargetID++
	wanted.ID = e.next.LastTargetID
	e.checkQuarantine(path+".address", wanted.Address, s.ID)
	s.Targets = append(s.Targets, wanted)
}

func (e *edit) removeAddress(address string, service flow.ServiceID) {
	e.next.RemovedAddresses = append(e.next.RemovedAddresses,
		RemovedAddress{Address: address, Service: service, RemovedAt: e.now})
}

func (e *edit) checkQuarantine(path, address string, service flow.ServiceID) {
	// The list is in order of time, so the last entry blocks the longest.
	for _, r := range slices.Backward(e.next.RemovedAddresses) {
		if r.Address == address && r.Service != service {
			e.problems.add(path, address, "an address that no other service gave up less than %s ago, free from %s",
				AddressQuarantine, r.RemovedAt.Add(AddressQuarantine).Format(time.RFC3339Nano))
			return
		}
	}
}

// finish sets versions and generations, checks the result and compares it with
// the base.
func (e *edit) finish() (*Configuration, []Difference, error) {
	changed := e.deleted
	unchanged := map[flow.ServiceID]bool{}
	list := make([]Service, 0, len(e.services))
	for _, s := range e.services {
		previous, existed := e.base.ServiceByID(s.ID)
		if existed && (previous == s || !differs(previous, s)) {
			s = previous
			unchanged[s.ID] = true
		} else {
			changed = true
			e.stamp(previous, s)
		}
		list = append(list, *s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	e.next.Services = list
	problems := slices.Concat(e.problems, e.next.validate(func(s *Service) bool { return unchanged[s.ID] }))
	if len(problems) > 0 {
		sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
		return nil, nil, slices.CompactFunc(problems, func(a, b Problem) bool { return a == b })
	}
	if !changed {
		return e.base, nil, nil
	}
	return &e.next, Differences(e.base, &e.next), nil
}

// stamp sets the version of a changed service. If its table input changed, the
// previous input becomes a generation; an empty one can have no flows.
func (e *edit) stamp(previous, s *Service) {
	s.Version = e.next.Revision
	if previous == nil {
		s.TableRevision = e.next.Revision
		return
	}
	before := previous.TableTargets()
	if sameTable(before, s.TableTargets()) {
		return
	}
	if len(before) > 0 {
		s.Generations = append(s.Generations,
			Generation{Revision: previous.TableRevision, ReplacedAt: e.now, Targets: before})
	}
	s.TableRevision = e.next.Revision
}

func differs(a, b *Service) bool {
	return a.Address != b.Address || a.Protocol != b.Protocol || a.Policy != b.Policy ||
		!slices.Equal(a.Targets, b.Targets)
}

// sameTable compares table inputs, in which the order has no meaning.
func sameTable(a, b []flow.TableTarget) bool {
	order := func(x, y flow.TableTarget) int { return int(int64(x.ID) - int64(y.ID)) }
	a, b = slices.Clone(a), slices.Clone(b)
	slices.SortFunc(a, order)
	slices.SortFunc(b, order)
	return slices.Equal(a, b)
}
