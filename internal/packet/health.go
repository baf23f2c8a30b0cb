package packet

import (
	"slices"
	"time"
)

// HealthChange is a change of what the plane thinks of a target or of a data centre.
type HealthChange struct {
	// Target is empty if the belief is about a data centre.
	Target     string
	DataCentre string
	// Silent is set if the target gets no new flows while others answer.
	Silent bool
	// Retransmissions is the number of packets that clients repeated, Unanswered is set if
	// an opening packet was among them.
	Retransmissions int
	Unanswered      bool
	// Silence is the time since the first of them.
	Silence time.Duration
	// Retried is set if the target gets flows again only because it was silent for
	// long.
	Retried bool
	// Dead is set if flows of requests that may be repeated leave the target too.
	Dead bool
	// Flows is the number of flows whose clients repeated packets.
	Flows int
	// Asked is the outcome of a question to the target itself on which the belief rests, begun
	// QuestionAge ago; HeardAge is the age of what another host found, zero if none said so.
	Asked                 QuestionOutcome
	QuestionAge, HeardAge time.Duration
}

// HealthChanges returns the changes since the last call.
func (p *Plane) HealthChanges() []HealthChange {
	changes := p.beliefs
	p.beliefs = nil
	return changes
}

// reconsider notes whether the belief about a target has changed.
func (p *Plane) reconsider(now time.Duration, t *targetRecord) {
	b := HealthChange{Target: t.Name, DataCentre: t.DataCentre, Retransmissions: t.repeats, Unanswered: t.unanswered}
	if t.silentSince != 0 {
		b.Silence = now - t.silentSince
	}
	b.Silent = t.silent(now)
	if b.Silent == t.doubted {
		return
	}
	b.Retried = t.retried
	t.doubted = b.Silent
	p.beliefs = append(p.beliefs, b)
	if b.Silent && t.dataCentre != nil {
		t.dataCentre.fellSilent(now)
	}
}

// reconsiderDataCentres notes changes of the beliefs about data centres.
func (p *Plane) reconsiderDataCentres(now time.Duration) {
	for _, d := range p.dataCentres {
		if unreachable := d.unreachable(now); unreachable != d.doubted {
			d.doubted = unreachable
			p.beliefs = append(p.beliefs, HealthChange{
				DataCentre: d.name, Silent: unreachable, Silence: now - d.since, Retransmissions: d.silent, Retried: !unreachable && d.silent > 0,
			})
		}
	}
}

// noteAnswered notes that a flow which opened at a time was answered.
func (p *Plane) noteAnswered(opened time.Duration) {
	if opened > p.answered[0] {
		p.answered[0] = opened
		slices.Sort(p.answered[:])
	}
}

// abandons reports whether the client of a flow is told to open a new one, because the
// target seems dead: its request may be repeated, and would wait for its deadline.
// A packet without data asks for nothing.
func (p *Plane) abandons(now time.Duration, t *targetRecord, route *Route, k *Packet) bool {
	t.expireSilence(now)
	t.expireDead(now)
	if t.deadExpired {
		t.deadExpired = false
		p.beliefs = append(p.beliefs, HealthChange{Target: t.Name, DataCentre: t.DataCentre, Retried: true})
	}
	if k.Length == 0 || k.RST || t.silentSince == 0 && !t.dead {
		return false
	}
	waited := now - t.probed
	if waited >= probeInterval {
		t.probed = now
		return false
	}
	if !t.dead {
		if waited < probeWait || !t.seemsDead(now, p.answered[0]) {
			return false
		}
		t.dead = true
		p.beliefs = append(p.beliefs, HealthChange{
			Target: t.Name, DataCentre: t.DataCentre, Silent: true, Dead: true, Retransmissions: t.repeats, Flows: t.repeaters,
			Unanswered: t.unanswered, Silence: now - t.silentSince,
		})
		// Between two requests nothing is lost with a flow.
		p.endFlows(ReasonTargetDead, func(_ Flow, f *flowRecord) bool { return f.target == t && f.life == t.life && !f.active })
	}
	return route.Idempotent
}
