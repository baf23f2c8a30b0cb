// Package configuration holds the declared state of all services and the
// rules by which it changes. It performs no I/O.
package configuration

import (
	"sort"
	"strconv"
	"time"

	"oriolevalve/internal/duration"
	"oriolevalve/pkg/flow"
)

// Protocol is the protocol of a service.
type Protocol string

// ProtocolGRPC serves requests on the request plane.
const ProtocolGRPC Protocol = "grpc"

// protocolTCPRefused is the reason for refusing "tcp", which the design reserves
// for the packet plane.
const protocolTCPRefused = "tcp services are not served yet; use grpc"

// CheckProtocol returns an empty string for a protocol that is served, else the
// accepted protocol or the reason for the refusal.
func CheckProtocol(p Protocol) string {
	switch p {
	case ProtocolGRPC:
		return ""
	case "tcp":
		return protocolTCPRefused
	default:
		return strconv.Quote(string(ProtocolGRPC))
	}
}

// TargetState is the declared state of a target.
type TargetState string

// The states of targets. A target that has left is no longer listed.
const (
	// TargetJoined receives new sessions.
	TargetJoined TargetState = "joined"
	// TargetDraining keeps its sessions and receives no new ones.
	TargetDraining TargetState = "draining"
)

// Configuration is the state of all services at one revision. Values are
// immutable once published; change functions return copies.
type Configuration struct {
	// Revision counts accepted changes. It never decreases.
	Revision   uint64    `json:"revision"`
	AcceptedAt time.Time `json:"accepted_at"`
	// LastServiceID and LastTargetID are the counters from which identifiers
	// come. They never decrease, so no identifier is used twice.
	LastServiceID flow.ServiceID `json:"last_service_id"`
	LastTargetID  flow.TargetID  `json:"last_target_id"`
	// Services are sorted by identifier.
	Services []Service `json:"services"`
	// RemovedAddresses are the addresses in quarantine, oldest first.
	RemovedAddresses []RemovedAddress `json:"removed_addresses,omitempty"`
}

// RemovedAddress is an address that a service gave up. Until AddressQuarantine
// has passed, no other service may use it.
type RemovedAddress struct {
	Address   string         `json:"address"`
	Service   flow.ServiceID `json:"service"`
	RemovedAt time.Time      `json:"removed_at"`
}

// Service is a service address with its targets.
type Service struct {
	ID   flow.ServiceID `json:"id"`
	Name string         `json:"name"`
	// Address is the IP address and port that callers use.
	Address  string   `json:"address"`
	Protocol Protocol `json:"protocol"`
	// Version is the revision of the service's last change.
	Version uint64 `json:"version"`
	// TableRevision is the first revision with the current set of joined
	// targets and weights.
	TableRevision uint64   `json:"table_revision"`
	Policy        Policy   `json:"policy"`
	Targets       []Target `json:"targets"`
	// Generations are the earlier target sets that may still have open flows,
	// oldest first.
	Generations []Generation `json:"generations,omitempty"`
}

// Policy holds the rules of one service.
type Policy struct {
	// BalanceBound is the limit on a target's open sessions over the mean of
	// the service. A lower value gives better balance and more recorded flows.
	BalanceBound float64 `json:"balance_bound"`
	// IdleTimeout is the time after which a silent flow counts as ended.
	IdleTimeout duration.Duration `json:"idle_timeout"`
	// DrainTimeout limits how long a stopping host waits for requests in progress.
	DrainTimeout duration.Duration `json:"drain_timeout"`
	// WarmUp is the time over which a joined target reaches its full share.
	WarmUp duration.Duration `json:"warm_up"`
	// QueueLimit is the number of requests that may wait for a slot of a target.
	QueueLimit int `json:"queue_limit"`
	// CallerRate is the number of new flows a second that one caller may open
	// at one host. Zero means no limit.
	CallerRate float64 `json:"caller_rate"`
	// EjectFloor is the share of targets below which ejection stops.
	EjectFloor float64 `json:"eject_floor"`
}

// Target is a member of a service's target set.
type Target struct {
	ID         flow.TargetID `json:"id"`
	Name       string        `json:"name"`
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	State      TargetState   `json:"state"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of flows that the target holds at once.
	Connections int       `json:"connections"`
	Weight      uint32    `json:"weight"`
	JoinedAt    time.Time `json:"joined_at"`
}

// Generation is an earlier target set of a service.
type Generation struct {
	// Revision is the first revision with this target set.
	Revision   uint64             `json:"revision"`
	ReplacedAt time.Time          `json:"replaced_at"`
	Targets    []flow.TableTarget `json:"targets"`
}

// TableTargets returns the input of the service's current table: the targets
// that accept new sessions.
func (s *Service) TableTargets() []flow.TableTarget {
	var list []flow.TableTarget
	for _, t := range s.Targets {
		if t.State == TargetJoined {
			list = append(list, flow.TableTarget{ID: t.ID, Weight: t.Weight})
		}
	}
	return list
}

// LiveGenerations returns the generations that may still have open flows at
// the given time, oldest first. The stored list is pruned only when the
// service changes.
func (s *Service) LiveGenerations(now time.Time) []Generation {
	for i, g := range s.Generations {
		if now.Sub(g.ReplacedAt) < s.Policy.IdleTimeout.Std() {
			return s.Generations[i:]
		}
	}
	return nil
}

// Target returns the target with the given name.
func (s *Service) Target(name string) (Target, bool) {
	for _, t := range s.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// ServiceByID returns the service with the given identifier.
func (c *Configuration) ServiceByID(id flow.ServiceID) (*Service, bool) {
	i := sort.Search(len(c.Services), func(i int) bool { return c.Services[i].ID >= id })
	if i < len(c.Services) && c.Services[i].ID == id {
		return &c.Services[i], true
	}
	return nil, false
}
