package configuration

import (
	"time"

	"oriolevalve/internal/duration"
)

// AddressQuarantine is the time during which an address that one service gave
// up is refused to other services. A host that was paused when the address was
// removed stops using its old snapshot within this time.
const AddressQuarantine = 10 * time.Second

// MinIdleTimeout is the least idle timeout of a service. The owner of a target
// keeps request identities and exceptions for 90 s. With a shorter idle timeout,
// hosts would forget an earlier target set while a repeat of a request must
// still find the target that ran it.
const MinIdleTimeout = 90 * time.Second

// Limits of a configuration. Together they keep every stored value below
// MaxValueBytes.
const (
	MaxServices          = 2000
	MaxTargetsPerService = 1024
	// MaxGenerations limits the target set changes of one service within its
	// idle timeout.
	MaxGenerations = 256
	// MaxRemovedAddresses limits the addresses in quarantine. An entry takes
	// about 100 bytes of the head.
	MaxRemovedAddresses = 2048
)

// Defaults of a declared target.
const (
	DefaultConnections = 2000
	DefaultWeight      = 1
)

// DefaultPolicy returns the policy of a service that declares none.
func DefaultPolicy() Policy {
	return Policy{
		BalanceBound: 1.15,
		IdleTimeout:  duration.Duration(10 * time.Minute),
		DrainTimeout: duration.Duration(30 * time.Second),
		WarmUp:       duration.Duration(30 * time.Second),
		QueueLimit:   16,
		CallerRate:   0,
		EjectFloor:   0.5,
	}
}

// quarantined returns the entries that still block their address at the given time.
func quarantined(list []RemovedAddress, now time.Time) []RemovedAddress {
	var kept []RemovedAddress
	for _, r := range list {
		if now.Sub(r.RemovedAt) < AddressQuarantine {
			kept = append(kept, r)
		}
	}
	return kept
}
