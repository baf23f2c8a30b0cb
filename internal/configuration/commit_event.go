package configuration

import (
	"encoding/json"
	"regexp"
	"slices"
	"time"
)

// Operation is a change with its identity.
type Operation struct {
	// Identity makes a repeat return the first result.
	Identity string
	// Actor is the operator's name for the audit trail.
	Actor  string
	Change Change
}

var identityPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

var actorPattern = regexp.MustCompile(`^[ -~]{1,64}$`)

// Validate returns the problems of the identity and the actor.
func (o Operation) Validate() Problems {
	var p Problems
	if !identityPattern.MatchString(o.Identity) {
		p.add("operation.identity", o.Identity, "1 to 64 letters, digits and . _ : -")
	}
	if !actorPattern.MatchString(o.Actor) {
		p.add("operation.actor", o.Actor, "1 to 64 printable ASCII characters")
	}
	return p
}

// digest identifies the content of the change. Base versions and session counts
// are left out, because a repeat may carry newer ones.
func (o Operation) digest() string {
	change := o.Change
	change.BaseVersion, change.Sessions = 0, Sessions{}
	change.Declarations = slices.Clone(change.Declarations)
	for i := range change.Declarations {
		change.Declarations[i].BaseVersion = 0
	}
	value, err := json.Marshal(change)
	if err != nil {
		// Only a NaN in a policy cannot be encoded; validation refuses it.
		return ""
	}
	return Digest(value)[:16]
}

// CommitStatus is the outcome of a commit.
type CommitStatus string

// The outcomes of commits.
const (
	CommitApplied CommitStatus = "applied"
	// CommitNotApplied means that the change did not and will not take effect.
	CommitNotApplied CommitStatus = "not_applied"
	// CommitConflict means that it did not take effect because the service has
	// another version than the change is based on.
	CommitConflict CommitStatus = "conflict"
	// CommitUnknown means that the change may have taken effect or may still do
	// so. The same operation, sent again, settles it.
	CommitUnknown CommitStatus = "unknown"
)

// CommitResult is the result of a commit.
type CommitResult struct {
	Status CommitStatus
	// Revision is the revision in which the change took effect.
	Revision uint64
	// CurrentVersion is the version of the conflicting service; zero if it does
	// not exist.
	CurrentVersion uint64
	Reason         string
	Differences    []string
	// State is the new revision if this commit wrote it.
	State *State
	// HeadVersion is the object version of the head that an unknown change was
	// conditional on. Once the head has another version and no entry for the
	// identity, the change has not taken effect and cannot any more.
	HeadVersion uint64
}

// CommitEventKind names an event of a commit.
type CommitEventKind string

// The events of a commit. All but CommitStart and CommitTick answer an action.
const (
	CommitStart CommitEventKind = "start"
	// CommitTick tells the time. It must come at least every 500 ms.
	CommitTick CommitEventKind = "tick"
	// CommitRead carries the object's version and value.
	CommitRead     CommitEventKind = "read"
	CommitNotFound CommitEventKind = "not_found"
	// CommitDone answers a create, update or delete that took effect.
	CommitDone CommitEventKind = "done"
	// CommitPreconditionFailed answers a create of an existing object or an update of
	// an object with another version. The action had no effect.
	CommitPreconditionFailed CommitEventKind = "conflict"
	// CommitResponseLost means that the action may have taken effect.
	CommitResponseLost CommitEventKind = "lost"
	// CommitNotSent means that the action had no effect and may be repeated.
	CommitNotSent CommitEventKind = "not_sent"
	// CommitRefused means that the platform will never accept the action.
	CommitRefused CommitEventKind = "refused"
)

// CommitEvent is an input of a commit.
type CommitEvent struct {
	Now  time.Time
	Kind CommitEventKind
	// Sequence is that of the action that the event answers.
	Sequence uint64
	Version  uint64
	Value    []byte
	Reason   string
}

// CommitActionKind names an action of a commit.
type CommitActionKind string

// The actions of a commit.
const (
	CommitReadObject   CommitActionKind = "read"
	CommitCreateObject CommitActionKind = "create"
	// CommitUpdateObject replaces the value if the version is unchanged.
	CommitUpdateObject CommitActionKind = "update"
	CommitDeleteObject CommitActionKind = "delete"
	// CommitReport ends the commit.
	CommitReport CommitActionKind = "report"
)

// CommitAction is an output of a commit. At most one action waits for its
// answer at a time. Deletes that follow a report are best effort and need no
// answer.
type CommitAction struct {
	Kind     CommitActionKind
	Sequence uint64
	Key      string
	Version  uint64
	Value    []byte
	Result   CommitResult
}
