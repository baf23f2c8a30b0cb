// Package flow decides which target a flow belongs to. Every function is
// deterministic and free of I/O, so that all hosts reach the same decision
// from the same configuration revision.
package flow

// ServiceID identifies a service. Identifiers are never reused, so a service
// that is deleted and created again under the same name has another one.
type ServiceID uint32

// TargetID identifies a target. Identifiers are never reused. Zero means no
// target.
type TargetID uint32

// Key identifies a flow: the 128-bit hash of the service identifier with the
// connection's addresses or the session key. At 12 million flows the chance
// of one collision is below 1e-24.
type Key [16]byte

// Host is a member of the fleet as the owner election sees it.
type Host struct {
	ID         string
	DataCentre string
}

// TableTarget is an entry of a table's input.
type TableTarget struct {
	ID     TargetID `json:"id"`
	Weight uint32   `json:"weight"`
}

// TableSize is the number of buckets per table. It is prime, as Maglev needs,
// and gives 14 targets 292 or 293 buckets each.
const TableSize = 4093

// Record says that a flow is at a target other than its table target, or that
// a session is open at a target.
type Record struct {
	Key    Key
	Target TargetID
}

// TargetStatus is what the owner of a target tells the other hosts about it.
type TargetStatus struct {
	Target TargetID
	// Owner is the identifier of the host that publishes the status.
	Owner string
	// Version orders the statuses of one target. A new owner starts above the
	// version that it last saw.
	Version uint64
	Healthy bool
	// Relay is set while the owner holds exception records, so packets of
	// unknown flows in the target's buckets must pass the owner.
	Relay bool
	// Partial is set while the owner may not know every open session.
	Partial    bool
	Sessions   uint32
	InProgress uint32
	Queued     uint32
}
