package target

import (
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

// Event is an input of Owner.Handle.
type Event interface{ event() }

// RequestArrived passes a request to the owner of its target.
type RequestArrived struct {
	// ID is the host's own identifier of the request. It is not zero and is not
	// reused while the request or its attempt is open.
	ID uint64
	// Request must not be changed before the request is finished or forwarded.
	Request *Request
}

// AttemptFinished reports the result of a dispatched attempt. The host sends exactly
// one for every Dispatch, also after a Cancel.
type AttemptFinished struct {
	ID    uint64
	Reply Reply
	Load  LoadReport
}

// ForwardFinished reports the reply to a forwarded first message. The flow owner
// then removes the record of a session that was not opened. The host sends it for
// every Forward whose request has First set.
type ForwardFinished struct {
	Key    flow.Key
	Target flow.TargetID
	Reply  Reply
}

// CallerGone reports that the caller no longer waits for the reply, for example
// because it cancelled the call.
type CallerGone struct{ ID uint64 }

// PolicyChanged reports a new configuration of the target or its service.
type PolicyChanged struct {
	Target   configuration.Target
	Policy   configuration.Policy
	Revision uint64
}

// TableChanged reports that the service has a new routing table.
type TableChanged struct {
	// Revision is the first configuration revision with the new table.
	Revision uint64
	// ReplacedAt is the time at which the previous table was replaced.
	ReplacedAt time.Time
}

// LoadsChanged updates the gossiped loads of all targets of the service, including
// this one. The owner keeps and modifies the slice.
type LoadsChanged struct{ Loads []Load }

// HandoverReceived reports records sent by another owner.
type HandoverReceived struct{ Handover Handover }

// TakeoverStarted reports that the host has become the owner of the target.
type TakeoverStarted struct {
	// PreviousOwner is the reachable host that owned the target before; empty if
	// there is none or it failed.
	PreviousOwner string
	// FirstOwner is set for a target that never had another owner.
	FirstOwner bool
	// Version is the last version seen in a status of the target.
	Version uint64
	// RemoteDataCentre is set if the owner is outside the target's data centre.
	RemoteDataCentre bool
}

// HandoverRequested ends the ownership in favour of another host.
type HandoverRequested struct{ To string }

// ConsultAnswered reports the reply to a Consult.
type ConsultAnswered struct {
	ID    uint64
	Reply ConsultReply
	// Failed is set if the other owner did not reply.
	Failed bool
}

// ProbeFinished reports the result of a Probe.
type ProbeFinished struct {
	OK   bool
	Load LoadReport
}

// BackupChanged reports that another host has become the backup. The owner sends it
// all exception records.
type BackupChanged struct{}

// Stopping reports that the host is shutting down and accepts no new requests.
type Stopping struct{}

// Tick triggers the periodic work. The host sends it every 100 ms, which is the
// resolution of retries, queue deadlines and backoffs.
type Tick struct{}

func (RequestArrived) event()    {}
func (AttemptFinished) event()   {}
func (ForwardFinished) event()   {}
func (CallerGone) event()        {}
func (PolicyChanged) event()     {}
func (TableChanged) event()      {}
func (LoadsChanged) event()      {}
func (HandoverReceived) event()  {}
func (TakeoverStarted) event()   {}
func (HandoverRequested) event() {}
func (ConsultAnswered) event()   {}
func (ProbeFinished) event()     {}
func (BackupChanged) event()     {}
func (Stopping) event()          {}
func (Tick) event()              {}

// LoadReport is the load that a target reports about itself. It may be out of date
// or wrong.
type LoadReport struct {
	// Known is false if the target sent no valid report.
	Known      bool
	InProgress uint32
	Queued     uint32
}

// Load is the load of a target as used by placement.
type Load = flow.Load

// PlacementFunction chooses the target of a new session whose table target is table.
// It may return zero if no target is eligible.
type PlacementFunction func(key flow.Key, table flow.TargetID, loads []Load, bound float64) flow.TargetID

// Action is an output of Owner.Handle.
type Action interface{ action() }

// Dispatch sends the request to the target, unless NotAfter has passed.
type Dispatch struct {
	ID       uint64
	NotAfter time.Time
}

// Forward sends the request to the owner of another target, or to the new owner
// of this target after a handover. The request is finished for this owner.
type Forward struct {
	ID      uint64
	Target  flow.TargetID
	Request *Request
}

// Finish replies to the request.
type Finish struct {
	ID    uint64
	Reply Reply
}

// Cancel aborts the attempt of a request whose caller no longer waits.
type Cancel struct{ ID uint64 }

// Consult sends a ConsultRequest to Host, or to the owner of Request.Target if Host
// is empty. The host itself sends a claim without a key or an identity after a
// takeover, and reports its reply as ConsultAnswered with the ID zero.
type Consult struct {
	ID      uint64
	Host    string
	Request ConsultRequest
}

// SendHandover sends records to the new owner.
type SendHandover struct {
	To       string
	Handover Handover
}

// CopyExceptions replicates new exception records to the backup asynchronously. A
// failure is not reported.
type CopyExceptions struct{ Handover Handover }

// Probe checks the target's health endpoint.
type Probe struct{ Target flow.TargetID }

// PublishStatus gossips the status of the target.
type PublishStatus struct{ Status flow.TargetStatus }

func (Dispatch) action()       {}
func (Forward) action()        {}
func (Finish) action()         {}
func (Cancel) action()         {}
func (Consult) action()        {}
func (SendHandover) action()   {}
func (CopyExceptions) action() {}
func (Probe) action()          {}
func (PublishStatus) action()  {}
