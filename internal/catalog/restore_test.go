package catalog_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/golden"

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

// watch returns the changes after a revision, and false if the store does not have it.
func (s *restoredStore) watch(since uint64) (catalog.Batch, bool) {
	b := s.history.watch(since, s.revision)
	b.Epoch = s.epoch
	return b, since <= s.revision
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
	for _, o := range c.Changes(catalog.Targets, catalog.Position{}, 0).Objects {
		keys[o.Name] = o.Target.Key
	}
	return keys
}

// Guards against a catalog that keeps objects which the store no longer has, or leaves out
// those that it has now, because their revisions were given out before a restore; and
// against a late answer, or a host, from before the restore that brings the lost objects
// back or confirms them.
func TestCatalogFollowsARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{history: history{revision: 1}, epoch: 1}
		c, other := catalog.New(), catalog.New()
		var late []catalog.Batch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := c.State(catalog.Targets, 0)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
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
			case 5:
				b, found := s.watch(before.Revision)
				if !before.Valid || !found {
					continue
				}
				late = append(late, b)
				if c.Merge(catalog.Targets, b, 0, 0); before.Epoch == s.epoch {
					require.Equal(t, s.keys(), heldKeys(c))
				}
			case 6:
				c, other = other, c
				if c.Confirm(catalog.Targets, before, 0, 0) {
					c.Merge(catalog.Targets, other.Changes(catalog.Targets, c.State(catalog.Targets, 0).Position(), 0), 0, 0)
				}
				continue
			}
			after := c.State(catalog.Targets, 0)
			require.GreaterOrEqual(t, after.Position().Compare(before.Position()), 0)
		}
		c.Merge(catalog.Targets, s.list(), 0, 0)
		require.Equal(t, s.keys(), heldKeys(c))
	})
}

// parseObject reads an object of a script: name@revision=content, where the content is the
// version of a configuration ("v4"), a state of a target with its sequence ("ready#3"), or
// "deleted".
func parseObject(t *testing.T, word string) catalog.Object {
	name, rest, _ := strings.Cut(word, "@")
	revision, content, _ := strings.Cut(rest, "=")
	o := catalog.Object{Name: name, Revision: number(t, revision)}
	version, isConfiguration := strings.CutPrefix(content, "v")
	state, sequence, _ := strings.Cut(content, "#")
	switch {
	case isConfiguration:
		o.Configuration = &catalog.Configuration{Version: number(t, version)}
	case content == "deleted":
		o.Deleted = true
	default:
		require.Contains(t, []string{"ready", "draining"}, state)
		o.Target = &catalog.Target{Service: "desk", Draining: state == "draining", Sequence: number(t, sequence)}
	}
	return o
}

func number(t *testing.T, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return n
}

// scriptKind is the collection that a script plays: that of the objects that it names.
func scriptKind(input []byte) catalog.Kind {
	if strings.Contains(string(input), "=v") {
		return catalog.Configurations
	}
	return catalog.Targets
}

// describe returns what a host knows.
func describe(c *catalog.Catalog, kind catalog.Kind, now time.Duration) string {
	s := c.State(kind, now)
	text := fmt.Sprintf("%d:%d age %dms", s.Epoch, s.Revision, s.Age)
	if kind == catalog.Configurations {
		if configuration := c.Configuration(); configuration != nil {
			text += fmt.Sprint(" version ", configuration.Version)
		}
		return text + fmt.Sprint(" held ", s.Held)
	}
	entries := c.TargetEntries(now)
	slices.SortFunc(entries, func(a, b catalog.TargetEntry) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range entries {
		state := "ready"
		switch {
		case e.Gone:
			state = "gone"
		case e.Departed && e.Draining:
			state = "left"
		case e.Departed:
			state = "lapsed"
		case e.Draining:
			state = "draining"
		}
		text += fmt.Sprint(" ", e.Name, ":", state)
	}
	return text
}

// Guards against hosts that go back to an older configuration or to a target that drains
// when the store comes back from an older copy, against hosts that miss what it accepts
// then, and against hosts that confirm or infect each other with what was lost.
//
// A script has the lines "at TIME", "HOST list EPOCH:REVISION OBJECT...",
// "HOST watch EPOCH:SINCE-REVISION OBJECT...", "HOST hears HOST", and "HOST shows".
func TestRestores(t *testing.T) {
	golden.Run(t, "testdata/restore/*/input", func(t *testing.T, input []byte) string {
		kind, hosts := scriptKind(input), map[string]*catalog.Catalog{}
		return golden.Script(t, input, func(words []string, now time.Duration, out *strings.Builder) {
			if words[0] == "at" {
				return
			}
			if hosts[words[0]] == nil {
				hosts[words[0]] = catalog.New()
			}
			c, result := hosts[words[0]], "shows"
			switch words[1] {
			case "list", "watch":
				result = c.Merge(kind, parseBatch(t, words[1:]), now, now).String()
			case "hears":
				result = hear(c, hosts[words[2]], kind, now)
			default:
				require.Equal(t, "shows", words[1])
			}
			fmt.Fprintf(out, "  %s: %s\n", result, describe(c, kind, now))
		})
	})
}

// parseBatch reads the words of an answer of the store.
func parseBatch(t *testing.T, words []string) catalog.Batch {
	epoch, revisions, _ := strings.Cut(words[1], ":")
	b := catalog.Batch{Whole: words[0] == "list", Epoch: number(t, epoch)}
	if since, revision, found := strings.Cut(revisions, "-"); found {
		b.Since, b.Revision = number(t, since), number(t, revision)
	} else {
		b.Revision = number(t, revisions)
	}
	for _, word := range words[2:] {
		b.Objects = append(b.Objects, parseObject(t, word))
	}
	return b
}

// hear passes the state of another host to one, which fetches what it lacks.
func hear(c, other *catalog.Catalog, kind catalog.Kind, now time.Duration) string {
	state, own := other.State(kind, now), c.State(kind, now)
	complete := now - time.Duration(state.Age)*time.Millisecond
	if !c.Confirm(kind, state, complete, now) {
		return "not behind"
	}
	return "behind, " + c.Merge(kind, other.Changes(kind, own.Position(), now), complete, now).String()
}

// Guards against a list that joins pages from before a restore of the store with pages from
// after it: a target that the store lost would be listed beside the new ones.
func TestPagesOfTwoEpochsAreNotJoined(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	var now time.Duration
	page := func(b catalog.Batch) (catalog.Batch, bool) {
		now += 10 * time.Millisecond
		call, due := a.Next(c, 0, false, now)
		require.True(t, due && call.List)
		b.Whole = true
		answer, _, done := a.AddAnswer(call, b, now, now)
		a.Done(catalog.Answered, 0, now)
		return answer, done
	}
	_, done := page(catalog.Batch{Epoch: 1, Revision: 30, Objects: []catalog.Object{target("a", 1, 9)}, Next: "a"})
	require.False(t, done)
	_, done = page(catalog.Batch{Epoch: 2, Revision: 20, Objects: []catalog.Object{target("b", 2, 8)}})
	require.False(t, done)
	_, done = page(catalog.Batch{Epoch: 2, Revision: 20, Objects: []catalog.Object{target("b", 2, 8)}, Next: "b"})
	require.False(t, done)
	b, done := page(catalog.Batch{Epoch: 2, Revision: 20, Objects: []catalog.Object{target("c", 3, 7)}})
	require.True(t, done)
	require.Equal(t, catalog.Batch{
		Whole: true, Epoch: 2, Revision: 20, Objects: []catalog.Object{target("b", 2, 8), target("c", 3, 7)},
	}, b)
}
