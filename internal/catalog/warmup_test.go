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
