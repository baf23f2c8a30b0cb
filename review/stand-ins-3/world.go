// Command standins3 plays the cases of an independent review: it starts packet hosts as processes
// and plays the platform's store, the fabric, targets and clients around them.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// contact is the time without disruption after which a machine is in touch.
const contact = 5 * time.Second

// world is a small deployment.
type world struct {
	directory                                                  string
	network                                                    int
	zones                                                      []string
	packetPort, gossipPort, readyPort, metricsPort, targetPort uint16
	store                                                      *store
	fabric                                                     *fabric
	hosts                                                      []*host
	seedNumbers                                                []int
	targets                                                    map[string]*target
	zoneByAddress                                              map[netip.Addr]string
	started                                                    time.Time
	recordMutex                                                sync.Mutex
	recordFile                                                 *os.File
	recordWriter                                               *bufio.Writer
	violations                                                 int

	mutex sync.Mutex
	// loss is the share of packets that the links of lossyZone to the others lose, lossEnded the
	// time at which that ended.
	loss      float64
	lossyZone string
	lossEnded time.Time
	lost      int
	random    *rand.Rand
	flows     map[flowKey]*flowState
	sent      map[string]bool
	runs      map[string]int
}

// flowState is what the two ends of a flow saw.
type flowState struct {
	target *target
	opened time.Time
	// took is the host that took the client's last packet.
	took *host
	// takers is the number of targets that took its opening packet.
	takers int
	// resets are the targets that reset the flow.
	resets []*target
}

// newWorld prepares a deployment in a temporary folder, with a record in another one.
func newWorld(folder string, zones ...string) (*world, error) {
	directory, err := os.MkdirTemp("", "standins3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		directory: directory, network: 1 + os.Getpid()%250, zones: zones, fabric: newFabric(), targets: map[string]*target{},
		zoneByAddress: map[netip.Addr]string{}, started: time.Now(), random: rand.New(rand.NewPCG(uint64(os.Getpid()), 3)),
		flows: map[flowKey]*flowState{}, sent: map[string]bool{}, runs: map[string]int{},
	}
	for _, port := range []*uint16{&w.packetPort, &w.gossipPort, &w.readyPort, &w.metricsPort, &w.targetPort} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// Closed at the end, so that the ports differ.
		defer func() { _ = l.Close() }()
		*port = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	if w.recordFile, err = os.Create(folder + "/record.txt"); err != nil {
		return nil, err
	}
	w.recordWriter = bufio.NewWriter(w.recordFile)
	w.store, err = startStore(fmt.Sprintf("127.%d.0.7:0", w.network))
	return w, err
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) close() {
	for _, h := range w.hosts {
		h.mutex.Lock()
		running := h.command != nil && h.wanted
		h.mutex.Unlock()
		if running {
			h.signal(syscall.SIGCONT)
			h.stop(syscall.SIGKILL)
		}
	}
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	_ = w.recordWriter.Flush()
	_ = w.recordFile.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.directory)
	} else {
		fmt.Println("logs in", w.directory)
	}
}

// record writes a line with the time since the start.
func (w *world) record(format string, arguments ...any) {
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	_, _ = fmt.Fprintf(w.recordWriter, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// violate records that a rule was broken.
func (w *world) violate(format string, arguments ...any) {
	w.record("BROKEN "+format, arguments...)
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	w.violations++
}

func (w *world) zoneOf(a netip.Addr) string { return w.zoneByAddress[a] }

// loses reports whether a packet from a zone to another one is lost.
func (w *world) loses(from, to string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.loss == 0 || from == to || from != w.lossyZone && to != w.lossyZone || w.random.Float64() >= w.loss {
		return false
	}
	w.lost++
	return true
}

// setLoss makes the links of a zone to the others lose a share of the packets.
func (w *world) setLoss(zone string, share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record("the links of zone %s to the others lose %.3f of the packets (%d lost so far)", zone, share, w.lost)
	w.lossyZone, w.loss, w.lossEnded = zone, share, time.Now()
}

func (w *world) flow(key flowKey) *flowState {
	f := w.flows[key]
	if f == nil {
		f = &flowState{}
		w.flows[key] = f
	}
	return f
}

// noteTook notes which host took a packet of a client.
func (w *world) noteTook(key flowKey, h *host) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.flow(key).took = h
}

// noteTaken notes that a target takes the opening packet of a flow.
func (w *world) noteTaken(key flowKey, t *target, from netip.Addr) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.flow(key).takers++
	w.record("target %s takes the opening packet of %s from %s", t.name, key.client, from)
}

// contested returns the number of flows whose opening packet several targets took.
func (w *world) contested() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, f := range w.flows {
		if f.takers > 1 {
			count++
		}
	}
	return count
}

// noteOpen notes that a target has the end of the handshake of a flow.
func (w *world) noteOpen(key flowKey, t *target) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	f := w.flow(key)
	f.target, f.opened = t, time.Now()
	w.record("flow %s is open at target %s", key.client, t.name)
}

// noteTargetReset notes that a target resets a flow.
func (w *world) noteTargetReset(key flowKey, t *target) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	f := w.flow(key)
	f.resets = append(f.resets, t)
}

// noteReset judges a reset that a client got on an open flow by rule FLOW (a).
func (w *world) noteReset(key flowKey, system bool) {
	w.mutex.Lock()
	f := *w.flow(key)
	calm := time.Since(w.lossEnded) >= contact && w.loss == 0
	w.mutex.Unlock()
	sender := "the system"
	if !system && len(f.resets) > 0 {
		sender = "target " + f.resets[len(f.resets)-1].name
	}
	switch {
	case f.target == nil:
		w.record("client %s: reset by %s before its flow was open at a target", key.client, sender)
	case !system && len(f.resets) > 0 && f.resets[len(f.resets)-1] == f.target:
		w.record("client %s: reset by %s, its own target", key.client, sender)
	case f.target.ended:
		w.record("client %s: reset by %s; its target %s has ended", key.client, sender, f.target.name)
	case !calm || f.took.calm() < contact:
		w.record("client %s: reset by %s although its target %s lives; excused, host %s is not in touch", key.client, sender, f.target.name, f.took.name)
	default:
		w.violate("FLOW (a): client %s: reset by %s; its flow has been open for %.1f s at target %s, which lives and sent none; host %s took the packet, in touch since %.1f s after its start",
			key.client, sender, time.Since(f.opened).Seconds(), f.target.name, f.took.name, f.took.calm().Seconds())
	}
}

func (w *world) noteSent(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sent[id] = true
	w.record("request %s is sent", id)
}

// noteRun notes that a target begins to work on a request.
func (w *world) noteRun(id string, t *target) {
	w.mutex.Lock()
	asked := w.sent[id]
	w.runs[id]++
	w.mutex.Unlock()
	w.record("request %s runs at target %s", id, t.name)
	if !asked {
		w.violate("UNASKED: target %s runs request %q, which no client sent", t.name, id)
	}
}

// configure writes a configuration. Each route is an address with its service.
func (w *world) configure(version int, idle time.Duration, routes map[netip.AddrPort]string) {
	list, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for address, service := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%s", service), "hostname": address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()),
			"type": "idempotent", "timeoutMs": 2000, "aimMs": 120, "priority": 2, "service": service, "maxAttempts": 2,
		})
		if !seen[service] {
			seen[service] = true
			services = append(services, map[string]any{"name": service, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false})
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idle.Milliseconds()},
	})
	w.record("store: configuration %d is acknowledged", version)
}

// awaitRotation waits until hosts take packets.
func (w *world) awaitRotation(limit time.Duration, hosts ...*host) error {
	for ended := time.Now().Add(limit); time.Now().Before(ended); time.Sleep(50 * time.Millisecond) {
		in := 0
		for _, h := range hosts {
			if w.fabric.inRotation(h) {
				in++
			}
		}
		if in == len(hosts) {
			return nil
		}
	}
	return errors.New("hosts are not in rotation in time")
}
