package catalog

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evacuationLimit is the number of data centres whose former evacuations are remembered.
	evacuationLimit = 512
	// returnMemory is the time up to which the targets have to be confirmed, from the end of an
	// evacuation on, until the end is no longer reported. Hosts that wait for news of the
	// targets have it by then.
	returnMemory = 15 * time.Second
)

// Evacuation is a data centre whose targets get no new flows, or got none until lately.
type Evacuation struct {
	DataCentre string
	// Revision is that of the request, as far as the host knows.
	Revision uint64
	// Requested is set while the request holds; it was taken back otherwise.
	Requested bool
	// Held is set if the request holds although a restored store lacks it.
	Held bool
	// Since is the time at which the host learned of the request or of its end.
	Since time.Duration
}

// HeldEvacuation is a request that a host holds although a restored store lacks it.
type HeldEvacuation struct {
	DataCentre string
	Revision   uint64
	// Left is the time in milliseconds for which it still holds.
	Left int64
}

// evacuationRecord is what a host knows of the request for a data centre.
type evacuationRecord struct {
	// revision is that of the request when it was listed last.
	revision uint64
	listed   bool
	// since is the time at which the host learned of the request, or of its end.
	since time.Duration
	// heldUntil is the time until which a request holds that a restored store lacks, revokedUntil
	// that until which one counts for nothing that was taken back and that a restored store lists
	// again; zero if there is none.
	heldUntil, revokedUntil time.Duration
}

// evacuation returns what a record says of a data centre at a time.
func (r *evacuationRecord) evacuation(name string, now time.Duration) Evacuation {
	e := Evacuation{DataCentre: name, Revision: r.revision, Requested: r.listed, Since: r.since}
	switch {
	case now < r.revokedUntil:
		e.Requested = false
	case r.revokedUntil > 0:
		e.Since = r.revokedUntil
	case now < r.heldUntil:
		e.Requested, e.Held = true, true
	case r.heldUntil > 0:
		e.Since = r.heldUntil
	}
	return e
}

// Evacuations returns the evacuations that are requested, and those that were taken back lately,
// by data centre.
func (c *Catalog) Evacuations(now time.Duration) []Evacuation {
	var list []Evacuation
	targets := &c.collections[Targets]
	for name, r := range c.collections[Evacuations].evacuations {
		if e := r.evacuation(name, now); e.Requested || targets.confirmed-e.Since <= returnMemory {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// noteEvacuations renews the records after a merge. A store that comes back from an older copy
// neither lifts a request, nor renews one that was taken back, for the retention time: it may
// have lost the operator's last word. A request that was written again has a later revision.
func (c *Catalog) noteEvacuations(b Batch, restored, first bool, now time.Duration) {
	l := &c.collections[Evacuations]
	for name, o := range l.objects {
		if o.Deleted {
			continue
		}
		r := l.evacuations[name]
		switch {
		case r == nil:
			l.evacuations[name] = &evacuationRecord{listed: true, revision: o.Revision, since: now}
			continue
		case r.listed && r.revokedUntil > 0 && o.Revision != r.revision:
			*r = evacuationRecord{listed: true, since: now}
		case !r.listed && restored && o.Revision == r.revision && r.heldUntil == 0:
			r.listed, r.revokedUntil = true, now+c.retention
		case !r.listed && now < r.heldUntil:
			r.listed, r.heldUntil = true, 0
		case !r.listed:
			*r = evacuationRecord{listed: true, since: now}
		}
		r.revision = o.Revision
	}
	for name, r := range l.evacuations {
		if o := l.objects[name]; !r.listed || o != nil && !o.Deleted {
			continue
		}
		r.listed = false
		switch revoked := now < r.revokedUntil; {
		case restored && !revoked:
			r.heldUntil = now + c.retention
		case !revoked:
			r.since = now
		}
		r.revokedUntil = 0
	}
	if first {
		l.adoptHeld(b.HeldEvacuations, now)
	}
	c.forgetEvacuations(now)
}

// adoptHeld takes over the requests that another host holds.
func (l *collection) adoptHeld(held []HeldEvacuation, now time.Duration) {
	for _, h := range held {
		if l.evacuations[h.DataCentre] == nil && h.Left > 0 {
			l.evacuations[h.DataCentre] = &evacuationRecord{
				revision: h.Revision, since: now, heldUntil: now + time.Duration(h.Left)*time.Millisecond,
			}
		}
	}
}

// heldEvacuations returns the requests that the host holds although the store lacks them.
func (l *collection) heldEvacuations(now time.Duration) []HeldEvacuation {
	var list []HeldEvacuation
	for name, r := range l.evacuations {
		if r.evacuation(name, now).Held {
			list = append(list, HeldEvacuation{DataCentre: name, Revision: r.revision, Left: (r.heldUntil - now).Milliseconds()})
		}
	}
	return list
}

// forgetEvacuations drops former requests if there are too many.
func (c *Catalog) forgetEvacuations(now time.Duration) {
	l := &c.collections[Evacuations]
	if len(l.evacuations) <= evacuationLimit {
		return
	}
	for name, r := range l.evacuations {
		if e := r.evacuation(name, now); !r.listed && !e.Requested && c.collections[Targets].confirmed-e.Since > returnMemory {
			delete(l.evacuations, name)
		}
	}
}
