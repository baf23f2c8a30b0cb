package gossip

import (
	"slices"
	"time"
)

const (
	// transferSlots is the number of whole collections that a host sends at a
	// time. Two keep a link of 10 Mbit/s busy while one of the askers is slow.
	transferSlots = 2
	// unconfirmedLimit bounds the bytes of sent collections whose askers have not ended
	// their connections, if more than transferSlots are to be on their way. They take 0.2 s
	// on a link of 10 Mbit/s, as long as the last of a hundred starting hosts on 0.045 of a
	// core take when they are sent from source to source.
	unconfirmedLimit = 256 << 10
	// queueLimit is the number of askers that wait for a slot: those of one seed
	// when 1,100 hosts start at once. Each holds a connection.
	queueLimit = 400
	// QueueTimeout is the time after which an asker that still waits is sent away:
	// three pairs of transfers of 11,000 targets over a link of 10 Mbit/s.
	QueueTimeout = 2 * time.Second
	// servedLimit is the number of served hosts that are remembered.
	servedLimit = 16
)

// Decision says what happens to an asker.
type Decision uint8

// The verdicts.
const (
	// Send sends the asker the collection.
	Send Decision = iota
	// Redirect sends it to another host, or away if none is known.
	Redirect
)

// ticket is an asker that waits for its verdict.
type ticket struct {
	address string
	entered time.Duration
	// verdict is called once.
	verdict func(v Decision, redirect string)
}

// Admission decides who gets a whole collection from this host, so that a start of
// many hosts spreads it like a tree: each host that has got it takes over half of
// those that wait. It has no sockets, reads no clock, and is not safe for
// concurrent use.
type Admission struct {
	// ready is set once the host has the collection. Until then askers wait.
	ready bool
	// sending is the number of transfers in preparation, unconfirmed that of those which
	// are sent but not confirmed, unconfirmedBytes their size.
	sending, unconfirmed, unconfirmedBytes int
	queue                                  []*ticket
	// served are the last hosts that got the collection; some may have been killed.
	served []string
	// named counts the hosts that were named to askers.
	named int
}

// SetReady notes that the host has the collection.
func (a *Admission) SetReady() {
	a.ready = true
	a.admit()
}

// Enqueue adds an asker. The verdict may be called before Enqueue returns.
func (a *Admission) Enqueue(address string, now time.Duration, verdict func(v Decision, redirect string)) {
	a.Expire(now)
	if len(a.queue) == queueLimit {
		verdict(Redirect, a.other(address))
		return
	}
	a.queue = append(a.queue, &ticket{address: address, entered: now, verdict: verdict})
	a.admit()
}

// admit sends the collection to those that wait while a slot is free.
func (a *Admission) admit() {
	for a.ready && a.slotFree() && len(a.queue) > 0 {
		a.sending++
		a.remove().verdict(Send, "")
	}
}

// slotFree reports whether another transfer may begin. Small collections need not wait for askers
// that are slower than this host: at a start of many hosts on fractions of a core, each that is
// sent to another source loses tens of milliseconds.
func (a *Admission) slotFree() bool {
	return a.sending+a.unconfirmed < transferSlots || a.sending < transferSlots && a.unconfirmedBytes < unconfirmedLimit
}

// Sent notes that a collection of a size was passed to the network.
func (a *Admission) Sent(size int) {
	a.sending--
	a.unconfirmed++
	a.unconfirmedBytes += size
	a.admit()
}

// Confirm notes that an asker has ended its connection after a collection of a size was sent.
func (a *Admission) Confirm(address string, size int, now time.Duration) {
	a.unconfirmed--
	a.unconfirmedBytes -= size
	a.ended(address, true, now)
}

// Release notes the end of a transfer that was not noted as sent.
func (a *Admission) Release(address string, served bool, now time.Duration) {
	a.sending--
	a.ended(address, served, now)
}

// ended goes on after a transfer. An asker that was served can serve others.
func (a *Admission) ended(address string, served bool, now time.Duration) {
	a.Expire(now)
	if served {
		if len(a.served) == servedLimit {
			a.served = slices.Delete(a.served, 0, 1)
		}
		a.served = append(a.served, address)
		for range (len(a.queue) + 1) / 2 {
			a.remove().verdict(Redirect, address)
		}
	}
	a.admit()
}

// Expire sends away those that waited too long.
func (a *Admission) Expire(now time.Duration) {
	for len(a.queue) > 0 && now-a.queue[0].entered >= QueueTimeout {
		t := a.remove()
		t.verdict(Redirect, a.other(t.address))
	}
}

// other returns a host that was served lately, each in its turn.
func (a *Admission) other(address string) string {
	for range a.served {
		a.named++
		if other := a.served[a.named%len(a.served)]; other != address {
			return other
		}
	}
	return ""
}

func (a *Admission) remove() *ticket {
	t := a.queue[0]
	a.queue = slices.Delete(a.queue, 0, 1)
	return t
}
