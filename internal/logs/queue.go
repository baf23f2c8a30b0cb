package logs

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines that wait for a slow reader of the log.
const queueLines = 1024

// Queue is a sink that never blocks its writers: lines that a slow reader
// leaves no room for are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	closed  sync.Once
}

// NewQueue returns a queue in front of a writer.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines)}
	q.done.Go(func() {
		for line := range q.lines {
			if _, err := w.Write(line); err != nil {
				q.dropped.Add(1)
			}
		}
	})
	return q
}

// Write implements zapcore.WriteSyncer.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *Queue) Sync() error { return nil }

// Dropped returns the number of lines that were not written.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits. No Write may follow.
func (q *Queue) Close() {
	q.closed.Do(func() { close(q.lines) })
	q.done.Wait()
}
