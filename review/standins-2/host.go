//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// settingsVariable names the settings file, as in the deploy file's template.
	settingsVariable = "ORIOLEVALVE_CONFIG"
	// grace is the time that a process has after SIGTERM.
	grace = 6 * time.Second
)

// host is a process of the program under review.
type host struct {
	name, zone, program, directory string
	packets, ready                 netip.AddrPort
	settings                       string
	record                         *record
	command                        *exec.Cmd
	exited                         chan struct{}
	wanted                         bool
	starts                         int
}

// ports are those of all hosts.
type ports struct{ packets, gossip, ready, metrics uint16 }

// write writes the settings file as the deploy file's template does.
func (h *host) write(f *fleet, firstStart bool) error {
	ip := h.packets.Addr()
	zones := make([]map[string]string, 0, len(f.zones))
	for _, zone := range f.zones {
		zones = append(zones, map[string]string{"name": zone, "region": "region-1"})
	}
	seeds := make([]string, 0, 3)
	for _, other := range f.hosts[:min(3, len(f.hosts))] {
		seeds = append(seeds, netip.AddrPortFrom(other.packets.Addr(), f.ports.gossip).String())
	}
	data, err := json.MarshalIndent(map[string]any{
		"host_id": h.name, "data_centre": h.zone, "data_centres": zones,
		"listen": map[string]string{
			"packets": h.packets.String(), "ready": h.ready.String(), "gossip": netip.AddrPortFrom(ip, f.ports.gossip).String(),
			"metrics": netip.AddrPortFrom(ip, f.ports.metrics).String(),
		},
		"seeds": seeds, "configuration_age": "3000ms", "targets_age": "3000ms", "flow_lifetime": "60s", "first_start": firstStart,
		"shared_suspicions": true, "learned_costs": true, "store_address": f.storeAddress,
	}, "", "  ")
	if err != nil {
		return err
	}
	h.settings = filepath.Join(h.directory, h.name+".json")
	return os.WriteFile(h.settings, data, 0o600)
}

// start runs the command of the deploy file.
func (h *host) start() error {
	h.starts++
	log, err := os.Create(filepath.Join(h.directory, fmt.Sprintf("%s-%d.log", h.name, h.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(h.program)
	command.Env = append(os.Environ(), settingsVariable+"="+h.settings)
	command.Stdout, command.Stderr = log, log
	// A host ends with this process, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited, h.wanted = command, exited, true
	go func() {
		// How it ended is noted below.
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.record.note("host %s (%s) gets signal %s", h.name, h.packets.Addr(), s)
	// A process that has ended takes no signal.
	_ = h.command.Process.Signal(s)
}

// ended reports whether the process has ended.
func (h *host) ended() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// stop ends the process as the platform does, and waits for its end.
func (h *host) stop() {
	h.wanted = false
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(grace):
		h.kill()
	}
	h.record.note("host %s has ended", h.name)
}

func (h *host) kill() {
	h.wanted = false
	// A process that has ended takes no signal.
	_ = h.command.Process.Kill()
	<-h.exited
}
