package packet

import "cmp"

// SharedIdentity is an entry that is left out of the view because another one has the key
// or the tag of its target.
type SharedIdentity struct {
	// Name is that of the entry that is left out, Kept that of the other one.
	Name, Kept string
	// Service is the one that the entry names.
	Service string
	// TagOnly is set if the keys differ: the target keeps its open flows, but takes no new
	// ones, since other hosts would lead them to the other target.
	TagOnly bool
}

// SharedIdentities returns the entries that the last view left out and the one before it
// did not.
func (p *Plane) SharedIdentities() []SharedIdentity {
	list := p.sharedNew
	p.sharedNew = nil
	return list
}

// credibility orders entries by what speaks for a live target behind them. An entry whose
// service no configuration names is no target, so it ranks behind one that ended.
func (t *Target) credibility() int {
	switch t.State {
	case Unnamed:
		return 0
	case Gone:
		return 1
	default:
		return 2
	}
}

// listed reports whether the entry is in the store.
func (t *Target) listed() bool { return t.State == Accepting || t.State == Draining }

// replaces reports whether an entry holds against another one with the same key. Names that
// share a key differ in characters that are no part of it, and a target registers under its
// identifier alone, so the shorter name holds. The order is total: all hosts choose alike.
func (t *Target) replaces(other *Target) bool {
	listed, otherListed := 0, 0
	if t.listed() {
		listed = 1
	}
	if other.listed() {
		otherListed = 1
	}
	return cmp.Or(
		cmp.Compare(t.credibility(), other.credibility()),
		cmp.Compare(len(other.Name), len(t.Name)),
		cmp.Compare(listed, otherListed),
		cmp.Compare(t.StartedAtMillis, other.StartedAtMillis),
		cmp.Compare(other.Name, t.Name),
	) > 0
}

// keepsTag reports whether a target keeps its tag against another one, whose key has the same
// one. The target that started first does, since it may hold flows already.
func (t *Target) keepsTag(other *Target) bool {
	return cmp.Or(
		cmp.Compare(t.credibility(), other.credibility()),
		cmp.Compare(other.StartedAtMillis, t.StartedAtMillis),
		cmp.Compare(other.Key, t.Key),
	) > 0
}

// enter makes an entry that of its target, unless another one of the view holds the key. An
// unnamed entry does not take the place of a target that was known under another name. It
// returns the target's record.
func (p *Plane) enter(entry *Target) *targetRecord {
	t, found := p.targets[entry.Key]
	if !found {
		t = &targetRecord{}
		p.targets[entry.Key] = t
	}
	foreign := entry.State == Unnamed && found && t.Name != entry.Name
	if !foreign && (t.entry == nil || entry.replaces(t.entry)) {
		t.entry = entry
	}
	return t
}

// enterTag makes a tag lead to a target, unless it leads to another one.
func (p *Plane) enterTag(t *targetRecord) {
	tag := t.Key.Tag()
	other := p.tags[tag]
	t.ownsTag = other == nil || t.keepsTag(&other.Target)
	switch {
	case !t.ownsTag:
		p.leaveOut(&t.Target, &other.Target)
		return
	case other != nil:
		p.leaveOut(&other.Target, &t.Target)
		other.ownsTag = false
	}
	p.tags[tag] = t
}

// leaveOut notes that an entry is not used, once for each span of views in which it is not.
func (p *Plane) leaveOut(target, kept *Target) {
	s := SharedIdentity{Name: target.Name, Kept: kept.Name, Service: target.Service, TagOnly: target.Key != kept.Key}
	p.shared[s] = true
	if !p.sharedBefore[s] {
		p.sharedNew = append(p.sharedNew, s)
	}
}
