// Package replay runs the decision code of several hosts on a recorded trace
// under a virtual clock and checks the stated outcome. The same trace and seed
// give the same result, byte for byte.
package replay

import (
	"os"

	"github.com/cockroachdb/errors"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/settings"
)

// Trace is a recorded or written sequence of events with its stated outcome.
type Trace struct {
	Name string `json:"name"`
	// Property is the requirement that the trace proves, such as
	// "at_most_once".
	Property string `json:"property"`
	// GuardsAgainst says which failure the trace provokes.
	GuardsAgainst string            `json:"guards_against"`
	Seed          uint64            `json:"seed"`
	Duration      duration.Duration `json:"duration"`
	Hosts         []TraceHost       `json:"hosts"`
	// Services are created by an operator before the load starts.
	Services []configuration.ServiceDeclaration `json:"services"`
	Load     []Load                             `json:"load"`
	// ServiceTime is the mean run time of a request at a target.
	ServiceTime duration.Duration `json:"service_time"`
	Events      []Event           `json:"events"`
	Expect      []Expectation     `json:"expect"`
	// Without lists decisions that are switched off to show that the trace
	// provokes the failure; the outcome is then expected to be missed.
	Without []string `json:"without,omitempty"`
	// Follow names a session whose every step is logged.
	Follow string `json:"-"`
}

// TraceHost is a host that runs from the start.
type TraceHost struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
}

// Load is a group of callers of one service.
type Load struct {
	Service string `json:"service"`
	// Sessions is the number of sessions open at once; each ended one is
	// replaced. Zero means requests without a session.
	Sessions int `json:"sessions"`
	// Callers is the number of callers that send requests without a session.
	Callers int `json:"callers"`
	// Start is when the load begins.
	Start duration.Duration `json:"start"`
	// Stop ends the opening of new sessions and, for requests without a
	// session, the load. Zero means the end of the trace.
	Stop duration.Duration `json:"stop"`
	// Interval is the mean time between a caller's answer and next message.
	Interval duration.Duration `json:"interval"`
	// Length is the mean number of messages of a session.
	Length int `json:"length"`
	// NonIdempotent is the share of requests that must run at most once.
	NonIdempotent float64 `json:"non_idempotent"`
	// Patience is how long a caller waits for one attempt.
	Patience duration.Duration `json:"patience"`
	// Repeats is how often a caller repeats a request without an answer.
	Repeats int `json:"repeats"`
	// Unmarked callers do not mark their repeats as such.
	Unmarked bool `json:"unmarked"`
	// DuplicateShare is the share of requests that the network delivers to a
	// second host as well.
	DuplicateShare float64 `json:"duplicate_share"`
}

// Event is one step of a trace.
type Event struct {
	At   duration.Duration `json:"at"`
	Kind string            `json:"kind"`
	// Host, Target, Service and DataCentre name the subject, by kind.
	Host       string `json:"host,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Service    string `json:"service,omitempty"`
	Target     string `json:"target,omitempty"`
	// Between names the two sides of a cut: hosts, data centres or "platform".
	Between []string `json:"between,omitempty"`
	// For is how long the condition lasts. Zero means until the end.
	For duration.Duration `json:"for,omitempty"`
	// Delay is the additional time of a slow platform or target.
	Delay duration.Duration `json:"delay,omitempty"`
	// Join, Declaration and Force belong to the operators' events.
	Join        *configuration.TargetDeclaration  `json:"join,omitempty"`
	Declaration *configuration.ServiceDeclaration `json:"declaration,omitempty"`
	Force       bool                              `json:"force,omitempty"`
	// Operation is the identity of an operator's change; by default one is made
	// from the time and kind.
	Operation string `json:"operation,omitempty"`
	// Status is the expected answer to an operator's change, by default "applied".
	Status configuration.CommitStatus `json:"status,omitempty"`
}

// Expectation bounds a measure.
type Expectation struct {
	Measure string   `json:"measure"`
	Max     *float64 `json:"max,omitempty"`
	Min     *float64 `json:"min,omitempty"`
}

// LoadTrace reads a trace file.
func LoadTrace(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the trace")
	}
	t, err := ParseTrace(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return t, nil
}

// ParseTrace decodes a trace. Unknown fields, kinds and measures are errors.
func ParseTrace(data []byte) (*Trace, error) {
	var t Trace
	if problems := settings.Decode(data, &t); len(problems) > 0 {
		return nil, problems
	}
	if t.Duration <= 0 || len(t.Hosts) == 0 {
		return nil, errors.New("a trace needs a duration and at least one host")
	}
	for i, e := range t.Events {
		if eventKinds[e.Kind] == nil {
			return nil, errors.Newf("events[%d].kind: %q is unknown", i, e.Kind)
		}
	}
	if len(t.Expect) == 0 {
		return nil, errors.New("a trace needs at least one expectation")
	}
	for i, x := range t.Expect {
		if _, known := (&Result{}).Measures()[x.Measure]; !known {
			return nil, errors.Newf("expect[%d].measure: %q is unknown", i, x.Measure)
		}
		if x.Max == nil && x.Min == nil {
			return nil, errors.Newf("expect[%d]: needs max or min", i)
		}
	}
	for i, name := range t.Without {
		if !switches[name] {
			return nil, errors.Newf("without[%d]: %q is unknown", i, name)
		}
	}
	return &t, nil
}
