package flow

import "time"

// DecisionKind says what a host does with a packet or message.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Refuse means that the packet or message is not forwarded.
	Refuse DecisionKind = iota
	// Direct means that a packet may be forwarded to Target at once.
	Direct
	// Relay means that the flow owner decides.
	Relay
)

// String returns the name of the kind.
func (k DecisionKind) String() string {
	switch k {
	case Direct:
		return "direct"
	case Relay:
		return "relay"
	default:
		return "refuse"
	}
}

// Reason says why a flow is refused or relayed. The reasons of refusals are
// those that callers see.
type Reason string

// The reasons of decisions.
const (
	ReasonNone           Reason = ""
	ReasonPermitExpired  Reason = "permit_expired"
	ReasonUnknownService Reason = "unknown_service"
	ReasonNoTarget       Reason = "no_target"
	// ReasonNoOwner means that no host is alive to own the target.
	ReasonNoOwner Reason = "owner_unreachable"
	// ReasonMoved means that the flow may have been opened at another target.
	ReasonMoved Reason = "moved"
	// ReasonRecords means that the owner holds exception records.
	ReasonRecords Reason = "records"
	// ReasonUnhealthy means that the target is not known to be healthy.
	ReasonUnhealthy Reason = "unhealthy"
)

// Decision is the result of Steer.
type Decision struct {
	Kind DecisionKind
	// Target is the table target of the flow; the base target if the current
	// table has none.
	Target TargetID
	// Owner is the host that owns Target: the flow owner.
	Owner string
	// Base is the target at which a flow that was opened before the bucket moved
	// is, unless a record says otherwise; zero if the bucket is not moved. It may
	// name a target that the service no longer has.
	Base TargetID
	// Previous is the target of the newest retained generation that maps the
	// bucket to another target than the current table; zero if the bucket is not
	// moved. The owner of Previous was the flow owner before the last move.
	Previous TargetID
	// Moved is set if a retained generation maps the bucket to another target,
	// even if Base equals Target.
	Moved  bool
	Reason Reason
}

// Steer decides where a packet or message of a flow goes. The parameter first
// marks the first message of a flow. The packet plane forwards on Direct and
// sends to Owner on Relay; the request plane sends to Owner on both. Steer
// does not allocate.
func (s *Snapshot) Steer(id ServiceID, k Key, first bool, now time.Time) Decision {
	if !now.Before(s.permitUntil) {
		if first || now.Sub(s.permitUntil) >= AddressQuarantine {
			return Decision{Reason: ReasonPermitExpired}
		}
	}
	v := s.services[id]
	if v == nil {
		return Decision{Reason: ReasonUnknownService}
	}
	if len(v.current.buckets) == 0 {
		return v.steerWithoutTable(k, first)
	}
	bucket := v.current.Bucket(k)
	t := v.byIndex[v.current.buckets[bucket]]
	d := Decision{Kind: Relay, Target: t.input.ID, Owner: t.owner}
	switch {
	case v.moved != nil && v.moved[bucket/64]&(1<<(bucket%64)) != 0:
		d.Moved = true
		d.Base = v.generations[0].TargetAt(bucket)
		d.Previous = v.previousTarget(bucket, d.Target)
		d.Reason = ReasonMoved
	case t.input.Status.Relay:
		d.Reason = ReasonRecords
	case !t.input.Status.Healthy:
		d.Reason = ReasonUnhealthy
	default:
		d.Kind = Direct
	}
	if t.owner == "" && d.Kind == Relay {
		d.Kind, d.Reason = Refuse, ReasonNoOwner
	}
	return d
}

func (v *service) previousTarget(bucket uint32, current TargetID) TargetID {
	for i := len(v.generations) - 1; i >= 0; i-- {
		if t := v.generations[i].TargetAt(bucket); t != current {
			return t
		}
	}
	return 0
}

// steerWithoutTable decides for a service whose targets are all draining:
// established flows continue at their base target, whose owner decides.
func (v *service) steerWithoutTable(k Key, first bool) Decision {
	if first || len(v.generations) == 0 {
		return Decision{Reason: ReasonNoTarget}
	}
	base := v.generations[0]
	bucket := base.Bucket(k)
	d := Decision{
		Kind:   Relay,
		Target: base.TargetAt(bucket),
		Owner:  v.baseOwners[base.buckets[bucket]],
		Base:   base.TargetAt(bucket),
		Moved:  true,
		Reason: ReasonMoved,
	}
	if d.Owner == "" {
		d.Kind, d.Reason = Refuse, ReasonNoTarget
	}
	return d
}
