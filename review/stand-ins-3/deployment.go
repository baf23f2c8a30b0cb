package main

import (
	"fmt"
	"net/netip"
	"time"
)

// The service addresses of the deployment.
var (
	deskAddress     = netip.MustParseAddrPort("198.18.0.1:8443")
	evidenceAddress = netip.MustParseAddrPort("198.18.0.2:8443")
)

// idleTimeout is the idle timeout of the configurations.
const idleTimeout = 15 * time.Second

// startDeployment starts hosts by zone, the targets of two services, and the fabric. The service
// "desk" has targets in all zones, "evidence" in zones a and b.
func startDeployment(w *world, hosts map[string]int) error {
	number := 0
	for _, zone := range []string{"a", "b", "c"} {
		for range 2 {
			number++
			if err := startTargetAt(w, number, "desk", zone); err != nil {
				return err
			}
		}
	}
	for _, zone := range []string{"a", "b"} {
		for range 7 {
			number++
			if err := startTargetAt(w, number, "evidence", zone); err != nil {
				return err
			}
		}
	}
	w.configure(7, idleTimeout, map[netip.AddrPort]string{deskAddress: "desk", evidenceAddress: "evidence"})
	number = 1
	for _, zone := range w.zones {
		w.seedNumbers = append(w.seedNumbers, number)
		number += hosts[zone]
	}
	number = 0
	for _, zone := range w.zones {
		for range hosts[zone] {
			number++
			if _, err := w.addHost(number, zone, w.seeds(), true); err != nil {
				return err
			}
		}
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
		w.fabric.add(h)
	}
	if err := w.awaitRotation(15*time.Second, w.hosts...); err != nil {
		return err
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

// seeds returns the addresses of the first host of each zone.
func (w *world) seeds() []string {
	list := []string{}
	for _, number := range w.seedNumbers {
		list = append(list, fmt.Sprintf("127.%d.1.%d:%d", w.network, number, w.gossipPort))
	}
	return list
}

// work is the time that a request takes at a target.
const work = 22 * time.Millisecond

func startTargetAt(w *world, number int, service, zone string) error {
	ip := fmt.Sprintf("127.%d.2.%d", w.network, number)
	w.zoneByAddress[netip.MustParseAddr(ip)] = zone
	_, err := w.startTarget(0x7f3a910000+uint64(number), service, zone, ip, work)
	return err
}

func (w *world) startClientAt(number int, zone string) (*client, error) {
	ip := fmt.Sprintf("127.%d.3.%d", w.network, number)
	w.zoneByAddress[netip.MustParseAddr(ip)] = zone
	return w.startClient(ip, zone)
}
