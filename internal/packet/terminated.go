package packet

// TerminatedFlow is an open flow that ended without a packet of its client.
type TerminatedFlow struct {
	// Packet stands for the client's last one, as far as a reset depends on it.
	Packet Packet
	// Reason says why the flow ended, Name is that of its target.
	Reason Reason
	Name   string
}

// TerminatedFlows returns the flows that ended since the last call. Their clients are to be sent
// a reset: a request on such a flow would be lost, and one that must not run twice can't
// be repeated.
func (p *Plane) TerminatedFlows() []TerminatedFlow {
	list := p.endings
	p.endings = nil
	return list
}

// endFlows ends the open flows that match.
func (p *Plane) endFlows(reason Reason, matches func(key Flow, f *flowRecord) bool) {
	for key, f := range p.flows {
		if f.state != flowOpen || !matches(key, f) {
			continue
		}
		p.endings = append(p.endings, TerminatedFlow{
			Packet: Packet{Flow: key, Acknowledgement: f.acknowledged}, Reason: reason, Name: f.target.Name,
		})
		if reason == ReasonTargetGone {
			p.endUnlisted(key, f)
			continue
		}
		p.forget(key, f)
	}
}
