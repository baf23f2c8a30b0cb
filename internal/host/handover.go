package host

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"oriolevalve/internal/logs"
	"oriolevalve/pkg/flow"
)

// handoverQueue sends the records for each host in order: a handover that is
// complete before its records have arrived would make the new owner place open
// sessions again.
type handoverQueue struct {
	send func(ctx context.Context, a SendHandover) error
	log  *zap.Logger

	mutex   sync.Mutex
	waiting map[string][]SendHandover
	// sending holds the hosts to which a goroutine sends.
	sending map[string]bool
}

func newHandoverQueue(log *zap.Logger, send func(context.Context, SendHandover) error) *handoverQueue {
	return &handoverQueue{
		send: send, log: log, waiting: make(map[string][]SendHandover), sending: make(map[string]bool),
	}
}

// add queues a message and starts the sending goroutine if there is none.
func (q *handoverQueue) add(ctx context.Context, a SendHandover, start func(func())) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting[a.To] = append(q.waiting[a.To], a)
	if !q.sending[a.To] {
		q.sending[a.To] = true
		start(func() { q.run(ctx, a.To) })
	}
}

// run sends until nothing waits for the host. After a failure the rest of the
// target's handover is left out: without its end the new owner claims the
// records.
func (q *handoverQueue) run(ctx context.Context, to string) {
	failed := make(map[flow.TargetID]bool)
	for {
		a, more := q.take(to)
		if !more {
			return
		}
		id := a.Handover.Target
		if failed[id] {
			failed[id] = !a.Handover.Complete
			continue
		}
		if err := q.send(ctx, a); err != nil {
			failed[id] = !a.Handover.Copy
			q.log.Warn(logs.HandoverFailed, zap.String("peer", to), zap.Uint32("target", uint32(id)), zap.Error(err))
		} else if a.Handover.Complete {
			q.log.Info(logs.HandoverSent, zap.String("peer", to), zap.Uint32("target", uint32(id)))
		}
	}
}

func (q *handoverQueue) take(to string) (SendHandover, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	list := q.waiting[to]
	if len(list) == 0 {
		delete(q.waiting, to)
		delete(q.sending, to)
		return SendHandover{}, false
	}
	q.waiting[to] = list[1:]
	return list[0], true
}

// idle reports whether nothing waits and nothing is being sent.
func (q *handoverQueue) idle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.sending) == 0
}
