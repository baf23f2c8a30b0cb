package replay

import (
	"fmt"
	"sort"
	"strings"
)

// Result holds what happened in a replay, counted from outside the system.
type Result struct {
	// Requests counts requests, not attempts.
	Requests int
	Answered int
	// NotRun and Unknown count requests by the caller's last knowledge.
	NotRun  int
	Unknown int
	// Attempts counts what callers sent, with repeats.
	Attempts int
	// Sessions counts opened sessions, BrokenSessions those that got an answer
	// from a second target or lost a message for good.
	Sessions       int
	BrokenSessions int
	// Moved counts the broken sessions that a second target answered.
	Moved int
	// MovedReplicated counts the moved sessions that no failure explains: those
	// whose record had been copied to the backup before the failure.
	MovedReplicated int
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
	// Lost counts answers to requests that no target ran.
	Lost int
	// Misrouted counts runs at a target of another service.
	Misrouted int
	// WrongAnswers counts answers that belong to another request or are short.
	WrongAnswers int
	// FalseNotRun counts replies "not run" to requests that ran.
	FalseNotRun int
	// LateAtDraining counts new sessions at a target later than 3 s after its
	// drain was accepted.
	LateAtDraining int
	// OverSlots counts requests that arrived at a target beyond its slots.
	OverSlots int
	// Shed counts requests that targets refused.
	Shed int
	// Regressions counts hosts' changes to a lower revision.
	Regressions int
	// Behind counts hosts that end with a lower revision than the platform.
	Behind int
	// InForce is the longest time in seconds from acceptance until every host
	// that was up and connected had the revision in force.
	InForce float64
	// InForceP50 and InForceP99 are quantiles of the same time over all pairs of
	// host and revision.
	InForceP50, InForceP99 float64
	// PlatformCalls is the mean number of calls to the platform a second,
	// without waiting watches; Watches is their number at the end.
	PlatformCalls float64
	Watches       int
	// StopSeconds is the longest planned stop in seconds; CutByStop counts
	// requests in progress on a host when it ended its planned stop.
	StopSeconds float64
	CutByStop   int
	// OperatorMismatches counts operators' changes with another answer than the
	// trace states.
	OperatorMismatches int
	// AuditMismatches counts changes without an audit entry and the reverse.
	AuditMismatches int
	// Imbalance is the mean over samples of busiest target over mean, by
	// sessions, after the load has settled.
	Imbalance float64
	// ResponseP99 is the 99th percentile of the answer time in milliseconds.
	ResponseP99 float64
	// Log lists the events of the replay with their times, for comparison of
	// two runs.
	Log []string
}

// Measures returns the named figures that expectations refer to.
func (r *Result) Measures() map[string]float64 {
	return map[string]float64{
		"requests": float64(r.Requests), "answered": float64(r.Answered),
		"not_run": float64(r.NotRun), "unknown": float64(r.Unknown),
		"attempts": float64(r.Attempts), "sessions": float64(r.Sessions),
		"broken_flows": float64(r.BrokenSessions), "moved_sessions": float64(r.Moved),
		"moved_replicated": float64(r.MovedReplicated),
		"doubled":          float64(r.Doubled), "lost": float64(r.Lost),
		"misrouted": float64(r.Misrouted), "wrong_answers": float64(r.WrongAnswers),
		"false_not_run": float64(r.FalseNotRun), "late_at_draining": float64(r.LateAtDraining),
		"over_slots": float64(r.OverSlots), "shed": float64(r.Shed),
		"regressions": float64(r.Regressions), "behind": float64(r.Behind),
		"in_force_p50": r.InForceP50, "in_force_p99": r.InForceP99,
		"platform_calls_per_second": r.PlatformCalls, "watches": float64(r.Watches),
		"in_force_seconds": r.InForce, "stop_seconds": r.StopSeconds,
		"cut_by_stop": float64(r.CutByStop), "operator_mismatches": float64(r.OperatorMismatches),
		"audit_mismatches": float64(r.AuditMismatches), "imbalance": r.Imbalance,
		"response_p99_ms": r.ResponseP99,
	}
}

// Verdict is the check of one expectation.
type Verdict struct {
	Measure string
	Value   float64
	Bound   string
	Held    bool
}

// Check compares the result with the stated outcome.
func (r *Result) Check(expectations []Expectation) (verdicts []Verdict, held bool) {
	measures := r.Measures()
	held = true
	for _, x := range expectations {
		v := Verdict{Measure: x.Measure, Value: measures[x.Measure], Held: true}
		var bounds []string
		if x.Min != nil {
			bounds = append(bounds, fmt.Sprintf(">= %g", *x.Min))
			v.Held = v.Held && v.Value >= *x.Min
		}
		if x.Max != nil {
			bounds = append(bounds, fmt.Sprintf("<= %g", *x.Max))
			v.Held = v.Held && v.Value <= *x.Max
		}
		v.Bound = strings.Join(bounds, " and ")
		held = held && v.Held
		verdicts = append(verdicts, v)
	}
	return verdicts, held
}

// Text returns all measures, one a line, sorted by name.
func (r *Result) Text() string {
	measures := r.Measures()
	names := make([]string, 0, len(measures))
	for name := range measures {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%-20s %.4g\n", name, measures[name])
	}
	return b.String()
}
