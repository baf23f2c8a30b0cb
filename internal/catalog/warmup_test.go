package catalog_test

import (
	"testing"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/stretchr/testify/require"
)

// Guards against a warm-up that starts again whenever a host looks at its targets anew
// or passes them on: a view is made for each change, several times a second.
func TestWarmupEndsOnce(t *testing.T) {
	const learned = 10 * time.Second
	one, other := catalog.New(), catalog.New()
	one.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 5, Objects: []catalog.Object{
		{Name: "cold", Revision: 3, Target: &catalog.Target{Key: 1, Slots: 1, Warmup: 2000}},
		{Name: "warm", Revision: 4, Target: &catalog.Target{Key: 2, Slots: 1}},
	}}, learned, learned)
	cold := func(c *catalog.Catalog, now time.Duration) time.Duration {
		for _, m := range c.TargetEntries(now) {
			if m.Name == "cold" {
				return m.WarmUpRemaining
			}
			require.Zero(t, m.WarmUpRemaining)
		}
		return -1
	}
	require.Equal(t, 2*time.Second, cold(one, learned))
	require.Equal(t, 500*time.Millisecond, cold(one, learned+1500*time.Millisecond))
	later := learned + 1200*time.Millisecond
	other.Merge(catalog.Targets, one.Changes(catalog.Targets, catalog.Position{}, later), later, later)
	require.Equal(t, 500*time.Millisecond, cold(other, learned+1500*time.Millisecond))
	require.Zero(t, cold(one, learned+3*time.Second))
	require.Zero(t, cold(other, learned+3*time.Second))
	// What the first host knows is unchanged by what it passed on.
	require.Equal(t, 2*time.Second, cold(one, learned))
}

// Guards against a target that counts as warm because its entry lapsed in its warm-up, while the
// store was away, and against one that is passed on as warm a fraction of a millisecond too early.
func TestWarmupOutlivesItsEntry(t *testing.T) {
	c, now := catalog.New(), 10*time.Second
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 5, Objects: []catalog.Object{
		{Name: "cold", Revision: 3, Target: &catalog.Target{Key: 1, Slots: 1, Warmup: 2000}},
	}}, now, now)
	batch := c.Changes(catalog.Targets, catalog.Position{}, now+time.Second+time.Microsecond)
	require.Equal(t, int64(1000), batch.Objects[0].Target.Warmup)
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 6}, now+time.Second, now+time.Second)
	remaining := func(after time.Duration) time.Duration {
		entries := c.TargetEntries(now + after)
		require.Len(t, entries, 1)
		require.True(t, entries[0].Departed)
		return entries[0].WarmUpRemaining
	}
	require.Equal(t, 500*time.Millisecond, remaining(1500*time.Millisecond))
	require.Zero(t, remaining(2500*time.Millisecond))
}
