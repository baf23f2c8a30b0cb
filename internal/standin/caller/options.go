// Package caller is the stand-in for callers and the load tool: it opens
// sessions, sends their messages through any host, repeats what was not
// answered, and compares the answers with the targets' application records.
package caller

import (
	"context"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/standin/fabric"
	"oriolevalve/internal/standin/record"

	"github.com/cockroachdb/errors"
)

// Options describe a run. Shares are from 0 to 1.
type Options struct {
	// Seed determines sessions, think times, bodies and the spray.
	Seed uint64
	// Sprayer chooses the host of each attempt.
	Sprayer *fabric.Sprayer
	// Service is the name or address of the service of the sessions.
	Service string
	// Method is the full gRPC method name.
	Method string
	// Name is the name of the caller in the metadata and the prefix of session
	// keys and identities. Runs that overlap need different names.
	Name string
	// Sessions is the number of sessions that are open at once; Messages is the
	// number of messages of each session.
	Sessions int
	Messages int
	// Duration is the time during which new sessions are begun. Sessions in
	// progress end with their last message. Zero means one round of sessions.
	Duration time.Duration
	// Think is the mean time between two messages of a session.
	Think time.Duration
	// IdleShare is the share of sessions that pause once for IdleTime.
	IdleShare float64
	IdleTime  time.Duration
	// IdempotentShare is the share of messages that may run twice.
	IdempotentShare float64
	// BodySize is the size of a message's body in bytes.
	BodySize int
	// PhotoService is the service of photo uploads; PhotoShare is the share of
	// messages that are followed by an upload without a session of PhotoSize bytes.
	PhotoService string
	PhotoShare   float64
	PhotoSize    int
	// Repeats is the largest number of repeats of a message. RepeatPause is the
	// mean pause before the first repeat; it doubles up to 32 times.
	Repeats     int
	RepeatPause time.Duration
	// CarelessShare is the share of sessions that repeat an unknown outcome
	// without a mark.
	CarelessShare float64
	// Timeout is the deadline of one attempt.
	Timeout time.Duration
	// Records returns the application records of all targets after the run. Nil
	// leaves out the comparison.
	Records func(context.Context) ([]record.Record, error)
	Clock   clock.Clock
}

func (o *Options) validate() error {
	switch {
	case o.Sprayer == nil || o.Service == "" || o.Clock == nil:
		return errors.New("hosts, service and clock are required")
	case o.Sessions < 1 || o.Messages < 1:
		return errors.New("sessions and messages must be at least 1")
	case o.Timeout <= 0:
		return errors.New("the timeout must be above 0")
	case o.PhotoShare > 0 && o.PhotoService == "":
		return errors.New("photo uploads need their service")
	case o.Repeats < 0 || o.BodySize < 0 || o.PhotoSize < 0:
		return errors.New("repeats and sizes must not be negative")
	}
	for _, share := range []float64{o.IdleShare, o.IdempotentShare, o.PhotoShare, o.CarelessShare} {
		if !(share >= 0 && share <= 1) {
			return errors.New("shares must be from 0 to 1")
		}
	}
	return nil
}
