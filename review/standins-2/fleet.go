//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// readyLimit is the time in which a fleet has to be in rotation.
const readyLimit = 15 * time.Second

// shape is the size of a fleet: hosts and targets of each zone.
type shape struct {
	zones          []string
	hosts, targets []int
	clients        int
}

// headOffice is the small deployment of the head office.
var headOffice = shape{
	zones: []string{"zone-a", "zone-b", "zone-c"}, hosts: []int{3, 3, 2}, targets: []int{5, 5, 4}, clients: 6,
}

// fleet is a deployment on loopback: hosts as processes, and stand-ins of all else.
type fleet struct {
	zones        []string
	ports        ports
	network      byte
	storeAddress string
	store        *store
	record       *record
	fabric       *fabric
	hosts        []*host
	targets      []*target
	clients      []*client
	desk         netip.AddrPort
	version      int
}

// The service of the targets, and the port of its route.
const (
	deskService = "desk"
	deskPort    = 8443
)

// address returns a loopback address of this run.
func (f *fleet) address(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(third), byte(fourth)})
}

// freePort returns a port that is free on an address.
func freePort(address netip.Addr) (uint16, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return 0, err
	}
	return uint16(l.Addr().(*net.TCPAddr).Port), l.Close()
}

// startFleet starts a deployment and waits until all hosts are in rotation.
func startFleet(s shape, program, directory string, r *record) (*fleet, error) {
	f := &fleet{
		zones: s.zones, network: byte(20 + rand.IntN(200)), store: newStore(), record: r, fabric: newFabric(s.zones[0], r),
		version: 7,
	}
	f.desk = netip.AddrPortFrom(f.address(5, 1), deskPort)
	for _, port := range []*uint16{&f.ports.packets, &f.ports.gossip, &f.ports.ready, &f.ports.metrics} {
		var err error
		if *port, err = freePort(f.address(1, 1)); err != nil {
			return nil, err
		}
	}
	if err := f.serveStore(); err != nil {
		return nil, err
	}
	if err := f.configure(); err != nil {
		return nil, err
	}
	if err := f.startTargets(s); err != nil {
		return f, err
	}
	for i := range s.clients {
		c, err := startClient(netip.AddrPortFrom(f.address(3, i+1), f.ports.packets), f.fabric, r)
		if err != nil {
			return f, err
		}
		f.clients = append(f.clients, c)
	}
	if err := f.startHosts(s, program, directory); err != nil {
		return f, err
	}
	return f, f.awaitRotation(len(f.hosts))
}

func (f *fleet) serveStore() error {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(4, 1), 0).String())
	if err != nil {
		return err
	}
	f.storeAddress = l.Addr().String()
	go func() {
		// The server ends with this process.
		_ = http.Serve(l, f.store)
	}()
	return nil
}

// configure writes the first configuration.
func (f *fleet) configure() error {
	return f.store.put("config", "main", map[string]any{
		"version": f.version,
		"routes": []map[string]any{{
			"name": "r-desk", "hostname": f.desk.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", f.desk.Port()), "type": "non_idempotent",
			"timeoutMs": 2500, "aimMs": 150, "priority": 1, "service": deskService, "maxAttempts": 2,
		}},
		"services": []map[string]any{{"name": deskService, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (f *fleet) startTargets(s shape) error {
	for zone, count := range s.targets {
		for range count {
			address := f.address(2, len(f.targets)+1)
			port, err := freePort(address)
			if err != nil {
				return err
			}
			number := rand.Uint64N(1<<40-1) + 1
			t, err := startTarget(f.store, f.record, number, deskService, s.zones[zone], netip.AddrPortFrom(address, port), f.ports.packets)
			if err != nil {
				return err
			}
			f.targets = append(f.targets, t)
		}
	}
	return nil
}

func (f *fleet) startHosts(s shape, program, directory string) error {
	for zone, count := range s.hosts {
		for range count {
			ip := f.address(1, len(f.hosts)+1)
			f.hosts = append(f.hosts, &host{
				name: fmt.Sprintf("edge-%s-%d", s.zones[zone], len(f.hosts)+1), zone: s.zones[zone], program: program, directory: directory,
				packets: netip.AddrPortFrom(ip, f.ports.packets), ready: netip.AddrPortFrom(ip, f.ports.ready), record: f.record,
			})
		}
	}
	for _, h := range f.hosts {
		if err := errors.Join(h.write(f, true), h.start()); err != nil {
			return err
		}
		f.fabric.add(h.zone, h.packets, h.ready)
	}
	return nil
}

// awaitRotation waits until so many hosts are in rotation.
func (f *fleet) awaitRotation(count int) error {
	for deadline := time.Now().Add(readyLimit); f.fabric.rotation() < count; time.Sleep(probeInterval / 10) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d hosts are in rotation after %s", f.fabric.rotation(), count, readyLimit)
		}
	}
	return nil
}

// stop ends all processes and stand-ins. A host that ended by itself breaks the promise of Own ends.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.command == nil {
			continue
		}
		if h.wanted && h.ended() {
			f.record.violate("Fault: host %s ended by itself: %s", h.name, h.command.ProcessState)
		}
		h.kill()
	}
	f.fabric.stop()
	for _, c := range f.clients {
		c.stop()
	}
	for _, t := range f.targets {
		t.stop()
	}
}
