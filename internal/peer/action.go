package peer

import "oriolevalve/pkg/flow"

// Action is an output of Membership.
type Action interface{ action() }

// SendPing asks for a ping. The result comes back as AckReceived or PingFailed
// with the same sequence.
type SendPing struct {
	To       Member
	Sequence uint64
	Message  Message
}

// SendPingRequest asks a member to ping another one. The result comes back as
// AckReceived or PingFailed with the same sequence.
type SendPingRequest struct {
	To       Member
	Sequence uint64
	Request  PingRequest
}

// SendAck answers the ping or ping request with the same token. Failed is set
// if the member of a ping request did not answer.
type SendAck struct {
	Token   uint64
	Failed  bool
	Message Message
}

// MembersChanged says that Members or Hosts return something new.
type MembersChanged struct{}

// StatusChanged lists the statuses that replaced older ones.
type StatusChanged struct{ Statuses []flow.TargetStatus }

// RevisionAvailable says that a member has a revision above the one of this
// host. It is repeated each second until the revision is adopted.
type RevisionAvailable struct {
	From     Member
	Revision uint64
}

func (SendPing) action()          {}
func (SendPingRequest) action()   {}
func (SendAck) action()           {}
func (MembersChanged) action()    {}
func (StatusChanged) action()     {}
func (RevisionAvailable) action() {}
