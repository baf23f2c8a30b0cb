package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/stretchr/testify/require"
)

// bound is the least bound on the age in the deployments of today.
const bound = 3 * time.Second

// take merges an answer that came at once.
func take(t *testing.T, c *catalog.Catalog, a *catalog.Poller, call catalog.Call, answer catalog.Batch, now time.Duration) {
	b, complete, done := a.AddAnswer(call, answer, now, now)
	require.True(t, done)
	c.Merge(call.Kind, b, complete, now)
}

// Guards against knowledge older than its bound while the store answers some
// call: a host whose watch falls silent, whose next call is lost too, and that
// hears nothing of others, must have an answer before the bound.
func TestLostCallsStayWithinTheBound(t *testing.T) {
	for _, rank := range []int{0, 1, 5, 90} {
		c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
		call, due := a.Next(c, rank, false, 0)
		require.True(t, due)
		require.True(t, call.List)
		take(t, c, a, call, catalog.Batch{Whole: true, Revision: 5}, 0)
		a.Done(catalog.Answered, rank, 0)
		lost, oldest := 0, time.Duration(0)
		var ends time.Duration
		for now := time.Duration(0); now < 4*bound; now += 10 * time.Millisecond {
			age, _ := c.Age(catalog.Targets, now)
			oldest = max(oldest, age)
			if ends == 0 {
				if call, due = a.Next(c, rank, false, now); due {
					require.Equal(t, uint64(5), call.Since)
					ends = now + call.Timeout()
					if lost++; lost > 1 {
						ends = now + call.Wait + 10*time.Millisecond
					}
				}
			}
			if ends > 0 && now >= ends {
				ends = 0
				if lost == 1 {
					a.Done(catalog.Failed, rank, now)
					continue
				}
				c.Merge(catalog.Targets, catalog.Batch{Since: 5, Revision: 5}, now, now)
				a.Done(catalog.Answered, rank, now)
			}
		}
		require.Less(t, oldest, bound, "rank %d", rank)
	}
}

// Guards against a host that asks while others keep it informed, and against a
// fleet that asks a failing store at the rate of its hosts.
func TestInformedHostsDoNotAsk(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Configurations, bound, 0)
	c.Merge(catalog.Configurations, catalog.Batch{Whole: true, Revision: 5}, 0, 0)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		// Confirmations are up to a watch and a few rounds of gossip old.
		if now%(500*time.Millisecond) == 0 {
			c.Confirm(catalog.Configurations, c.State(catalog.Configurations, now), now-900*time.Millisecond, now)
		}
		_, due := a.Next(c, 1, false, now)
		require.False(t, due, "at %s", now)
	}
	calls := map[int]int{}
	for _, rank := range []int{0, 40} {
		a := catalog.NewPoller(catalog.Configurations, bound, 0)
		for now := time.Minute + 2*bound; now < 2*time.Minute+2*bound; now += 10 * time.Millisecond {
			if _, due := a.Next(c, rank, false, now); due {
				calls[rank]++
				a.Done(catalog.Failed, rank, now)
			}
		}
	}
	require.InDelta(t, 75, calls[0], 10)
	require.Less(t, calls[40], 20)
}

// Guards against a watch that is repeated on a history that is gone.
func TestLostHistoryIsListed(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 5}, 0, 0)
	_, due := a.Next(c, 0, false, 0)
	require.False(t, due, "a host that starts does not know the others")
	const now = time.Second
	call, due := a.Next(c, 0, false, now)
	require.True(t, due)
	require.False(t, call.List)
	_, due = a.Next(c, 0, false, now)
	require.False(t, due, "two calls at once")
	a.Done(catalog.HistoryGone, 0, now+1)
	call, due = a.Next(c, 0, false, now+1)
	require.True(t, due && call.List)
	take(t, c, a, call, catalog.Batch{Whole: true, Revision: 6}, now+2)
	a.Done(catalog.Answered, 0, now+2)
	call, due = a.Next(c, 0, false, now+2)
	require.True(t, due && !call.List)
}

// Guards against hosts without a catalog that stay idle after the store is back:
// nothing is served before the first of them has one.
func TestHostWithoutCatalogAsksOften(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	last := time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if _, due := a.Next(c, 0, false, now); due {
			require.LessOrEqual(t, now-last, 250*time.Millisecond)
			last = now
			a.Done(catalog.Failed, 0, now)
		}
	}
	require.Greater(t, last, 9*time.Second)
}

// Guards against calls without a pause to a store that drops its history at
// once. A soak with 100 hosts made 660 calls a second.
func TestStoreWithoutHistoryIsAskedWithPauses(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	calls, oldest := 0, time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		call, due := a.Next(c, 0, false, now)
		if age, valid := c.Age(catalog.Targets, now); valid {
			oldest = max(oldest, age)
		}
		if !due {
			continue
		}
		calls++
		if !call.List {
			a.Done(catalog.HistoryGone, 0, now)
			continue
		}
		take(t, c, a, call, catalog.Batch{Whole: true, Revision: uint64(calls)}, now)
		a.Done(catalog.Answered, 0, now)
	}
	// A list and a watch for each pause of at most 0.8 s, and some shorter ones.
	require.Less(t, calls, 2*30)
	require.Less(t, oldest, bound)
}

// Guards against a long list that starts anew with each lost page: of 301 hosts
// that started at once, 245 could not read 60 pages within one call's time. The
// pages together must be as old as the first one, and a list that takes longer
// than the store's history is worthless.
func TestListGoesOnWithTheLostPage(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	const pages, first, slow = 60, 30 * time.Millisecond, 100 * time.Millisecond
	now, calls := first, 0
	for !c.State(catalog.Targets, now).Valid {
		require.Less(t, calls, 2*pages)
		call, due := a.Next(c, 3, false, now)
		if now += slow / 2; !due {
			continue
		}
		if calls++; calls%5 == 0 {
			a.Done(catalog.Failed, 3, now)
			continue
		}
		page := 0
		if call.After != "" {
			_, err := fmt.Sscanf(call.After, "t%02d", &page)
			require.NoError(t, err)
		}
		answer := catalog.Batch{Whole: true, Revision: uint64(100 + page), Objects: []catalog.Object{
			{Name: fmt.Sprintf("t%02d", page+1), Revision: 1, Target: &catalog.Target{Key: 1}},
		}}
		if page+1 < pages {
			answer.Next = fmt.Sprintf("t%02d", page+1)
		}
		b, complete, done := a.AddAnswer(call, answer, now, now)
		if a.Done(catalog.Answered, 3, now); !done {
			continue
		}
		require.Greater(t, complete, now-10*time.Second, "older than the store's history allows")
		require.Equal(t, uint64(100), b.Revision, "a watch from here repeats what later pages missed")
		c.Merge(catalog.Targets, b, complete, now)
	}
	require.Len(t, c.Changes(catalog.Targets, catalog.Position{}, now).Objects, pages)
}

// Guards against a list that mixes pages from before and after a gap longer than
// the store's history.
func TestOldPagesAreDropped(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	call, due := a.Next(c, 0, false, 1)
	require.True(t, due && call.After == "")
	_, _, done := a.AddAnswer(call, catalog.Batch{Whole: true, Revision: 9, Next: "t5"}, 1, 1)
	require.False(t, done)
	a.Done(catalog.Answered, 0, 1)
	call, due = a.Next(c, 0, false, time.Second)
	require.True(t, due && call.After == "t5")
	a.Done(catalog.Failed, 0, time.Second)
	call, due = a.Next(c, 0, false, 12*time.Second)
	require.True(t, due && call.List && call.After == "")
}

// Guards against a call for each change: while 600 targets registered, each host that
// took itself for the first made 250 calls a second. The pattern is 300 changes a second
// for 2 s after one that comes alone.
func TestChangesInQuickSuccessionShareCalls(t *testing.T) {
	c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, 0)
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 1}, 0, 0)
	const latency, first, last, interval = 4 * time.Millisecond, time.Second, 3 * time.Second, time.Second / 300
	revision := func(now time.Duration) uint64 {
		switch {
		case now < first:
			return 1
		case now < 2*time.Second:
			return 2
		}
		return 2 + uint64((min(now, last)-2*time.Second)/interval)
	}
	calls, worst := 0, map[bool]time.Duration{}
	var call catalog.Call
	var started time.Duration
	running, known := false, uint64(1)
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		if !running {
			if call, running = a.Next(c, 0, false, now); running {
				calls++
				started = now
			}
			continue
		}
		changed := revision(now-latency) > call.Since
		if now-started < latency || !changed && now-started < call.Wait {
			continue
		}
		answer := catalog.Batch{Since: call.Since, Revision: revision(now - latency)}
		if changed {
			answer.Objects = []catalog.Object{{Name: "t", Revision: answer.Revision, Target: &catalog.Target{Key: 1}}}
		}
		take(t, c, a, call, answer, now)
		a.Done(catalog.Answered, 0, now)
		running = false
		for ; known < answer.Revision; known++ {
			at := first
			if known > 1 {
				at = 2*time.Second + time.Duration(known-1)*interval
			}
			worst[known == 1] = max(worst[known == 1], now-at)
		}
	}
	require.Equal(t, revision(last), known)
	require.LessOrEqual(t, worst[true], 2*latency, "a change that comes alone")
	require.LessOrEqual(t, worst[false], 250*time.Millisecond)
	// Five a second while changes come, and one in 0.9 s.
	require.Less(t, calls, 5+5+6)
}

// Guards against a fleet of which nearly all hosts ask in the same half second once what
// they know grows old, because the answer of the first ones is still on its way: the
// ranks doubled in 100 ms, and all beyond the sixth asked together. The pattern is a
// watcher that stops, at the bound of the large deployment. Each host must ask early
// enough for a call that is lost.
func TestFewHostsAskWhileAnAnswerSpreads(t *testing.T) {
	const large, hosts = 6 * time.Second, 295
	// Five rounds of gossip.
	const spread = 1250 * time.Millisecond
	c := catalog.New()
	c.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 5}, 0, 0)
	first, asked := time.Duration(-1), 0
	for rank := 1; rank < hosts; rank++ {
		a := catalog.NewPoller(catalog.Targets, large, 0)
		var at time.Duration
		for now := time.Duration(0); ; now += 10 * time.Millisecond {
			if _, due := a.Next(c, rank, false, now); due {
				at = now
				break
			}
		}
		if first < 0 {
			first = at
		}
		if at < first+spread {
			asked++
		}
		require.Less(t, at, large-900*time.Millisecond, "rank %d", rank)
	}
	require.Less(t, asked, 100)
}

// Guards against a host that starts again and goes on with a target that left, because
// the first host it asked was cut off and had an old list: it must ask the store as soon
// as it has the list, whatever its rank, and drop the target with the answer.
func TestRestartedHostDoesNotRestOnAnOldList(t *testing.T) {
	const start = time.Minute
	for _, rank := range []int{1, 290} {
		c, a := catalog.New(), catalog.NewPoller(catalog.Targets, bound, start)
		old := catalog.Batch{Whole: true, Revision: 5, Objects: []catalog.Object{
			{Name: "left", Revision: 4, Target: &catalog.Target{Key: 1, Draining: true}},
			{Name: "stays", Revision: 5, Target: &catalog.Target{Key: 2}},
		}}
		c.Merge(catalog.Targets, old, start-10*time.Second, start)
		call, due := a.Next(c, rank, true, start)
		require.True(t, due, "rank %d", rank)
		require.Equal(t, catalog.Call{Kind: catalog.Targets, Since: 5}, call)
		take(t, c, a, call, catalog.Batch{Since: 5, Revision: 6, Objects: []catalog.Object{{Name: "left", Revision: 6, Deleted: true}}}, start)
		a.Done(catalog.Answered, rank, start)
		// News of the cut-off host that arrive later change nothing.
		c.Merge(catalog.Targets, old, start-10*time.Second, start)
		c.Confirm(catalog.Targets, catalog.State{Valid: true, Revision: 5, Checksum: 1}, start, start)
		for _, m := range c.TargetEntries(start) {
			require.Equal(t, m.Name == "left", m.Departed)
		}
	}
}
