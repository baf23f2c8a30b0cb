//go:build review

package main

import (
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two questions whether a host is ready.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// missLimit is the number of misses after which a host is out of rotation.
	missLimit = 2
)

// member is a host as the fabric knows it.
type member struct {
	zone    string
	packets netip.AddrPort
	ready   string
	misses  int
}

// fabric is the platform's routers: they hash each flow over the hosts in rotation of the clients'
// zone, by the steady hash.
type fabric struct {
	zone    string
	record  *record
	mutex   sync.Mutex
	members []*member
	chosen  []netip.AddrPort
	closed  chan struct{}
}

func newFabric(zone string, r *record) *fabric {
	return &fabric{zone: zone, record: r, closed: make(chan struct{})}
}

func (f *fabric) add(zone string, packets netip.AddrPort, ready netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := &member{zone: zone, packets: packets, ready: "http://" + ready.String() + "/v1/readiness", misses: missLimit}
	f.members = append(f.members, m)
	go f.watch(m)
}

func (f *fabric) stop() { close(f.closed) }

// watch asks a host whether it is ready, twice per second.
func (f *fabric) watch(m *member) {
	asker := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := false
		if response, err := asker.Get(m.ready); err == nil {
			ready = response.StatusCode == http.StatusOK
			// The body is empty.
			_ = response.Body.Close()
		}
		f.note(m, ready)
		select {
		case <-f.closed:
			return
		case <-ticker.C:
		}
	}
}

func (f *fabric) note(m *member, ready bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := m.misses < missLimit
	if m.misses++; ready {
		m.misses = 0
	}
	if in := m.misses < missLimit; in != before {
		state := "out of rotation"
		if in {
			state = "in rotation"
		}
		f.record.note("host %s is %s", m.packets.Addr(), state)
	}
	f.choose()
}

// choose renews the hosts that take packets: those of the zone in rotation, all of the zone if fewer
// than half are, those of other zones if none is.
func (f *fabric) choose() {
	var own, in, others []netip.AddrPort
	for _, m := range f.members {
		ready := m.misses < missLimit
		switch {
		case m.zone == f.zone && ready:
			own, in = append(own, m.packets), append(in, m.packets)
		case m.zone == f.zone:
			own = append(own, m.packets)
		case ready:
			others = append(others, m.packets)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		f.chosen = others
	case 2*len(in) < len(own):
		f.chosen = own
	default:
		f.chosen = in
	}
}

// rotation returns the number of hosts of all zones in rotation.
func (f *fabric) rotation() (count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, m := range f.members {
		if m.misses < missLimit {
			count++
		}
	}
	return count
}

// route returns the host of a flow: the one with the highest hash, so that only the flows of a host
// that leaves move.
func (f *fabric) route(key flowKey) netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best netip.AddrPort
	var most uint64
	for _, host := range f.chosen {
		h := fnv.New64a()
		// A hash takes all bytes.
		_, _ = h.Write([]byte(key.client.String() + " " + key.service.String() + " " + host.String()))
		score := mix(h.Sum64())
		if score >= most {
			best, most = host, score
		}
	}
	return best
}

// mix spreads similar hashes.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
