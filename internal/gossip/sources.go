package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sourceLimit is the number of hosts that are remembered as sources. The
	// newest are most likely to have what is asked for.
	sourceLimit = 8
	// promiseLimit is the time for which a host counts as reading the list from
	// the store after it was seen to proceed: a page takes 0.1 s to 0.3 s on a link
	// of 10 Mbit/s, and messages may be lost.
	promiseLimit = 4 * Interval
	// storeDelay is the time without a sign of progress for which a host without a
	// catalog leaves the store to hosts that are about to deliver: an asker waits
	// QueueTimeout at most, and then for a transfer. storeLimit bounds it in all, to
	// three quarters of the 12 s in which a fleet has to serve again.
	storeDelay = QueueTimeout + time.Second
	storeLimit = 9 * time.Second
	// retryDelay is the pause after a fetch from the last known source failed,
	// twice the time in which a copy of the catalog of 3,000 targets travels.
	retryDelay = 200 * time.Millisecond
)

// Sources decides from which host to fetch what a collection lacks. It has no
// sockets and reads no clock.
type Sources struct {
	random *rand.Rand
	// known are the addresses of hosts that have the news, the newest last.
	known []string
	// redirected is set if the last one of known was named by another source.
	redirected bool
	running    bool
	next       time.Duration
	// promised is the time at which a host that reads from the store was seen to
	// proceed, reading how far it was.
	promised time.Duration
	reading  int
	// first is the time from which the host expects news, since that of the last
	// sign of progress.
	first, since time.Duration
}

// never is the time of what did not happen yet.
const never = -time.Hour

// NewSources returns sources without a host.
func NewSources(random *rand.Rand) *Sources {
	return &Sources{random: random, promised: never, first: never, since: never}
}

// AddSource notes that a host has what this one lacks.
func (s *Sources) AddSource(address string, now time.Duration) {
	s.expect(now)
	if i := slices.Index(s.known, address); i >= 0 {
		return
	}
	if len(s.known) == sourceLimit {
		s.known = slices.Delete(s.known, 0, 1)
	}
	s.known = append(s.known, address)
}

// ReportProgress notes how far a host has read the collection from the store; zero if it
// reads none.
func (s *Sources) ReportProgress(reading int, now time.Duration) {
	if reading <= s.reading {
		return
	}
	s.expect(now)
	s.promised, s.reading, s.since = now, reading, now
}

func (s *Sources) expect(now time.Duration) {
	if s.first == never {
		s.first, s.since = now, now
	}
}

// RelayedProgress returns how far a host that reads the collection from the store was,
// and zero if none was seen to proceed lately. Hosts pass it on: one that lags
// counts for nothing, so it can't go round.
func (s *Sources) RelayedProgress(now time.Duration) int {
	if now-s.promised >= promiseLimit {
		return 0
	}
	return s.reading
}

// Expecting reports whether another host is about to deliver the collection, so
// that this one need not read it from the store.
func (s *Sources) Expecting(now time.Duration) bool {
	if s.first == never || now-s.since > storeDelay || now-s.first > storeLimit {
		return false
	}
	return s.running || len(s.known) > 0 || s.RelayedProgress(now) > 0
}

// Next returns the host to fetch from now, if any.
func (s *Sources) Next(now time.Duration) (address string, due bool) {
	if s.running || len(s.known) == 0 || now < s.next {
		return "", false
	}
	i := len(s.known) - 1
	if !s.redirected {
		i = s.random.IntN(len(s.known))
	}
	address = s.known[i]
	s.known = slices.Delete(s.known, i, i+1)
	s.running, s.redirected = true, false
	return address, true
}

// Done notes the end of a fetch. A host that is busy may name another source.
func (s *Sources) Done(success bool, redirect string, now time.Duration) {
	s.running = false
	switch {
	case success:
		// What the others have may be known now; who has more says so again.
		s.known, s.first, s.promised, s.reading, s.next = s.known[:0], never, never, 0, now
	case redirect != "":
		s.known = append(slices.DeleteFunc(s.known, func(a string) bool { return a == redirect }), redirect)
		s.redirected, s.next, s.since = true, now, now
	case len(s.known) == 0:
		s.next = now + retryDelay/2 + time.Duration(s.random.Int64N(int64(retryDelay)))
	default:
		s.next = now
	}
}
