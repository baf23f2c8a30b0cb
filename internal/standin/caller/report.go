package caller

import (
	"slices"
	"time"

	"oriolevalve/internal/standin/record"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc/codes"
)

// Report is the result of a run. Counts are of messages unless stated.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	Sessions        int     `json:"sessions"`
	Requests        int     `json:"requests"`
	// Attempts counts the calls that reached a host.
	Attempts int `json:"attempts"`
	Answered int `json:"answered"`
	// AnsweredErrors counts the answers with an error of the target; they are
	// part of Answered.
	AnsweredErrors int `json:"answered_errors"`
	// NotRun, Unknown and NotSent count the messages that were given up.
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	NotSent int `json:"not_sent"`
	// Reasons counts the last reason of messages that were given up.
	Reasons map[string]int `json:"reasons"`
	// BrokenFlows counts sessions that got an answer from a target other than
	// their first, ran at two targets, or whose later message was refused for good.
	BrokenFlows int `json:"broken_flows"`
	// WrongAnswers counts answers that are not whole answers to their message.
	WrongAnswers int `json:"wrong_answers"`
	// Misrouted counts runs at, and answers of, a target of another service.
	Misrouted int `json:"misrouted"`
	// Compared tells whether the application records were compared. Without
	// them, Doubled, Lost and FalseNotRun are 0.
	Compared bool `json:"compared"`
	// Doubled counts non-idempotent messages that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts answered messages that no target ran.
	Lost int `json:"lost"`
	// FalseNotRun counts messages that ran more often than attempts may have run,
	// so an attempt was reported as not run although it ran.
	FalseNotRun int `json:"false_not_run"`
	// Imbalance is the busiest target over the mean of the targets that
	// answered, by sessions and by messages of the sessions' service.
	ImbalanceSessions float64        `json:"imbalance_sessions"`
	ImbalanceRequests float64        `json:"imbalance_requests"`
	Targets           map[string]int `json:"targets"`
	// Latency is in milliseconds, from the planned time to the answer, with the
	// repeats.
	Latency Latency `json:"latency_ms"`

	histogram *hdrhistogram.Histogram
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

// session is what a session's answers and records show.
type session struct {
	target  string
	targets map[string]bool
	broken  bool
}

func newReport(o *Options, results []result, records []record.Record, duration time.Duration) *Report {
	r := &Report{
		Seed: o.Seed, DurationSeconds: duration.Seconds(), Requests: len(results), Compared: o.Records != nil,
		Reasons: map[string]int{}, Targets: map[string]int{},
		// 1 us to 10 minutes with three digits.
		histogram: hdrhistogram.New(1, 600_000_000, 3),
	}
	sessions := map[string]*session{}
	messages := map[string]*result{}
	// Answers are judged in the order of the session.
	slices.SortStableFunc(results, func(a, b result) int {
		return int(a.message.sequence) - int(b.message.sequence)
	})
	for i := range results {
		messages[results[i].message.identity] = &results[i]
		r.count(&results[i], sessions)
	}
	if r.Compared {
		r.compare(messages, records, sessions)
	}
	r.Sessions = len(sessions)
	perTarget := map[string]int{}
	for _, s := range sessions {
		if s.broken || len(s.targets) > 1 {
			r.BrokenFlows++
		}
		if s.target != "" {
			perTarget[s.target]++
		}
	}
	r.ImbalanceSessions, r.ImbalanceRequests = imbalance(perTarget), imbalance(r.Targets)
	quantile := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	r.Latency = Latency{
		P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: float64(r.histogram.Max()) / 1000, Mean: r.histogram.Mean() / 1000,
	}
	return r
}

// count adds one message.
func (r *Report) count(done *result, sessions map[string]*session) {
	m := done.message
	r.Attempts += done.attempts
	var s *session
	if m.session != "" {
		if s = sessions[m.session]; s == nil {
			s = &session{targets: map[string]bool{}}
			sessions[m.session] = s
		}
	}
	switch done.outcome {
	case answered:
		r.Answered++
	case notRun:
		r.NotRun++
	case unknown:
		r.Unknown++
	case notSent:
		r.NotSent++
	}
	if done.outcome != answered {
		r.Reasons[done.reason]++
		// A session whose first message was refused was never open.
		if s != nil && m.sequence > 0 && done.outcome != unknown {
			s.broken = true
		}
		return
	}
	// Values above the range are cut to it by the comparison.
	_ = r.histogram.RecordValue(min(max(done.latency.Microseconds(), 1), r.histogram.HighestTrackableValue()))
	answer := done.record
	switch {
	case done.code != codes.OK:
		r.AnsweredErrors++
		return
	case answer == nil || answer.RequestID != m.identity || answer.Session != m.session ||
		answer.Sequence != m.sequence || answer.BodyDigest != string(m.body):
		r.WrongAnswers++
		return
	}
	if answer.Service != m.service {
		r.Misrouted++
	}
	if s != nil {
		if s.target == "" {
			s.target = answer.Target
		}
		s.targets[answer.Target] = true
		r.Targets[answer.Target]++
	}
}

// compare checks the application records of the run's messages.
func (r *Report) compare(messages map[string]*result, records []record.Record, sessions map[string]*session) {
	runs := map[string]int{}
	for _, run := range records {
		done := messages[run.RequestID]
		if done == nil {
			// Of another run.
			continue
		}
		runs[run.RequestID]++
		if run.Service != done.message.service {
			r.Misrouted++
		}
		if s := sessions[run.Session]; s != nil {
			s.targets[run.Target] = true
		}
	}
	for identity, done := range messages {
		n := runs[identity]
		if n > 1 && !done.message.idempotent {
			r.Doubled++
		}
		if n == 0 && done.outcome == answered && done.code == codes.OK {
			r.Lost++
		}
		if n > done.possible {
			r.FalseNotRun++
		}
	}
}

func imbalance(counts map[string]int) float64 {
	most, sum := 0, 0
	for _, n := range counts {
		most, sum = max(most, n), sum+n
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(sum)
}
