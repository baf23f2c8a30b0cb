//go:build review

package main

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// request is what became of a request. Times are zero for what did not happen.
type request struct {
	id, flow, outcome string
	host              netip.AddrPort
	sent, ended       time.Time
	runs              []run
}

type run struct {
	target, service string
	at              time.Time
}

// reset is a reset that a client took on an open flow.
type reset struct {
	key  flowKey
	from netip.AddrPort
	// host took the client's last packets of the flow.
	host netip.AddrPort
	at   time.Time
}

// record holds what clients, targets and the operator saw.
type record struct {
	started    time.Time
	mutex      sync.Mutex
	lines      []string
	violations []string
	requests   map[string]*request
	order      []string
	// holders are the targets at which flows are open. openings counts the targets that took an
	// opening packet of a flow, strays its packets at targets that do not hold it.
	holders  map[flowKey]netip.AddrPort
	openings map[flowKey]int
	strays   map[flowKey]int
	resets   []reset
}

func newRecord() *record {
	return &record{
		started: time.Now(), requests: map[string]*request{}, holders: map[flowKey]netip.AddrPort{}, openings: map[flowKey]int{},
		strays: map[flowKey]int{},
	}
}

// seconds returns a time since the start of the run.
func (r *record) seconds(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f s", t.Sub(r.started).Seconds())
}

// note adds a line about what was done.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, r.seconds(time.Now())+": "+fmt.Sprintf(format, arguments...))
}

// violate notes that a rule was broken.
func (r *record) violate(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, r.seconds(time.Now())+": "+fmt.Sprintf(format, arguments...))
}

// opening notes that a target took the opening packet of a flow, opened that the flow is open there.
func (r *record) opening(key flowKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.openings[key]++
}

func (r *record) opened(key flowKey, at netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.holders[key] = at
}

// stray notes that a target took a packet of a flow that it does not hold.
func (r *record) stray(key flowKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.strays[key]++
}

func (r *record) sent(id string, key flowKey, host netip.AddrPort, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[id] = &request{id: id, flow: key.client.String() + " to " + key.service.String(), host: host, sent: at}
	r.order = append(r.order, id)
}

func (r *record) ran(id, target, service string, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if q := r.requests[id]; q != nil {
		q.runs = append(q.runs, run{target, service, at})
		return
	}
	r.violations = append(r.violations, "UNASKED: "+target+" ran "+id+", which no client sent")
}

func (r *record) answered(id, outcome string, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if q := r.requests[id]; q != nil {
		q.outcome, q.ended = outcome, at
	}
}

func (r *record) tookReset(key flowKey, from, host netip.AddrPort, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.resets = append(r.resets, reset{key, from, host, at})
}

// served returns how many requests were sent in a span, and how many of them got an answer.
func (r *record) served(from, to time.Time) (sent, answered int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, q := range r.requests {
		if q.sent.Before(from) || !q.sent.Before(to) {
			continue
		}
		sent++
		if q.outcome == outcomeAnswered {
			answered++
		}
	}
	return sent, answered
}

// write writes the record and returns the number of violations.
func (r *record) write(path string) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var b strings.Builder
	for _, line := range r.lines {
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintf(&b, "\nrules broken: %d\n", len(r.violations))
	for _, line := range r.violations {
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintln(&b, "\nrequests:")
	for _, id := range r.order {
		q := r.requests[id]
		runs := make([]string, 0, len(q.runs))
		for _, ran := range q.runs {
			runs = append(runs, fmt.Sprintf("%s at %s", ran.target, r.seconds(ran.at)))
		}
		sort.Strings(runs)
		fmt.Fprintf(&b, "%s: flow %s, sent to host %s at %s, ran [%s], %s at %s\n",
			q.id, q.flow, q.host.Addr(), r.seconds(q.sent), strings.Join(runs, ", "), q.outcome, r.seconds(q.ended))
	}
	return len(r.violations), os.WriteFile(path, []byte(b.String()), 0o644)
}
