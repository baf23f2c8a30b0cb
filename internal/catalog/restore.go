package catalog

import "time"

// restart puts the objects of a later epoch in the place of all others.
func (l *collection) restart(b Batch, now time.Duration) {
	l.held = l.configuration()
	old := l.objects
	l.objects, l.sum, l.tombstones = make(map[string]*known, len(b.Objects)), 0, 0
	l.replace(b, now)
	l.applied = l.applied[:0]
	for name, o := range l.objects {
		if !o.resume(old[name]) {
			l.applied = append(l.applied, o.Object)
		}
	}
	for name, o := range old {
		if renewed := l.objects[name]; o.Deleted || renewed != nil && (o.Target == nil || renewed.Target != nil) {
			continue
		}
		if o.Target != nil {
			l.departed[name] = departure{target: o.Target, at: now}
		}
		l.applied = append(l.applied, Object{Name: name, Revision: b.Revision, Deleted: true})
	}
	// Entries of live targets that the copy lacks are back soon.
	l.settled = now
}

// resume goes on with what the host knows of an object if the restored store has the same.
// A warm-up goes on, and does not start anew.
func (o *known) resume(old *known) bool {
	if old == nil || old.Deleted || o.Target == nil || old.Target == nil || !o.Target.sameEntry(old.Target) {
		return false
	}
	o.Target, o.learned = old.Target, old.learned
	return true
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
