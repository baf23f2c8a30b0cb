//go:build review

package main

import (
	"syscall"
	"time"
)

// The case of a host that pauses while clients open flows, and takes these flows again later.
const (
	// returnRate is the number of new flows a second of the clients' zone, the load of the head office.
	returnRate = 147
	// returnPause is the length of the pause, within which the fabric takes the host out of rotation.
	returnPause = 1250 * time.Millisecond
	// returnSpan is the time in which the flows are opened.
	returnSpan = 1800 * time.Millisecond
)

// pauseAndReturn plays the case. Without trouble the host does not pause.
func pauseAndReturn(f *fleet, trouble bool) error {
	paused := f.hosts[0]
	opened := make(chan struct{})
	go func() {
		f.openFlows(returnRate, returnSpan, false)
		close(opened)
	}()
	time.Sleep(pauseAt)
	if trouble {
		paused.signal(syscall.SIGSTOP)
	}
	time.Sleep(returnPause)
	if trouble {
		paused.signal(syscall.SIGCONT)
	}
	<-opened
	time.Sleep(calm)
	judged := time.Now()
	count := 0
	for _, c := range f.clients {
		count += c.askAgain()
	}
	f.record.note("clients send another request on %d open flows", count)
	time.Sleep(requestLimit + 500*time.Millisecond)
	f.judgeFlows(judged, nil)
	return nil
}
