package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oriolevalve/internal/configuration"
)

const (
	pollInterval = 30 * time.Second
	drainTimeout = 30 * time.Second
	// servicesAt is when the operator creates the services of a trace.
	servicesAt = 5 * time.Second
	// leavingLimit is how long after its acceptance a drain may still let new
	// sessions through.
	leavingLimit = 3 * time.Second
	// fabricLag is how long the fabric still sprays to a host that has ended.
	fabricLag = 2 * time.Second
)

// switches are the decisions that a trace can run without.
var switches = map[string]bool{
	"handover": true, "consult": true, "permit": true, "outcome": true,
	"deduplication": true,
}

type world struct {
	scheduler
	trace    *Trace
	random   *rand.Rand
	nodes    map[string]*node
	order    []*node
	cuts     []cut
	platform *platform
	targets  map[string]*targetModel
	callers  []*session
	attempts map[string]*message
	messages []*message
	result   Result
	start    time.Time

	acceptedAt map[uint64]time.Time
	// drainedAt is the acceptance of the drain of a target, by address.
	drainedAt map[string]time.Time
	impaired  map[string]time.Time
	current   *configuration.Configuration
	// failures are the times of unplanned events on hosts and networks.
	failures []time.Time
	samples  []float64
	// inForce holds the times from acceptance to adoption in seconds.
	inForce   []float64
	latencies []float64
}

// Run replays a trace and returns what happened.
func Run(t *Trace) *Result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		scheduler: scheduler{now: start}, trace: t, start: start,
		random: rand.New(rand.NewPCG(t.Seed, 2)), nodes: map[string]*node{},
		targets: map[string]*targetModel{}, attempts: map[string]*message{},
		acceptedAt: map[uint64]time.Time{}, drainedAt: map[string]time.Time{},
		impaired: map[string]time.Time{}, current: &configuration.Configuration{},
	}
	w.platform = newPlatform(w)
	for _, h := range t.Hosts {
		w.startNode(h.ID, h.DataCentre)
	}
	if len(t.Services) > 0 {
		w.after(servicesAt, w.createServices)
	}
	for i := range t.Events {
		e := &t.Events[i]
		w.after(e.At.Std(), func() {
			w.log("event %s %s%s%s %v", e.Kind, e.Host, e.Service, e.Target, e.Between)
			eventKinds[e.Kind](w, e)
		})
	}
	for i := range t.Load {
		w.startLoad(&t.Load[i])
	}
	w.after(time.Second, w.sample)
	w.runUntil(start.Add(t.Duration.Std()))
	w.finish()
	return &w.result
}

func (w *world) without(name string) bool { return slices.Contains(w.trace.Without, name) }

func (w *world) log(format string, arguments ...any) {
	w.result.Log = append(w.result.Log, fmt.Sprintf("%10.4f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, arguments...))
}

// adopted checks that revisions rise and measures the time until in force.
func (w *world) adopted(n *node, s *configuration.State) {
	revision := s.Revision()
	if revision <= n.revision {
		w.result.Regressions++
	}
	for r := n.revision + 1; r <= revision; r++ {
		accepted, known := w.acceptedAt[r]
		if !known || accepted.Before(w.start) {
			continue
		}
		from := accepted
		if w.impaired[n.id].After(from) {
			from = w.impaired[n.id]
		}
		if n.revision > 0 || r == revision {
			w.inForce = append(w.inForce, w.now.Sub(from).Seconds())
		}
	}
	n.revision = revision
	w.log("%s has revision %d", n.id, revision)
}

// accepted records a change that took effect in the platform.
func (w *world) accepted(c *configuration.Configuration) {
	w.acceptedAt[c.Revision] = w.now
	w.current = c
	for i := range c.Services {
		s := &c.Services[i]
		for _, t := range s.Targets {
			m := w.targets[t.Address]
			if m == nil {
				m = &targetModel{w: w, address: t.Address, alive: true, running: map[uint64]func(){}}
				w.targets[t.Address] = m
			}
			m.name, m.service, m.dataCentre, m.slots = t.Name, s.Name, t.DataCentre, t.Slots
			_, draining := w.drainedAt[t.Address]
			switch {
			case t.State == configuration.TargetDraining && !draining:
				w.drainedAt[t.Address] = w.now
			case t.State == configuration.TargetJoined:
				delete(w.drainedAt, t.Address)
			}
		}
	}
	w.log("revision %d accepted", c.Revision)
}

const (
	// copyTime is the longest time from the opening of a session until its
	// record is at the backup: the copy interval of 500 ms, a tick and a delay.
	copyTime = 700 * time.Millisecond
	// unsettledTime is how long hosts may disagree about owners after a failure.
	unsettledTime = 10 * time.Second
)

// explained reports whether a failure explains that a session has moved: its
// record had not been copied yet, or hosts disagreed when it was opened.
func (w *world) explained(c *session) bool {
	for _, k := range w.cuts {
		// Neither side of a cut knows the sessions that the other one opens.
		if !c.openedAt.Before(k.since.Add(-copyTime)) && (k.until.IsZero() || c.openedAt.Before(k.until.Add(unsettledTime))) {
			return true
		}
	}
	for _, at := range w.failures {
		if !c.openedAt.Before(at.Add(-copyTime)) && c.openedAt.Before(at.Add(unsettledTime)) {
			return true
		}
	}
	return false
}

func (w *world) failed() { w.failures = append(w.failures, w.now) }

// sample measures the imbalance of open sessions across joined targets.
func (w *world) sample() {
	w.after(time.Second, w.sample)
	if w.now.Sub(w.start) < w.trace.Duration.Std()/2 {
		return
	}
	for i := range w.current.Services {
		s := &w.current.Services[i]
		open := map[string]int{}
		total, joined, busiest := 0, 0, 0
		for _, c := range w.callers {
			if c.load.Service == s.Name && c.open && c.target != "" {
				open[c.target]++
			}
		}
		for _, t := range s.Targets {
			if t.State != configuration.TargetJoined {
				continue
			}
			joined++
			total += open[t.Address]
			busiest = max(busiest, open[t.Address])
		}
		if total > 0 {
			w.samples = append(w.samples, float64(busiest)*float64(joined)/float64(total))
		}
	}
}

// finish takes the measures that are only known at the end.
func (w *world) finish() {
	r := &w.result
	for _, c := range w.callers {
		r.Sessions++
		if c.moved {
			r.Moved++
		}
		if c.moved || c.lostMessage {
			r.BrokenSessions++
		}
	}
	for _, m := range w.messages {
		r.Requests++
		if m.nonIdempotent && m.runs > 1 {
			r.Doubled++
		}
		switch {
		case m.answered:
			r.Answered++
			if m.runs == 0 {
				r.Lost++
			}
		case m.finished && m.notRun:
			r.NotRun++
		case m.finished:
			r.Unknown++
		}
		if m.falseNotRun() {
			r.FalseNotRun++
			w.log("%s was told not run, but ran", m.id)
		}
	}
	head := w.platform.headRevision()
	for _, n := range w.nodes {
		if n.alive && !n.paused && n.revision < head {
			r.Behind++
		}
	}
	r.AuditMismatches = w.platform.auditMismatches()
	for _, s := range w.samples {
		r.Imbalance += s / float64(len(w.samples))
	}
	r.ResponseP99 = quantile(w.latencies, 0.99)
	r.InForceP50, r.InForceP99, r.InForce = quantile(w.inForce, 0.5), quantile(w.inForce, 0.99), quantile(w.inForce, 1)
	r.PlatformCalls = float64(w.platform.calls) / w.trace.Duration.Std().Seconds()
	for _, n := range w.nodes {
		if n.alive && n.watching {
			r.Watches++
		}
	}
}

// quantile returns the value below which the given share of the values lies;
// zero without values. It sorts them.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}
