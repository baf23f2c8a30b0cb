package catalog

import (
	"math/bits"
	"time"

	"github.com/cockroachdb/errors"
)

// The times at which a host asks the store itself.
const (
	// AnswerTimeout is the time beyond its wait after which a call counts as lost.
	// It covers answers that take a hundred times their usual 4 ms.
	AnswerTimeout = 600 * time.Millisecond
	// askReserve is what remains of the bound on the age when the first host that
	// does not watch asks: two calls that are lost, and the way to other hosts.
	askReserve = 2*AnswerTimeout + 400*time.Millisecond
	// leastAskPart is the part of a short bound from which a host asks although
	// less than the reserve remains.
	leastAskPart = 4
	// watchShare is the longest wait of a watch as a share of the bound. A watch
	// that ends empty confirms that nothing changed.
	watchShare = 0.3
	// askEarly is the age, as a share of the bound, at which hosts of a large fleet begin
	// to ask: a watch and the way of its answer to the last host take less.
	askEarly = 0.55
	// askStep is the additional age with each doubling of the rank, a round of gossip, in
	// which the answer of the first ranks spreads; askSpan bounds it.
	askStep = 250 * time.Millisecond
	askSpan = 600 * time.Millisecond
	// leadSpan is the time for which a host has to be the first one before it watches:
	// one that starts does not know the others yet.
	leadSpan = time.Second
	// retryDelay is the pause after the first failed call; it doubles up to
	// retryLimit, but for hosts without a catalog, which can't serve. From the second failure on each rank adds retryStep: one host
	// that reaches the store is enough for all.
	retryDelay = 200 * time.Millisecond
	retryLimit = 800 * time.Millisecond
	retryStep  = 100 * time.Millisecond
	retryRanks = 100
	// changePause is the time after an answer with changes until the next watch, so that
	// changes in quick succession share a call. A change is known later by as much at
	// most, a fifteenth of the shortest bound.
	changePause = 200 * time.Millisecond
	// listingLimit is the age at which pages of a list are dropped. The changes
	// since its first page must still be in the store's history of 20 s.
	listingLimit = 10 * time.Second
	// pageObjects is the usual number of objects of a page.
	pageObjects = 500
)

// watchAnswerAge is the age given to an answer with changes: the store sends it as
// soon as there is one, and a slow store takes this long.
const watchAnswerAge = 300 * time.Millisecond

// Call is a question to the store.
type Call struct {
	Kind Kind
	// List asks for a page of all objects, which starts after the object named
	// After; otherwise the call asks for the changes after Since and waits for one.
	List  bool
	After string
	// Epoch is the epoch of the store in which Since was given out.
	Epoch uint64
	Since uint64
	Wait  time.Duration
}

// Timeout returns the time after which the call counts as lost. A page of a list
// has more bytes than other answers.
func (c Call) Timeout() time.Duration {
	if c.List {
		return 2 * AnswerTimeout
	}
	return c.Wait + AnswerTimeout
}

// Poller decides when a host asks the store about one collection.
type Poller struct {
	kind Kind
	// bound is the age that the collection must not exceed.
	bound    time.Duration
	running  bool
	failures int
	next     time.Duration
	// lost is set if the store no longer has the changes, empty if the host has no
	// catalog at all, listing if the running call asks for all objects.
	lost, empty, listing bool
	// leading is the time since which the host is the first one; negative if it is not.
	leading time.Duration
	// changed is set if the last answer to a watch had changes.
	changed bool
	// losses counts the lost histories since the last answer to a watch.
	losses int
	// pages is what the current list has so far, since the time listed; listed is
	// negative between two lists.
	pages  Batch
	listed time.Duration
}

// NewPoller returns the asker of a collection whose age must stay under a bound.
// It makes no call before the given time: the host first asks other hosts.
func NewPoller(kind Kind, bound, first time.Duration) *Poller {
	return &Poller{kind: kind, bound: bound, next: first, listed: noListing, leading: notLeading}
}

const (
	// noListing marks an asker without pages, notLeading one of a host that is not the
	// first.
	noListing  = -time.Nanosecond
	notLeading = -time.Nanosecond
)

// SetBound changes the bound on the age.
func (a *Poller) SetBound(bound time.Duration) { a.bound = bound }

// ListProgress returns one more than the number of objects that the host has read of a
// list that it reads from the store, and zero if it reads none or the store fails.
func (a *Poller) ListProgress() int {
	if a.listed == noListing || a.failures > 0 {
		return 0
	}
	return len(a.pages.Objects) + 1
}

// AbandonList ends the reading of a list in favor of a host that has read so many objects,
// unless this one is ahead by more than a page.
func (a *Poller) AbandonList(reading int) {
	if a.listed != noListing && reading > 0 && a.ListProgress() <= reading+pageObjects {
		a.pages, a.listed = Batch{}, noListing
	}
}

// Next returns the call to make now, if any. The rank is the host's place among
// the live hosts: the first one watches, the others ask only if what they know
// has grown old. A host that expects its first catalog from another host does not
// start to read it from the store, and does not go on against a store that fails.
func (a *Poller) Next(c *Catalog, rank int, expecting bool, now time.Duration) (Call, bool) {
	leads := a.leads(rank, now)
	if a.running || now < a.next {
		return Call{}, false
	}
	age, valid := c.Age(a.kind, now)
	call := Call{Kind: a.kind, Epoch: c.collections[a.kind].Epoch, Since: c.collections[a.kind].Revision}
	a.empty = !valid
	if valid && !a.lost {
		// Another host was faster than the list.
		a.pages, a.listed = Batch{}, noListing
	}
	switch {
	case !valid && expecting && (a.listed == noListing || a.failures > 0):
		return Call{}, false
	case !valid || a.lost:
		call.List = true
		if a.listed == noListing || now-a.listed > listingLimit {
			a.pages, a.listed = Batch{Whole: true}, now
		}
		call.After = a.pages.Next
	case leads:
		// A watch of old knowledge leaves time for another call if it is lost.
		call.Wait = max(0, min(time.Duration(watchShare*float64(a.bound)), a.bound-age-askReserve))
	case age < a.askAge(rank):
		return Call{}, false
	}
	a.running, a.listing = true, call.List
	return call, true
}

// leads reports whether the host watches: it has been the first one for a while.
func (a *Poller) leads(rank int, now time.Duration) bool {
	if rank > 0 {
		a.leading = notLeading
		return false
	}
	if a.leading == notLeading {
		a.leading = now
	}
	return now-a.leading >= leadSpan
}

// askAge returns the age of the collection at which a host that does not watch asks.
// With each step as many hosts ask as before it: a few at first, and all of them early
// enough for a call that is lost.
func (a *Poller) askAge(rank int) time.Duration {
	latest := max(a.bound-askReserve, a.bound/leastAskPart)
	first := min(latest, time.Duration(askEarly*float64(a.bound)))
	return min(first+askStep*time.Duration(bits.Len(uint(max(rank, 1)))), latest+askSpan)
}

// AddAnswer returns the batch that an answer completes, with the time from which it
// holds: the whole list after its last page. A list that fails on a page goes on
// with that page, so that a slow host or store makes progress.
func (a *Poller) AddAnswer(call Call, b Batch, started, now time.Duration) (batch Batch, complete time.Duration, done bool) {
	a.changed = !call.List && len(b.Objects) > 0
	switch {
	case !call.List && len(b.Objects) == 0:
		return b, min(now, started+call.Wait), true
	case !call.List:
		return b, max(started, now-watchAnswerAge), true
	}
	if a.listed == noListing || started < a.listed {
		return Batch{}, 0, false
	}
	if call.After != "" && b.Epoch != a.pages.Epoch {
		// The first pages are of a state that the store has lost.
		a.pages, a.listed = Batch{}, noListing
		return Batch{}, 0, false
	}
	if call.After == "" {
		// Later pages may hold newer objects, whose changes a watch repeats.
		a.pages.Epoch, a.pages.Revision = b.Epoch, b.Revision
	}
	a.pages.Objects = append(a.pages.Objects, b.Objects...)
	a.pages.Next = b.Next
	if b.Next != "" {
		return Batch{}, 0, false
	}
	batch, complete = a.pages, a.listed
	a.pages, a.listed = Batch{}, noListing
	return batch, complete, true
}

// Outcome is the result of a call.
type Outcome uint8

// The outcomes of calls.
const (
	Answered Outcome = iota
	// HistoryGone means that the store no longer has the changes asked for.
	HistoryGone
	Failed
)

// Done notes the outcome of the running call of a host with a rank.
func (a *Poller) Done(outcome Outcome, rank int, now time.Duration) {
	a.running = false
	switch outcome {
	case Answered:
		a.failures, a.next = 0, now
		if a.changed {
			a.next += changePause
		}
		if a.listing {
			// Pages that are left keep the host at its list.
			a.lost = a.lost && a.listed != noListing
		} else {
			a.lost, a.losses = false, 0
		}
	case HistoryGone:
		// A store that keeps no history would be asked without a pause.
		a.lost, a.next = true, now
		if a.losses > 0 {
			a.next += min(retryLimit, retryDelay<<min(a.losses-1, 4))
		}
		a.losses++
	case Failed:
		delay := min(retryLimit, retryDelay<<min(a.failures, 4))
		if a.empty {
			delay = retryDelay
		}
		a.next = now + delay
		if a.failures > 0 {
			a.next += retryStep * time.Duration(min(rank, retryRanks))
		}
		a.failures++
	}
}

// MalformedFunc is told of each object whose content can't be used.
type MalformedFunc func(kind Kind, name string, revision uint64, reason error)

// ErrHistoryGone means that the store no longer has the changes asked for.
var ErrHistoryGone = errors.New("the store no longer has these changes")
