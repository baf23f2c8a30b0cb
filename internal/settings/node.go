package settings

import (
	"os"
	"strings"
	"time"

	"oriolevalve/internal/duration"

	"github.com/cockroachdb/errors"
)

// Node holds the settings of a host that forwards packets.
type Node struct {
	HostID     string `json:"host_id"`
	DataCentre string `json:"data_centre"`
	// DataCentres are those of the fleet with their regions; empty if there is one
	// region.
	DataCentres []DataCentre `json:"data_centres"`
	Listen      NodeListen   `json:"listen"`
	// Seeds are addresses of hosts that a starting host contacts first. Only their
	// IP address counts: the port is that of Listen.Gossip.
	Seeds []string `json:"seeds"`
	// FirstStart is set if the whole fleet starts for the first time, so that nobody waits
	// for it yet: hosts that are no seeds leave the store to the seeds for longer.
	FirstStart bool `json:"first_start"`
	// StoreAddress is the address of the platform's metadata store.
	StoreAddress string `json:"store_address"`
	// StopWait is the time for which a stopping host goes on forwarding, until
	// the fabric sends it no more packets.
	StopWait duration.Duration `json:"stop_wait"`
	// ConfigurationAge and TargetsAge bound the age of what the host knows of the
	// configuration and of the targets, while it reaches the store or other hosts.
	ConfigurationAge duration.Duration `json:"configuration_age"`
	TargetsAge       duration.Duration `json:"targets_age"`
	// EvacuationAge is the same bound for the evacuations of data centres. Without it the host
	// does not follow them.
	EvacuationAge duration.Duration `json:"evacuation_age"`
	// FlowLifetime is the time after which a flow may be discarded.
	FlowLifetime duration.Duration `json:"flow_lifetime"`
	// SharedSuspicions is set if hosts ask a target themselves whether it lives, once its flows
	// give cause for it, and tell each other of those that do not answer.
	SharedSuspicions bool `json:"shared_suspicions"`
	// LearnedCosts makes the host learn what requests cost and how fast targets are, and place
	// new flows by it.
	LearnedCosts bool `json:"learned_costs"`
	// WarmUp bounds the new flows of targets in their warm-up; nil if nothing does.
	WarmUp *WarmUp `json:"warm_up,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
}

// WarmUp bounds the new flows that all hosts together send a target in its warm-up in a second:
// Overshoot times the rate that its service's configuration gives, and Slack.
type WarmUp struct {
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
}

// DataCentre is a data centre of the fleet.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// NodeListen holds the addresses that a packet host opens.
type NodeListen struct {
	// Packets is for UDP. Clients receive resets at the same port.
	Packets string `json:"packets"`
	// Ready answers the fabric's question whether the host takes packets.
	Ready string `json:"ready"`
	// Gossip is for UDP and TCP. The port is the same on all hosts.
	Gossip string `json:"gossip"`
	// Metrics serves the metrics; empty if nobody reads them.
	Metrics string `json:"metrics"`
}

// DefaultNode returns the values of settings that a document leaves out.
func DefaultNode() Node {
	return Node{
		StopWait:         duration.Duration(2 * time.Second),
		ConfigurationAge: duration.Duration(3 * time.Second),
		TargetsAge:       duration.Duration(3 * time.Second),
		FlowLifetime:     duration.Duration(time.Minute),
		LogLevel:         "info",
	}
}

// LoadNode reads the settings of a packet host from a file. The error is
// Problems if the content is at fault.
func LoadNode(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, errors.Wrap(err, "reading the settings")
	}
	return ParseNode(data)
}

// ParseNode decodes and validates the settings of a packet host.
func ParseNode(data []byte) (Node, error) {
	n, problems := parseNode(data)
	if len(problems) > 0 {
		return Node{}, problems
	}
	return n, nil
}

func parseNode(data []byte) (Node, Problems) {
	n := DefaultNode()
	problems := Decode(data, &n)
	return n, firstPerPath(append(problems, n.validate()...))
}

// LoadUsableNode reads the settings of a host that is to run. Seeds and data centres that can't
// be read are left out, and returned as problems; the others hold. The error is Problems if
// anything else is at fault.
func LoadUsableNode(path string) (Node, Problems, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, nil, errors.Wrap(err, "reading the settings")
	}
	n, problems := parseNode(data)
	var leftOut, others Problems
	entries := map[string]bool{}
	for _, p := range problems {
		entry, _, isEntry := strings.Cut(p.Path, "]")
		if !isEntry || !strings.HasPrefix(entry, "seeds[") && !strings.HasPrefix(entry, "data_centres[") {
			others = append(others, p)
			continue
		}
		leftOut = append(leftOut, p)
		entries[entry+"]"] = true
	}
	if len(others) > 0 {
		return Node{}, nil, others
	}
	n.leaveOut(entries)
	return n, leftOut, nil
}

// leaveOut drops the seeds and data centres with the given paths.
func (n *Node) leaveOut(entries map[string]bool) {
	var seeds []string
	for i, seed := range n.Seeds {
		if !entries[index("seeds", i)] {
			seeds = append(seeds, seed)
		}
	}
	var dataCentres []DataCentre
	for i, d := range n.DataCentres {
		if !entries[index("data_centres", i)] {
			dataCentres = append(dataCentres, d)
		}
	}
	n.Seeds, n.DataCentres = seeds, dataCentres
}

func (n *Node) validate() Problems {
	var p Problems
	if !validName(n.HostID) {
		p.add("host_id", "%s", nameRule)
	}
	if !validName(n.DataCentre) {
		p.add("data_centre", "%s", nameRule)
	}
	for i, d := range n.DataCentres {
		if !validName(d.Name) {
			p.add(index("data_centres", i)+".name", "%s", nameRule)
		}
		if !validName(d.Region) {
			p.add(index("data_centres", i)+".region", "%s", nameRule)
		}
	}
	checkAddress(&p, "listen.packets", n.Listen.Packets)
	checkAddress(&p, "listen.ready", n.Listen.Ready)
	if gossip := checkAddress(&p, "listen.gossip", n.Listen.Gossip); gossip.IsValid() && gossip.Addr().IsUnspecified() {
		p.add("listen.gossip", "%s is not an address that a host can be reached at", n.Listen.Gossip)
	}
	if n.Listen.Metrics != "" {
		checkAddress(&p, "listen.metrics", n.Listen.Metrics)
	}
	for i, seed := range n.Seeds {
		checkAddress(&p, index("seeds", i), seed)
	}
	checkAddress(&p, "store_address", n.StoreAddress)
	checkDuration(&p, "stop_wait", n.StopWait, 0, time.Minute)
	checkDuration(&p, "configuration_age", n.ConfigurationAge, 500*time.Millisecond, time.Minute)
	checkDuration(&p, "targets_age", n.TargetsAge, 500*time.Millisecond, time.Minute)
	if n.EvacuationAge != 0 {
		checkDuration(&p, "evacuation_age", n.EvacuationAge, 500*time.Millisecond, time.Minute)
	}
	checkDuration(&p, "flow_lifetime", n.FlowLifetime, time.Second, 24*time.Hour)
	if w := n.WarmUp; w != nil {
		checkShare(&p, "warm_up.overshoot", w.Overshoot)
		checkShare(&p, "warm_up.slack", w.Slack)
	}
	checkLogLevel(&p, n.LogLevel)
	return p
}

// mostShare bounds the figures of a warm-up.
const mostShare = 1_000_000

func checkShare(p *Problems, path string, value float64) {
	if value < 0 || value > mostShare {
		p.add(path, "%g is outside 0 to %d", value, mostShare)
	}
}
