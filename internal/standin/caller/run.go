package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"oriolevalve/internal/standin/record"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

// runner holds what the sessions of one run share.
type runner struct {
	options     Options
	connections *connections

	mutex   sync.Mutex
	results []result
}

// Run plays the caller model and returns its report. The context ends the run
// early; what was sent until then is reported.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	r := &runner{options: o, connections: &connections{open: map[string]*grpc.ClientConn{}}}
	defer r.connections.close()
	start := o.Clock.Now()
	var group errgroup.Group
	for slot := range o.Sessions {
		group.Go(func() error {
			for round := 0; ; round++ {
				r.session(ctx, slot, round)
				if ctx.Err() != nil || !o.Clock.Now().Before(start.Add(o.Duration)) {
					return nil
				}
			}
		})
	}
	_ = group.Wait()
	var records []record.Record
	if o.Records != nil {
		var err error
		if records, err = o.Records(context.WithoutCancel(ctx)); err != nil {
			return nil, errors.Wrap(err, "reading the application records")
		}
	}
	return newReport(&o, r.results, records, o.Clock.Now().Sub(start)), nil
}

// session plays one session from its first message to its last.
func (r *runner) session(ctx context.Context, slot, round int) {
	o := &r.options
	random := rand.New(rand.NewPCG(o.Seed, uint64(round)<<32|uint64(slot)))
	key := fmt.Sprintf("%s-%d-%d-%d", o.Name, o.Seed, round, slot)
	idleBefore := -1
	if random.Float64() < o.IdleShare && o.Messages > 1 {
		idleBefore = 1 + random.IntN(o.Messages-1)
	}
	careless := random.Float64() < o.CarelessShare
	// The first messages are spread over one think time, as if the sessions had
	// been open for long.
	planned := o.Clock.Now().Add(think(random, o.Think))
	for sequence := range o.Messages {
		if sequence > 0 {
			planned = planned.Add(think(random, o.Think))
		}
		if sequence == idleBefore {
			planned = planned.Add(o.IdleTime)
		}
		if !r.waitUntil(ctx, planned) {
			return
		}
		m := &message{
			service: o.Service, session: key, sequence: uint64(sequence), end: sequence == o.Messages-1,
			identity: fmt.Sprintf("%s-%d", key, sequence), idempotent: random.Float64() < o.IdempotentShare,
			careless: careless, body: body(random, o.BodySize), planned: planned,
		}
		r.finish(r.send(ctx, m, random))
		if random.Float64() < o.PhotoShare {
			m := &message{
				service: o.PhotoService, identity: fmt.Sprintf("%s-%d-photo", key, sequence),
				careless: careless, body: body(random, o.PhotoSize), planned: o.Clock.Now(),
			}
			r.finish(r.send(ctx, m, random))
		}
	}
}

func (r *runner) finish(done result) {
	// The body is no longer needed; its digest is.
	done.message.body = []byte(record.Digest(done.message.body))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.results = append(r.results, done)
}

func (r *runner) waitUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(r.options.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.options.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// think draws an exponential time, at most five times the mean.
func think(random *rand.Rand, mean time.Duration) time.Duration {
	return min(time.Duration(random.ExpFloat64()*float64(mean)), 5*mean)
}

// body returns bytes that differ between messages, so that digests tell them
// apart.
func body(random *rand.Rand, size int) []byte {
	list := make([]byte, size)
	for i := 0; i < size; i += 8 {
		value := random.Uint64()
		for j := i; j < min(i+8, size); j++ {
			list[j] = byte(value)
			value >>= 8
		}
	}
	return list
}
