package experiment

import (
	"context"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// replicates is the number of seeds per scenario.
const replicates = 3

// timelineSessions and timelineTargets select the scenario whose course after
// the join is plotted: the application desk at its full size.
const (
	timelineTargets  = 14
	timelineSessions = 28_000
	timelineHosts    = 6
	timelineLifetime = 300 * time.Second
)

func scenarios(o Options) []scenario {
	sizes := []struct{ targets, sessions int }{
		{4, 2_000},
		{4, 8_000},
		{4, 28_000},
		{timelineTargets, 200},
		{timelineTargets, 800},
		{timelineTargets, 2_000},
		{timelineTargets, 8_000},
		{timelineTargets, timelineSessions},
	}
	// Section 1.5 (12 million flows, 91,000 new a second) implies a lifetime of
	// 132 s; the measured ones lie on both sides.
	lifetimes := []time.Duration{timelineLifetime, 60 * time.Second}
	hosts, seeds := []int{6, 8}, replicates
	if o.Quick {
		sizes, hosts, lifetimes, seeds = sizes[:1], hosts[:1], lifetimes[1:], 1
	}
	var list []scenario
	for _, h := range hosts {
		for _, size := range sizes {
			for _, l := range lifetimes {
				for _, p := range policies() {
					if len(o.Policies) > 0 && !slices.Contains(o.Policies, p.name) {
						continue
					}
					for i := range seeds {
						list = append(list, scenario{
							hosts: h, targets: size.targets, sessions: size.sessions, lifetime: l,
							policy: p, seed: o.Seed + uint64(i),
						})
					}
				}
			}
		}
	}
	return list
}

func runBalance(ctx context.Context, o Options) error {
	list := scenarios(o)
	if len(list) == 0 {
		return errors.Newf("no policy is named %q", o.Policies)
	}
	results := make([]*result, len(list))
	group, ctx := errgroup.WithContext(ctx)
	// Half of the processors, since the machine may have other work.
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for i, c := range list {
		group.Go(func() error {
			if ctx.Err() == nil {
				results[i] = simulate(c)
			}
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	summaries := make([]summary, len(results))
	for i, r := range results {
		summaries[i] = r.summary()
	}
	return writeBalance(o.Output, summaries, results)
}
