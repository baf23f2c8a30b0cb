package flow

import (
	"slices"
	"time"
)

// AddressQuarantine is the time after the removal of a target during which
// its address is given to no other service, and therefore the time for which a
// host without a permit may continue established flows.
const AddressQuarantine = 10 * time.Second

// SnapshotInput is everything that a snapshot is derived from.
type SnapshotInput struct {
	Revision uint64
	// Self is the identifier of this host.
	Self string
	// Hosts are the live hosts that may own targets, in any order.
	Hosts    []Host
	Services []ServiceInput
}

// ServiceInput is one service of a SnapshotInput.
type ServiceInput struct {
	ID      ServiceID
	Targets []TargetInput
	// Generations are the earlier target sets that may still have open flows,
	// oldest first.
	Generations [][]TableTarget
}

// TargetInput is a target of a ServiceInput.
type TargetInput struct {
	ID         TargetID
	DataCentre string
	Weight     uint32
	// InTable is false for a target that receives no new sessions.
	InTable bool
	// Status is the latest known status; the zero value if none is known.
	Status TargetStatus
}

// Snapshot is an immutable view of the configuration, the live hosts and the
// status of the targets. Every steering decision is made on one snapshot.
type Snapshot struct {
	revision    uint64
	self        string
	permitUntil time.Time
	fleet       *fleet
	services    map[ServiceID]*service
	// targets are those of all services in the order of the input; index holds
	// their positions. Snapshots with the same targets share the index.
	targets []target
	index   map[TargetID]int32
}

// target is a target with its precomputed owners.
type target struct {
	input         TargetInput
	owner, backup string
}

type service struct {
	targets []TargetInput
	loads   []Load
	// members and generationInputs are the inputs of the tables, which show
	// that a table is unchanged.
	members          []TableTarget
	generationInputs [][]TableTarget
	// current and generations are the tables; the generations are oldest first
	// and leave out those without targets, because no flow can have been opened
	// in them.
	current     *Table
	generations []*Table
	// moved has one bit per bucket. It is nil if no bucket is moved.
	moved []uint64
	// byIndex is parallel to the targets of the current table, and baseOwners
	// to those of the oldest generation. They spare the decision a map lookup.
	byIndex    []*target
	baseOwners []string
}

// NewSnapshot builds a snapshot. It takes over the tables and owners of the
// previous snapshot that are unchanged, and its permit. The previous snapshot
// may be nil.
func NewSnapshot(input SnapshotInput, previous *Snapshot) *Snapshot {
	s := &Snapshot{
		revision: input.Revision,
		self:     input.Self,
		services: make(map[ServiceID]*service, len(input.Services)),
	}
	if previous == nil {
		previous = &Snapshot{}
	}
	s.permitUntil = previous.permitUntil
	if s.fleet = previous.fleet; s.fleet == nil || !slices.Equal(s.fleet.input, input.Hosts) {
		s.fleet = newFleet(input.Hosts)
	}
	sameFleet := previous.fleet != nil && slices.Equal(previous.fleet.hosts, s.fleet.hosts)
	count := 0
	for i := range input.Services {
		count += len(input.Services[i].Targets)
	}
	s.targets = make([]target, 0, count)
	sameTargets := count == len(previous.targets)
	for i := range input.Services {
		for _, t := range input.Services[i].Targets {
			entry := target{input: t}
			n := len(s.targets)
			var old *target
			if n < len(previous.targets) && previous.targets[n].input.ID == t.ID {
				old = &previous.targets[n]
			} else {
				sameTargets = false
				old = previous.target(t.ID)
			}
			if sameFleet && old != nil && old.input.DataCentre == t.DataCentre {
				entry.owner, entry.backup = old.owner, old.backup
			} else {
				entry.owner, entry.backup = s.fleet.owners(t.ID, t.DataCentre)
			}
			s.targets = append(s.targets, entry)
		}
	}
	if s.index = previous.index; !sameTargets {
		s.index = make(map[TargetID]int32, count)
		for i := range s.targets {
			s.index[s.targets[i].input.ID] = int32(i)
		}
	}
	for i := range input.Services {
		in := &input.Services[i]
		s.services[in.ID] = s.newService(in, previous.services[in.ID])
	}
	return s
}

func (s *Snapshot) newService(in *ServiceInput, previous *service) *service {
	v := &service{targets: slices.Clone(in.Targets), loads: make([]Load, len(in.Targets))}
	members := make([]TableTarget, 0, len(in.Targets))
	for i, t := range in.Targets {
		v.loads[i] = Load{
			Target:     t.ID,
			Sessions:   t.Status.Sessions,
			InProgress: t.Status.InProgress,
			Queued:     t.Status.Queued,
			Weight:     t.Weight,
			Eligible:   t.InTable && t.Weight > 0 && t.Status.Healthy,
		}
		if t.InTable {
			members = append(members, TableTarget{ID: t.ID, Weight: t.Weight})
		}
	}
	v.members = members
	v.generationInputs = in.Generations
	if previous != nil && slices.Equal(members, previous.members) &&
		slices.EqualFunc(in.Generations, previous.generationInputs, slices.Equal[[]TableTarget]) {
		v.generationInputs = previous.generationInputs
		v.current, v.generations, v.moved = previous.current, previous.generations, previous.moved
	} else {
		v.buildTables(previous)
	}
	v.byIndex = make([]*target, len(v.current.targets))
	for i, t := range v.current.targets {
		v.byIndex[i] = s.target(t.ID)
	}
	if len(v.generations) > 0 {
		base := v.generations[0].targets
		v.baseOwners = make([]string, len(base))
		for i, t := range base {
			v.baseOwners[i] = s.Owner(t.ID)
		}
	}
	return v
}

// buildTables derives the tables from their inputs. It takes over the tables
// of the previous snapshot that have the same input; previous may be nil.
func (v *service) buildTables(previous *service) {
	var known []*Table
	if previous != nil {
		known = append(slices.Clone(previous.generations), previous.current)
	}
	v.current, known = tableFor(v.members, known)
	inputs := make([][]TableTarget, len(v.generationInputs))
	for i, g := range v.generationInputs {
		// The snapshot keeps a copy, because the caller may reuse its input.
		inputs[i] = slices.Clone(g)
		var t *Table
		t, known = tableFor(g, known)
		if t.Size() > 0 {
			v.generations = append(v.generations, t)
		}
	}
	v.generationInputs = inputs
	v.moved = movedBuckets(v.current, v.generations)
}

// tableFor returns the table of a target set from the known tables, or builds
// it and adds it to them.
func tableFor(targets []TableTarget, known []*Table) (*Table, []*Table) {
	canonical := canonicalTargets(targets)
	for _, t := range known {
		if slices.Equal(t.targets, canonical) {
			return t, known
		}
	}
	t := buildTable(canonical, TableSize)
	return t, append(known, t)
}

// movedBuckets marks the buckets that any generation maps to another target
// than the current table does.
func movedBuckets(current *Table, generations []*Table) []uint64 {
	var bits []uint64
	for _, g := range generations {
		if g == current {
			continue
		}
		for b := range g.Size() {
			if g.TargetAt(b) == current.TargetAt(b) {
				continue
			}
			if bits == nil {
				bits = make([]uint64, (TableSize+63)/64)
			}
			bits[b/64] |= 1 << (b % 64)
		}
	}
	return bits
}

// Revision returns the configuration revision of the snapshot.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Self returns the identifier of this host.
func (s *Snapshot) Self() string { return s.self }

// PermitUntil returns the time until which new flows may be accepted.
func (s *Snapshot) PermitUntil() time.Time { return s.permitUntil }

// WithPermit returns a copy with another permit. The copy shares all tables.
func (s *Snapshot) WithPermit(until time.Time) *Snapshot {
	c := *s
	c.permitUntil = until
	return &c
}

// target returns a target of any service; nil if it is unknown.
func (s *Snapshot) target(id TargetID) *target {
	if i, ok := s.index[id]; ok {
		return &s.targets[i]
	}
	return nil
}

// Owner returns the identifier of the host that owns a target; empty if the
// target is unknown or no host is alive.
func (s *Snapshot) Owner(id TargetID) string {
	if t := s.target(id); t != nil {
		return t.owner
	}
	return ""
}

// Backup returns the identifier of the second host in the owner order of a
// target; empty if there is none.
func (s *Snapshot) Backup(id TargetID) string {
	if t := s.target(id); t != nil {
		return t.backup
	}
	return ""
}

// Target returns the input of a target and whether the snapshot knows it.
func (s *Snapshot) Target(id TargetID) (TargetInput, bool) {
	if t := s.target(id); t != nil {
		return t.input, true
	}
	return TargetInput{}, false
}

// Targets returns the targets of a service, in the order of the input. The
// caller must not change the result.
func (s *Snapshot) Targets(id ServiceID) []TargetInput {
	if v := s.services[id]; v != nil {
		return v.targets
	}
	return nil
}

// Loads returns the last known loads of a service's targets, in the order of
// the input. A target is eligible if it is in the table and healthy. The
// caller must not change the result.
func (s *Snapshot) Loads(id ServiceID) []Load {
	if v := s.services[id]; v != nil {
		return v.loads
	}
	return nil
}

// Table returns the current table of a service; nil if it is unknown.
func (s *Snapshot) Table(id ServiceID) *Table {
	if v := s.services[id]; v != nil {
		return v.current
	}
	return nil
}

// Hosts returns the live hosts, sorted. The caller must not change the result.
func (s *Snapshot) Hosts() []Host { return s.fleet.hosts }
