package catalog_test

import (
	"testing"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/stretchr/testify/require"
)

// evacuationStore is a store's list of evacuations with the epoch and revision of its answers.
type evacuationStore struct {
	epoch, revision uint64
	entries         map[string]uint64
}

func (s *evacuationStore) put(name string) {
	s.revision++
	s.entries[name] = s.revision
}

func (s *evacuationStore) remove(name string) {
	s.revision++
	delete(s.entries, name)
}

// list returns the batch of a whole list.
func (s *evacuationStore) list() catalog.Batch {
	b := catalog.Batch{Whole: true, Epoch: s.epoch, Revision: s.revision}
	for name, revision := range s.entries {
		b.Objects = append(b.Objects, catalog.Object{Name: name, Revision: revision})
	}
	return b
}

// restore makes the store that of an older copy.
func (s *evacuationStore) restore(copied *evacuationStore) {
	s.entries = map[string]uint64{}
	for name, revision := range copied.entries {
		s.entries[name] = revision
	}
	s.epoch, s.revision = s.epoch+1, copied.revision
}

func (s *evacuationStore) clone() *evacuationStore {
	copied := &evacuationStore{}
	copied.restore(s)
	return copied
}

func newEvacuationStore() *evacuationStore {
	return &evacuationStore{epoch: 1, revision: 100, entries: map[string]uint64{}}
}

// requested returns the data centres whose evacuation is requested.
func requested(c *catalog.Catalog, now time.Duration) []string {
	names := []string{}
	for _, e := range c.Evacuations(now) {
		if e.Requested {
			names = append(names, e.DataCentre)
		}
	}
	return names
}

const evacuationRetention = time.Minute

func newEvacuated(s *evacuationStore) *catalog.Catalog {
	c := catalog.New(catalog.WithRetention(evacuationRetention))
	c.Merge(catalog.Evacuations, s.list(), 1, 1)
	return c
}

// Guards against an evacuation that is not known by its name, or not lifted: by a change, by a
// list that lacks it, or by an entry whose content can't be read.
func TestEvacuationsAreThoseListed(t *testing.T) {
	s := newEvacuationStore()
	s.put("a")
	c := newEvacuated(s)
	require.Equal(t, []string{"a"}, requested(c, 2))
	c.Merge(catalog.Evacuations, catalog.Batch{Epoch: 1, Since: 101, Revision: 103, Objects: []catalog.Object{
		{Name: "a", Revision: 102, Deleted: true}, {Name: "b", Revision: 103},
	}}, 2, 2)
	require.Equal(t, []string{"b"}, requested(c, 2))
	c.Merge(catalog.Evacuations, catalog.Batch{Whole: true, Epoch: 1, Revision: 110}, 3, 3)
	require.Empty(t, requested(c, 3))
	lifted := c.Evacuations(3)
	require.Len(t, lifted, 2)
	require.Equal(t, time.Duration(3), lifted[1].Since)
}

// Guards against a request that is written again and again and seems a new one each time, and
// against one that was taken back and requested again within a second and gets lost.
func TestRewrittenEvacuationIsOneRequest(t *testing.T) {
	s := newEvacuationStore()
	s.put("a")
	c := newEvacuated(s)
	for i := range 100 {
		s.put("a")
		now := time.Duration(i+2) * time.Millisecond
		c.Merge(catalog.Evacuations, s.list(), now, now)
		require.Equal(t, []catalog.Evacuation{{DataCentre: "a", Revision: s.revision, Requested: true, Since: 1}}, c.Evacuations(now))
	}
	s.remove("a")
	c.Merge(catalog.Evacuations, s.list(), time.Second, time.Second)
	require.Empty(t, requested(c, time.Second))
	s.put("a")
	c.Merge(catalog.Evacuations, s.list(), 2*time.Second, 2*time.Second)
	require.Equal(t, []catalog.Evacuation{{DataCentre: "a", Revision: s.revision, Requested: true, Since: 2 * time.Second}}, c.Evacuations(3*time.Second))
}

// Guards against a store that comes back from an older copy and lifts an accepted evacuation,
// and against one that is held for ever, also once the operator took it back.
func TestRestoreDoesNotLiftAnEvacuation(t *testing.T) {
	for name, end := range map[string]struct {
		act  func(s *evacuationStore)
		left []string
	}{
		"not written again": {func(*evacuationStore) {}, []string{"a"}},
		"written again":     {func(s *evacuationStore) { s.put("a") }, []string{"a"}},
		"taken back":        {func(s *evacuationStore) { s.put("a"); s.remove("a") }, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationStore()
			before := s.clone()
			s.put("a")
			c := newEvacuated(s)
			s.restore(before)
			c.Merge(catalog.Evacuations, s.list(), 2, 2)
			require.Equal(t, []string{"a"}, requested(c, 3))
			end.act(s)
			c.Merge(catalog.Evacuations, s.list(), time.Second, time.Second)
			require.Equal(t, end.left, requested(c, evacuationRetention))
			after := requested(c, evacuationRetention+time.Second)
			if name == "written again" {
				require.Equal(t, []string{"a"}, after)
				s.remove("a")
				c.Merge(catalog.Evacuations, s.list(), 2*evacuationRetention, 2*evacuationRetention)
				after = requested(c, 2*evacuationRetention)
			}
			require.Empty(t, after)
		})
	}
}

// Guards against a host that starts after a restore and learns from another host, and sends new
// flows to a data centre that the other one holds evacuated.
func TestHeldEvacuationIsPassedOn(t *testing.T) {
	s := newEvacuationStore()
	before := s.clone()
	s.put("a")
	c := newEvacuated(s)
	s.restore(before)
	c.Merge(catalog.Evacuations, s.list(), 2, 2)
	later := 10 * time.Second
	started := catalog.New(catalog.WithRetention(evacuationRetention))
	started.Merge(catalog.Evacuations, c.Changes(catalog.Evacuations, catalog.Position{}, later), later, later)
	require.Equal(t, []string{"a"}, requested(started, evacuationRetention-time.Second))
	require.Empty(t, requested(started, evacuationRetention+time.Second))
}

// Guards against a store that comes back from an older copy with an evacuation that was taken
// back, and against a request that was made since and counts for that one.
func TestRestoreDoesNotRenewAnEvacuation(t *testing.T) {
	s := newEvacuationStore()
	s.put("a")
	before := s.clone()
	c := newEvacuated(s)
	s.remove("a")
	c.Merge(catalog.Evacuations, s.list(), 2, 2)
	s.restore(before)
	c.Merge(catalog.Evacuations, s.list(), 3, 3)
	require.Empty(t, requested(c, evacuationRetention))
	require.Equal(t, []string{"a"}, requested(c, evacuationRetention+time.Second), "the store has the last word in the end")
	s.put("a")
	c.Merge(catalog.Evacuations, s.list(), 4, 4)
	require.Equal(t, []string{"a"}, requested(c, 5))

	// Once removed, the entry of the copy ends without another change.
	s.restore(before)
	c = newEvacuated(s)
	s.remove("a")
	c.Merge(catalog.Evacuations, s.list(), 2, 2)
	s.restore(before)
	c.Merge(catalog.Evacuations, s.list(), 3, 3)
	s.remove("a")
	c.Merge(catalog.Evacuations, s.list(), 4, 4)
	require.Equal(t, []catalog.Evacuation{{DataCentre: "a", Revision: 101, Since: 2}}, c.Evacuations(2*evacuationRetention))
}

// Guards against an end of an evacuation that is no longer reported although the targets, which
// may have become cold, were not confirmed since.
func TestEndIsReportedUntilTheTargetsAreConfirmed(t *testing.T) {
	s := newEvacuationStore()
	s.put("a")
	c := newEvacuated(s)
	s.remove("a")
	c.Merge(catalog.Evacuations, s.list(), time.Second, time.Second)
	require.Len(t, c.Evacuations(time.Hour), 1)
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Epoch: 1, Revision: 200}, time.Hour, time.Hour)
	require.Empty(t, c.Evacuations(time.Hour))
}

// Guards against former requests that are remembered without bound.
func TestFormerEvacuationsAreForgotten(t *testing.T) {
	s := newEvacuationStore()
	c := newEvacuated(s)
	for i := range 2000 {
		now := time.Duration(i+2) * time.Second
		c.Merge(catalog.Targets, catalog.Batch{Whole: true, Epoch: 1, Revision: s.revision}, now, now)
		name := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		s.put(name)
		c.Merge(catalog.Evacuations, s.list(), now, now)
		s.remove(name)
		c.Merge(catalog.Evacuations, s.list(), now, now)
		require.LessOrEqual(t, len(c.Evacuations(now)), 17)
	}
}
