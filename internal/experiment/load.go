package experiment

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"runtime"
	"slices"
	"strconv"
	"time"

	"oriolevalve/internal/packet"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// loadLength is the time for which requests arrive, loadChange that at which a pattern
// begins, loadSpan how long it lasts.
const (
	loadLength = 12 * time.Second
	loadChange = 4 * time.Second
	loadSpan   = 3 * time.Second
	// unevenLength is loadLength of the patterns in which requests or targets differ.
	unevenLength = 30 * time.Second
)

// loadPattern is a load, or a change of the targets under it.
type loadPattern struct {
	name string
	// use is the mean use of the targets' slots before the pattern begins.
	use   float64
	apply func(m *loadModel)
	// uneven is set if requests or targets differ: the run is as long as it takes to learn how.
	uneven bool
}

// length is the time for which requests arrive.
func (p *loadPattern) length() time.Duration {
	if p.uneven {
		return unevenLength
	}
	return loadLength
}

// loadPatterns are the patterns that are played.
func loadPatterns() []loadPattern {
	return []loadPattern{
		{"steady", 0.6, func(*loadModel) {}, false},
		{"crowd", 0.5, func(m *loadModel) {
			m.at(loadChange, func() { m.scale(1.7, 1.7, 1.7) })
			m.at(loadChange+loadSpan, func() { m.scale(1/1.7, 1/1.7, 1/1.7) })
		}, false},
		{"shift", 0.5, func(m *loadModel) {
			// Half of the clients of one data centre call another one.
			m.at(loadChange, func() { m.scale(0.5, 1.5, 1) })
			m.at(loadChange+loadSpan, func() { m.scale(2, 1/1.5, 1) })
		}, false},
		{"release", 0.5, func(m *loadModel) {
			count := len(m.targets) / 2
			m.every(loadChange, loadSpan/time.Duration(count), count, func(i int) { m.replace(m.targets[i]) })
		}, false},
		{"slow_third", 0.4, func(m *loadModel) {
			m.at(loadChange, func() { m.each(3, func(t *loadTarget) { t.slow = 4 }) })
			m.at(loadChange+loadSpan, func() { m.each(3, func(t *loadTarget) { t.slow = 1 }) })
		}, false},
		{"dead_quarter", 0.4, func(m *loadModel) {
			m.at(loadChange, func() { m.each(4, m.kill) })
		}, false},
		// Two kinds of like requests on long flows, a third of the targets each at a speed of 0.6, 1
		// and 1.6, and one request in 33 that takes seven times as long.
		{"uneven", 0.17, func(m *loadModel) {
			m.uneven(0.03)
		}, true},
		{"uneven_busy", 0.45, func(m *loadModel) {
			m.uneven(0.03)
		}, true},
		{"uneven_crowd", 0.3, func(m *loadModel) {
			m.uneven(0.03)
			m.at(loadChange*3, func() { m.scale(2, 2, 2) })
			m.at(loadChange*3+loadSpan, func() { m.scale(0.5, 0.5, 0.5) })
		}, true},
		{"even_long", 0.17, func(m *loadModel) {
			m.setKinds(longKinds(0.03)...)
		}, true},
		// The second kind is a sixth of the first one's work, has flows of one request and no tail.
		{"one_heavy_kind", 0.4, func(m *loadModel) {
			m.setKinds(
				loadKind{share: 0.3, work: 26 * time.Millisecond, tail: 0.03, tailFactor: 7, requests: 1},
				loadKind{share: 0.7, work: 4 * time.Millisecond, requests: 1},
			)
		}, true},
	}
}

// longKinds are two kinds of requests on long flows and short ones, with a tail.
func longKinds(tail float64) []loadKind {
	return []loadKind{
		{share: 0.78, work: 26 * time.Millisecond, tail: tail, tailFactor: 7, requests: 8, pause: 3 * time.Second},
		{share: 0.22, work: 33 * time.Millisecond, tail: tail, tailFactor: 7, requests: 2, pause: time.Second},
	}
}

// unevenSpeeds are the speeds of targets.
var unevenSpeeds = [...]float64{0.6, 1, 1.6}

// uneven makes targets differ in speed.
func (m *loadModel) uneven(tail float64) {
	for i, t := range m.targets {
		t.slow = 1 / unevenSpeeds[i/loadDataCentres%len(unevenSpeeds)]
	}
	m.setKinds(longKinds(tail)...)
}

// scale multiplies the rates of the data centres' clients.
func (m *loadModel) scale(factors ...float64) {
	for i, f := range factors {
		m.rate[i] *= f
	}
}

// each visits one of so many targets, in all data centres.
func (m *loadModel) each(one int, visit func(t *loadTarget)) {
	for i, t := range m.targets {
		if i/loadDataCentres%one == 0 {
			visit(t)
		}
	}
}

// loadResult is the outcome of a run.
type loadResult struct {
	inAim, late, failed, shed, remote int
	times                             []float64
	// lightTimes are those of the kinds after the first.
	lightTimes []float64
}

// loadRow is a run with its figures.
type loadRow struct {
	Pattern   string `json:"pattern"`
	Placement string `json:"placement"`
	Hosts     int    `json:"hosts"`
	Targets   int    `json:"targets"`
	Seed      uint64 `json:"seed"`
	Requests  int    `json:"requests"`
	// InAim, Late, Failed, Shed and Remote are shares of the requests; a request that a
	// target shed counts as failed too, Remote was served in another data centre.
	InAim  float64 `json:"in_aim"`
	Late   float64 `json:"late"`
	Failed float64 `json:"failed"`
	Shed   float64 `json:"shed"`
	Remote float64 `json:"remote"`
	// P50 and P99 are times of served requests in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// P99Light is that of the kinds after the first; zero if there is one.
	P99Light float64 `json:"p99_light_ms"`
	// Imbalance is the use of the busiest target over the mean, each for the time in
	// which it took new flows, of targets that did for a third of the run.
	Imbalance float64 `json:"imbalance"`
}

func playLoad(p loadPattern, name string, hosts, targets int, seed uint64) loadRow {
	m := newLoadModel(hosts, targets, p.use, seed)
	p.apply(m)
	m.run(newPlacement(name, m, seed), p.length())
	r := &m.result
	all := r.inAim + r.late + r.failed
	share := func(count int) float64 { return float64(count) / float64(all) }
	row := loadRow{
		Pattern: p.name, Placement: name, Hosts: hosts, Targets: targets, Seed: seed, Requests: all,
		InAim: share(r.inAim), Late: share(r.late), Failed: share(r.failed), Shed: share(r.shed), Remote: share(r.remote),
		P50: quantile(r.times, 0.5), P99: quantile(r.times, 0.99),
	}
	if len(r.lightTimes) > 0 {
		row.P99Light = quantile(r.lightTimes, 0.99)
	}
	var uses []float64
	for _, t := range m.targets {
		if t.lived > p.length()/3 && t.State != packet.Accepting {
			uses = append(uses, t.busy.Seconds()/t.lived.Seconds())
		}
	}
	var sum float64
	for _, use := range uses {
		sum += use
	}
	row.Imbalance = slices.Max(uses) / (sum / float64(len(uses)))
	return row
}

// runLoad plays patterns of load through the planes of packet hosts and through simpler
// placements.
func runLoad(ctx context.Context, o Options) error {
	type size struct{ hosts, targets int }
	sizes, unevenSizes := []size{{8, 18}, {91, 150}, {295, 480}}, []size{{8, 18}, {88, 120}, {300, 480}}
	seeds := replicates
	if o.Quick {
		sizes, unevenSizes, seeds = sizes[:1], unevenSizes[:1], 1
	}
	var rows []loadRow
	for i := range sizes {
		for _, p := range loadPatterns() {
			if len(o.Patterns) > 0 && !slices.Contains(o.Patterns, p.name) {
				continue
			}
			size := sizes[i]
			if p.uneven {
				size = unevenSizes[i]
			}
			for _, name := range placementNames {
				if len(o.Policies) > 0 && !slices.Contains(o.Policies, name) {
					continue
				}
				for i := range seeds {
					rows = append(rows, loadRow{Pattern: p.name, Placement: name, Hosts: size.hosts, Targets: size.targets, Seed: o.Seed + uint64(i)})
				}
			}
		}
	}
	if len(rows) == 0 {
		return errors.Newf("no pattern is named %q, or no policy %q", o.Patterns, o.Policies)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for i := range rows {
		group.Go(func() error {
			r := &rows[i]
			for _, p := range loadPatterns() {
				if p.name == r.Pattern && ctx.Err() == nil {
					*r = playLoad(p, r.Placement, r.Hosts, r.Targets, r.Seed)
				}
			}
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return errors.Wrap(err, "playing loads")
	}
	if err := writeFile(o.Output, "load.jsonl", func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		for i := range rows {
			if err := encoder.Encode(&rows[i]); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return err
	}
	return writeFile(o.Output, "load.csv", func(w io.Writer) error { return writeLoad(w, rows, seeds) })
}

// writeLoad writes the means over the seeds, whose rows stand together.
func writeLoad(w io.Writer, rows []loadRow, seeds int) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{
		"hosts", "targets", "pattern", "placement", "in_aim", "late", "failed", "shed", "remote", "p50_ms", "p99_ms", "p99_light_ms", "imbalance",
	}); err != nil {
		return err
	}
	for group := range slices.Chunk(rows, seeds) {
		mean := func(value func(r *loadRow) float64, digits int) string {
			var sum float64
			for i := range group {
				sum += value(&group[i])
			}
			return strconv.FormatFloat(sum/float64(len(group)), 'f', digits, 64)
		}
		first := &group[0]
		if err := out.Write([]string{
			strconv.Itoa(first.Hosts), strconv.Itoa(first.Targets), first.Pattern, first.Placement,
			mean(func(r *loadRow) float64 { return r.InAim }, 4), mean(func(r *loadRow) float64 { return r.Late }, 4),
			mean(func(r *loadRow) float64 { return r.Failed }, 4), mean(func(r *loadRow) float64 { return r.Shed }, 4),
			mean(func(r *loadRow) float64 { return r.Remote }, 4), mean(func(r *loadRow) float64 { return r.P50 }, 1),
			mean(func(r *loadRow) float64 { return r.P99 }, 1), mean(func(r *loadRow) float64 { return r.P99Light }, 1), mean(func(r *loadRow) float64 { return r.Imbalance }, 3),
		}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
