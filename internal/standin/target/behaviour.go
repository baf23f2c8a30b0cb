package target

import (
	"time"

	"oriolevalve/internal/duration"

	"github.com/cockroachdb/errors"
)

// Behaviour is how a target acts. It may change while the target runs. The zero
// value answers at once and reports the truth.
type Behaviour struct {
	// ServiceTime is the time that a request takes.
	ServiceTime duration.Duration `json:"service_time"`
	// ColdTime is the time after the start in which requests take ColdFactor
	// times as long.
	ColdTime   duration.Duration `json:"cold_time"`
	ColdFactor float64           `json:"cold_factor"`
	// QueueLimit is the number of requests that may wait for a slot. Others are
	// shed before they start.
	QueueLimit int `json:"queue_limit"`
	// Shedding refuses every request before it starts.
	Shedding bool `json:"shedding"`
	// Draining refuses first messages and requests without a session.
	Draining bool `json:"draining"`
	// Health is "honest", "serving" or "not_serving"; empty is honest. An honest
	// target is not serving while it drains or sheds.
	Health string `json:"health"`
	// Load is "honest", "idle" or "full"; empty is honest.
	Load string `json:"load"`
	// Lag is the age of the health and the load that are reported.
	Lag duration.Duration `json:"lag"`
}

func (b *Behaviour) validate() error {
	if b.Health != "" && b.Health != "honest" && b.Health != "serving" && b.Health != "not_serving" {
		return errors.Newf("health %q is none of honest, serving and not_serving", b.Health)
	}
	if b.Load != "" && b.Load != "honest" && b.Load != "idle" && b.Load != "full" {
		return errors.Newf("load %q is none of honest, idle and full", b.Load)
	}
	if b.ServiceTime < 0 || b.ColdTime < 0 || b.Lag < 0 || b.QueueLimit < 0 || b.ColdFactor < 0 {
		return errors.New("times, factors and limits must not be negative")
	}
	return nil
}

// serviceTime returns the time that a request takes at an age of the target.
func (b *Behaviour) serviceTime(age time.Duration) time.Duration {
	if age < b.ColdTime.Std() && b.ColdFactor > 1 {
		return time.Duration(float64(b.ServiceTime) * b.ColdFactor)
	}
	return b.ServiceTime.Std()
}

// report is a state at a time, as the target reports it later.
type report struct {
	at         time.Time
	serving    bool
	inProgress int
	queued     int
}

// reports holds the recent states, oldest first.
type reports []report

// add appends a state and drops those that no report needs any longer.
func (r *reports) add(state report, lag time.Duration) {
	list := append(*r, state)
	for len(list) > 1 && !list[1].at.After(state.at.Add(-lag)) {
		list = list[1:]
	}
	*r = list
}

// before returns the newest state that is at least as old as the lag.
func (r reports) before(now time.Time, lag time.Duration) report {
	best := r[0]
	for _, state := range r {
		if state.at.After(now.Add(-lag)) {
			break
		}
		best = state
	}
	return best
}
