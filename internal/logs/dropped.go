package logs

import "sync"

// Dropped passes the number of dropped lines to a counter that is set later,
// since a logger exists before the metrics that count its lines. The zero
// value is ready for use.
type Dropped struct {
	mutex   sync.Mutex
	count   func()
	pending int
}

// Add counts a line. It may be the last parameter of New.
func (d *Dropped) Add() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.count == nil {
		d.pending++
		return
	}
	d.count()
}

// Bind sets the counter and passes it the lines that were dropped before.
func (d *Dropped) Bind(count func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.count = count
	for ; d.pending > 0; d.pending-- {
		count()
	}
}
