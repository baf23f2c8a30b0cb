package catalog_test

import (
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/stretchr/testify/require"
)

const born = 1_786_000_000_000

func ownEntry(revision uint64) catalog.Object {
	return catalog.Object{Name: "a", Revision: revision, Target: &catalog.Target{
		Key: 10, Service: "desk", DataCentre: "north", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Born: born,
	}}
}

// changed returns the target's next entry with a change.
func changed(change func(*catalog.Target)) catalog.Object {
	o := ownEntry(3)
	change(o.Target)
	return o
}

// Guards against another writer's entry under the name of a live target that leads the
// target's flows elsewhere, and against one that hides what the target writes of itself.
func TestEntryThatContradictsItsTargetIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		entry catalog.Object
		used  bool
	}{
		"another address":       {changed(func(t *catalog.Target) { t.Address = netip.MustParseAddrPort("10.0.0.2:80") }), false},
		"another service":       {changed(func(t *catalog.Target) { t.Service = "photos" }), false},
		"another data centre":   {changed(func(t *catalog.Target) { t.DataCentre = "south" }), false},
		"time of day goes back": {changed(func(t *catalog.Target) { t.Born, t.Address = born-1, netip.MustParseAddrPort("10.0.0.2:80") }), true},
		"no life, elsewhere":    {changed(func(t *catalog.Target) { t.Born, t.Service = 0, "photos" }), false},
		"no life":               {changed(func(t *catalog.Target) { t.Born = 0 }), true},
		"draining":              {changed(func(t *catalog.Target) { t.Draining = true }), true},
		"a new life":            {changed(func(t *catalog.Target) { t.Born, t.Address = born+1, netip.MustParseAddrPort("10.0.0.2:80") }), true},
	} {
		t.Run(name, func(t *testing.T) {
			list := catalog.New()
			list.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 2, Objects: []catalog.Object{ownEntry(2)}}, 1, 1)
			list.Merge(catalog.Targets, catalog.Batch{Since: 2, Revision: 3, Objects: []catalog.Object{c.entry}}, 2, 2)
			entries := list.TargetEntries(3)
			require.Len(t, entries, 1)
			require.Equal(t, !c.used, entries[0].Departed)
			if c.used {
				require.Equal(t, *c.entry.Target, entries[0].Target)
				return
			}
			require.Equal(t, *ownEntry(2).Target, entries[0].Target)
			// A host that fetches from this one gets no target from the entry either.
			require.Nil(t, list.Changes(catalog.Targets, catalog.Position{}, 3).Objects[0].Target)
			list.Merge(catalog.Targets, catalog.Batch{Since: 3, Revision: 4, Objects: []catalog.Object{ownEntry(4)}}, 3, 3)
			require.False(t, list.TargetEntries(4)[0].Departed)
		})
	}
}

// Guards against a target that counts as ended because its entry was spoiled a second time,
// or because the spoiled entry was removed a moment ago.
func TestTargetBehindASpoiledEntryStays(t *testing.T) {
	c := catalog.New(catalog.WithConfirmationTimeout(3 * time.Second))
	step := func(now time.Duration, revision uint64, objects ...catalog.Object) {
		c.Merge(catalog.Targets, catalog.Batch{Since: revision - 1, Revision: revision, Objects: objects}, now, now)
		entries := c.TargetEntries(now)
		require.Len(t, entries, 1)
		require.False(t, entries[0].Gone)
	}
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 2, Objects: []catalog.Object{ownEntry(2)}}, 1, 1)
	for revision := uint64(3); revision < 13; revision++ {
		step(time.Duration(revision)*time.Second, revision, catalog.Object{Name: "a", Revision: revision})
	}
	step(13*time.Second, 13, catalog.Object{Name: "a", Revision: 13, Deleted: true})
	step(14*time.Second, 14, ownEntry(14))
}

// Guards against a host that believes the entry of another writer for good because it read it
// first, and leaves out all that the target writes: whatever the other writer changed, however often
// it wrote, and whether the host reads the store or asks a host that is in the same position.
func TestOwnEntryHoldsAfterAnotherWriters(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		change func(*catalog.Target)
		writes int
		// within is the time after the last of the target's own entries by which it holds.
		within time.Duration
	}{
		"a service without a name": {func(t *catalog.Target) { t.Service = "gone-since" }, 1, 0},
		"the same, again":          {func(t *catalog.Target) { t.Service = "gone-since" }, 9, 0},
		"another service":          {func(t *catalog.Target) { t.Service = "photos" }, 1, 4 * second},
		"another address":          {func(t *catalog.Target) { t.Address = netip.MustParseAddrPort("10.0.0.2:80") }, 3, 4 * second},
		"another data centre":      {func(t *catalog.Target) { t.DataCentre = "south" }, 2, 4 * second},
	} {
		for _, fetches := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				reader, fetcher := catalog.New(), catalog.New()
				revision := uint64(1)
				foreign := func() catalog.Object {
					o := changed(c.change)
					o.Revision = revision
					return o
				}
				for _, l := range []*catalog.Catalog{reader, fetcher} {
					l.Merge(catalog.Configurations, catalog.Batch{Whole: true, Revision: 1, Objects: []catalog.Object{{Name: "main", Revision: 1, Configuration: &catalog.Configuration{
						Version: 1, Services: []string{"desk", "photos"},
					}}}}, 1, 1)
				}
				reader.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: revision, Objects: []catalog.Object{foreign()}}, 1, 1)
				now := time.Duration(0)
				write := func(o catalog.Object) {
					revision++
					o.Revision = revision
					reader.Merge(catalog.Targets, catalog.Batch{Since: revision - 1, Revision: revision, Objects: []catalog.Object{o}}, now, now)
				}
				write(ownEntry(0))
				for range c.writes {
					reader.ResolveDoubts(now)
					now += second
					write(foreign())
					now += second
					write(ownEntry(0))
				}
				judged := reader
				if fetches {
					fetcher.Merge(catalog.Targets, reader.Changes(catalog.Targets, catalog.Position{}, now), now, now)
					judged = fetcher
				}
				for last := now + c.within; now < last; now += second / 10 {
					judged.ResolveDoubts(now)
					// Without a confirmation the target may have written again.
					judged.Confirm(catalog.Targets, judged.State(catalog.Targets, now), now, now)
				}
				judged.ResolveDoubts(now)
				entries := judged.TargetEntries(now)
				require.Len(t, entries, 1)
				require.Equal(t, *ownEntry(0).Target, entries[0].Target)
				require.False(t, entries[0].Departed || entries[0].Unnamed)
				require.Zero(t, judged.Departures(now).Doubted)
			})
		}
	}
}

// Guards against another writer's entry that takes the place of a target's own while the target
// writes on, while the store is silent, or because it names a service that the configuration lacks.
func TestAnotherWritersEntryDoesNotHold(t *testing.T) {
	for name, c := range map[string]struct {
		service            string
		rewritten, stalled bool
	}{
		"the target writes on": {"photos", true, false},
		"the store is silent":  {"photos", false, true},
		"no such service":      {"gone-since", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := catalog.New()
			l.Merge(catalog.Configurations, catalog.Batch{Whole: true, Revision: 1, Objects: []catalog.Object{{Name: "main", Revision: 1, Configuration: &catalog.Configuration{
				Version: 1, Services: []string{"desk", "photos"},
			}}}}, 1, 1)
			l.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 2, Objects: []catalog.Object{ownEntry(2)}}, 1, 1)
			revision := uint64(2)
			write := func(now time.Duration, o catalog.Object) {
				revision++
				o.Revision = revision
				l.Merge(catalog.Targets, catalog.Batch{Since: revision - 1, Revision: revision, Objects: []catalog.Object{o}}, now, now)
			}
			for now := time.Second; now < 20*time.Second; now += 1200 * time.Millisecond {
				if c.rewritten || now == time.Second {
					write(now, changed(func(t *catalog.Target) { t.Service = c.service }))
				}
				require.Empty(t, l.ResolveDoubts(now))
				require.Equal(t, "desk", l.TargetEntries(now)[0].Service)
				if c.rewritten {
					write(now+time.Second, ownEntry(0))
				}
				if !c.stalled {
					l.Confirm(catalog.Targets, l.State(catalog.Targets, now), now+time.Second, now+time.Second)
				}
			}
		})
	}
}
