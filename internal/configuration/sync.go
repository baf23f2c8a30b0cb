package configuration

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// FetchTimeout is how long a starting host waits for the platform and the
// peers, and a running host for one source, before it goes on without.
const FetchTimeout = 2 * time.Second

// RevisionOnly is the known revision in a request for a peer's revision without
// the configuration. A starting host asks every peer, and at 800 services a
// complete answer takes 2.2 MB.
const RevisionOnly = math.MaxUint64

// platformSource stands for the platform among the sources of a revision. Host
// identifiers are never empty.
const platformSource = ""

// SyncEventKind names an event of the adoption.
type SyncEventKind string

// The events of the adoption.
const (
	// SyncStart carries the peers that can be reached.
	SyncStart SyncEventKind = "start"
	// SyncPeerRevision says that a peer has a revision.
	SyncPeerRevision SyncEventKind = "peer_revision"
	// SyncDelta carries a peer's answer.
	SyncDelta SyncEventKind = "delta"
	// SyncPeerFailed says that a peer did not answer.
	SyncPeerFailed SyncEventKind = "peer_failed"
	// SyncObject carries an object of the platform; the head may also come
	// from the watch or the poll without a request. A nil value means that the
	// object does not exist.
	SyncObject SyncEventKind = "object"
	// SyncPlatformFailed says that the platform did not answer a read.
	SyncPlatformFailed SyncEventKind = "platform_failed"
	// SyncCommitted carries the state that a commit of this host wrote.
	SyncCommitted SyncEventKind = "committed"
	// SyncTick tells the time.
	SyncTick SyncEventKind = "tick"
)

// SyncEvent is an input of the adoption.
type SyncEvent struct {
	Now      time.Time
	Kind     SyncEventKind
	Peers    []string
	Peer     string
	Revision uint64
	Delta    Delta
	Key      string
	Value    []byte
	State    *State
}

// SyncActionKind names an action of the adoption.
type SyncActionKind string

// The actions of the adoption.
const (
	// SyncFetchPeer asks a peer for the delta since the known revision, or
	// for its revision if that is RevisionOnly.
	SyncFetchPeer SyncActionKind = "fetch_peer"
	// SyncReadObject reads an object of the platform.
	SyncReadObject SyncActionKind = "read_object"
	// SyncAdopt puts a state into force.
	SyncAdopt SyncActionKind = "adopt"
	// SyncAlarm says that a newer revision could not be used.
	SyncAlarm SyncActionKind = "alarm"
	// SyncStartupDone says that the starting host has asked all sources.
	SyncStartupDone SyncActionKind = "started"
)

// SyncAction is an output of the adoption.
type SyncAction struct {
	Kind SyncActionKind
	Peer string
	// SinceRevision is the revision to send to the peer.
	SinceRevision uint64
	Key           string
	State         *State
	Reason        string
}

// Syncer decides which revision is in force on a host. It is a state machine
// without I/O.
type Syncer struct {
	host  string
	state *State
	// offers are the revisions above the own one that peers have.
	offers map[string]uint64
	// behind is set after a peer failed to deliver a newer revision. The
	// platform is asked once no other peer has it.
	behind bool
	// asked holds the sources that were asked, with the time to give up.
	asked map[string]time.Time
	// wanted is the platform's revision whose segments are being read.
	wanted   *Index
	objects  map[string][]byte
	starting bool
	started  bool
	alarm    string
}

// SyncerOption configures a Syncer.
type SyncerOption func(*Syncer)

// WithHost sets the identifier of the host. It spreads the hosts over the peers
// from which they fetch.
func WithHost(id string) SyncerOption { return func(a *Syncer) { a.host = id } }

// NewSyncer returns the adoption of a host without a configuration.
func NewSyncer(options ...SyncerOption) *Syncer {
	a := &Syncer{state: NewState(), offers: map[string]uint64{}, asked: map[string]time.Time{}}
	for _, o := range options {
		o(a)
	}
	return a
}

// State returns the state in force.
func (a *Syncer) State() *State { return a.state }

// Alarm returns why the newest revision that was offered is not in force, or an
// empty text.
func (a *Syncer) Alarm() string { return a.alarm }

// Handle processes an event and returns the actions to perform.
func (a *Syncer) Handle(e SyncEvent) []SyncAction {
	var actions []SyncAction
	switch e.Kind {
	case SyncStart:
		a.starting = true
		actions = append(actions, a.readHead(e.Now))
		for _, peer := range e.Peers {
			a.asked[peer] = e.Now.Add(FetchTimeout)
			actions = append(actions, SyncAction{Kind: SyncFetchPeer, Peer: peer, SinceRevision: RevisionOnly})
		}
	case SyncPeerRevision:
		if e.Revision > a.state.Revision() {
			a.offers[e.Peer] = e.Revision
		}
	case SyncDelta:
		delete(a.asked, e.Peer)
		if e.Delta.Digest == "" && e.Delta.Index.Revision > a.state.Revision() {
			a.offers[e.Peer] = e.Delta.Index.Revision
			break
		}
		actions = a.delta(e)
	case SyncPeerFailed:
		a.dropPeer(e.Peer)
	case SyncObject:
		actions = a.object(e)
	case SyncPlatformFailed:
		a.dropPlatform()
	case SyncCommitted:
		actions = a.adopt(e.State)
	case SyncTick:
		a.expire(e.Now)
	}
	actions = append(actions, a.fetchNext(e.Now)...)
	if a.starting && len(a.asked) == 0 {
		a.starting, a.started = false, true
		actions = append(actions, SyncAction{Kind: SyncStartupDone})
	}
	return actions
}

// StartupDone reports whether the starting host has asked all sources.
func (a *Syncer) StartupDone() bool { return a.started }

func (a *Syncer) readHead(now time.Time) SyncAction {
	a.asked[platformSource] = now.Add(FetchTimeout)
	return SyncAction{Kind: SyncReadObject, Key: HeadKey}
}

func (a *Syncer) fetch(peer string, now time.Time) SyncAction {
	a.asked[peer] = now.Add(FetchTimeout)
	return SyncAction{Kind: SyncFetchPeer, Peer: peer, SinceRevision: a.state.Revision()}
}

// fetchNext asks the next source if a newer revision is known to exist and no
// source is being asked: a peer that has it, else the platform.
func (a *Syncer) fetchNext(now time.Time) []SyncAction {
	if len(a.asked) > 0 {
		return nil
	}
	if peer := a.bestPeer(); peer != "" {
		return []SyncAction{a.fetch(peer, now)}
	}
	if a.wanted == nil && a.behind {
		a.behind = false
		return []SyncAction{a.readHead(now)}
	}
	if a.wanted == nil {
		return nil
	}
	missing := a.state.missing(*a.wanted, a.objects)
	if len(missing) == 0 {
		return a.assembleWanted()
	}
	a.asked[platformSource] = now.Add(FetchTimeout)
	var actions []SyncAction
	for _, r := range missing {
		actions = append(actions, SyncAction{Kind: SyncReadObject, Key: r.Key()})
	}
	return actions
}

// bestPeer returns the peer with the highest revision, the first by rendezvous
// hash among several: otherwise hosts that restart together would all fetch
// from one peer. The revision must reach that of the platform's head, if that
// is known.
func (a *Syncer) bestPeer() string {
	best, revision, score := "", a.state.Revision()+1, uint64(0)
	if a.wanted != nil {
		revision = a.wanted.Revision
	}
	for peer, offered := range a.offers {
		if offered < revision {
			continue
		}
		n := xxh3.HashString(a.host + "\x00" + peer)
		if best == "" || offered > revision || n > score || n == score && peer < best {
			best, revision, score = peer, offered, n
		}
	}
	return best
}

func (a *Syncer) delta(e SyncEvent) []SyncAction {
	if e.Delta.Index.Revision <= a.state.Revision() {
		// The peer has nothing newer: an older revision is never applied.
		delete(a.offers, e.Peer)
		return nil
	}
	next, err := a.state.WithDelta(e.Delta)
	if err != nil {
		delete(a.offers, e.Peer)
		a.behind = true
		return []SyncAction{a.raise(errors.Wrapf(err, "from host %s", e.Peer))}
	}
	return a.adopt(next)
}

func (a *Syncer) object(e SyncEvent) []SyncAction {
	if e.Key == HeadKey {
		delete(a.asked, platformSource)
		if e.Value == nil {
			return nil
		}
		head, err := DecodeHead(e.Value)
		if err != nil {
			return []SyncAction{a.raise(err)}
		}
		if head.Revision <= a.state.Revision() {
			// What a peer offered above it does not exist.
			a.alarm = ""
			return nil
		}
		if a.wanted == nil || head.Revision > a.wanted.Revision {
			a.wanted, a.objects = &head.Index, map[string][]byte{}
		}
		return nil
	}
	if a.wanted == nil {
		return nil
	}
	for _, r := range a.wanted.Services {
		if r.Key() != e.Key {
			continue
		}
		if e.Value == nil {
			// A later change may have removed the segment: the next head tells.
			a.dropPlatform()
			return []SyncAction{a.raise(errors.Newf("%s does not exist", e.Key))}
		}
		if _, err := DecodeSegment(e.Value, r); err != nil {
			a.dropPlatform()
			return []SyncAction{a.raise(err)}
		}
		a.objects[e.Key] = e.Value
		break
	}
	if len(a.state.missing(*a.wanted, a.objects)) > 0 {
		return nil
	}
	return a.assembleWanted()
}

func (a *Syncer) assembleWanted() []SyncAction {
	delete(a.asked, platformSource)
	next, err := a.state.assemble(*a.wanted, a.objects)
	a.wanted, a.objects = nil, nil
	if err != nil {
		return []SyncAction{a.raise(err)}
	}
	return a.adopt(next)
}

// adopt puts a higher revision into force and forgets what it supersedes.
func (a *Syncer) adopt(next *State) []SyncAction {
	if next == nil || next.Revision() <= a.state.Revision() {
		return nil
	}
	a.state, a.alarm, a.behind = next, "", false
	for peer, revision := range a.offers {
		if revision <= next.Revision() {
			delete(a.offers, peer)
		}
	}
	if a.wanted != nil && a.wanted.Revision <= next.Revision() {
		a.dropPlatform()
	}
	return []SyncAction{{Kind: SyncAdopt, State: next}}
}

// raise keeps the last good configuration and reports why.
func (a *Syncer) raise(err error) SyncAction {
	a.alarm = fmt.Sprintf("a configuration cannot be used, revision %d stays in force: %v", a.state.Revision(), err)
	return SyncAction{Kind: SyncAlarm, Reason: a.alarm}
}

func (a *Syncer) dropPeer(peer string) {
	if _, offered := a.offers[peer]; offered {
		a.behind = true
	}
	delete(a.asked, peer)
	delete(a.offers, peer)
}

func (a *Syncer) dropPlatform() {
	delete(a.asked, platformSource)
	a.wanted, a.objects = nil, nil
}

func (a *Syncer) expire(now time.Time) {
	for source, deadline := range a.asked {
		switch {
		case now.Before(deadline):
		case source == platformSource:
			a.dropPlatform()
		default:
			a.dropPeer(source)
		}
	}
}
