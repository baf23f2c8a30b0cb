package replay

import (
	"container/heap"
	"time"
)

// scheduler runs functions at virtual times. Functions at equal times run in
// the order in which they were scheduled.
type scheduler struct {
	now      time.Time
	sequence uint64
	queue    timerHeap
}

type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(*timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules a function.
func (s *scheduler) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, &timer{at: s.now.Add(max(d, 0)), sequence: s.sequence, run: run})
}

// runUntil runs what is due up to the given time.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		t := heap.Pop(&s.queue).(*timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}
