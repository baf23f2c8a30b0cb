package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"oriolevalve/internal/standin/record"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// outcome is what the caller knows about an attempt or a message.
type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not_run"
	unknown  outcome = "unknown"
	// notSent means that no host was connected.
	notSent outcome = "not_sent"
)

// message is one request of the caller model, which may take several attempts.
type message struct {
	service    string
	session    string
	sequence   uint64
	end        bool
	identity   string
	idempotent bool
	careless   bool
	body       []byte
	// planned is the time at which the message was due. Latency counts from it,
	// so that a slow answer does not hide the wait of the messages behind it.
	planned time.Time
}

// result is what happened to a message.
type result struct {
	message *message
	outcome outcome
	reason  string
	code    codes.Code
	// record is the target's answer; nil if it isn't a whole answer to this message.
	record *record.Record
	// attempts counts those that reached a host; possible counts those that may
	// have run.
	attempts int
	possible int
	latency  time.Duration
}

// send makes attempts until the message is answered or the repeats are used up.
// A careful caller marks a repeat after an unknown outcome. After not_run it
// repeats unmarked, since nothing ran, and a marked repeat whose identity is
// not known would not be run.
func (r *runner) send(ctx context.Context, m *message, random *rand.Rand) result {
	outcomeOf := result{message: m}
	mark, excluded := 0, ""
	for attempt := 0; ; attempt++ {
		address := r.options.Sprayer.Next(excluded)
		r.attempt(ctx, address, m, mark, &outcomeOf)
		if outcomeOf.outcome != notSent {
			outcomeOf.attempts++
		}
		if outcomeOf.outcome == answered || outcomeOf.outcome == unknown {
			outcomeOf.possible++
		}
		if outcomeOf.outcome == answered || attempt == r.options.Repeats || ctx.Err() != nil {
			break
		}
		if outcomeOf.outcome == unknown && !m.careless {
			mark++
		}
		excluded = address
		r.pause(ctx, attempt, random)
	}
	outcomeOf.latency = r.options.Clock.Now().Sub(m.planned)
	if outcomeOf.possible > 0 && outcomeOf.outcome != answered {
		// An earlier attempt may have run, whatever the last one says.
		outcomeOf.outcome = unknown
	}
	return outcomeOf
}

// pause waits with full jitter, so that callers don't repeat in step.
func (r *runner) pause(ctx context.Context, attempt int, random *rand.Rand) {
	longest := r.options.RepeatPause * 2 << min(attempt, 5)
	select {
	case <-r.options.Clock.After(time.Duration(random.Float64() * float64(longest))):
	case <-ctx.Done():
	}
}

// attempt sends the message once and writes what is known into the result.
func (r *runner) attempt(ctx context.Context, address string, m *message, mark int, to *result) {
	connection, err := r.connections.ready(ctx, address)
	if err != nil {
		to.outcome, to.reason, to.code = notSent, "", codes.Unavailable
		return
	}
	pairs := metadata.Pairs(
		"oriolevalve-request-id", m.identity,
		"oriolevalve-idempotent", strconv.FormatBool(m.idempotent),
		"oriolevalve-attempt", strconv.Itoa(mark),
		"oriolevalve-caller", r.options.Name,
	)
	if m.session != "" {
		pairs.Set("oriolevalve-session", m.session)
		pairs.Set("oriolevalve-sequence", strconv.FormatUint(m.sequence, 10))
		pairs.Set("oriolevalve-session-end", strconv.FormatBool(m.end))
	}
	ctx, cancel := context.WithTimeout(metadata.NewOutgoingContext(ctx, pairs), r.options.Timeout)
	defer cancel()
	var body []byte
	var trailer metadata.MD
	err = connection.Invoke(ctx, r.options.Method, &m.body, &body, grpc.Trailer(&trailer), grpc.CallAuthority(m.service))
	to.code = status.Code(err)
	to.reason = first(trailer.Get("oriolevalve-reason"))
	switch first(trailer.Get("oriolevalve-outcome")) {
	case "answered":
		to.outcome = answered
		to.record = nil
		var answer record.Record
		if err == nil && json.Unmarshal(body, &answer) == nil {
			to.record = &answer
		}
	case "not_run":
		to.outcome = notRun
	default:
		// Without the trailer, for example after a reset, nothing is known.
		to.outcome = unknown
	}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
