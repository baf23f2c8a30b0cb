package configcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Kind says what is wrong with an entry.
type Kind string

// The kinds of findings.
const (
	// Error means that the entry, or the whole configuration, has no effect as written.
	Error Kind = "error"
	// NeverMatches means that no flow can ever reach the entry.
	NeverMatches Kind = "never_matches"
	// Contradiction means that one limit makes another one pointless.
	Contradiction Kind = "contradiction"
)

// Finding is one thing that a check found.
type Finding struct {
	Kind Kind `json:"kind"`
	// Path names the entry as in the file; Line is its line, counted from 1, or 0 if the file
	// has none for it.
	Path   string `json:"path"`
	Line   int    `json:"line,omitempty"`
	Reason string `json:"reason"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Kind, f.Path, f.Reason)
}

// Difference is an entry that differs from the version in force. A side that lacks the entry is
// empty.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Report is the outcome of a check.
type Report struct {
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
}

// sort orders findings by line and differences by path.
func (r *Report) sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	slices.SortStableFunc(r.Differences, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
}
