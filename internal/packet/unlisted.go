package packet

import "time"

const (
	// newsDelay is the time by which a confirmation may seem later than it is: a store or a
	// host that is slow to answer, and a message that waits to be read.
	newsDelay = 500 * time.Millisecond
	// unlistedLimit bounds the flows that are remembered; packets of others are dropped.
	unlistedLimit = 4096
	// unlistedMemory is the time for which they are, several repeats of a client.
	unlistedMemory = 10 * time.Second
)

// ConfirmTargets notes that the view's targets were all that were listed at a time.
func (p *Plane) ConfirmTargets(at time.Duration) { p.confirmed = max(p.confirmed, at) }

// unlistedKey names a flow at a target that is not listed, and the tag that its client returns.
type unlistedKey struct {
	flow Flow
	tag  uint32
}

// unlistedFlow is a flow at a target that is not listed.
type unlistedFlow struct {
	// first is the time of its first packet since then. ended is set if the flow was known here
	// and ended with its target.
	first time.Duration
	ended bool
}

// followUnlisted decides on a packet of a flow whose tag is that of a target that is not listed,
// with the target's name if it is known. Another host may have heard of the target, or of its
// next life, earlier than this one, so the target has ended only if it was not listed after the
// flow's first such packet. Until then the client repeats.
func (p *Plane) followUnlisted(now time.Duration, k *Packet, certain bool, name string) Decision {
	if !p.confirmedSince(now, unlistedKey{k.Flow, k.Tag}) || !certain {
		return Decision{Action: Drop, Reason: ReasonTargetUnknown, Name: name}
	}
	if k.RST {
		return Decision{Action: Drop, Reason: ReasonTargetGone, Name: name}
	}
	return Decision{Action: Refuse, Reason: ReasonTargetGone, Name: name}
}

// confirmedSince reports whether the targets were confirmed after the first packet of a flow at a
// target that is not listed, or the flow was known to end with its target.
func (p *Plane) confirmedSince(now time.Duration, key unlistedKey) bool {
	u, found := p.unlisted[key]
	if !found && len(p.unlisted) < unlistedLimit {
		p.unlisted[key] = unlistedFlow{first: now}
	}
	return found && (u.ended || p.confirmed-u.first > newsDelay)
}

// endUnlisted forgets a flow that ended with its target. Later packets of it are refused at once.
func (p *Plane) endUnlisted(key Flow, f *flowRecord) {
	p.forget(key, f)
	if len(p.unlisted) < unlistedLimit {
		p.unlisted[unlistedKey{key, f.target.Key.Tag()}] = unlistedFlow{first: f.seen, ended: true}
	}
}

// forgetUnlisted forgets flows whose first such packet came long ago.
func (p *Plane) forgetUnlisted(now time.Duration) {
	for key, u := range p.unlisted {
		if now-u.first > unlistedMemory {
			delete(p.unlisted, key)
		}
	}
}
