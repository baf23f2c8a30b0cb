//go:build review

// Command 2 plays planned work only: hosts are restarted one after the other while the
// targets of their zone are replaced. It looks for open flows that a host resets although
// their target serves.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"oriolevalve/platform/standin"
	"oriolevalve/review/harness"
)

const (
	targetsPerZone  = 2
	workersPerZone  = 40
	requestsPerFlow = 4
	work            = 5 * time.Millisecond
	requestLimit    = 2500 * time.Millisecond
	playTime        = 95 * time.Second
	// Pauses between steps of planned work. A restart takes more than two seconds of its own.
	restartPause = 200 * time.Millisecond
	replacePause = 770 * time.Millisecond
)

var routes = []harness.Route{
	{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Type: "non_idempotent"},
	{Address: netip.MustParseAddrPort("198.18.0.2:443"), Service: "photos", Type: "upload"},
}

func main() { harness.Main(play) }

func play(r *harness.Record, trouble bool) error {
	f, err := harness.NewFleet(r, strings.Split(strings.Repeat("abc", 8), "")...)
	if err != nil {
		return err
	}
	defer f.Close()
	zones := []string{"a", "b", "c"}
	if err := f.Configure(1, routes...); err != nil {
		return err
	}
	for range targetsPerZone {
		for _, zone := range zones {
			for _, route := range routes {
				if _, err := f.StartTarget(route.Service, zone, work); err != nil {
					return err
				}
			}
		}
	}
	if err := f.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	var workers sync.WaitGroup
	var served, failed int
	var mutex sync.Mutex
	for i, zone := range zones {
		c, err := f.StartClient(zone, i+1)
		if err != nil {
			return err
		}
		for w := range workersPerZone {
			for _, route := range routes {
				workers.Go(func() {
					s, l := request(c, route.Address, fmt.Sprintf("%s%s%d", route.Service, zone, w), ended)
					mutex.Lock()
					defer mutex.Unlock()
					served, failed = served+s, failed+l
				})
			}
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		err = change(f)
	} else {
		time.Sleep(playTime)
	}
	close(ended)
	workers.Wait()
	r.Write("served %d failed %d", served, failed)
	fmt.Println("served", served, "failed", failed)
	f.Logs(`"reason":"target_gone","tag":`)
	if served == 0 {
		return errors.New("nothing was served")
	}
	return err
}

// change restarts hosts in turn. Meanwhile the targets of the host's zone are replaced one
// after the other: the new one starts first, the old one drains.
func change(f *harness.Fleet) error {
	end := time.Now().Add(playTime)
	var replacing sync.WaitGroup
	zone, mutex := f.Hosts[0].Zone, sync.Mutex{}
	for _, route := range routes {
		replacing.Go(func() {
			for ; time.Now().Before(end); time.Sleep(replacePause) {
				mutex.Lock()
				z := zone
				mutex.Unlock()
				replace(f, route.Service, z)
			}
		})
	}
	defer replacing.Wait()
	for i := 0; time.Now().Before(end); i++ {
		h := f.Hosts[i%len(f.Hosts)]
		mutex.Lock()
		zone = h.Zone
		mutex.Unlock()
		if err := h.Restart(); err != nil {
			return err
		}
		time.Sleep(restartPause)
	}
	return nil
}

// replace starts a target in a zone and drains the one that has served longest there.
func replace(f *harness.Fleet, service, zone string) {
	old := f.Oldest(service, zone)
	if _, err := f.StartTarget(service, zone, work); err != nil {
		f.Record.Write("no target: %v", err)
		return
	}
	if old != nil {
		old.Retire()
	}
}

// request plays a client that makes some requests on each flow.
func request(c *harness.Client, address netip.AddrPort, name string, ended chan struct{}) (served, failed int) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return served, failed
		case <-time.After(time.Duration(rand.IntN(20)) * time.Millisecond):
		}
		flow, err := c.Open(address, nil)
		if err != nil {
			failed++
			continue
		}
		for j := range requestsPerFlow {
			id := fmt.Sprintf("%s-%d-%d", name, i, j)
			_, err := flow.Do(standin.Request{ID: id, Body: id}, requestLimit)
			if errors.Is(err, harness.ErrReset) {
				flow.CheckReset(id)
			}
			if err != nil {
				if !errors.Is(err, harness.ErrClosed) {
					failed++
				}
				break
			}
			served++
			time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
		}
		flow.Close()
	}
}
