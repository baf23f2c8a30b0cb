// Package peer keeps the membership of the fleet and connects hosts with each
// other. Membership is a pure state machine; the other types carry its
// messages and the requests of the hosts over net/rpc.
package peer

// State is the condition of a member as another host sees it.
type State uint8

// The states of members. At equal incarnations the higher state wins.
const (
	// Alive members answer pings.
	Alive State = iota
	// Suspect members did not answer and are declared dead unless they refute.
	Suspect
	// Leaving members finish their requests and take no new ownership.
	Leaving
	// Dead members did not refute a suspicion in time.
	Dead
)

// String returns the name that logs and status output show.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "invalid"
	}
}

// Member is a host as the membership knows it.
type Member struct {
	ID         string
	DataCentre string
	// Address is the IP address and port of the member's peer listener.
	Address string
	State   State
	// Incarnation orders the statements about one member. Only the member
	// itself raises it. A host that starts with the seconds since 1970 needs no
	// refutation when it comes back under the same identifier.
	Incarnation uint64
	// Revision is the configuration revision that the member had in force when
	// it was last heard.
	Revision uint64
}

// supersedes reports whether the statement m replaces the statement old about
// the same member.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}
