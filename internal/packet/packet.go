// Package packet decides what happens to each packet of a client: which target
// takes it, whether the flow is reset, or whether the packet is dropped. It has
// no sockets and reads no clock.
package packet

import (
	"net/netip"
	"time"
)

// Flow identifies a flow by the addresses of its two ends.
type Flow struct {
	Client  netip.AddrPort
	Service netip.AddrPort
}

// Packet is the part of a client's packet that decisions depend on.
type Packet struct {
	Flow Flow
	// Tag is the cookie that the client received last on the flow; zero if none.
	Tag             uint32
	Sequence        uint32
	Acknowledgement uint32
	// Length is the number of data bytes.
	Length        int
	SYN, FIN, RST bool
	// Waited is the time for which the packet waited in the host, or a bound on it.
	Waited time.Duration
	// AfterPause is set if the process may have been paused meanwhile. The fabric may have sent
	// the flow's next packets to other hosts.
	AfterPause bool
}

// arrived returns the time at which a packet that is decided on now came to the host.
func (k *Packet) arrived(now time.Duration) time.Duration { return now - k.Waited }

// TargetKey identifies an incarnation of a target on the wire.
type TargetKey uint64

// Tag returns the cookie that names the target in the packets of a flow. It is
// never zero, and hosts derive it without agreement. The mixing is that of
// SplitMix64.
func (k TargetKey) Tag() uint32 {
	x := uint64(k) * 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return uint32(x>>32) | 1
}

// Action says what to do with a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	// Forward sends the packet to the target with its tag.
	Forward
	// Refuse answers the client with a reset.
	Refuse
)

// Reason says why a packet met its action.
type Reason uint8

// The reasons of decisions.
const (
	ReasonPlaced Reason = iota
	// ReasonPlacedElsewhere is that of an opening whose service, drawn by the weights of the
	// route, had no target or no room, at a target of another service of the route.
	ReasonPlacedElsewhere
	ReasonPlacedAgain
	ReasonCopy
	ReasonOpen
	ReasonAdopted
	// ReasonContested is that of a flow whose tag leads elsewhere, and which opened at the
	// target by what the host that took its opening said.
	ReasonContested
	ReasonRouteUnknown
	ReasonNoRoute
	ReasonNoTarget
	ReasonNotOpen
	ReasonTargetUnknown
	ReasonTargetGone
	ReasonTargetDead
	ReasonNoConfiguration
	ReasonMalformed
	// ReasonLate is that of an opening packet which may have waited until its client gave
	// up or opened the flow elsewhere.
	ReasonLate
	// ReasonEvacuated is that of an opening whose service has targets in evacuated data centres
	// only.
	ReasonEvacuated
	// ReasonCold is that of an opening packet for which only targets in their warm-up are left,
	// or whose target is one, and the host may send them no more.
	ReasonCold
	reasonCount
)

var reasonNames = [reasonCount]string{
	"placed", "placed_elsewhere", "placed_again", "copy", "open", "adopted", "contested", "route_unknown", "no_route", "no_target", "not_open",
	"target_unknown", "target_gone", "target_dead", "no_configuration", "malformed", "late", "evacuated", "cold",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, reasonCount)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	Reason Reason
	// Name is that of the target, if it is known.
	Name string
	// Target, Address and Tag are set for Forward.
	Target  TargetKey
	Address netip.AddrPort
	Tag     uint32
}

// Route says which services take the new flows of a service address.
type Route struct {
	Address  netip.AddrPort
	Services []ServiceShare
	// IdleTimeout is the time after which a silent flow may be discarded.
	IdleTimeout time.Duration
	// Idempotent is set if clients may repeat the requests of the route's flows.
	Idempotent bool
}

// ServiceShare is the weight of a service among those of a route.
type ServiceShare struct {
	Service string
	Weight  uint32
}

// TargetState says what a target may be sent.
type TargetState uint8

// The states of targets.
const (
	// Accepting targets take new flows.
	Accepting TargetState = iota
	// Draining targets keep their open flows.
	Draining
	// Lapsed targets took new flows until their entry went. They take new flows
	// only while no other target does: entries lapse while the store is away.
	Lapsed
	// Departed targets drained before their entry went, but may still run.
	Departed
	// Gone targets have ended; their flows can be reset.
	Gone
	// Unnamed entries have a service that no configuration names. They take no flows; those
	// that the host knows go on.
	Unnamed
)

var stateNames = [...]string{"accepting", "draining", "lapsed", "departed", "gone", "unnamed"}

// String returns the name of the state in logs and reports.
func (s TargetState) String() string { return stateNames[s] }

// Target is a target as the view describes it.
type Target struct {
	Key        TargetKey
	Name       string
	Service    string
	DataCentre string
	Address    netip.AddrPort
	Slots      int
	State      TargetState
	// StartedAtMillis is the time of the target's start in milliseconds since 1970; zero if it is
	// not known.
	StartedAtMillis int64
	// WarmUpEnd is the time on the plane's clock when the target's warm-up ends.
	WarmUpEnd time.Duration
	// WarmUpAllowance is what the host may send the target until then, if warm-ups are guarded.
	WarmUpAllowance WarmUpAllowance
}
