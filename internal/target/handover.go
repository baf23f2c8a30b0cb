package target

import (
	"maps"
	"slices"
	"time"

	"oriolevalve/pkg/flow"
)

// handoverBatch bounds the records of a message. At 20 bytes per record a
// message stays near 20 KB.
const handoverBatch = 1000

// handoverLead is how long before the ownership a complete handover may
// arrive. Membership changes reach all hosts well within it.
const handoverLead = 10 * time.Second

func (o *Owner) takeoverStarted(e TakeoverStarted) {
	o.takenOverAt, o.term = o.now, uint64(o.now.UnixNano())
	o.previous, o.complete, o.foreign = e.PreviousOwner, e.FirstOwner, e.RemoteDataCentre
	o.lost, o.claimed = false, false
	if e.PreviousOwner != "" && e.PreviousOwner == o.handedOverBy && o.now.Sub(o.handedOverAt) < handoverLead {
		// The previous owner learned of the change first and has already handed
		// over.
		o.previous, o.complete = "", true
	}
	o.sessionsKnown = e.FirstOwner || o.complete && o.handedOverSessions
	o.handedOverBy = ""
	o.status.Version = max(o.status.Version, e.Version)
}

// endTakeover ends the takeover once no repeat of an earlier request can arrive
// unmarked.
func (o *Owner) endTakeover() {
	if !o.complete && (o.previous == "" || o.claimed) && o.now.Sub(o.takenOverAt) >= identityTime {
		o.complete, o.previous = true, ""
	}
}

// claimAnswered moves the start of the takeover to the time up to which the
// previous owner may have started requests.
func (o *Owner) claimAnswered(failed bool) {
	if o.claimed || o.complete {
		return
	}
	o.claimed = !failed
	o.takenOverAt = o.now
}

func (o *Owner) handoverReceived(h Handover) {
	if h.Target != o.self {
		return
	}
	for _, key := range h.Sessions {
		if before, known := o.records.get(key); !known || before.seen&recordDoubtful != 0 {
			o.setRecord(key, record{value: uint32(o.self), seen: o.stamp()})
		}
	}
	var flags uint32
	if h.Copy {
		// A session may be placed again after the copy, so the handover of its
		// owner replaces the record.
		flags = recordStale
	}
	for _, r := range h.Exceptions {
		before, known := o.records.get(r.Key)
		if !known || o.lost || before.seen&recordDoubtful != 0 {
			o.setRecord(r.Key, record{value: uint32(r.Target), seen: o.stamp() | flags})
		}
	}
	for _, r := range h.Assumed {
		if before, known := o.records.get(r.Key); !known || before.seen&recordStale != 0 {
			o.setRecord(r.Key, record{value: uint32(r.Target), seen: o.stamp() | recordAssumed})
		}
	}
	for _, identity := range h.Identities {
		if len(identity) != len(flow.Key{}) {
			continue
		}
		key := flow.Key([]byte(identity))
		if _, known := o.identities.get(key); !known {
			o.setIdentity(key, identityInherited)
		} else if p := o.running[key]; p != nil && p.state == stateConsulting {
			// The answer to the consult may be lost.
			p.inherited = true
		}
	}
	if h.Complete && !h.Copy {
		o.sessionsKnown = o.sessionsKnown || h.SessionsKnown
		if o.lost {
			o.handedOverBy, o.handedOverAt, o.handedOverSessions = h.From, o.now, h.SessionsKnown
			return
		}
		o.complete, o.previous = true, ""
	}
}

// handoverRequested sends all records to the new owner. Attempts in progress
// finish here. Requests that were not sent go to the new owner.
func (o *Owner) handoverRequested(to string) {
	if o.lost {
		return
	}
	o.lost, o.handedTo = true, to
	unsent := slices.Concat(o.queue, o.retries)
	for _, p := range unsent {
		o.withdraw(p)
	}
	o.queue, o.retries = nil, nil
	clear(o.queued)
	o.sendHandover(to)
	o.records.mark(recordStale)
	o.sessionsKnown = false
	for _, p := range unsent {
		for _, one := range append([]*pending{p}, p.waiters...) {
			o.forget(one)
			o.emit(Forward{ID: one.id, Target: o.self, Request: one.request})
		}
	}
}

// withdraw undoes the records of a request that was not sent.
func (o *Owner) withdraw(p *pending) {
	o.dropIdentity(p)
	if !p.request.HasSession {
		return
	}
	session, known := o.records.get(p.request.Key)
	if known && session.value == uint32(o.self) && session.seen&recordTentative != 0 && p.first() {
		o.removeRecord(p.request.Key, session)
	}
}

func (o *Owner) sendHandover(to string) {
	self := uint32(o.self)
	sessions := o.records.sorted(func(_ flow.Key, r record) bool { return r.value == self })
	for batch := range slices.Chunk(sessions, handoverBatch) {
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Sessions: batch})})
	}
	certain, assumed := o.exceptions()
	for batch := range slices.Chunk(certain, handoverBatch) {
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Exceptions: batch})})
	}
	for batch := range slices.Chunk(assumed, handoverBatch) {
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Assumed: batch})})
	}
	complete := o.vouchesTo(to)
	keys := o.identities.sorted(func(key flow.Key, r record) bool {
		// A receiver that still consults learns of its own questions by them.
		asked := !complete && r.value == identityYielded && o.yieldedTo[key].host == to
		return r.value&identityFree == 0 && !asked
	})
	for batch := range slices.Chunk(keys, handoverBatch) {
		identities := make([]string, len(batch))
		for i, key := range batch {
			identities[i] = string(key[:])
		}
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Identities: identities})})
	}
	o.emit(SendHandover{To: to, Handover: o.handover(Handover{
		Complete: complete, SessionsKnown: complete && o.SessionsKnown(o.now),
	})})
}

// vouchesTo reports whether this owner knows every request that may have run
// before the host asked. An owner that never got its own records does not, nor
// does one that handed over to another host, which may have run requests since.
func (o *Owner) vouchesTo(host string) bool {
	return o.complete && (!o.lost || o.handedTo == host)
}

func (o *Owner) handover(h Handover) Handover {
	h.Target, h.From = o.self, o.status.Owner
	return h
}

// exceptions returns the records of flows at other targets, and those among
// them that the base rule made.
func (o *Owner) exceptions() (certain, assumed []flow.Record) {
	self := uint32(o.self)
	keys := o.records.sorted(func(_ flow.Key, r record) bool { return r.value != self })
	for _, key := range keys {
		r, _ := o.records.get(key)
		exception := flow.Record{Key: key, Target: flow.TargetID(r.value)}
		if r.seen&recordAssumed != 0 {
			assumed = append(assumed, exception)
		} else {
			certain = append(certain, exception)
		}
	}
	return certain, assumed
}

// copyChanged sends the exceptions that are new since the last copy. Those made
// by the base rule are not copied: the rule makes them again. A tentative one
// waits until its session is open: if it is dropped instead, the copy would
// bring it back at the next consult of the backup.
func (o *Owner) copyChanged() {
	var later []flow.Record
	o.changed = slices.DeleteFunc(o.changed, func(r flow.Record) bool {
		current, known := o.records.get(r.Key)
		if !known || current.value != uint32(r.Target) {
			return true
		}
		if current.seen&recordTentative != 0 {
			later = append(later, r)
			return true
		}
		return false
	})
	for batch := range slices.Chunk(o.changed, handoverBatch) {
		o.emit(CopyExceptions{Handover: o.handover(Handover{Exceptions: batch, Copy: true})})
	}
	o.changed = later
}

// BackupCopies returns the exceptions that this host holds as the backup, for the
// next backup. The owner may be gone before it sends them itself.
func (o *Owner) BackupCopies() []Handover {
	certain, _ := o.exceptions()
	var copies []Handover
	for batch := range slices.Chunk(certain, handoverBatch) {
		copies = append(copies, o.handover(Handover{Exceptions: batch, Copy: true}))
	}
	return copies
}

func (o *Owner) copyAll() {
	o.changed, _ = o.exceptions()
	o.copyChanged()
}

// MovedRecords returns the records that other flow owners need after a change
// of the table. The function returns the new table target of a key whose table
// target changed, else zero. The target of each handover is the new table
// target.
func (o *Owner) MovedRecords(isMoved func(flow.Key) flow.TargetID) []Handover {
	certain := make(map[flow.TargetID][]flow.Record)
	assumed := make(map[flow.TargetID][]flow.Record)
	for _, key := range o.records.sorted(func(flow.Key, record) bool { return true }) {
		to := isMoved(key)
		if to == 0 || to == o.self {
			continue
		}
		r, _ := o.records.get(key)
		if r.seen&recordTentative != 0 {
			// Its first message is under way. The base rule and the consult
			// lead to this owner, which drops the record if it is refused.
			continue
		}
		moved := flow.Record{Key: key, Target: flow.TargetID(r.value)}
		if r.seen&recordAssumed != 0 {
			assumed[to] = append(assumed[to], moved)
		} else {
			certain[to] = append(certain[to], moved)
		}
	}
	var handovers []Handover
	for _, to := range slices.Sorted(maps.Keys(certain)) {
		for batch := range slices.Chunk(certain[to], handoverBatch) {
			handovers = append(handovers, Handover{Target: to, From: o.status.Owner, Exceptions: batch})
		}
	}
	for _, to := range slices.Sorted(maps.Keys(assumed)) {
		for batch := range slices.Chunk(assumed[to], handoverBatch) {
			handovers = append(handovers, Handover{Target: to, From: o.status.Owner, Assumed: batch})
		}
	}
	return handovers
}
