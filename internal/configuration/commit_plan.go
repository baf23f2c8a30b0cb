package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// prepare computes the change on the head. It returns the read of a segment
// or chunk, a report, or nil if the plan is ready.
func (c *Commit) prepare(now time.Time) []CommitAction {
	index := c.head.Index
	if c.known.Revision() > index.Revision {
		// A head never goes back by a change: the platform came back from an older copy.
		// The revision in force is the base, so that it stays in force and its number is
		// not given out again.
		index = c.known.Index()
	}
	if missing := c.known.missing(index, c.objects); len(missing) > 0 {
		return c.send(CommitAction{Kind: CommitReadObject, Key: missing[0].Key()})
	}
	overflow, merged := c.head.overflow()
	if merged != nil {
		if _, read := c.objects[merged.Key()]; !read {
			return c.send(CommitAction{Kind: CommitReadObject, Key: merged.Key()})
		}
	}
	base, err := c.known.assemble(index, c.objects)
	if err != nil {
		return c.report(CommitResult{Status: CommitNotApplied, Reason: err.Error()})
	}
	c.known = base
	next, differences, err := c.operation.Change.Apply(base.Configuration(), now)
	if err != nil {
		return c.report(ResultFromError(err))
	}
	if next == base.Configuration() {
		return c.report(CommitResult{Status: CommitApplied, Revision: base.Revision(), Reason: "no difference"})
	}
	if c.rebases > MaxRebases {
		return c.report(CommitResult{
			Status: CommitConflict, CurrentVersion: c.operation.currentVersion(base.Configuration()),
			Reason: fmt.Sprintf("other changes were accepted first, %d times in a row", c.rebases),
		})
	}
	if err := c.build(base, next, differences, overflow, merged); err != nil {
		return c.report(CommitResult{Status: CommitNotApplied, Reason: err.Error()})
	}
	return nil
}

// ResultFromError returns the result of a change that could not be computed.
func ResultFromError(err error) CommitResult {
	var conflict *VersionConflictError
	if errors.As(err, &conflict) {
		return CommitResult{Status: CommitConflict, CurrentVersion: conflict.Current, Reason: err.Error()}
	}
	return CommitResult{Status: CommitNotApplied, Reason: err.Error()}
}

// currentVersion returns the version of the first service that is concerned.
func (o Operation) currentVersion(c *Configuration) uint64 {
	for _, name := range o.Change.ServiceNames() {
		if s, exists := c.Service(name); exists {
			return s.Version
		}
	}
	return 0
}

// build encodes the new objects.
func (c *Commit) build(
	base *State, next *Configuration, differences []Difference,
	overflow []AuditEntry, merged *AuditChunkReference,
) error {
	p := &commitPlan{head: Head{Format: format, Index: Index{
		Revision: next.Revision, AcceptedAt: next.AcceptedAt,
		LastServiceID: next.LastServiceID, LastTargetID: next.LastTargetID,
		RemovedAddresses: next.RemovedAddresses,
	}}}
	objects := map[string][]byte{}
	kept := map[string]bool{}
	previous := map[string]SegmentReference{}
	for i, r := range base.index.Services {
		previous[base.configuration.Services[i].Name] = r
	}
	for i := range next.Services {
		s := &next.Services[i]
		reference, existed := previous[s.Name]
		if !existed || s.Version == next.Revision {
			value, r, err := EncodeSegment(s, c.operation.Identity)
			if err != nil {
				return err
			}
			reference = r
			objects[r.Key()] = value
			p.segments = append(p.segments, r.Key())
			p.creates = append(p.creates, CommitAction{Kind: CommitCreateObject, Key: r.Key(), Value: value})
		}
		kept[reference.Key()] = true
		p.head.Services = append(p.head.Services, reference)
	}
	state, err := base.assemble(p.head.Index, objects)
	if err != nil {
		return err
	}
	p.state = state

	entry := newAuditEntry(c.operation, base.Configuration(), next, differences)
	p.differences = entry.Lines()
	p.head.Audit = append(slices.Clone(c.head.Audit[len(overflow):]), entry)
	p.head.AuditChunks = slices.Clone(c.head.AuditChunks)
	var obsolete []string
	named := base.index.Services
	if base.Revision() != c.head.Revision {
		p.createLost(base, c.head.Services)
		p.reason = fmt.Sprintf("the platform had revision %d, older than revision %d in force, which is written again",
			c.head.Revision, base.Revision())
		named = unionOf(named, c.head.Services)
	}
	for _, r := range named {
		if !kept[r.Key()] {
			obsolete = append(obsolete, r.Key())
		}
	}
	if len(overflow) > 0 {
		replaced, err := p.moveEntries(overflow, merged, c.objects)
		if err != nil {
			return err
		}
		obsolete = append(obsolete, replaced...)
	}
	obsolete = append(obsolete, p.head.dropOldChunks(next.AcceptedAt)...)
	p.planDeletes(c.head.Obsolete, obsolete, next.AcceptedAt)
	c.plan = p
	return nil
}

// createLost writes the segments of the base again that the head does not name: a platform
// that came back from an older copy has lost them.
func (p *commitPlan) createLost(base *State, listed []SegmentReference) {
	for _, r := range p.head.Services {
		if value, held := base.segments[r.Digest]; held && !slices.Contains(listed, r) {
			p.creates = append(p.creates, CommitAction{Kind: CommitCreateObject, Key: r.Key(), Value: value})
		}
	}
}

// unionOf returns the references of two revisions, each once.
func unionOf(one, other []SegmentReference) []SegmentReference {
	list := slices.Clone(one)
	for _, r := range other {
		if !slices.Contains(one, r) {
			list = append(list, r)
		}
	}
	return list
}

// planDeletes deletes obsolete objects after their grace time: at least eight,
// or half of them, so that the list shrinks after a change of many services.
func (p *commitPlan) planDeletes(listed []ObsoleteObject, added []string, now time.Time) {
	var expired []ObsoleteObject
	for _, o := range listed {
		if now.Sub(o.Since) >= ObsoleteGracePeriod {
			expired = append(expired, o)
		} else {
			p.head.Obsolete = append(p.head.Obsolete, o)
		}
	}
	count := min(len(expired), max(8, len(expired)/2))
	p.deletes = expired[:count]
	p.head.Obsolete = append(slices.Clone(expired[count:]), p.head.Obsolete...)
	for _, key := range added {
		p.head.Obsolete = append(p.head.Obsolete, ObsoleteObject{Key: key, Since: now})
	}
	if excess := len(p.head.Obsolete) - MaxObsoleteObjects; excess > 0 {
		p.head.Obsolete = p.head.Obsolete[excess:]
	}
}
