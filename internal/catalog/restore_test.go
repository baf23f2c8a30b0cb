package catalog_test

import (
	"testing"

	"oriolevalve/internal/catalog"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// restoredStore is a store that may come back from a copy of an earlier revision. Each
// write has a key of its own, which shows who holds which.
type restoredStore struct {
	history
	epoch  uint64
	writes uint64
}

func (s *restoredStore) put(name string) {
	s.history.put(name)
	s.writes++
	s.changes[len(s.changes)-1].Target.Key = s.writes
}

// restore goes back to a revision.
func (s *restoredStore) restore(revision uint64) {
	kept := 0
	for kept < len(s.at) && s.at[kept] <= revision {
		kept++
	}
	s.changes, s.at = s.changes[:kept:kept], s.at[:kept:kept]
	s.revision = revision
	s.epoch++
}

func (s *restoredStore) list() catalog.Batch {
	b := s.history.list(s.revision)
	b.Epoch = s.epoch
	return b
}

// keys returns the keys of the objects that exist.
func (s *restoredStore) keys() map[string]uint64 {
	keys := map[string]uint64{}
	for _, o := range s.list().Objects {
		keys[o.Name] = o.Target.Key
	}
	return keys
}

func heldKeys(c *catalog.Catalog) map[string]uint64 {
	keys := map[string]uint64{}
	for _, o := range c.Changes(catalog.Targets, 0, 0).Objects {
		keys[o.Name] = o.Target.Key
	}
	return keys
}

// Guards against a catalog that keeps objects which the store no longer has, or leaves out
// those that it has now, because their revisions were given out before a restore; and
// against a late answer from before the restore that brings the lost objects back.
func TestCatalogFollowsARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{history: history{revision: 1}, epoch: 1}
		c := catalog.New()
		var late []catalog.Batch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.put(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"))
			case 1:
				s.remove(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), rapid.Bool().Draw(t, "own revision"))
			case 2:
				late = append(late, s.list())
				c.Merge(catalog.Targets, s.list(), 0, 0)
				require.Equal(t, s.keys(), heldKeys(c))
			case 3:
				if len(late) > 0 {
					c.Merge(catalog.Targets, late[rapid.IntRange(0, len(late)-1).Draw(t, "answer")], 0, 0)
				}
			case 4:
				s.restore(rapid.Uint64Range(1, s.revision).Draw(t, "revision"))
			}
		}
		c.Merge(catalog.Targets, s.list(), 0, 0)
		require.Equal(t, s.keys(), heldKeys(c))
	})
}
