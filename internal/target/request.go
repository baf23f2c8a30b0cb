// Package target manages the requests of one upstream target: session routing,
// admission, deduplication, health and changes of owner. It also contains the gRPC
// client that calls the target.
package target

import (
	"time"

	"oriolevalve/pkg/flow"
)

// MaxRequestTime limits the time from the acceptance of a request by the first
// host to the end of its last attempt.
const MaxRequestTime = 30 * time.Second

// RepeatWindow is how long after an attempt a repeat of a non-idempotent request is
// recognised. A repeat is a further attempt by the caller with the same identity. The
// window exceeds MaxRequestTime, so no attempt can start after its identity expired.
const RepeatWindow = 60 * time.Second

// Request is a caller's request as it travels between hosts. The body is
// opaque.
type Request struct {
	Service flow.ServiceID
	Key     flow.Key
	// HasSession is false for a single request without a session.
	HasSession bool
	// Session is the session key that the caller chose. The target receives it
	// unchanged.
	Session string
	// Sequence is the position of the message in its session. The target
	// receives it unchanged.
	Sequence uint64
	// First marks the first message of a session.
	First bool
	// SessionEnd marks the last message of a session.
	SessionEnd bool
	// Target is the target whose owner receives the request: the placed target if
	// Placed is set, else the table target, to which the current table maps the
	// bucket of Key. The owner of the table target is the flow owner. It records
	// where the session is open.
	Target flow.TargetID
	// Placed is set if the flow owner has chosen Target. The owner of Target
	// then serves the request or refuses it.
	Placed bool
	// Assumed is set with Placed if the flow owner had no record and applied the
	// base rule: an open session without a record is assumed to be at its base
	// target. A record of the owner of Target takes precedence.
	Assumed bool
	// PlacedBy is the host that has set Placed.
	PlacedBy string
	// BaseTarget is the target of the bucket in the oldest retained table; zero
	// if the bucket has not moved.
	BaseTarget flow.TargetID
	// PreviousTarget is the target of the bucket before its last move; zero if
	// the bucket has not moved. Its owner was the flow owner until then.
	PreviousTarget flow.TargetID
	// Identity is the request ID that the caller uses for all attempts of a
	// request. Empty for none.
	Identity   string
	Idempotent bool
	// Attempt counts the caller's own repeats; zero for the first attempt.
	Attempt uint32
	// HasAttempt is set if the caller sent the attempt number. Without it, an
	// Attempt of zero may also be a repeat.
	HasAttempt bool
	// FirstAttemptAt is when the caller sent the first attempt, by the clock of
	// the host that accepted the request; zero if the caller did not send the age
	// of that attempt.
	FirstAttemptAt time.Time
	// NotAfter is the time after which no target may start the request.
	NotAfter time.Time
	// AcceptedAt is the time at which the first host accepted the request. A
	// repeat that was accepted within RepeatWindow may be delayed and reach the
	// owner after the window. Zero means the time of arrival.
	AcceptedAt time.Time
	Caller     string
	// Method is the full gRPC method name.
	Method string
	Body   []byte
	// Hops counts the hosts that have forwarded the request.
	Hops uint8
	// Revision is the configuration revision that the sending host uses.
	Revision uint64
}

// Outcome says whether a request was executed, as far as the host can tell.
type Outcome uint8

// The outcomes of requests.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target answered, with success or an error.
	OutcomeAnswered
	// OutcomeNotRun means that the request provably did not run.
	OutcomeNotRun
)

// String returns the name used in replies to callers and in logs.
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

// Handover carries the state of an owned target to its next owner, or exception
// records to the flow owner or the backup. An exception record says that a flow is at
// a target other than its table target. The backup is the second host in the owner
// order of the target.
type Handover struct {
	Target flow.TargetID
	// From is the identifier of the sending host.
	From string
	// Sessions are the open sessions at the target.
	Sessions []flow.Key
	// Exceptions are the records of flows whose table target is Target and that
	// are at another target.
	Exceptions []flow.Record
	// Assumed are the exception records that the base rule made. Other records
	// replace them.
	Assumed []flow.Record
	// Identities are the identities of recent non-idempotent requests, as
	// returned by IdentityHash.
	Identities []string
	// Complete is set on the last message of a change of owner. It stays unset if
	// the sender may lack identities of requests whose repeats can't be told from
	// first attempts.
	Complete bool
	// SessionsKnown is set with Complete if the records cover every open
	// session.
	SessionsKnown bool
	// Copy is set on exception records that are replicated to the backup. The
	// owner stays the authority for them.
	Copy bool
}

// ConsultRequest asks the owner of a target whether it has a session or an
// identity.
type ConsultRequest struct {
	// From is the identifier of the asking host.
	From string
	// Term identifies the ownership of the asking host. It changes when the host
	// restarts, since the identities of the requests that it ran are lost.
	Term uint64
	// Claim is set if the asking host has become the owner of Target. The
	// consulted host then hands over and starts no further request for Target.
	Claim  bool
	Target flow.TargetID
	Key    flow.Key
	// Identity is the result of IdentityHash; empty for none.
	Identity string
	// FirstAccepted is the time at which a host accepted the request, if the
	// caller states that it is the first attempt; zero otherwise.
	FirstAccepted time.Time
}

// ConsultReply answers a ConsultRequest.
type ConsultReply struct {
	// KnownSession is set if the session is open at the target.
	KnownSession bool
	// KnownIdentity is set if the request may have run or may still run at the
	// target.
	KnownIdentity bool
	// Exception is the target in the exception record of the key; zero if there
	// is none.
	Exception flow.TargetID
	// Assumed is set if the base rule made the exception record.
	Assumed bool
	// Authoritative is set if the owner has all records, so that a session or an
	// identity that it does not have does not exist. It is false after a takeover
	// without a complete handover.
	Authoritative bool
}

// Refusal returns the reply for an attempt that did not run. The outcome of a
// non-idempotent repeat is unknown, since an earlier attempt may have run.
func (r *Request) Refusal(reason Reason) Reply {
	if r.Attempt > 0 && !r.Idempotent {
		return Reply{Outcome: OutcomeUnknown, Reason: reason}
	}
	return Reply{Outcome: OutcomeNotRun, Reason: reason}
}
