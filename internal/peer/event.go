package peer

import "oriolevalve/pkg/flow"

// Event is an input of Membership.
type Event interface{ event() }

// Tick passes time. It is due every 100 ms; at longer intervals failures are
// seen later.
type Tick struct{}

// PingReceived is a ping from another host. It is answered by the SendAck
// action with the same token.
type PingReceived struct {
	Token   uint64
	Message Message
}

// PingRequestReceived asks to ping a member for another host. It is answered
// by the SendAck action with the same token.
type PingRequestReceived struct {
	Token   uint64
	Request PingRequest
}

// AckReceived answers the SendPing or SendPingRequest action with the same
// sequence.
type AckReceived struct {
	Sequence uint64
	Message  Message
}

// PingFailed says that the SendPing or SendPingRequest action with the same
// sequence got no answer.
type PingFailed struct{ Sequence uint64 }

// HostListReceived carries the platform's list of hosts, which lags. Only
// identifier, data centre and address are used.
type HostListReceived struct{ Hosts []Member }

// PublishStatus carries the newest status of a target that this host owns.
type PublishStatus struct{ Status flow.TargetStatus }

// RevisionAdopted says that this host has a configuration revision in force.
type RevisionAdopted struct{ Revision uint64 }

// Leave starts the departure of this host.
type Leave struct{}

// Resumed says that the process was paused. Membership also detects pauses by
// itself from the gap between ticks.
type Resumed struct{}

func (Tick) event()                {}
func (PingReceived) event()        {}
func (PingRequestReceived) event() {}
func (AckReceived) event()         {}
func (PingFailed) event()          {}
func (HostListReceived) event()    {}
func (PublishStatus) event()       {}
func (RevisionAdopted) event()     {}
func (Leave) event()               {}
func (Resumed) event()             {}
