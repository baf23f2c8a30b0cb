package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// program is the one of the deploy file, relative to the root of the repository.
const program = "target/oriolevalve-node"

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// host is a machine with one process.
type host struct {
	world         *world
	name, zone    string
	ip            string
	packets       netip.AddrPort
	ready         string
	settings, log string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	wanted  bool
	// troubled is the time of the last kill, stop or start.
	troubled time.Time
}

// addHost prepares a host. Its settings are those that the template of the deploy file gives.
func (w *world) addHost(number int, zone string, seeds []string, first bool) (*host, error) {
	ip := fmt.Sprintf("127.%d.1.%d", w.network, number)
	h := &host{
		world: w, name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: ip,
		packets: netip.AddrPortFrom(netip.MustParseAddr(ip), w.packetPort), ready: fmt.Sprintf("http://%s:%d/v1/readiness", ip, w.readyPort),
		settings: filepath.Join(w.directory, fmt.Sprintf("host-%d.json", number)), log: filepath.Join(w.directory, fmt.Sprintf("host-%d.log", number)),
	}
	zones := []map[string]string{}
	for _, z := range w.zones {
		zones = append(zones, map[string]string{"name": z, "region": "region-1"})
	}
	settings := map[string]any{
		"host_id": h.name, "data_centre": zone, "data_centres": zones,
		"listen": map[string]string{
			"packets": h.packets.String(), "ready": fmt.Sprintf("%s:%d", ip, w.readyPort),
			"gossip": fmt.Sprintf("%s:%d", ip, w.gossipPort), "metrics": fmt.Sprintf("%s:%d", ip, w.metricsPort),
		},
		"seeds": seeds, "configuration_age": "5000ms", "targets_age": "5000ms", "flow_lifetime": "60s",
		"shared_suspicions": true, "learned_costs": true, "store_address": w.store.address,
	}
	if first {
		settings["first_start"] = true
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	w.zoneByAddress[netip.MustParseAddr(ip)] = zone
	return h, os.WriteFile(h.settings, data, 0o600)
}

// start starts the process, with the settings in effect.
func (h *host) start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ORIOLEVALVE_CONFIG=" + h.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited, h.wanted, h.troubled = command, exited, true, time.Now()
	h.world.record("host %s starts", h.name)
	go func() {
		err := command.Wait()
		_ = log.Close()
		h.mutex.Lock()
		defer h.mutex.Unlock()
		if h.wanted && h.command == command {
			h.world.violate("Fault: host %s ended by itself: %v", h.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.command == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.wanted = false
	}
	h.troubled = time.Now()
	h.world.record("host %s gets %s", h.name, s)
	_ = h.command.Process.Signal(s)
}

// stop ends the process as the platform does, and waits for its end.
func (h *host) stop(s syscall.Signal) {
	h.signal(s)
	h.mutex.Lock()
	exited := h.exited
	h.mutex.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(grace):
		h.signal(syscall.SIGKILL)
		<-exited
	}
	h.mutex.Lock()
	h.troubled = time.Now()
	h.mutex.Unlock()
}

// calm returns the time since the last kill, stop or start of the host's process.
func (h *host) calm() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Since(h.troubled)
}

// fabric chooses the host of each packet, as the platform's routers do.
type fabric struct {
	mutex sync.Mutex
	// all are the hosts by zone, misses their missed answers in a row.
	all    map[string][]*host
	misses map[*host]int
	client http.Client
}

func newFabric() *fabric {
	return &fabric{
		all: map[string][]*host{}, misses: map[*host]int{},
		client: http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// add makes the fabric ask a host whether it is ready.
func (f *fabric) add(h *host) {
	f.mutex.Lock()
	f.all[h.zone] = append(f.all[h.zone], h)
	f.misses[h] = 2
	f.mutex.Unlock()
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			go f.ask(h)
		}
	}()
}

// remove makes the fabric forget a host whose machine has been removed.
func (f *fabric) remove(h *host) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.all[h.zone] = slices.DeleteFunc(f.all[h.zone], func(other *host) bool { return other == h })
}

func (f *fabric) ask(h *host) {
	response, err := f.client.Get(h.ready)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.misses[h] < 2
	f.misses[h]++
	if ready {
		f.misses[h] = 0
	}
	if now := f.misses[h] < 2; now != before {
		h.world.record("fabric: host %s in rotation: %t", h.name, now)
	}
}

// rotation returns the hosts of a zone that take packets. The caller holds the lock.
func (f *fabric) rotation(zone string) []*host {
	var in []*host
	for _, h := range f.all[zone] {
		if f.misses[h] < 2 {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(f.all[zone]) {
		return f.all[zone]
	}
	return in
}

// inRotation reports whether a host takes packets.
func (f *fabric) inRotation(h *host) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.misses[h] < 2
}

// route returns the host with the highest hash of the flow, so that only the flows of a host that
// leaves move.
func (f *fabric) route(zone string, key flowKey) (*host, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *host
	var most uint64
	for _, h := range f.rotation(zone) {
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, key.client, key.service, h.name)
		score := sum.Sum64() * 0x9e3779b97f4a7c15
		if best == nil || score > most {
			best, most = h, score
		}
	}
	return best, best != nil
}
