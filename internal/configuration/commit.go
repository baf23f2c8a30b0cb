package configuration

import (
	"fmt"
	"time"
)

// Limits of one commit.
const (
	// MaxRebases is how often a change is computed again on a newer head.
	MaxRebases = 5
	// ResponseTimeout is how long a commit waits for the platform.
	ResponseTimeout = 5 * time.Second
	// IdentityWindow is the age up to which audit chunks are searched for an
	// operation identity. An older repeat fails on its base version.
	IdentityWindow = 24 * time.Hour
)

// ObsoleteGracePeriod is the age from which an obsolete object is deleted. A host
// that read an older head has fetched its segments by then.
const ObsoleteGracePeriod = time.Minute

// MaxObsoleteObjects limits the obsolete objects that the head remembers, at about 90
// bytes each. Objects beyond it stay in the platform.
const MaxObsoleteObjects = 2000

// Commit plans the object operations of one change. It is a state machine
// without I/O: the caller passes events and performs the returned actions.
type Commit struct {
	operation Operation
	known     *State

	head        *Head
	headVersion uint64
	// objects holds the immutable objects that were read; nil for damaged ones.
	objects map[string][]byte

	plan *commitPlan
	// update is the head update whose outcome is open.
	update *CommitAction
	// updateLost is set if an answer to the update was lost.
	updateLost bool
	rebases    int
	resends    int
	// abandoned holds the segments of failed attempts until a newer head shows
	// that no attempt of the same operation elsewhere succeeded with them. Then
	// they are orphans.
	abandoned []string
	orphans   []string

	pending    *CommitAction
	retry      bool
	sequence   uint64
	progressAt time.Time
	reason     string
	done       bool
}

// commitPlan is the change computed on one head.
type commitPlan struct {
	head        Head
	state       *State
	differences []string
	creates     []CommitAction
	segments    []string
	deletes     []ObsoleteObject
	// reason says that the plan writes again what the platform has lost.
	reason string
}

// NewCommit returns a commit of an operation. The known state spares reading
// the segments that it holds.
func NewCommit(o Operation, known *State) *Commit {
	if known == nil {
		known = NewState()
	}
	return &Commit{operation: o, known: known, objects: map[string][]byte{}}
}

// Done reports whether the result was reported.
func (c *Commit) Done() bool { return c.done }

// Handle processes an event and returns the actions to perform. Events that
// answer an earlier action than the pending one are ignored.
func (c *Commit) Handle(e CommitEvent) []CommitAction {
	if c.done {
		return nil
	}
	switch e.Kind {
	case CommitStart:
		c.progressAt = e.Now
		if p := c.operation.Validate(); len(p) > 0 {
			return c.report(CommitResult{Status: CommitNotApplied, Reason: p.Error()})
		}
		return c.next(e.Now)
	case CommitTick:
		return c.tick(e.Now)
	}
	if c.pending == nil || c.retry || e.Sequence != c.pending.Sequence {
		return nil
	}
	switch e.Kind {
	case CommitNotSent:
		c.reason = e.Reason
		if c.pending.Kind == CommitDeleteObject {
			c.keepObsolete()
			return c.next(e.Now)
		}
		c.retry = true
		return nil
	case CommitResponseLost:
		c.reason = e.Reason
		return c.lost(e.Now)
	case CommitRefused:
		return c.refused(e)
	}
	c.progressAt = e.Now
	answered := c.pending
	c.pending = nil
	switch {
	case answered.Kind == CommitReadObject:
		if actions := c.read(answered.Key, e); actions != nil {
			return actions
		}
	case c.update != nil:
		if e.Kind == CommitDone {
			return c.report(CommitResult{
				Status: CommitApplied, Revision: c.plan.head.Revision, Reason: c.plan.reason,
				Differences: c.plan.differences, State: c.plan.state,
			})
		}
		c.conflicted()
	case answered.Kind == CommitDeleteObject:
		c.plan.deletes = c.plan.deletes[1:]
	default:
		// A create that finds its object there repeats an earlier attempt: the
		// key contains the digest of the content.
		c.plan.creates = c.plan.creates[1:]
	}
	return c.next(e.Now)
}

// tick repeats an action that was not sent, or gives up after ResponseTimeout.
func (c *Commit) tick(now time.Time) []CommitAction {
	if c.pending == nil {
		return nil
	}
	if now.Sub(c.progressAt) >= ResponseTimeout {
		reason := fmt.Sprintf("the platform did not answer for %s", ResponseTimeout)
		if c.reason != "" {
			reason += ": " + c.reason
		}
		return c.giveUp(reason)
	}
	if !c.retry {
		return nil
	}
	c.retry = false
	return c.send(*c.pending)
}

// giveUp reports an unknown outcome if a conditional update may have taken
// effect or may still do so.
func (c *Commit) giveUp(reason string) []CommitAction {
	inFlight := c.update != nil && c.pending != nil && c.pending.Key == c.update.Key &&
		c.pending.Kind == c.update.Kind && !c.retry
	if c.update != nil && (c.updateLost || inFlight) {
		return c.report(CommitResult{Status: CommitUnknown, Reason: reason, HeadVersion: c.update.Version})
	}
	return c.report(CommitResult{Status: CommitNotApplied, Reason: reason})
}

func (c *Commit) lost(now time.Time) []CommitAction {
	switch c.pending.Kind {
	case CommitDeleteObject:
		c.keepObsolete()
		return c.next(now)
	case CommitReadObject:
		c.retry = true
		return nil
	}
	if c.update == nil {
		c.retry = true
		return nil
	}
	// The head tells whether the update took effect.
	c.updateLost = true
	c.head = nil
	return c.next(now)
}

func (c *Commit) refused(e CommitEvent) []CommitAction {
	reason := fmt.Sprintf("the platform refused to %s %s: %s", c.pending.Kind, c.pending.Key, e.Reason)
	if c.pending.Kind == CommitDeleteObject {
		c.keepObsolete()
		return c.next(e.Now)
	}
	if c.update != nil && c.updateLost {
		return c.report(CommitResult{Status: CommitUnknown, Reason: reason, HeadVersion: c.update.Version})
	}
	return c.report(CommitResult{Status: CommitNotApplied, Reason: reason})
}

// keepObsolete leaves the object of the pending delete for a later change.
func (c *Commit) keepObsolete() {
	c.plan.head.Obsolete = append(c.plan.head.Obsolete, c.plan.deletes[0])
	c.plan.deletes = c.plan.deletes[1:]
	c.pending = nil
}

// read stores what was read.
func (c *Commit) read(key string, e CommitEvent) []CommitAction {
	if key != HeadKey {
		c.objects[key] = nil
		if e.Kind == CommitRead {
			c.objects[key] = e.Value
		}
		return nil
	}
	if e.Kind != CommitRead {
		c.head, c.headVersion = &Head{Format: format}, 0
		return nil
	}
	head, err := DecodeHead(e.Value)
	if err != nil {
		return c.giveUp(err.Error())
	}
	c.head, c.headVersion = head, e.Version
	return nil
}

// conflicted handles the answer that the head has another version.
func (c *Commit) conflicted() {
	c.head = nil
	if !c.updateLost {
		// The only attempt certainly failed. Otherwise an earlier attempt may
		// have succeeded, which the head's audit entries tell.
		c.abandon()
	}
}

// abandon gives up the plan after its update failed for certain.
func (c *Commit) abandon() {
	c.update, c.updateLost = nil, false
	c.rebases++
	c.abandoned = append(c.abandoned, c.plan.segments...)
	c.plan = nil
}

// next returns the next action that is needed.
func (c *Commit) next(now time.Time) []CommitAction {
	if c.head == nil {
		return c.send(CommitAction{Kind: CommitReadObject, Key: HeadKey})
	}
	if actions := c.checkIdentity(now); actions != nil {
		return actions
	}
	if c.update != nil {
		if c.headVersion == c.update.Version {
			// The same conditional update settles a lost answer, because at most
			// one of the two can succeed.
			if c.resends >= MaxRebases {
				return c.giveUp("the platform lost the answer repeatedly")
			}
			c.resends++
			return c.send(*c.update)
		}
		c.abandon()
	}
	c.orphans = append(c.orphans, c.abandoned...)
	c.abandoned = nil
	if c.plan == nil {
		if actions := c.prepare(now); actions != nil {
			return actions
		}
	}
	if len(c.plan.creates) > 0 {
		return c.send(c.plan.creates[0])
	}
	if len(c.plan.deletes) > 0 {
		return c.send(CommitAction{Kind: CommitDeleteObject, Key: c.plan.deletes[0].Key})
	}
	value, err := EncodeHead(&c.plan.head)
	if err != nil {
		return c.report(CommitResult{Status: CommitNotApplied, Reason: err.Error()})
	}
	update := CommitAction{Kind: CommitUpdateObject, Key: HeadKey, Version: c.headVersion, Value: value}
	if c.headVersion == 0 {
		update.Kind = CommitCreateObject
	}
	c.update = &update
	return c.send(update)
}

// checkIdentity searches the audit entries for the operation's identity. It
// returns the read of a chunk, a report, or nil if the identity is new.
func (c *Commit) checkIdentity(now time.Time) []CommitAction {
	for _, r := range c.head.AuditChunks {
		if now.Sub(r.LastTime) > IdentityWindow {
			continue
		}
		value, read := c.objects[r.Key()]
		if !read {
			return c.send(CommitAction{Kind: CommitReadObject, Key: r.Key()})
		}
		entry, err := findInChunk(value, r, c.operation.Identity)
		if err != nil && c.update != nil {
			return c.giveUp(err.Error())
		}
		// Without a damaged chunk, the base version still refuses a repeat.
		if entry != nil {
			return c.report(c.operation.resultOf(*entry))
		}
	}
	if entry := findIdentity(c.head.Audit, c.operation.Identity); entry != nil {
		return c.report(c.operation.resultOf(*entry))
	}
	return nil
}

// resultOf returns the result of an operation whose identity has an audit entry.
func (o Operation) resultOf(entry AuditEntry) CommitResult {
	if entry.RequestDigest != o.digest() {
		return CommitResult{Status: CommitNotApplied, Reason: fmt.Sprintf(
			"the identity belongs to another operation, %s in revision %d", entry.Action, entry.Revision)}
	}
	return CommitResult{Status: CommitApplied, Revision: entry.Revision, Differences: entry.Lines()}
}

func (c *Commit) send(a CommitAction) []CommitAction {
	c.sequence++
	a.Sequence = c.sequence
	c.pending = &a
	return []CommitAction{a}
}

// report ends the commit and deletes what failed attempts left behind.
func (c *Commit) report(r CommitResult) []CommitAction {
	c.done = true
	c.pending = nil
	actions := []CommitAction{{Kind: CommitReport, Result: r}}
	for _, key := range c.orphans {
		c.sequence++
		actions = append(actions, CommitAction{Kind: CommitDeleteObject, Key: key, Sequence: c.sequence})
	}
	return actions
}
