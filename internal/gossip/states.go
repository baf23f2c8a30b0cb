package gossip

import "oriolevalve/internal/catalog"

// commonKinds is the number of collections that all hosts follow. What a message says of the
// others is left out if the sender does not follow them, as by hosts of builds that do not know
// them.
const commonKinds = int(catalog.Evacuations)

// States are the states of a host's collections. On the wire they are an array, of which a
// host ignores the states of collections that it does not know, and takes missing ones for
// states of a host that does not follow them.
type States [catalog.KindCount]catalog.State

// Lacks reports whether the host follows a collection and does not have it yet.
func (s *States) Lacks(kind catalog.Kind) bool {
	return !s[kind].Valid && (int(kind) < commonKinds || s[kind].Missing)
}

// Follows reports whether the host has a collection or waits for it.
func (s *States) Follows(kind catalog.Kind) bool { return s[kind].Valid || s.Lacks(kind) }

// MarshalCBOR leaves out the states of collections that the host does not follow.
func (s States) MarshalCBOR() ([]byte, error) {
	count := len(s)
	for count > commonKinds && s[count-1] == (catalog.State{}) {
		count--
	}
	return messageEncoding.Marshal(s[:count])
}

// Progress tells of each collection how far a list of it is read.
type Progress [catalog.KindCount]int

// MarshalCBOR leaves out collections that not all hosts follow and that are not read.
func (p Progress) MarshalCBOR() ([]byte, error) {
	count := len(p)
	for count > commonKinds && p[count-1] == 0 {
		count--
	}
	return messageEncoding.Marshal(p[:count])
}
