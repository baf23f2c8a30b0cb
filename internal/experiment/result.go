package experiment

import (
	"slices"
	"time"

	"oriolevalve/pkg/flow"
)

// recordedInterval is the time between two counts of the recorded flows.
const recordedInterval = 10 * time.Second

// goals are the imbalance goals of section 1.2.
var goals = [...]float64{1.05, 1.15}

// phaseNames are the measured phases in their order.
var phaseNames = [...]string{"steady", "join", "drain"}

// phaseSummary describes one phase of a run. Imbalance is the busiest target
// over the mean of the targets in the table.
type phaseSummary struct {
	SessionsMean float64 `json:"sessions_mean"`
	SessionsP99  float64 `json:"sessions_p99"`
	SessionsMax  float64 `json:"sessions_max"`
	// Above is the share of the time above each goal.
	Above105 float64 `json:"above_1_05"`
	Above115 float64 `json:"above_1_15"`
	// InProgressWindow is the mean over windows, InProgressPhase that of the
	// whole phase taken as one window.
	InProgressWindow float64 `json:"in_progress_window"`
	InProgressPhase  float64 `json:"in_progress_phase"`
	// Recorded is the share of the open flows that are recorded.
	RecordedMean float64 `json:"recorded_mean"`
	RecordedMax  float64 `json:"recorded_max"`
}

// summary is the result of one run.
type summary struct {
	Policy   string  `json:"policy"`
	Bound    float64 `json:"bound"`
	Hosts    int     `json:"hosts"`
	Targets  int     `json:"targets"`
	Sessions int     `json:"sessions"`
	// Lifetime is the mean of a session in seconds.
	Lifetime float64                 `json:"lifetime"`
	Seed     uint64                  `json:"seed"`
	Phases   map[string]phaseSummary `json:"phases"`
	// SecondsTo105 and SecondsTo115 are the times from the join until the
	// imbalance first met each goal.
	SecondsTo105 float64 `json:"seconds_to_1_05"`
	SecondsTo115 float64 `json:"seconds_to_1_15"`
	// AboveLater105 and AboveLater115 are the shares of the time between that
	// moment and the drain in which the imbalance was above the goal again.
	AboveLater105 float64 `json:"above_later_1_05"`
	AboveLater115 float64 `json:"above_later_1_15"`
	// Rush is the number of sessions at the new target 10 s after the join,
	// over its fair part of the sessions that arrived in that time.
	Rush float64 `json:"rush"`
	// NewcomerPeak is the largest number of sessions at the new target over the
	// mean, until the drain.
	NewcomerPeak float64 `json:"newcomerpeak"`
}

type phase struct {
	imbalance, recorded, windows []float64
	whole                        float64
}

// point is a sample of the time line.
type point struct {
	at                  time.Duration
	imbalance, newcomer float64
}

type result struct {
	scenario
	phases   [len(phaseNames)]phase
	timeline []point
	// windowStart and phaseStart are the integrals of the requests in progress
	// at the start of the window and of the phase.
	windowStart, phaseStart []busyTarget
	reached                 [len(goals)]time.Duration
	rush, newcomerPeak      float64
}

func (c *scenario) phaseAt(at time.Duration) int {
	switch {
	case at < c.joinAt():
		return 0
	case at < c.drainAt():
		return 1
	default:
		return 2
	}
}

// add takes a sample. The sample at the end of a phase closes its windows and
// counts as the first of the next phase.
func (r *result) add(s *simulation) {
	if at := s.now - r.steadyAt(); at%r.window() == 0 {
		if at > 0 {
			p := &r.phases[r.phaseAt(s.now-1)]
			p.windows = append(p.windows, s.busiestSince(r.windowStart))
			if s.now == r.joinAt() || s.now == r.drainAt() || s.now == r.endAt() {
				p.whole = s.busiestSince(r.phaseStart)
			}
		}
		r.windowStart = s.busyNow()
		if at == 0 || s.now == r.joinAt() || s.now == r.drainAt() {
			r.phaseStart = r.windowStart
		}
	}
	p := &r.phases[r.phaseAt(s.now)]
	var busiest, total uint32
	for _, m := range s.members {
		count := s.targets[m.ID].sessions
		busiest, total = max(busiest, count), total+count
	}
	mean := float64(total) / float64(len(s.members))
	imbalance := float64(busiest) / mean
	p.imbalance = append(p.imbalance, imbalance)
	if s.now%recordedInterval == 0 {
		recorded := 0
		for _, n := range s.live {
			if n.recorded() {
				recorded++
			}
		}
		p.recorded = append(p.recorded, float64(recorded)/float64(len(s.live)))
	}
	r.addNewcomer(s, mean, imbalance)
}

func (r *result) addNewcomer(s *simulation, mean, imbalance float64) {
	sample := point{at: s.now, imbalance: imbalance}
	if t := s.targets[s.newcomer()]; t != nil {
		sample.newcomer = float64(t.sessions) / mean
		if s.now < r.drainAt() {
			r.newcomerPeak = max(r.newcomerPeak, sample.newcomer)
		}
		for i, g := range goals {
			if r.reached[i] == 0 && s.now < r.drainAt() && imbalance <= g {
				r.reached[i] = s.now
			}
		}
		const settling = 10 * time.Second
		if s.now == r.joinAt()+settling {
			arrivals := float64(s.sessions) * float64(settling) / float64(s.lifetime)
			r.rush = float64(t.sessions) / (arrivals / float64(len(s.members)))
		}
	}
	r.timeline = append(r.timeline, sample)
}

// busyTarget is the integral of the requests in progress of a target.
type busyTarget struct {
	id   flow.TargetID
	busy float64
}

func (s *simulation) busyNow() []busyTarget {
	list := make([]busyTarget, len(s.members))
	for i, m := range s.members {
		s.targets[m.ID].integrate(s.now)
		list[i] = busyTarget{m.ID, s.targets[m.ID].busy}
	}
	return list
}

// busiestSince returns the busiest target over the mean of the requests in
// progress since the start, for the targets that were in the table then.
func (s *simulation) busiestSince(start []busyTarget) float64 {
	var busiest, total float64
	for _, before := range start {
		s.targets[before.id].integrate(s.now)
		busy := s.targets[before.id].busy - before.busy
		busiest, total = max(busiest, busy), total+busy
	}
	return busiest / (total / float64(len(start)))
}

func (r *result) summary() summary {
	out := summary{
		Policy: r.policy.name, Bound: r.policy.bound, Hosts: r.hosts, Targets: r.targets, Sessions: r.sessions, Lifetime: r.lifetime.Seconds(),
		Seed: r.seed, Phases: make(map[string]phaseSummary), Rush: r.rush, NewcomerPeak: r.newcomerPeak,
	}
	var seconds, later [len(goals)]float64
	for i, at := range r.reached {
		if at == 0 { // not reached
			seconds[i], later[i] = (r.drainAt() - r.joinAt()).Seconds(), 1
			continue
		}
		seconds[i] = (at - r.joinAt()).Seconds()
		later[i] = shareAbove(r.phases[1].imbalance[(at-r.joinAt())/sampleInterval:], goals[i])
	}
	out.SecondsTo105, out.SecondsTo115 = seconds[0], seconds[1]
	out.AboveLater105, out.AboveLater115 = later[0], later[1]
	for i := range r.phases {
		p := &r.phases[i]
		out.Phases[phaseNames[i]] = phaseSummary{
			SessionsMean: mean(p.imbalance), SessionsP99: quantile(p.imbalance, 0.99), SessionsMax: slices.Max(p.imbalance),
			Above105: shareAbove(p.imbalance, goals[0]), Above115: shareAbove(p.imbalance, goals[1]),
			InProgressWindow: mean(p.windows), InProgressPhase: p.whole,
			RecordedMean: mean(p.recorded), RecordedMax: slices.Max(p.recorded),
		}
	}
	return out
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

func shareAbove(values []float64, limit float64) float64 {
	count := 0
	for _, v := range values {
		if v > limit {
			count++
		}
	}
	return float64(count) / float64(len(values))
}
