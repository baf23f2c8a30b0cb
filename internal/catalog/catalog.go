// Package catalog holds what a host knows of the configuration, the targets and the
// evacuations of data centres: each with the revision of the platform's store up to
// which it is complete and the time at which that was last confirmed. It merges
// answers of the store with news of other hosts and decides when the host asks the store itself. It
// has no sockets and reads no clock.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Kind names a collection of objects in the store.
type Kind uint8

// The collections that a host follows.
const (
	Configurations Kind = iota
	Targets
	// Evacuations are the data centres whose targets are to get no new flows, by their names.
	Evacuations
	KindCount
)

var kindNames = [KindCount]string{"configuration", "targets", "evacuations"}

// String returns the name of the collection in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Object is an object of the store as a host knows it.
type Object struct {
	Name string `json:"name"`
	// Revision is that of the object's last change.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Value is the decoded content; nil if it was malformed.
	Configuration *Configuration `json:"configuration,omitempty"`
	Target        *Target        `json:"target,omitempty"`
	// UnreadableKey is the key of a target whose entry was malformed.
	UnreadableKey uint64 `json:"unreadable_key,omitempty"`
	// Doubted is an entry that contradicts what was known of a target in the same life: either
	// may be another writer's.
	Doubted *Target `json:"doubted,omitempty"`
}

// Batch is an answer of the store or of another host.
type Batch struct {
	// Whole is set if the objects are all that exist; otherwise they are the
	// changes after revision Since.
	Whole bool
	// Epoch is the epoch of the store in which the revisions were given out.
	Epoch    uint64
	Since    uint64
	Objects  []Object
	Revision uint64
	// Held is the configuration that another host holds against an older one of the
	// store; nil if it holds none.
	Held *Configuration
	// HeldEvacuations are those that another host holds although the store lacks them.
	HeldEvacuations []HeldEvacuation
	// Next is the name after which the next page starts; empty on the last page
	// and for all batches that are no pages.
	Next string
}

// tombstoneLimit is the number of deletions that a collection remembers for
// hosts that ask for changes. A host that lags further gets all objects.
const tombstoneLimit = 512

// known is an object with the revision at which the collection learned it.
type known struct {
	Object
	noted uint64
	// learned is the time at which the host learned of it, doubtedSince that at which it learned of
	// the doubted entry first.
	learned, doubtedSince time.Duration
}

// cold returns the time for which a target is still slow.
func (o *known) cold(now time.Duration) time.Duration {
	return max(0, time.Duration(o.Target.Warmup)*time.Millisecond-(now-o.learned))
}

// collection is one kind of objects.
type collection struct {
	objects map[string]*known
	// Position is that up to which the collection is complete.
	Position
	// horizon is the oldest revision after which all changes are remembered.
	horizon uint64
	sum     uint64
	valid   bool
	// confirmed is the latest time at which the collection was surely complete.
	confirmed time.Duration
	// settled is the end of the last gap in the confirmations.
	settled time.Duration
	// departed holds deleted objects with the time at which this host learned it.
	departed   map[string]departure
	tombstones int
	// held is the configuration that was in force when the store came back with an older
	// one. It stays in force until the store has its version again.
	held *Configuration
	// withdrawn holds the targets that drained or had departed when the store came back
	// with older entries.
	withdrawn map[string]withdrawal
	// evacuations is what the host knows of each evacuation, by data centre.
	evacuations map[string]*evacuationRecord
	// applied holds the changes of the last merge.
	applied []Object
	// doubted is the number of objects with a doubted entry.
	doubted int
}

type departure struct {
	target *Target
	at     time.Duration
	// warm is the time at which the target's warm-up ends.
	warm time.Duration
	// lost is set if a restored store lacked the entry, which no one had removed.
	lost bool
}

// Catalog is the state of all collections. It is not safe for concurrent use.
type Catalog struct {
	collections [KindCount]collection
	// gapLimit is the time without a confirmation that counts as a gap.
	gapLimit time.Duration
	// retention is the time for which departed targets are remembered.
	retention time.Duration
}

// Option changes a catalog.
type Option func(*Catalog)

// WithConfirmationTimeout sets the time without a confirmation after which entries may
// have lapsed: the bound on the age of a collection.
func WithConfirmationTimeout(d time.Duration) Option { return func(c *Catalog) { c.gapLimit = d } }

// WithRetention sets the time for which departed targets are remembered: the
// lifetime of a flow.
func WithRetention(d time.Duration) Option { return func(c *Catalog) { c.retention = d } }

const (
	// defaultGapLimit exceeds the time between two confirmations in calm times,
	// one watch and a few rounds of gossip.
	defaultGapLimit  = 2 * time.Second
	defaultRetention = time.Minute
)

// New returns an empty catalog.
func New(options ...Option) *Catalog {
	c := &Catalog{gapLimit: defaultGapLimit, retention: defaultRetention}
	for i := range c.collections {
		c.collections[i].objects = map[string]*known{}
		c.collections[i].departed = map[string]departure{}
		c.collections[i].withdrawn = map[string]withdrawal{}
		c.collections[i].evacuations = map[string]*evacuationRecord{}
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// State describes a collection to other hosts.
type State struct {
	Valid    bool   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Checksum is equal if and only if the objects are, but for hash collisions.
	Checksum uint64 `cbor:"3,keyasint"`
	// Age is the time in milliseconds since the last confirmation.
	Age int64 `cbor:"4,keyasint"`
	// Epoch is that of the revision.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// Held is the version of the configuration that the host holds against an older one of
	// the store; zero if it holds none.
	Held uint64 `cbor:"6,keyasint,omitempty"`
	// Missing is set if the host follows the collection and does not have it yet. Only the
	// states of Evacuations have it, which some hosts do not follow.
	Missing bool `cbor:"7,keyasint,omitempty"`
}

// Position returns the position up to which the collection is complete.
func (s State) Position() Position { return Position{Epoch: s.Epoch, Revision: s.Revision} }

// State returns the state of a collection.
func (c *Catalog) State(kind Kind, now time.Duration) State {
	l := &c.collections[kind]
	s := State{Valid: l.valid, Epoch: l.Epoch, Revision: l.Revision, Checksum: l.sum, Age: (now - l.confirmed).Milliseconds()}
	if l.held != nil {
		s.Held = l.held.Version
	}
	return s
}

// Age returns the time since a collection was confirmed to be complete, and
// false if it never was.
func (c *Catalog) Age(kind Kind, now time.Duration) (time.Duration, bool) {
	l := &c.collections[kind]
	return now - l.confirmed, l.valid
}

// MergeResult says what became of a batch.
type MergeResult uint8

// The results of a merge.
const (
	// Changed means that the objects changed, Unchanged that the batch confirmed them.
	Changed MergeResult = iota
	Unchanged
	// Restored means that the objects of a later epoch took the place of all others.
	Restored
	// OlderEpoch means that the batch is from before the store came back from a copy.
	OlderEpoch
	// OlderRevision means that the batch ends before the revision that the catalog has.
	OlderRevision
	// Disconnected means that the batch begins after that revision.
	Disconnected
	// Conflicting means that the batch has another object under a revision that the
	// catalog knows: the store gave the revision out twice.
	Conflicting
	MergeResultCount
)

var mergeResultNames = [MergeResultCount]string{"changed", "unchanged", "restored", "older_epoch", "older_revision", "disconnected", "conflicting"}

// String returns the name of the result in logs and metrics.
func (r MergeResult) String() string { return mergeResultNames[r] }

// LeftOut reports whether the catalog did not take the batch's objects.
func (r MergeResult) LeftOut() bool { return r >= OlderEpoch }

// Merge adds a batch that was complete at a time. A batch that the catalog can't connect
// to what it has is left out, and so is everything older than it. Only a whole batch leads
// to a later epoch, since the revisions of changes can't be connected across epochs.
func (c *Catalog) Merge(kind Kind, b Batch, complete, now time.Duration) MergeResult {
	l := &c.collections[kind]
	l.applied = l.applied[:0]
	before, first := l.sum, !l.valid
	result := l.take(b, now)
	if result != Disconnected && result != OlderEpoch {
		l.valid = true
		l.release()
		if kind == Evacuations {
			c.noteEvacuations(b, result == Restored, first, now)
		}
		c.confirm(l, complete, now)
		c.forget(l, now)
	}
	// A configuration that another host holds counts whatever that host's position.
	held := l.hold(b.Held)
	if result != Restored && (held || first && l.valid || l.sum != before) {
		return Changed
	}
	return result
}

// take merges the objects of a batch.
func (l *collection) take(b Batch, now time.Duration) MergeResult {
	result := Unchanged
	if b.Whole && b.Epoch == l.Epoch && l.conflicts(b.Objects) {
		result = Conflicting
	}
	switch {
	case l.valid && b.Epoch < l.Epoch:
		return OlderEpoch
	case b.Whole && l.valid && b.Epoch > l.Epoch:
		l.enterEpoch(b, now)
		return Restored
	case b.Whole && (!l.valid || b.Revision > l.Revision):
		l.replace(b, now)
	case !b.Whole && l.valid && b.Epoch == l.Epoch && b.Since <= l.Revision && b.Revision >= l.Revision:
		for i := range b.Objects {
			l.apply(&b.Objects[i], b.Revision, now)
		}
		l.Revision = b.Revision
	case !l.valid || b.Epoch > l.Epoch || b.Revision > l.Revision:
		return Disconnected
	case b.Revision < l.Revision && result == Unchanged:
		return OlderRevision
	}
	return result
}

// conflicts reports whether an object has a known revision and other content.
func (l *collection) conflicts(objects []Object) bool {
	for i := range objects {
		o, old := &objects[i], l.objects[objects[i].Name]
		if old == nil || old.Deleted || old.Revision != o.Revision {
			continue
		}
		if o.Configuration != nil && old.Configuration != nil && o.Configuration.Version != old.Configuration.Version {
			return true
		}
		if o.Target != nil && old.Target != nil && !o.Target.sameEntry(old.Target) {
			return true
		}
	}
	return false
}

// Applied returns the changes that the last merge made, with the removal of
// objects that a whole batch left out. It is valid until the next merge.
func (c *Catalog) Applied(kind Kind) []Object { return c.collections[kind].applied }

// Confirm notes that another host, whose objects have the given state, was
// complete at a time. It reports whether the catalog needs the other's changes.
func (c *Catalog) Confirm(kind Kind, other State, complete, now time.Duration) (behind bool) {
	l := &c.collections[kind]
	if !other.Valid {
		return false
	}
	switch {
	case !l.valid || other.Epoch > l.Epoch || other.Held > 0 && other.Held > l.version():
		return true
	case other.Epoch < l.Epoch:
		// What the other knows was lost: it confirms nothing.
		return false
	case other.Revision > l.Revision && other.Checksum != l.sum:
		return true
	}
	l.Revision = max(l.Revision, other.Revision)
	c.confirm(l, complete, now)
	return false
}

func (c *Catalog) confirm(l *collection, complete, now time.Duration) {
	if complete <= l.confirmed && l.confirmed > 0 {
		return
	}
	if complete-l.confirmed > c.gapLimit || l.confirmed == 0 {
		l.settled = now
	}
	l.confirmed = complete
}

func (l *collection) replace(b Batch, now time.Duration) {
	present := make(map[string]bool, len(b.Objects))
	for i := range b.Objects {
		present[b.Objects[i].Name] = true
		l.apply(&b.Objects[i], b.Revision, now)
	}
	for name, o := range l.objects {
		if !o.Deleted && !present[name] {
			l.apply(&Object{Name: name, Revision: o.Revision, Deleted: true}, b.Revision, now)
		}
	}
	// Objects that came and went before the batch were never seen here.
	l.horizon, l.Position = b.Revision, Position{Epoch: b.Epoch, Revision: b.Revision}
}

// apply adds one change. Changes that the collection already has are left out.
func (l *collection) apply(o *Object, revision uint64, now time.Duration) {
	old := l.objects[o.Name]
	switch {
	case old != nil && o.Deleted && (old.Deleted || o.Revision < old.Revision):
		return
	case old != nil && !o.Deleted && o.Revision <= old.Revision:
		return
	case old == nil && o.Deleted:
		return
	}
	if old != nil {
		l.unsum(old)
	}
	o = l.doubt(o, old)
	noted := o.Revision
	if o.Deleted {
		noted = revision
		l.tombstones++
		// A removal of an unknown object was left out above. The target behind an entry
		// that another writer spoiled departs with the entry.
		if old.Target != nil {
			l.departed[o.Name] = departure{target: l.lastKnown(old, now), at: now, warm: now + old.cold(now)}
		} else if d, found := l.departed[o.Name]; found {
			d.at = now
			l.departed[o.Name] = d
		}
	} else {
		if old != nil && old.Deleted {
			l.tombstones--
		}
		switch {
		case o.Target != nil:
			delete(l.departed, o.Name)
		case old != nil && old.Target != nil:
			// Another writer spoiled the entry: its target may still hold flows.
			l.departed[o.Name] = departure{target: old.Target, at: now, warm: now + old.cold(now)}
		}
	}
	entry := &known{Object: *o, noted: noted, learned: now, doubtedSince: now}
	l.countDoubts(entry, old)
	if !o.Deleted && o.Configuration == nil && old != nil {
		// A configuration that can't be read leaves the last one in force.
		entry.Configuration = old.Configuration
	}
	l.objects[o.Name] = entry
	l.applied = append(l.applied, entry.Object)
	if !o.Deleted {
		l.sum ^= objectSum(&entry.Object)
	}
}

func (l *collection) unsum(o *known) {
	if !o.Deleted {
		l.sum ^= objectSum(&o.Object)
	}
}

// aged returns the object with the warm-up that is left.
func (o *known) aged(now time.Duration) Object {
	object := o.Object
	if o.Target != nil && o.Target.Warmup > 0 {
		target := *o.Target
		// Rounded up, so that no host takes the target for warm too early.
		target.Warmup = (o.cold(now) + time.Millisecond - 1).Milliseconds()
		object.Target = &target
	}
	return object
}

func objectSum(o *Object) uint64 { return xxh3.HashStringSeed(o.Name, o.Revision) }

// forget drops what is remembered of deleted objects beyond the limits.
func (c *Catalog) forget(l *collection, now time.Duration) {
	for name, d := range l.departed {
		if now-d.at > c.retention {
			delete(l.departed, name)
		}
	}
	for name, w := range l.withdrawn {
		if now-w.at > c.retention {
			delete(l.withdrawn, name)
		}
	}
	if l.tombstones <= tombstoneLimit {
		return
	}
	for name, o := range l.objects {
		if o.Deleted {
			delete(l.objects, name)
		}
	}
	l.tombstones, l.horizon = 0, l.Revision
}

// Changes returns the changes of a collection after a position, or all objects
// if the changes are not remembered. Warm-ups are those that are left.
func (c *Catalog) Changes(kind Kind, since Position, now time.Duration) Batch {
	l := &c.collections[kind]
	b := Batch{Epoch: l.Epoch, Since: since.Revision, Revision: l.Revision, Held: l.held}
	if kind == Evacuations {
		b.HeldEvacuations = l.heldEvacuations(now)
	}
	b.Whole = since.Epoch != l.Epoch || since.Revision < l.horizon || since.Revision == 0
	for _, o := range l.objects {
		if b.Whole && !o.Deleted || !b.Whole && o.noted > since.Revision {
			b.Objects = append(b.Objects, o.aged(now))
		}
	}
	slices.SortFunc(b.Objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return b
}
