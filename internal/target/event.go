package target

import (
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

// Event is an input of Owner.Handle.
type Event interface{ event() }

// RequestArrived hands a request to the owner of its target.
type RequestArrived struct {
	// ID is the host's own handle of the request, not zero. It is not reused
	// while the request or its attempt is open.
	ID uint64
	// Request must not be changed before the request is finished or forwarded.
	Request *Request
}

// AttemptFinished reports the result of a dispatched attempt. Every Dispatch
// must be followed by exactly one, also after a Cancel.
type AttemptFinished struct {
	ID    uint64
	Reply Reply
	Load  LoadReport
}

// ForwardFinished reports the reply to a forwarded first message, so that the
// flow owner can drop the record of a session that was not opened. The host
// sends it for every Forward whose request has First set.
type ForwardFinished struct {
	Key    flow.Key
	Target flow.TargetID
	Reply  Reply
}

// CallerGone reports that nobody waits for the request any longer.
type CallerGone struct{ ID uint64 }

// PolicyChanged brings a new declaration of the target or its service.
type PolicyChanged struct {
	Target   configuration.Target
	Policy   configuration.Policy
	Revision uint64
}

// TableChanged reports that the table of the service changed.
type TableChanged struct {
	// Revision is the first revision with the current table.
	Revision uint64
	// ReplacedAt is the time at which the previous table was replaced.
	ReplacedAt time.Time
}

// LoadsChanged brings the gossiped loads of all targets of the service,
// including this one. The slice passes to the owner.
type LoadsChanged struct{ Loads []Load }

// HandoverReceived brings records from another owner.
type HandoverReceived struct{ Handover Handover }

// TakeoverStarted begins the ownership.
type TakeoverStarted struct {
	// PreviousOwner is the reachable host that owned the target before; empty if
	// there is none or it is dead.
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

// ConsultAnswered brings the reply to a Consult.
type ConsultAnswered struct {
	ID    uint64
	Reply ConsultReply
	// Failed is set if the other owner could not be asked.
	Failed bool
}

// ProbeFinished brings the result of a Probe.
type ProbeFinished struct {
	OK   bool
	Load LoadReport
}

// BackupChanged reports that another host is the backup now, which needs all
// exception records.
type BackupChanged struct{}

// Stopping reports that the host takes no new requests.
type Stopping struct{}

// Tick lets time pass. It is due every 100 ms: retries, queue deadlines and the
// end of a backoff wait for it.
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

// LoadReport is what a target says about its own load. It may lag or mislead.
type LoadReport struct {
	Known      bool
	InProgress uint32
	Queued     uint32
}

// Load is the load of a target as placement sees it.
type Load = flow.Load

// PlacementFunction chooses the target of a new session. It returns zero if no
// target is eligible.
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

// Cancel aborts the attempt of a caller that has gone.
type Cancel struct{ ID uint64 }

// Consult asks the owner of Request.Target, or the named host if Host is set. The
// host sends the claim that names no session by itself and reports its result
// as ConsultAnswered with the ID zero.
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

// CopyExceptions sends new exception records to the backup. Nothing waits for
// its success.
type CopyExceptions struct{ Handover Handover }

// Probe asks the target's health endpoint.
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
