package catalog

import "time"

// staleEntryLimit is the time after a restore of the store for which the entry of a target
// that had departed counts for nothing unless the target writes it again. An entry that no
// target writes lapses within it, after three intervals between heartbeats of 1.2 s.
const staleEntryLimit = 5 * time.Second

// withdrawal is a target that drained or had departed when the store came back with an
// older entry of it.
type withdrawal struct {
	target   Target
	departed bool
	// at is the time at which the host learned of the restore.
	at time.Duration
}

// covers reports whether an entry says nothing newer than the withdrawal: the target has
// not written it since. Hosts of earlier builds tell no sequence.
func (w withdrawal) covers(entry *Target) bool {
	return entry.Born == w.target.Born && (entry.Sequence <= w.target.Sequence || w.target.Sequence == 0)
}

// enterEpoch puts the objects of a later epoch in the place of all others.
func (l *collection) enterEpoch(b Batch, now time.Duration) {
	l.held = l.configuration()
	l.withdraw(now)
	old := l.objects
	l.objects, l.sum, l.tombstones, l.doubted = make(map[string]*known, len(b.Objects)), 0, 0, 0
	l.replace(b, now)
	// Of all objects that replace has applied, only some differ from those before.
	l.applied = l.applied[:0]
	for name, o := range l.objects {
		if !o.inherit(old[name]) {
			l.applied = append(l.applied, o.Object)
		}
	}
	for name, o := range old {
		if o.Deleted {
			continue
		}
		renewed := l.objects[name]
		if renewed == nil {
			l.applied = append(l.applied, Object{Name: name, Revision: b.Revision, Deleted: true})
		}
		if o.Target != nil && (renewed == nil || renewed.Target == nil) {
			l.departed[name] = departure{target: o.Target, at: now, warm: now + o.cold(now), lost: true}
		}
	}
	// Entries of live targets that the copy lacks are back soon.
	l.settled = now
}

// inherit takes over what the host knows of a target if the restored store has the same
// entry, so that its warm-up does not start anew. It reports whether the entry is the same.
func (o *known) inherit(old *known) bool {
	if old == nil || old.Deleted || o.Target == nil || old.Target == nil || !o.Target.sameEntry(old.Target) {
		return false
	}
	target := *old.Target
	target.Sequence = max(target.Sequence, o.Target.Sequence)
	o.Target, o.learned = &target, old.learned
	return true
}

// withdraw notes the targets that drain or have departed, as far as the host knows.
func (l *collection) withdraw(now time.Duration) {
	withdrawn := map[string]withdrawal{}
	for name, o := range l.objects {
		if o.Deleted || o.Target == nil {
			continue
		}
		if w, stale := l.staleEntry(o, now); stale {
			w.at = now
			withdrawn[name] = w
		} else if o.Target.Draining {
			withdrawn[name] = withdrawal{target: *o.Target, at: now}
		}
	}
	for name, d := range l.departed {
		if d.lost {
			continue
		}
		withdrawn[name] = withdrawal{target: *d.target, departed: true, at: now}
	}
	l.withdrawn = withdrawn
}

// staleEntry returns the withdrawal that outranks the entry of a target. A target that
// drained does not take it back; one that had departed may live after all, if its entry
// lapsed while it was cut off from the store, and does not change an entry that is right.
func (l *collection) staleEntry(o *known, now time.Duration) (withdrawal, bool) {
	w, found := l.withdrawn[o.Name]
	if !found || !w.covers(o.Target) || w.departed && now-w.at > staleEntryLimit {
		return withdrawal{}, false
	}
	return w, true
}

// lastKnown returns the newest that the host knows of a listed target.
func (l *collection) lastKnown(o *known, now time.Duration) *Target {
	if w, stale := l.staleEntry(o, now); stale {
		return &w.target
	}
	return o.Target
}

// configuration returns the configuration in force; nil if none is known.
func (l *collection) configuration() *Configuration {
	listed := l.listedConfiguration()
	if l.held != nil && (listed == nil || l.held.Version > listed.Version) {
		return l.held
	}
	return listed
}

// listedConfiguration returns the configuration of the store; nil if it has none.
func (l *collection) listedConfiguration() *Configuration {
	for _, o := range l.objects {
		if !o.Deleted && o.Configuration != nil {
			return o.Configuration
		}
	}
	return nil
}

// version returns the version of the configuration in force; zero if none is known.
func (l *collection) version() uint64 {
	if c := l.configuration(); c != nil {
		return c.Version
	}
	return 0
}

// hold keeps a configuration in force that has a later version than the one in force. It
// reports whether it does.
func (l *collection) hold(c *Configuration) bool {
	if c == nil || c.Version <= l.version() {
		return false
	}
	l.held = c
	return true
}

// release drops the held configuration once the store has its version again or a later one.
func (l *collection) release() {
	if l.held == nil {
		return
	}
	if listed := l.listedConfiguration(); listed != nil && listed.Version >= l.held.Version {
		l.held = nil
	}
}
