//go:build review

// Command 3 cuts off one target of a zone while the only host of that zone is down, so that
// hosts of other zones take it for dead. Long after it is back, the host of its zone is
// killed again. It looks for open flows that a host in touch resets although their target
// serves.
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
	// busyZone is the zone whose only host is lost. It has more clients than the others.
	busyZone       = "b"
	targetsPerZone = 5
	crowd          = 180
	workersPerZone = 24
	// slots and work are those of the fund's live status.
	slots        = 3
	work         = 55 * time.Millisecond
	requestLimit = 2500 * time.Millisecond
	// darkTime is how long a killed host stays down, cutTime how long the target is cut off.
	darkTime = 3500 * time.Millisecond
	cutTime  = 5500 * time.Millisecond
	// noticeTime is the time in which the routers notice that a host is down.
	noticeTime = 1100 * time.Millisecond
	// calmTime exceeds contactMs.
	calmTime = 6 * time.Second
	rounds   = 4
	// playTime is that of the rounds.
	playTime = rounds * (noticeTime + cutTime + calmTime + darkTime + harness.ContactTime)
)

var address = netip.MustParseAddrPort("198.18.0.1:443")

func main() { harness.Main(play) }

func play(r *harness.Record, trouble bool) error {
	f, err := harness.NewFleet(r, "a", "c", busyZone, "a", "c", "a")
	if err != nil {
		return err
	}
	defer f.Close()
	f.Slots = slots
	if err := f.Configure(1, harness.Route{Address: address, Service: "desk", Type: "idempotent"}); err != nil {
		return err
	}
	zones := []string{"a", "b", "c"}
	for range targetsPerZone {
		for _, zone := range zones {
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
		if zone == busyZone {
			count = crowd
		}
		for w := range count {
			group.Go(func() { p.request(c, fmt.Sprintf("%s%d", zone, w)) })
		}
	}
	p.troubled = time.Now()
	time.Sleep(harness.ContactTime)
	if trouble {
		err = p.disturb()
	} else {
		time.Sleep(playTime)
	}
	close(p.ended)
	group.Wait()
	fmt.Println("served", p.served, "failed", p.failed)
	f.Logs(`"event":"target_dead"`, `"reason":"target_dead"`, `"event":"target_silent"`, `"event":"target_answers"`, `"event":"data_centre_silent"`)
	if p.served == 0 {
		return errors.New("nothing was served")
	}
	return err
}

type player struct {
	fleet *harness.Fleet
	ended chan struct{}
	mutex sync.Mutex
	// troubled is the time of the end of the last disruption of a target; zero while one
	// lasts.
	troubled       time.Time
	served, failed int
}

// disturb kills the only host of a zone twice in each round, and the first time cuts off a
// target of the zone as well.
func (p *player) disturb() error {
	lost := p.fleet.Hosts[2]
	for range rounds {
		target := p.fleet.Oldest("desk", busyZone)
		p.trouble(time.Time{})
		time.AfterFunc(noticeTime, func() {
			target.Cut(true)
			time.Sleep(cutTime)
			target.Cut(false)
			p.trouble(time.Now())
		})
		if err := harness.Kill(darkTime, lost); err != nil {
			return err
		}
		time.Sleep(noticeTime + cutTime - darkTime + calmTime)
		if err := harness.Kill(darkTime, lost); err != nil {
			return err
		}
		time.Sleep(harness.ContactTime)
	}
	return nil
}

func (p *player) trouble(until time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.troubled = until
}

// calm reports whether no target was disturbed in the time after which a disruption counts
// no more.
func (p *player) calm() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.troubled.IsZero() && time.Since(p.troubled) > harness.ContactTime
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

// request plays a client that makes some requests on each flow.
func (p *player) request(c *harness.Client, name string) {
	for i := 0; ; i++ {
		flow, err := c.Open(address, nil)
		if err != nil {
			p.count(false)
		}
		for j := 0; err == nil && j < 5+rand.IntN(20); j++ {
			select {
			case <-p.ended:
				flow.Close()
				return
			case <-time.After(time.Duration(50+rand.IntN(550)) * time.Millisecond):
			}
			id := fmt.Sprintf("%s-%d-%d", name, i, j)
			_, err = flow.Do(standin.Request{ID: id, Body: id}, requestLimit)
			if errors.Is(err, harness.ErrReset) && p.calm() && flow.ResetterInTouch() {
				flow.CheckReset(id)
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
