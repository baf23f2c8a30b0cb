//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// The case of a host that pauses while clients open flows, and is stopped by plan later.
const (
	// openingRate is the number of new flows a second of the clients' zone, a thousand for each host.
	openingRate = 3000
	openingSpan = 1300 * time.Millisecond
	// pauseAt is the time from the first flow until the pause, pauseSpan its length. The fabric misses
	// one answer of the host at most, so it stays in rotation.
	pauseAt   = 500 * time.Millisecond
	pauseSpan = 650 * time.Millisecond
	// calm is contactMs with a reserve: after it the paused host is in touch again.
	calm = 4500 * time.Millisecond
	// outOfRotation is the time after SIGTERM by which the fabric sends a host nothing more.
	outOfRotation = 2 * time.Second
	requestLimit  = 2500 * time.Millisecond
)

// pauseAndStop plays the case. Without trouble the host does not pause.
func pauseAndStop(f *fleet, trouble bool) error {
	paused := f.hosts[0]
	opened := make(chan struct{})
	go func() {
		f.openFlows(openingRate, openingSpan, false)
		close(opened)
	}()
	time.Sleep(pauseAt)
	if trouble {
		paused.signal(syscall.SIGSTOP)
	}
	time.Sleep(pauseSpan)
	if trouble {
		paused.signal(syscall.SIGCONT)
	}
	<-opened
	time.Sleep(calm)
	f.record.note("planned stop of host %s", paused.name)
	stopped := make(chan struct{})
	go func() {
		paused.stop()
		close(stopped)
	}()
	time.Sleep(outOfRotation)
	judged := time.Now()
	count := 0
	for _, c := range f.clients {
		count += c.askAgain()
	}
	f.record.note("clients send another request on %d open flows", count)
	time.Sleep(requestLimit + 500*time.Millisecond)
	<-stopped
	f.judgeFlows(judged, paused)
	return nil
}

// openFlows opens flows at a rate for a time, evenly.
func (f *fleet) openFlows(rate int, span time.Duration, closeAfter bool) {
	started := time.Now()
	total := int(float64(rate) * span.Seconds())
	for i := range total {
		time.Sleep(time.Until(started.Add(span * time.Duration(i) / time.Duration(total))))
		f.clients[i%len(f.clients)].open(f.desk, closeAfter, requestLimit)
	}
}

// judgeFlows checks FLOW (a) from a time on: no client gets a reset on an open flow that the flow's
// target did not send. All targets live and are undisturbed. Resets on packets that the disturbed
// host took, if one is given, are left out.
func (f *fleet) judgeFlows(from time.Time, disturbed *host) {
	f.record.mutex.Lock()
	resets := f.record.resets
	f.record.mutex.Unlock()
	for _, r := range resets {
		f.record.mutex.Lock()
		holder := f.record.holders[r.key]
		openings, strays := f.record.openings[r.key], f.record.strays[r.key]
		f.record.mutex.Unlock()
		what := fmt.Sprintf("flow %s to %s, open at target %s: reset from %s at %s; its opening went to %d targets, %d of its packets to others, through host %s",
			r.key.client, r.key.service, holder.Addr(), r.from.Addr(), f.record.seconds(r.at), openings, strays, r.host.Addr())
		switch {
		case r.from == holder || !holder.IsValid():
		case r.at.Before(from) || disturbed != nil && r.host == disturbed.packets:
			f.record.note("not judged: %s", what)
		default:
			f.record.violate("FLOW: %s", what)
		}
	}
}
