//go:build review

// Command 4 lets links lose some packets for a few seconds, so that some clients repeat
// their opening packet and two targets answer it. Later, in calm, hosts are restarted one
// after the other. It looks for open flows that the client sees reset by another target.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"oriolevalve/platform/standin"
	"oriolevalve/review/harness"
)

const (
	// lossyZone has no target of the service, as happens to a service with few targets.
	lossyZone      = "b"
	targetsPerZone = 6
	crowd          = 200
	workersPerZone = 20
	work           = 25 * time.Millisecond
	requestLimit   = 2500 * time.Millisecond
	// lossShare and lossTime are those of the site file's troubles.
	lossShare = 0.025
	lossTime  = 5500 * time.Millisecond
	rounds    = 5
	calmTime  = 3 * time.Second
	// playTime is that of the rounds, with three restarts of about 2.5 s in each.
	playTime = rounds * (lossTime + harness.ContactTime + 7500*time.Millisecond)
)

var address = netip.MustParseAddrPort("198.18.0.1:443")

func main() { harness.Main(play) }

func play(r *harness.Record, trouble bool) error {
	f, err := harness.NewFleet(r, "a", "b", "c", "a", "b", "c", "a", "b")
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Configure(1, harness.Route{Address: address, Service: "desk", Type: "non_idempotent"}); err != nil {
		return err
	}
	zones := []string{"a", "b", "c"}
	for range targetsPerZone {
		for _, zone := range zones {
			if zone == lossyZone {
				continue
			}
			if _, err := f.StartTarget("desk", zone, work); err != nil {
				return err
			}
		}
	}
	if err := f.Start(); err != nil {
		return err
	}
	p := &player{fleet: f, ended: make(chan struct{})}
	var group sync.WaitGroup
	for i, zone := range zones {
		c, err := f.StartClient(zone, i+1)
		if err != nil {
			return err
		}
		count := workersPerZone
		if zone == lossyZone {
			count = crowd
		}
		for w := range count {
			group.Go(func() { p.request(c, fmt.Sprintf("%s%d", zone, w)) })
		}
	}
	time.Sleep(calmTime)
	if trouble {
		err = p.disturb()
	} else {
		time.Sleep(playTime)
	}
	close(p.ended)
	group.Wait()
	fmt.Println("served", p.served, "failed", p.failed)
	if p.served == 0 {
		return errors.New("nothing was served")
	}
	return err
}

type player struct {
	fleet          *harness.Fleet
	ended          chan struct{}
	mutex          sync.Mutex
	calm           bool
	served, failed int
}

// disturb plays rounds of losses, a calm time, and restarts of the zone's hosts in turn.
func (p *player) disturb() error {
	for range rounds {
		p.fleet.Lose(lossyZone, lossShare)
		time.Sleep(lossTime)
		p.fleet.Lose(lossyZone, 0)
		time.Sleep(harness.ContactTime)
		p.setCalm(true)
		for _, h := range p.fleet.Hosts {
			if h.Zone != lossyZone {
				continue
			}
			if err := h.Restart(); err != nil {
				return err
			}
		}
		p.setCalm(false)
	}
	return nil
}

func (p *player) setCalm(calm bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calm = calm
}

func (p *player) inCalm() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calm
}

func (p *player) count(served bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if served {
		p.served++
	} else {
		p.failed++
	}
}

// request plays a client that keeps a flow for many requests, with pauses between them.
func (p *player) request(c *harness.Client, name string) {
	for i := 0; ; i++ {
		flow, err := c.Open(address, nil)
		if err != nil {
			p.count(false)
		}
		for j := 0; err == nil && j < 10+rand.IntN(20); j++ {
			select {
			case <-p.ended:
				flow.Close()
				return
			case <-time.After(time.Duration(300+rand.IntN(600)) * time.Millisecond):
			}
			id := fmt.Sprintf("%s-%d-%d", name, i, j)
			_, err = flow.Do(standin.Request{ID: id, Body: id}, requestLimit)
			if errors.Is(err, harness.ErrReset) && p.inCalm() {
				flow.CheckForeignReset(id)
			}
			if !errors.Is(err, harness.ErrClosed) {
				p.count(err == nil)
			}
		}
		if err == nil {
			flow.Close()
		} else if flow != nil {
			flow.Forget()
		}
		select {
		case <-p.ended:
			return
		case <-time.After(time.Duration(rand.IntN(100)) * time.Millisecond):
		}
	}
}
