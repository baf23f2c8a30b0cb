package catalog_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelStore is a store that serves lists in pages and drops its history.
type modelStore struct {
	revision, oldest uint64
	objects          map[string]uint64
	events           []catalog.Object
}

func (s *modelStore) put(name string) {
	s.revision++
	s.objects[name] = s.revision
	s.events = append(s.events, catalog.Object{Name: name, Revision: s.revision, Target: &catalog.Target{Key: s.revision}})
}

func (s *modelStore) remove(name string) {
	last, found := s.objects[name]
	if !found {
		return
	}
	s.revision++
	delete(s.objects, name)
	// The event has the revision of the object's last change.
	s.events = append(s.events, catalog.Object{Name: name, Revision: last, Deleted: true})
}

// page returns up to two objects after a name.
func (s *modelStore) page(after string) catalog.Batch {
	b := catalog.Batch{Whole: true, Revision: s.revision}
	for name, revision := range s.objects {
		if name > after {
			b.Objects = append(b.Objects, catalog.Object{Name: name, Revision: revision, Target: &catalog.Target{Key: revision}})
		}
	}
	slices.SortFunc(b.Objects, func(a, b catalog.Object) int { return cmp.Compare(a.Name, b.Name) })
	if len(b.Objects) > 2 {
		b.Objects = b.Objects[:2]
		b.Next = b.Objects[1].Name
	}
	return b
}

// changes returns the events after a revision, and false if some are dropped.
func (s *modelStore) changes(since uint64) (catalog.Batch, bool) {
	if since < s.oldest {
		return catalog.Batch{}, false
	}
	return catalog.Batch{Since: since, Revision: s.revision, Objects: slices.Clone(s.events[since:])}, true
}

func (s *modelStore) answer(call catalog.Call) (catalog.Batch, bool) {
	if call.List {
		return s.page(call.After), true
	}
	return s.changes(call.Since)
}

// modelHost is a host that asks the store and other hosts.
type modelHost struct {
	catalog *catalog.Catalog
	asker   *catalog.Poller
	call    catalog.Call
	asked   time.Duration
	waiting bool
}

// Guards against a list whose pages were read while objects came, changed and
// went: whatever fails between, whichever host is asked instead and however much
// history is dropped, every host ends with the store's objects and never holds one
// for current at a revision that it was not at.
func TestPagesAndChangesAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{objects: map[string]uint64{}}
		names := make([]string, 8)
		for i := range names {
			names[i] = fmt.Sprint("t", i)
		}
		var now time.Duration
		hosts := make([]*modelHost, 2)
		for i := range hosts {
			hosts[i] = &modelHost{catalog: catalog.New(), asker: catalog.NewPoller(catalog.Targets, bound, 0)}
		}
		ask := func(h *modelHost) {
			if call, due := h.asker.Next(h.catalog, 0, false, now); due && !h.waiting {
				h.call, h.asked, h.waiting = call, now, true
			}
		}
		answer := func(h *modelHost, fails bool) {
			if !h.waiting {
				return
			}
			h.waiting = false
			b, kept := s.answer(h.call)
			switch {
			case fails:
				h.asker.Done(catalog.Failed, 0, now)
			case !kept:
				h.asker.Done(catalog.HistoryGone, 0, now)
			default:
				b, complete, done := h.asker.AddAnswer(h.call, b, h.asked, now)
				h.asker.Done(catalog.Answered, 0, now)
				if done {
					h.catalog.Merge(catalog.Targets, b, complete, now)
				}
			}
		}
		fetch := func(h, from *modelHost) {
			state := from.catalog.State(catalog.Targets, now)
			if !h.catalog.Confirm(catalog.Targets, state, now, now) {
				return
			}
			var since catalog.Position
			if own := h.catalog.State(catalog.Targets, now); own.Valid {
				since = own.Position()
			}
			h.catalog.Merge(catalog.Targets, from.catalog.Changes(catalog.Targets, since, now), now, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { s.put(rapid.SampledFrom(names).Draw(t, "name")) },
			"remove":  func(t *rapid.T) { s.remove(rapid.SampledFrom(names).Draw(t, "name")) },
			"compact": func(*rapid.T) { s.oldest = s.revision },
			"ask":     func(t *rapid.T) { ask(rapid.SampledFrom(hosts).Draw(t, "host")) },
			"answer":  func(t *rapid.T) { answer(rapid.SampledFrom(hosts).Draw(t, "host"), false) },
			"fail":    func(t *rapid.T) { answer(rapid.SampledFrom(hosts).Draw(t, "host"), true) },
			"yield":   func(t *rapid.T) { rapid.SampledFrom(hosts).Draw(t, "host").asker.AbandonList(1000) },
			"fetch":   func(*rapid.T) { fetch(hosts[0], hosts[1]) },
			"wait":    func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				for _, h := range hosts {
					require.LessOrEqual(t, h.catalog.State(catalog.Targets, now).Revision, s.revision)
				}
			},
		})
		// In calm times each host catches up.
		for range 40 {
			now += time.Second
			for _, h := range hosts {
				ask(h)
				answer(h, false)
			}
		}
		want := map[string]uint64{}
		for name, revision := range s.objects {
			want[name] = revision
		}
		for i, h := range hosts {
			got := map[string]uint64{}
			for _, o := range h.catalog.Changes(catalog.Targets, catalog.Position{}, now).Objects {
				got[o.Name] = o.Revision
			}
			require.Equal(t, want, got, "host %d", i)
		}
	})
}
