package warmup

import (
	"time"

	"oriolevalve/internal/catalog"
)

const (
	// leftoverAge is the age of a claim whose warm-up is over for all hosts.
	leftoverAge = 2 * Longest
	// leftoverRounds is the number of removals after a warm-up was seen: the first one finds only
	// what is older than it.
	leftoverRounds = 2
)

// Leftovers decides when the claims of processes that ended are removed: twice after warm-ups, and
// by position in the store, since the hosts' times of day differ.
type Leftovers struct {
	rounds int
	mark   catalog.Position
	marked time.Duration
}

// Seen notes that warm-ups are claimed.
func (l *Leftovers) Seen(now time.Duration, position catalog.Position) {
	if l.rounds == 0 {
		l.mark, l.marked = position, now
	}
	l.rounds = leftoverRounds
}

// Due returns the position up to which claims are leftovers, if they are to be removed now.
func (l *Leftovers) Due(now time.Duration, position catalog.Position) (upTo catalog.Position, due bool) {
	if l.rounds == 0 || now-l.marked < leftoverAge {
		return catalog.Position{}, false
	}
	upTo, due = l.mark, l.mark.Epoch == position.Epoch
	l.rounds--
	l.mark, l.marked = position, now
	return upTo, due
}
