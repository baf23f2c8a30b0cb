// Package target decides what happens to the requests of one target and
// speaks to targets over gRPC.
package target

import (
	"time"

	"oriolevalve/pkg/flow"
)

// MaxRequestTime limits how long a request may run, counted from its
// acceptance by the first host.
const MaxRequestTime = 30 * time.Second

// RepeatWindow is how long the identity of a non-idempotent request is kept.
// It exceeds MaxRequestTime, so no attempt can start after its identity is
// forgotten.
const RepeatWindow = 60 * time.Second

// Request is a caller's request as it travels between hosts. The body is
// opaque.
type Request struct {
	Service flow.ServiceID
	Key     flow.Key
	// HasSession is false for a request that is a session of its own.
	HasSession bool
	// Session is the caller's own key of the session and Sequence the position
	// of the message in it, as the target receives them.
	Session  string
	Sequence uint64
	// First marks the first message of a session.
	First bool
	// SessionEnd marks the last message of a session.
	SessionEnd bool
	// Target is the target whose owner receives the request: the table target,
	// or the placed target if Placed is set.
	Target flow.TargetID
	// Placed is set when the flow owner has chosen Target, which must then
	// serve the request or refuse it.
	Placed bool
	// Assumed is set with Placed when the flow owner had no record and applied
	// the base rule. The owner of Target then follows its own record, if any.
	Assumed bool
	// PlacedBy is the flow owner that has set Placed.
	PlacedBy string
	// BaseTarget is the base target of a moved bucket; zero if the bucket is not moved.
	BaseTarget flow.TargetID
	// PreviousTarget is the target to which the bucket was mapped before its last
	// move; zero if the bucket is not moved.
	PreviousTarget flow.TargetID
	// Identity names a request across its attempts. Empty for none.
	Identity   string
	Idempotent bool
	// Attempt counts the caller's own repeats; zero for the first attempt.
	Attempt uint32
	// HasAttempt is set if the caller states the attempt, so that an attempt of zero
	// is certainly the first one.
	HasAttempt bool
	// FirstAttemptAt is when the caller sent the first attempt, by the clock of the
	// host that accepted the request; zero if the caller does not tell its age.
	FirstAttemptAt time.Time
	// NotAfter is the time after which no target may start the request.
	NotAfter time.Time
	// AcceptedAt is the time at which the first host accepted the request. A
	// request that was accepted within RepeatWindow of an earlier attempt may
	// reach the owner later than that. Zero means the time of arrival.
	AcceptedAt time.Time
	Caller     string
	// Method is the full gRPC method name.
	Method string
	Body   []byte
	// Hops counts the hosts that the request has passed.
	Hops uint8
	// Revision is the configuration revision that the sending host has in force.
	Revision uint64
}

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes of requests.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target answered, with success or an error.
	OutcomeAnswered
	// OutcomeNotRun means that the request did not run, which is proven.
	OutcomeNotRun
)

// String returns the name that callers and logs see.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason says why a request was not answered.
type Reason string

// The reasons for requests without an answer.
const (
	ReasonNone             Reason = ""
	ReasonPermitExpired    Reason = "permit_expired"
	ReasonNoTarget         Reason = "no_target"
	ReasonTargetDown       Reason = "target_down"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline"
	ReasonShed             Reason = "shed"
	ReasonCallerRate       Reason = "caller_rate"
	ReasonHostLimit        Reason = "host_limit"
	ReasonStopping         Reason = "stopping"
	ReasonNotOwner         Reason = "not_owner"
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	ReasonRepeatUnknown    Reason = "repeat_unknown"
	ReasonTakeover         Reason = "takeover"
	ReasonAttemptLost      Reason = "attempt_lost"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonTooLarge         Reason = "too_large"
	ReasonConnectionLimit  Reason = "connection_limit"
	// ReasonPlacementRefused means that the owner of the placed target refused
	// a new session and holds no session of that key, so that the flow owner
	// may place it elsewhere.
	ReasonPlacementRefused Reason = "placement_refused"
)

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Code is the gRPC status code of an answer.
	Code uint32
	// Message is the gRPC status message of an answer.
	Message string
	Body    []byte
}

// Handover carries the state of an owned target to its next owner, or
// exception records to the flow owner or the backup.
type Handover struct {
	Target flow.TargetID
	From   string
	// Sessions are the open sessions at the target.
	Sessions []flow.Key
	// Exceptions are the records of flows whose table target is Target.
	Exceptions []flow.Record
	// Assumed are like Exceptions, but made by the base rule. Other records
	// correct them.
	Assumed []flow.Record
	// Identities are the identities of recent non-idempotent requests, in the
	// form of IdentityHash.
	Identities []string
	// Complete is set on the last message of a change of owner, unless the
	// sender itself lacks identities that may be repeated unmarked.
	Complete bool
	// SessionsKnown is set with Complete if the records cover every open
	// session.
	SessionsKnown bool
	// Copy is set on the soft copy for the backup.
	Copy bool
}

// ConsultRequest asks the owner of a target whether it knows a session or an
// identity.
type ConsultRequest struct {
	// From is the identifier of the asking host.
	From string
	// Term identifies the ownership of the asking host. A host that starts again
	// has another one, since it has forgotten what it ran.
	Term uint64
	// Claim is set when the asking host has become the owner of Target. The
	// asked host then hands over and starts no further request for Target.
	Claim  bool
	Target flow.TargetID
	Key    flow.Key
	// Identity is in the form of IdentityHash; empty for none.
	Identity string
	// FirstAccepted is the time at which a host accepted the request, if the
	// caller states that it is the first attempt; zero otherwise.
	FirstAccepted time.Time
}

// ConsultReply answers a ConsultRequest.
type ConsultReply struct {
	KnownSession  bool
	KnownIdentity bool
	// Exception is the target that an exception record of the key names; zero
	// if there is none.
	Exception flow.TargetID
	// Assumed is set if the base rule made that record.
	Assumed bool
	// Authoritative is false if the owner took over without a complete handover, so
	// that an unknown session may exist all the same.
	Authoritative bool
}

// Refusal returns what the caller is told when this attempt did not run. If the
// attempt repeats an earlier one, that one may have run.
func (r *Request) Refusal(reason Reason) Reply {
	if r.Attempt > 0 && !r.Idempotent {
		return Reply{Outcome: OutcomeUnknown, Reason: reason}
	}
	return Reply{Outcome: OutcomeNotRun, Reason: reason}
}
