//go:build review

// Command 1 lets another writer add entries whose service no configuration names, under
// the identifiers of live targets with a suffix. It looks for open flows whose packets
// reach other targets and not their own.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"oriolevalve/platform/standin"
	"oriolevalve/review/harness"
)

const (
	targets      = 4
	workers      = 8
	work         = 25 * time.Millisecond
	requestLimit = 5 * time.Second
	calmTime     = 5 * time.Second
	playTime     = 20 * time.Second
	// flowTime is the bound flowMs, flowPackets the number of packets, of the rule.
	flowTime    = 2 * time.Second
	flowPackets = 3
)

var routes = []harness.Route{
	{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Type: "non_idempotent"},
	{Address: netip.MustParseAddrPort("198.18.0.2:443"), Service: "photos", Type: "upload"},
}

func main() { harness.Main(play) }

func play(r *harness.Record, trouble bool) error {
	f, err := harness.NewFleet(r, "a", "b", "c", "a", "b", "c")
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Configure(1, routes...); err != nil {
		return err
	}
	zones := []string{"a", "b", "c"}
	byService := map[string][]*harness.Target{}
	for i := range targets {
		for _, route := range routes {
			t, err := f.StartTarget(route.Service, zones[i%len(zones)], work)
			if err != nil {
				return err
			}
			byService[route.Service] = append(byService[route.Service], t)
		}
	}
	if err := f.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	var group sync.WaitGroup
	for i, zone := range zones {
		c, err := f.StartClient(zone, i+1)
		if err != nil {
			return err
		}
		for w := range workers {
			group.Go(func() { request(c, fmt.Sprintf("%s%d", zone, w), ended) })
		}
	}
	time.Sleep(calmTime)
	if trouble {
		// A copy of an entry from an earlier life of each target: the service is no longer
		// configured, and the address has gone to a target of the other service.
		for i, t := range byService["desk"] {
			entry := map[string]any{
				"service": "desk-old", "address": byService["photos"][i].Address, "zone": t.Zone, "version": "v0", "slots": 2,
				"state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1_785_000_000_000,
			}
			name := t.Name + ".orig"
			r.Write("other writer: servers/%s %v", name, entry)
			if err := f.Store.Put("servers", name, entry); err != nil {
				return err
			}
		}
	}
	time.Sleep(playTime)
	close(ended)
	group.Wait()
	served := check(r, f)
	fmt.Println("served", served)
	if served == 0 {
		return errors.New("nothing was served")
	}
	return nil
}

// request plays a client that keeps a flow for many requests.
func request(c *harness.Client, name string, ended chan struct{}) {
	for i := 0; ; i++ {
		flow, err := c.Open(routes[0].Address, nil)
		for j := 0; err == nil; j++ {
			select {
			case <-ended:
				flow.Close()
				return
			case <-time.After(time.Duration(200+rand.IntN(200)) * time.Millisecond):
			}
			id := fmt.Sprintf("%s-%d-%d", name, i, j)
			_, err = flow.Do(standin.Request{ID: id, Body: id}, requestLimit)
		}
		if flow != nil {
			flow.Forget()
		}
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// check notes each open flow of which, for flowTime, three packets or more reached other
// targets and none its own, although its own target serves.
func check(r *harness.Record, f *harness.Fleet) (served int) {
	packets := map[harness.FlowKey][]arrival{}
	for _, t := range f.Targets() {
		for _, count := range t.Runs() {
			served += count
		}
		for key, times := range t.Reached() {
			for _, at := range times {
				packets[key] = append(packets[key], arrival{at, t})
			}
		}
	}
	for key, list := range packets {
		slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
		checkFlow(r, key, list)
	}
	return served
}

type arrival struct {
	at     time.Time
	target *harness.Target
}

// checkFlow looks for a span without a packet at the flow's own target: the one that got the
// end of the handshake.
func checkFlow(r *harness.Record, key harness.FlowKey, list []arrival) {
	var own *harness.Target
	for _, a := range list {
		if a.target.Opened(key) {
			own = a.target
		}
	}
	if own == nil {
		return
	}
	var first time.Time
	elsewhere := 0
	for _, a := range list {
		if a.target == own {
			elsewhere = 0
			continue
		}
		if elsewhere == 0 {
			first = a.at
		}
		elsewhere++
		if elsewhere >= flowPackets && a.at.Sub(first) >= flowTime {
			r.Violate("FLOW: %d packets of %s to %s, open at %s, reached %s (service %s) in %s and none its own target",
				elsewhere, key.Client, key.Service, own.Name, a.target.Name, a.target.Service, a.at.Sub(first).Round(time.Millisecond))
			return
		}
	}
}
