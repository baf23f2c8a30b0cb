// Package platform speaks to the platform's object API.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// WatchSilence is the time without a heartbeat after which a watch counts as
// silent. The platform sends a heartbeat every HeartbeatInterval.
const (
	WatchSilence      = 10 * time.Second
	HeartbeatInterval = 5 * time.Second
)

// Object is a stored value.
type Object struct {
	// Version changes with every write. Zero means that the object does not exist.
	Version uint64
	Value   []byte
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of hosts in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list. The list lags.
type Host struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Address is where other hosts reach the host.
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// Client is the object API. Errors have a Kind, which KindOf returns.
type Client interface {
	// Get returns an object. KindNotFound if it does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// Create writes a new object and returns its version. KindConflict if it
	// exists.
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	// UpdateIfVersion replaces the value and returns the new version.
	// KindConflict if the object has another version.
	UpdateIfVersion(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Delete removes an object. KindNotFound if it does not exist.
	Delete(ctx context.Context, key string) error
	// Watch waits until the object has another version than the given one and
	// returns it; the version is zero if the object was deleted. It is one
	// waiting call. KindAnswerLost if the connection breaks or is silent for
	// WatchSilence.
	Watch(ctx context.Context, key string, version uint64) (Object, error)
	// HostList returns the platform's list of hosts.
	HostList(ctx context.Context) ([]Host, error)
}

// Kind says what is known about a failed call.
type Kind string

// The kinds of errors.
const (
	// KindNotSent means that the call had no effect and may be repeated: the
	// platform was not reached, or turned the call away because of overload.
	KindNotSent Kind = "not_sent"
	// KindRefused means that the call had no effect and never will.
	KindRefused Kind = "refused"
	// KindConflict means that the condition on the version did not hold, so the
	// call had no effect.
	KindConflict Kind = "conflict"
	// KindNotFound means that the object does not exist.
	KindNotFound Kind = "not_found"
	// KindAnswerLost means that the call may have had its effect.
	KindAnswerLost Kind = "answer_lost"
)

// Error is the failure of a call.
type Error struct {
	Kind  Kind
	Call  string
	Key   string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("platform: %s %s: %s", e.Call, e.Key, e.Kind)
	}
	return fmt.Sprintf("platform: %s %s: %s: %v", e.Call, e.Key, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a call's error. An error of another origin counts
// as a lost answer, because nothing is known about it.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindAnswerLost
}
