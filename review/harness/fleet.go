//go:build review

// Package harness runs hosts as separate processes on loopback with stand-ins for the
// platform's store, its routers, targets and clients, and records what they see.
package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/platform/standin"

	"github.com/zeebo/xxh3"
)

// The figures of the platform's settings for a small deployment.
const (
	ContactTime   = 4 * time.Second
	DrainTime     = 3 * time.Second
	graceTime     = 6 * time.Second
	probeInterval = 500 * time.Millisecond
	missLimit     = 2
	// startTime is the time in which all hosts have to be ready, or the case can't run.
	startTime = 15 * time.Second
	seedCount = 3
	// defaultSlots is that of the head office's targets.
	defaultSlots = 2
	// program is the command of the deploy file.
	program = "target/oriolevalve-node"
)

// Fleet is a deployment on loopback.
type Fleet struct {
	Store  *standin.Store
	Hosts  []*Host
	Record *Record
	// Slots is the number of requests that a target processes at a time, as it registers.
	Slots     int
	ports     [3]uint16
	address   string
	directory string
	ended     chan struct{}
	closing   sync.Once
	mutex     sync.Mutex
	targets   []*Target
	number    uint64
	// clients holds the zones of clients by their addresses. The links of the zone lossy to
	// the others lose a share of the targets' packets.
	clients map[netip.Addr]string
	lossy   string
	loss    float64
}

// Host is a process of the product.
type Host struct {
	ID, Zone string
	address  netip.AddrPort
	fleet    *Fleet
	settings string
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	wanted   bool
	rotation bool
	misses   int
	// disturbed is the time of the last start or signal.
	disturbed time.Time
}

// NewFleet starts the store and prepares a host for each zone named, in that order.
func NewFleet(record *Record, zones ...string) (*Fleet, error) {
	ports, err := standin.FreePorts()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Store: standin.NewStore(clock.System{}), Record: record, Slots: defaultSlots, ports: ports, directory: directory, ended: make(chan struct{}), number: firstNumber,
		clients: map[netip.Addr]string{},
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = l.Addr().String()
	go func() {
		// The server ends with the process.
		_ = http.Serve(l, f.Store)
	}()
	for i, zone := range zones {
		h := &Host{
			ID: fmt.Sprintf("edge-%s-%d", zone, i+1), Zone: zone, fleet: f,
			address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 40, byte(i + 1)}), ports[0]),
			settings: filepath.Join(directory, fmt.Sprintf("host-%d.json", i+1)),
		}
		f.Hosts = append(f.Hosts, h)
	}
	fleets.mutex.Lock()
	fleets.list = append(fleets.list, f)
	fleets.mutex.Unlock()
	return f, nil
}

// Configure writes a configuration with a route for each service. The types are those of
// the routes' requests.
func (f *Fleet) Configure(version int, routes ...Route) error {
	body := map[string]any{"version": version, "limits": map[string]any{"idleTimeoutMs": 15_000}}
	var list, services []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + r.Service, "hostname": r.Address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"type": r.Type, "timeoutMs": 2500, "aimMs": 250, "priority": 1, "service": r.Service, "maxAttempts": 2,
		})
		services = append(services, map[string]any{"name": r.Service, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false})
	}
	body["routes"], body["services"] = list, services
	f.Record.Write("configuration version=%d", version)
	return f.Store.Put("config", "main", body)
}

// Route sends the flows of an address to a service.
type Route struct {
	Address       netip.AddrPort
	Service, Type string
}

// Start starts all hosts and waits until they have been in rotation for the time after
// which a machine counts as in touch.
func (f *Fleet) Start() error {
	for _, h := range f.Hosts {
		if err := h.Start(true); err != nil {
			return err
		}
		go h.probe()
	}
	for deadline := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.Hosts {
			if h.InRotation() {
				ready++
			}
		}
		if ready == len(f.Hosts) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(f.Hosts))
		}
	}
	time.Sleep(ContactTime)
	return nil
}

// fleets holds the fleets of the process, so that a run that is stopped ends their processes.
var fleets struct {
	mutex sync.Mutex
	list  []*Fleet
}

func closeFleets() {
	fleets.mutex.Lock()
	defer fleets.mutex.Unlock()
	for _, f := range fleets.list {
		f.Close()
	}
}

// Close ends all processes and removes the files. It does so once.
func (f *Fleet) Close() { f.closing.Do(f.close) }

func (f *Fleet) close() {
	close(f.ended)
	for _, h := range f.Hosts {
		h.stop(syscall.SIGKILL)
	}
	if err := os.RemoveAll(f.directory); err != nil {
		f.Record.Write("files not removed: %v", err)
	}
}

// Logs copies the lines of the hosts' logs that contain a text into the record.
func (f *Fleet) Logs(texts ...string) {
	for i := range f.Hosts {
		data, err := os.ReadFile(filepath.Join(f.directory, fmt.Sprintf("host-%d.log", i+1)))
		if err != nil {
			f.Record.Write("log of host %d: %v", i+1, err)
			continue
		}
		for line := range strings.Lines(string(data)) {
			for _, text := range texts {
				if strings.Contains(line, text) {
					f.Record.Write("log %s", strings.TrimSpace(line))
					break
				}
			}
		}
	}
}

func (h *Host) configure(first bool) error {
	f, ip := h.fleet, h.address.Addr().String()
	var seeds []string
	zones := map[string]bool{}
	var centres []map[string]string
	for i, other := range f.Hosts {
		if i < seedCount {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.address.Addr(), f.ports[1]))
		}
		if !zones[other.Zone] {
			zones[other.Zone] = true
			centres = append(centres, map[string]string{"name": other.Zone, "region": "review"})
		}
	}
	data, err := json.Marshal(map[string]any{
		"host_id": h.ID, "data_centre": h.Zone, "data_centres": centres,
		"listen": map[string]any{
			"packets": h.address.String(), "ready": fmt.Sprintf("%s:%d", ip, f.ports[2]), "gossip": fmt.Sprintf("%s:%d", ip, f.ports[1]),
		},
		"seeds": seeds, "store_address": f.address, "configuration_age": "3000ms", "targets_age": "3000ms", "flow_lifetime": "60s", "first_start": first,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, data, 0o600)
}

// Start starts the process as the platform does: the command of the deploy file, with the
// path of the settings in the environment.
func (h *Host) Start(first bool) error {
	if err := h.configure(first); err != nil {
		return err
	}
	log, err := os.OpenFile(strings.TrimSuffix(h.settings, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	select {
	case <-h.fleet.ended:
		return errors.Join(errors.New("the fleet has been closed"), log.Close())
	default:
	}
	command := exec.Command(program)
	command.Env = []string{"ORIOLEVALVE_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	h.command, h.exited, h.wanted, h.disturbed = command, exited, true, time.Now()
	h.fleet.Record.Write("start %s", h.ID)
	go func() {
		err := errors.Join(command.Wait(), log.Close())
		h.mutex.Lock()
		if h.wanted && h.command == command {
			h.fleet.Record.Write("%s ended by itself: %v", h.ID, err)
		}
		h.mutex.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.wanted = false
	}
	if h.command == nil {
		return
	}
	h.disturbed = time.Now()
	h.fleet.Record.Write("signal %s %s", h.ID, s)
	// A process that has ended takes no signal.
	_ = h.command.Process.Signal(s)
}

func (h *Host) stop(s syscall.Signal) {
	h.Signal(s)
	h.mutex.Lock()
	exited := h.exited
	h.mutex.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(graceTime):
		h.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Restart stops the process as planned work does and starts it again. It returns when the
// host is back in rotation.
func (h *Host) Restart() error {
	h.stop(syscall.SIGTERM)
	if err := h.Start(false); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTime); !h.InRotation(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not come back", h.ID)
		}
	}
	return nil
}

// Kill kills the processes of hosts at the same moment and starts them again after a time.
func Kill(dark time.Duration, hosts ...*Host) error {
	for _, h := range hosts {
		h.Signal(syscall.SIGKILL)
	}
	time.Sleep(dark)
	for _, h := range hosts {
		if err := h.Start(false); err != nil {
			return err
		}
	}
	return nil
}

// undisturbed returns the time since the last start of the process or signal to it.
func (h *Host) undisturbed() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Since(h.disturbed)
}

// InRotation reports whether the routers send flows to the host.
func (h *Host) InRotation() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.rotation
}

// probe asks for the host's readiness as the platform does.
func (h *Host) probe() {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := false
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", h.address.Addr(), h.fleet.ports[2]))
		if err == nil {
			ready = response.StatusCode == http.StatusOK
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		h.mutex.Lock()
		before := h.rotation
		if ready {
			h.misses, h.rotation = 0, true
		} else if h.misses++; h.misses >= missLimit {
			h.rotation = false
		}
		after := h.rotation
		h.mutex.Unlock()
		if before != after {
			h.fleet.Record.Write("rotation %s %v", h.ID, after)
		}
		select {
		case <-h.fleet.ended:
			return
		case <-ticker.C:
		}
	}
}

// route returns the host that takes a packet of a flow of a client in a zone: a steady hash
// over the zone's hosts in rotation, over all of them if fewer than half are, and over the
// other zones if none is.
func (f *Fleet) route(zone string, client, service netip.AddrPort) *Host {
	var own, ready, others []*Host
	for _, h := range f.Hosts {
		rotation := h.InRotation()
		switch {
		case h.Zone == zone:
			own = append(own, h)
			if rotation {
				ready = append(ready, h)
			}
		case rotation:
			others = append(others, h)
		}
	}
	candidates := ready
	if len(ready) == 0 {
		candidates = others
	} else if 2*len(ready) < len(own) {
		candidates = own
	}
	return choose(candidates, client, service)
}

func choose(hosts []*Host, client, service netip.AddrPort) *Host {
	var best *Host
	var most uint64
	for _, h := range hosts {
		if score := xxh3.HashString(client.String() + service.String() + h.ID); best == nil || score > most {
			best, most = h, score
		}
	}
	return best
}

// hostAt returns the host at an IP address; nil if there is none.
func (f *Fleet) hostAt(ip netip.Addr) *Host {
	for _, h := range f.Hosts {
		if h.address.Addr() == ip {
			return h
		}
	}
	return nil
}
