package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The figures of the case: clients open flows for openSpan, while the links of zone c lose
// packets in lossSpan of it, make a request at once, and another one after a pause.
const (
	openSpan  = 6 * time.Second
	lossSpan  = 5 * time.Second
	lossShare = 0.03
	openCount = 480
	pause     = 12 * time.Second
	deadline  = 2 * time.Second
)

// lostMemory plays flows that stay open while the links of a zone lose packets for some seconds
// and, later, all hosts are killed at the same moment and start again.
func lostMemory(w *world, t trouble) error {
	if err := startDeployment(w, map[string]int{"a": 2, "b": 2, "c": 3}); err != nil {
		return err
	}
	c, err := w.startClientAt(1, "c")
	if err != nil {
		return err
	}
	flows := openFlows(w, c, t.includes("loss"))
	if t.includes("kill") {
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := h.start(); err != nil {
				return err
			}
		}
	}
	flows.Wait()
	return nil
}

// openFlows starts the users of flows in openSpan, while links lose packets if that is asked for.
func openFlows(w *world, c *client, loss bool) *sync.WaitGroup {
	if loss {
		w.setLoss(c.zone, lossShare)
		time.AfterFunc(lossSpan, func() { w.setLoss(c.zone, 0) })
	}
	var flows sync.WaitGroup
	for i := range openCount {
		flows.Go(func() { useFlow(w, c, i) })
		time.Sleep(openSpan / openCount)
	}
	return &flows
}

// useFlow opens a flow, makes a request, and makes another one after a pause.
func useFlow(w *world, c *client, number int) {
	f, err := c.open(evidenceAddress)
	if err != nil {
		w.record("client: flow %d: %v", number, err)
		return
	}
	for i := range 2 {
		id := fmt.Sprintf("f%d-%d", number, i)
		if err := f.do("GET", id, deadline); err != nil {
			w.record("client: request %s of %s after %d copies of the opening packet: %v", id, f.key.client, f.copies, err)
			return
		}
		w.record("client: request %s of %s is answered by %s", id, f.key.client, f.answerer)
		if i > 0 {
			break
		}
		if err := f.rest(pause); err != nil {
			w.record("client: flow %s in its pause: %v", f.key.client, err)
			return
		}
	}
	f.close()
}
