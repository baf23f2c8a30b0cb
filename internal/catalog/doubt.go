package catalog

import "time"

// doubtLimit is the time after which an entry holds that contradicts what was known: a live target
// writes its own again with each heartbeat, and the entry of one that is silent lapses after three
// of 1.2 s.
const doubtLimit = 3600 * time.Millisecond

// contradicts reports whether an entry under the name of a target can't be of the same writer as
// what is known: in one life a target's service, data centre and address stay. An entry with another
// time of birth is that of another life, even if it seems earlier: the time of day may go back.
func (t *Target) contradicts(known *Target) bool {
	return known.Born != 0 && (t.Born == known.Born || t.Born == 0) &&
		(t.Service != known.Service || t.DataCentre != known.DataCentre || t.Address != known.Address)
}

// lastTarget returns what is known of the target behind an object; nil if nothing is.
func (l *collection) lastTarget(name string, o *known) *Target {
	if o != nil && o.Target != nil {
		return o.Target
	}
	if d, found := l.departed[name]; found {
		return d.target
	}
	return nil
}

// doubt returns an object as it counts here: without a target if its entry contradicts what is
// known of the target.
func (l *collection) doubt(o *Object, old *known) *Object {
	last := l.lastTarget(o.Name, old)
	switch {
	case last == nil:
	case o.Target != nil && o.Target.contradicts(last):
		return &Object{Name: o.Name, Revision: o.Revision, UnreadableKey: o.Target.Key, Doubted: o.Target}
	case o.Doubted != nil && !o.Doubted.contradicts(last):
		// Another host doubts what this one knows.
		return &Object{Name: o.Name, Revision: o.Revision, Target: o.Doubted}
	}
	return o
}

// countDoubts notes that an object takes the place of another one.
func (l *collection) countDoubts(o, old *known) {
	if old != nil && old.Doubted != nil {
		l.doubted--
		if o.Doubted != nil && o.Doubted.sameEntry(old.Doubted) {
			o.doubtedSince = old.doubtedSince
		}
	}
	if o.Doubted != nil {
		l.doubted++
	}
}

// ResolvedEntry is an entry that holds although it contradicts what was known of its target.
type ResolvedEntry struct {
	Name string
	// Service is that of the entry, Before what was known; empty if nothing was.
	Service, Before string
	// Doubted is the time for which the entry was in doubt.
	Doubted time.Duration
}

// ResolveDoubts decides which doubted entries hold, and returns these: at once if the service
// known before is one that the configuration in force does not name, so that the entry known was
// none of a target, and otherwise once the entry has stood for doubtLimit. Entries of services
// without a name never do.
func (c *Catalog) ResolveDoubts(now time.Duration) []ResolvedEntry {
	l := &c.collections[Targets]
	if l.doubted == 0 {
		return nil
	}
	var resolved []ResolvedEntry
	unnamed := c.unnamed()
	for name, o := range l.objects {
		if o.Doubted == nil || unnamed(o.Doubted.Service) {
			continue
		}
		before := l.lastTarget(name, o)
		if l.confirmed-o.doubtedSince < doubtLimit && (before == nil || !unnamed(before.Service)) {
			continue
		}
		r := ResolvedEntry{Name: name, Service: o.Doubted.Service, Doubted: now - o.doubtedSince}
		if before != nil {
			r.Before = before.Service
		}
		resolved = append(resolved, r)
		o.Target, o.Doubted, o.UnreadableKey = o.Doubted, nil, 0
		l.doubted--
		delete(l.departed, name)
	}
	return resolved
}
