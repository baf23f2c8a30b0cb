package target

import (
	"oriolevalve/pkg/flow"

	"github.com/zeebo/xxh3"
)

// The states of a request identity. Each one describes the request that the
// identity names.
const (
	// identityRunning means that a request is open: it consults, waits or runs.
	identityRunning uint32 = iota
	// identityAnswered means that the request ran. Its answer may be cached.
	identityAnswered
	// identityUnknown means that the request may have run.
	identityUnknown
	// identityInherited means that another owner handed the identity over. The
	// request may have run there.
	identityInherited
	// identityGranted means that another owner consulted this one, which did not
	// have the identity. The other owner may run the request, this one must not.
	identityGranted
)

const (
	// identityCleared means that the request did not run, and that the consulted
	// owners granted the identity to this one. The bits below name these owners.
	// Without this state, the repeat of a refused request would find the
	// identity already granted at those owners and end as unknown.
	identityCleared         uint32 = 8
	clearedByPreviousTarget uint32 = 4
	clearedByPreviousOwner  uint32 = 1
	clearedByBaseTarget     uint32 = 2
)

// grantee is the owner to which an identity was granted: a host and the term of
// its ownership.
type grantee struct {
	host string
	term uint64
}

// answerOverhead is the size of a cached answer without its body and message, in
// bytes.
const answerOverhead = 160

// IdentityHash returns the hash by which owners exchange the identity of a
// request. It covers the session and the method, so that two callers that use
// the same identity do not get each other's answers.
func IdentityHash(r *Request) string {
	key := identityKey(r)
	return string(key[:])
}

func identityKey(r *Request) flow.Key {
	var stack [256]byte
	input := stack[:0]
	if r.HasSession {
		input = append(input, r.Key[:]...)
	}
	input = append(input, r.Method...)
	input = append(input, 0)
	input = append(input, r.Identity...)
	return flow.Key(xxh3.Hash128(input).Bytes())
}

func (o *Owner) setIdentity(key flow.Key, state uint32) {
	delete(o.grantedTo, key)
	o.identities.put(key, record{value: state, seenAndFlags: o.recordTime()})
}

// removeIdentity removes the identity of a request that did not run. It keeps the
// identity as cleared if other owners granted it to this one.
func (o *Owner) removeIdentity(p *pendingRequest) {
	if !p.tracked {
		return
	}
	delete(o.running, p.identity)
	if p.clearedBy != 0 {
		o.setIdentity(p.identity, identityCleared|p.clearedBy)
		return
	}
	o.identities.remove(p.identity)
}

// setCleared records that a consulted owner does not have the identity.
func (o *Owner) setCleared(p *pendingRequest, clearedBit uint32) {
	p.clearedBy |= clearedBit
	if p.tracked {
		o.setIdentity(p.identity, identityCleared|p.clearedBy)
	}
}

// handleRepeat joins a repeat to the open request with the same identity, replies
// with the cached answer, or ends the repeat as unknown.
func (o *Owner) handleRepeat(p *pendingRequest, identity record) {
	// The retention time starts again, since the caller may send another repeat.
	o.setIdentity(p.identity, identity.value)
	switch identity.value {
	case identityRunning:
		leader := o.running[p.identity]
		p.state, p.leader = stateJoined, leader
		leader.waiters = append(leader.waiters, p)
		o.pending[p.id] = p
	case identityAnswered:
		if answer := o.answers[p.identity]; answer != nil {
			o.emit(Finish{ID: p.id, Reply: *answer})
			return
		}
		o.finishUnknown(p, ReasonRepeatUnknown)
	default:
		o.finishUnknown(p, ReasonRepeatUnknown)
	}
}

// recordOutcome updates the identity after an attempt that ran or may have run,
// and caches the answer.
func (o *Owner) recordOutcome(p *pendingRequest, reply Reply) {
	if !p.tracked {
		return
	}
	delete(o.running, p.identity)
	if reply.Outcome != OutcomeAnswered {
		o.setIdentity(p.identity, identityUnknown)
		return
	}
	o.setIdentity(p.identity, identityAnswered)
	size := answerSize(&reply)
	if size > o.answerCacheLimit {
		return
	}
	for o.answerCacheBytes+size > o.answerCacheLimit {
		o.evictAnswer(o.answersByAge[0])
	}
	o.answers[p.identity] = &reply
	o.answersByAge = append(o.answersByAge, p.identity)
	o.answerCacheBytes += size
}

func answerSize(r *Reply) int { return answerOverhead + len(r.Body) + len(r.Message) }

func (o *Owner) evictAnswer(key flow.Key) {
	if answer := o.answers[key]; answer != nil {
		o.answerCacheBytes -= answerSize(answer)
		delete(o.answers, key)
	}
	// Answers expire in about the order in which they were added, so it is
	// enough to remove evicted keys from the front of the list.
	for len(o.answersByAge) > 0 && o.answers[o.answersByAge[0]] == nil {
		o.answersByAge = o.answersByAge[1:]
	}
}
