package target

import (
	"maps"
	"slices"
	"time"

	"oriolevalve/pkg/flow"
)

// handoverBatch is the largest number of records in a message. At 20 bytes per record
// a message takes about 20 KB.
const handoverBatch = 1000

// maxHandoverLead is how long a complete handover may arrive before the takeover that
// it belongs to. Membership changes reach all hosts in much less time.
const maxHandoverLead = 10 * time.Second

func (o *Owner) takeoverStarted(e TakeoverStarted) {
	o.takenOverAt, o.term = o.now, uint64(o.now.UnixNano())
	o.previousOwner, o.takeoverComplete, o.remoteDataCentre = e.PreviousOwner, e.FirstOwner, e.RemoteDataCentre
	o.ownershipLost, o.claimed = false, false
	if e.PreviousOwner != "" && e.PreviousOwner == o.handedOverBy && o.now.Sub(o.handedOverAt) < maxHandoverLead {
		// The previous owner received the membership change first and has already
		// handed over.
		o.previousOwner, o.takeoverComplete = "", true
	}
	o.sessionsKnown = e.FirstOwner || o.takeoverComplete && o.handedOverSessionsKnown
	o.handedOverBy = ""
	o.status.Version = max(o.status.Version, e.Version)
}

// endTakeover completes the takeover after identityRetention. A repeat of a request
// from before the takeover states its attempt number by then, so the identities of the
// previous owner are no longer needed.
func (o *Owner) endTakeover() {
	if !o.takeoverComplete && (o.previousOwner == "" || o.claimed) && o.now.Sub(o.takenOverAt) >= identityRetention {
		o.takeoverComplete, o.previousOwner = true, ""
	}
}

// claimAnswered processes the result of a claim. The takeover counts from this time,
// since the previous owner may have started requests until now.
func (o *Owner) claimAnswered(failed bool) {
	if o.claimed || o.takeoverComplete {
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
		if before, known := o.records.get(key); !known || before.seenAndFlags&recordUncertain != 0 {
			o.setRecord(key, record{value: uint32(o.self), seenAndFlags: o.recordTime()})
		}
	}
	var flags uint32
	if h.Copy {
		// The session may be placed again after the copy was made. The flag lets
		// the handover by the owner replace the record.
		flags = recordStale
	}
	for _, r := range h.Exceptions {
		before, known := o.records.get(r.Key)
		if !known || o.ownershipLost || before.seenAndFlags&recordUncertain != 0 {
			o.setRecord(r.Key, record{value: uint32(r.Target), seenAndFlags: o.recordTime() | flags})
		}
	}
	for _, r := range h.Assumed {
		if before, known := o.records.get(r.Key); !known || before.seenAndFlags&recordStale != 0 {
			o.setRecord(r.Key, record{value: uint32(r.Target), seenAndFlags: o.recordTime() | recordAssumed})
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
			// The reply to the consult may be lost, so the request keeps the fact
			// that its identity was handed over.
			p.inherited = true
		}
	}
	if h.Complete && !h.Copy {
		o.sessionsKnown = o.sessionsKnown || h.SessionsKnown
		if o.ownershipLost {
			o.handedOverBy, o.handedOverAt, o.handedOverSessionsKnown = h.From, o.now, h.SessionsKnown
			return
		}
		o.takeoverComplete, o.previousOwner = true, ""
	}
}

// handoverRequested sends all records to the new owner. Attempts in progress finish
// at this owner. Requests that were not yet sent to the target are forwarded.
func (o *Owner) handoverRequested(to string) {
	if o.ownershipLost {
		return
	}
	o.ownershipLost, o.handedOverTo = true, to
	unsent := slices.Concat(o.queue, o.retries)
	for _, p := range unsent {
		o.undoAdmission(p)
	}
	o.queue, o.retries = nil, nil
	clear(o.queuedByCaller)
	o.sendHandover(to)
	o.records.setFlag(recordStale)
	o.sessionsKnown = false
	for _, p := range unsent {
		for _, r := range append([]*pendingRequest{p}, p.waiters...) {
			o.removePending(r)
			o.emit(Forward{ID: r.id, Target: o.self, Request: r.request})
		}
	}
}

// undoAdmission removes the records that the admission of an unsent request made.
func (o *Owner) undoAdmission(p *pendingRequest) {
	o.removeIdentity(p)
	if !p.request.HasSession {
		return
	}
	session, known := o.records.get(p.request.Key)
	if known && session.value == uint32(o.self) && session.seenAndFlags&recordTentative != 0 && p.isFirst() {
		o.removeRecord(p.request.Key, session)
	}
}

// sendHandover sends all records to the new owner in batches. The last message
// completes the handover.
func (o *Owner) sendHandover(to string) {
	self := uint32(o.self)
	sessions := o.records.sortedKeys(func(_ flow.Key, r record) bool { return r.value == self })
	for batch := range slices.Chunk(sessions, handoverBatch) {
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Sessions: batch})})
	}
	confirmed, assumed := o.exceptions()
	for batch := range slices.Chunk(confirmed, handoverBatch) {
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Exceptions: batch})})
	}
	for batch := range slices.Chunk(assumed, handoverBatch) {
		o.emit(SendHandover{To: to, Handover: o.handover(Handover{Assumed: batch})})
	}
	complete := o.authoritativeFor(to)
	keys := o.identities.sortedKeys(func(key flow.Key, r record) bool {
		// Without a complete handover the receiver continues to consult this owner.
		// An identity that was granted to the receiver itself must not come back
		// to it as one that may have run.
		grantedToReceiver := !complete && r.value == identityGranted && o.grantedTo[key].host == to
		return r.value&identityCleared == 0 && !grantedToReceiver
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

// authoritativeFor reports whether this owner has the identity of every request that
// may have run before the host's consult. This is not so if its own takeover is
// incomplete, or if it handed over to a different host, which may have run requests
// since.
func (o *Owner) authoritativeFor(host string) bool {
	return o.takeoverComplete && (!o.ownershipLost || o.handedOverTo == host)
}

// handover adds the target and the sender to a handover.
func (o *Owner) handover(h Handover) Handover {
	h.Target, h.From = o.self, o.status.Owner
	return h
}

// exceptions returns the exception records in two lists. The second one has the
// records that the base rule made.
func (o *Owner) exceptions() (confirmed, assumed []flow.Record) {
	self := uint32(o.self)
	keys := o.records.sortedKeys(func(_ flow.Key, r record) bool { return r.value != self })
	for _, key := range keys {
		r, _ := o.records.get(key)
		exception := flow.Record{Key: key, Target: flow.TargetID(r.value)}
		if r.seenAndFlags&recordAssumed != 0 {
			assumed = append(assumed, exception)
		} else {
			confirmed = append(confirmed, exception)
		}
	}
	return confirmed, assumed
}

// copyNewExceptions sends the exception records that are new since the last copy to
// the backup. Records made by the base rule are not copied, since the rule gives the
// same result again. A tentative record is not copied until its session is open.
// Otherwise, after a refusal, the backup would still report the removed record when
// it is consulted.
func (o *Owner) copyNewExceptions() {
	var tentative []flow.Record
	o.uncopiedExceptions = slices.DeleteFunc(o.uncopiedExceptions, func(r flow.Record) bool {
		current, known := o.records.get(r.Key)
		if !known || current.value != uint32(r.Target) {
			return true
		}
		if current.seenAndFlags&recordTentative != 0 {
			tentative = append(tentative, r)
			return true
		}
		return false
	})
	for batch := range slices.Chunk(o.uncopiedExceptions, handoverBatch) {
		o.emit(CopyExceptions{Handover: o.handover(Handover{Exceptions: batch, Copy: true})})
	}
	o.uncopiedExceptions = tentative
}

// BackupCopies returns the exception records that this host holds as the backup. The
// host sends them to the next backup, since the owner may fail before it does so.
func (o *Owner) BackupCopies() []Handover {
	confirmed, _ := o.exceptions()
	var copies []Handover
	for batch := range slices.Chunk(confirmed, handoverBatch) {
		copies = append(copies, o.handover(Handover{Exceptions: batch, Copy: true}))
	}
	return copies
}

func (o *Owner) copyAllExceptions() {
	o.uncopiedExceptions, _ = o.exceptions()
	o.copyNewExceptions()
}

// MovedRecords returns the records that other flow owners need after a table change.
// The function newTarget returns the new table target of a key, or zero if the table
// target of the key has not changed. The Target of each handover is the new table
// target.
func (o *Owner) MovedRecords(newTarget func(flow.Key) flow.TargetID) []Handover {
	confirmed := make(map[flow.TargetID][]flow.Record)
	assumed := make(map[flow.TargetID][]flow.Record)
	for _, key := range o.records.sortedKeys(func(flow.Key, record) bool { return true }) {
		to := newTarget(key)
		if to == 0 || to == o.self {
			continue
		}
		r, _ := o.records.get(key)
		if r.seenAndFlags&recordTentative != 0 {
			// The first message is still in progress. The base rule and consults
			// lead to this owner, which removes the record if the message is
			// refused.
			continue
		}
		moved := flow.Record{Key: key, Target: flow.TargetID(r.value)}
		if r.seenAndFlags&recordAssumed != 0 {
			assumed[to] = append(assumed[to], moved)
		} else {
			confirmed[to] = append(confirmed[to], moved)
		}
	}
	var handovers []Handover
	for _, to := range slices.Sorted(maps.Keys(confirmed)) {
		for batch := range slices.Chunk(confirmed[to], handoverBatch) {
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
