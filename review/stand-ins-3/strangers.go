package main

import (
	"syscall"
	"time"
)

// strangers plays flows that stay open while the links of a zone lose packets for some seconds and
// a machine is added after that. The machines that its seeds name have been removed before.
func strangers(w *world, t trouble) error {
	if err := startDeployment(w, map[string]int{"a": 3, "b": 2, "c": 3}); err != nil {
		return err
	}
	if t.includes("seeds") {
		for _, number := range w.seedNumbers {
			h := w.hosts[number-1]
			h.stop(syscall.SIGTERM)
			w.fabric.remove(h)
		}
	}
	// The other hosts count the removed ones out.
	time.Sleep(contact + time.Second)
	c, err := w.startClientAt(1, "c")
	if err != nil {
		return err
	}
	flows := openFlows(w, c, t.includes("loss"))
	added, err := w.addHost(len(w.hosts)+1, "c", w.seeds(), false)
	if err != nil {
		return err
	}
	if err := added.start(); err != nil {
		return err
	}
	w.fabric.add(added)
	flows.Wait()
	return nil
}
