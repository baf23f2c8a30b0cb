// Package host composes one host of the load balancer: Control holds the control
// state, Traffic routes requests, and Process connects both with the network.
package host

import (
	"time"

	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

// Action is an output of Traffic. The process, or a replay, performs it and
// reports the result to the method that the action names.
type Action interface{ action() }

// Dispatch sends a request to a target. The result goes to AttemptFinished,
// exactly once.
type Dispatch struct {
	ID       uint64
	Target   flow.TargetID
	Request  *target.Request
	NotAfter time.Time
}

// Cancel aborts a dispatched request whose caller has gone. Its result is
// still reported.
type Cancel struct{ ID uint64 }

// Relay sends a request to another host. The result goes to RelayFinished,
// exactly once.
type Relay struct {
	ID      uint64
	Host    string
	Request *target.Request
}

// Finish replies to the request.
type Finish struct {
	ID    uint64
	Reply target.Reply
}

// Wait asks for a call of Retry after a time.
type Wait struct {
	ID    uint64
	After time.Duration
}

// Consult asks another host. The result goes to ConsultAnswered.
type Consult struct {
	ID uint64
	// Asking is the target whose owner asks.
	Asking  flow.TargetID
	Host    string
	Request target.ConsultRequest
}

// SendHandover sends records to another host. Nothing waits for it.
type SendHandover struct {
	To       string
	Handover target.Handover
}

// Probe asks a target for its health. The result goes to ProbeFinished.
type Probe struct{ Target flow.TargetID }

// Publish gives the status of an owned target to the membership.
type Publish struct{ Status flow.TargetStatus }

func (Dispatch) action()     {}
func (Cancel) action()       {}
func (Relay) action()        {}
func (Finish) action()       {}
func (Wait) action()         {}
func (Consult) action()      {}
func (SendHandover) action() {}
func (Probe) action()        {}
func (Publish) action()      {}
