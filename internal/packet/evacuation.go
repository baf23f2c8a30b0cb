package packet

import (
	"maps"
	"slices"
	"time"
)

const (
	// returnMargin is the time after the end of an evacuation from which the targets have to be
	// confirmed before new flows go back: a target may have become cold just before, and says so
	// with its next heartbeat, after 1.2 s at most.
	returnMargin = 1200*time.Millisecond + newsDelay
	// returnSpan is the time over which the share of new flows grows that may go back. The
	// requests of the first flows show the load of the targets, which no host knows, before the
	// last ones come.
	returnSpan = 2 * time.Second
)

// Evacuation says that the targets of a data centre get no new flows, or got none until lately.
type Evacuation struct {
	DataCentre string
	// Revision is that of the request.
	Revision uint64
	// Requested is set while the request holds.
	Requested bool
	// Since is the time on the plane's clock at which the host learned of the request or of its
	// end.
	Since time.Duration
}

// WithEvacuated sets the evacuations of data centres: those that are requested, and those that
// were taken back lately, whose targets may have become cold meanwhile.
func WithEvacuated(list []Evacuation) ViewOption {
	return func(v *View) {
		v.evacuations = make(map[string]Evacuation, len(list))
		for _, e := range list {
			v.evacuations[e.DataCentre] = e
		}
	}
}

// EvacuationChange is the beginning or the end of an evacuation.
type EvacuationChange struct {
	Evacuation
	// LastOpening is the time of the last new flow at a target of the data centre through this
	// host; zero if it knows of none.
	LastOpening time.Duration
}

// EvacuationChanges returns the changes since the last call.
func (p *Plane) EvacuationChanges() []EvacuationChange {
	list := p.evacuationsNew
	p.evacuationsNew = nil
	return list
}

// dataCentreReturn is a data centre whose evacuation was taken back.
type dataCentreReturn struct {
	// lifted is the time at which the host learned of the end, started that from which flows go
	// back; zero before.
	lifted, started time.Duration
	// admits is set if the flow that is being placed may go back.
	admits bool
}

// share returns the share of new flows that may go back.
func (r *dataCentreReturn) share(now time.Duration) float64 {
	if r.started == 0 {
		return 0
	}
	return share(now-r.started, returnSpan)
}

// noteEvacuations compares the evacuations of the next view with those of the one in use.
func (p *Plane) noteEvacuations(next *View) {
	for _, name := range slices.Sorted(maps.Keys(next.evacuations)) {
		e := next.evacuations[name]
		before, known := p.evacuation(name)
		switch {
		case e.Requested:
			delete(p.returns, name)
		case p.returns[name] == nil && (!known || before.Requested || before.Since != e.Since):
			p.returns[name] = &dataCentreReturn{lifted: e.Since}
		}
		if e.Requested != (known && before.Requested) {
			p.evacuationsNew = append(p.evacuationsNew, EvacuationChange{Evacuation: e, LastOpening: p.lastOpening(name)})
		}
	}
	if p.view == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.view.evacuations)) {
		if _, listed := next.evacuations[name]; listed || !p.view.evacuations[name].Requested {
			continue
		}
		// The end came while the host learned all evacuations anew.
		e := Evacuation{DataCentre: name, Revision: p.view.evacuations[name].Revision, Since: p.confirmed}
		p.returns[name] = &dataCentreReturn{lifted: e.Since}
		p.evacuationsNew = append(p.evacuationsNew, EvacuationChange{Evacuation: e, LastOpening: p.lastOpening(name)})
	}
}

// evacuation returns what the view says of the evacuation of a data centre.
func (p *Plane) evacuation(dataCentre string) (Evacuation, bool) {
	if p.view == nil {
		return Evacuation{}, false
	}
	e, found := p.view.evacuations[dataCentre]
	return e, found
}

// evacuated reports whether a target gets no new flows since its data centre is evacuated.
func (p *Plane) evacuated(t *targetRecord) bool {
	e, _ := p.evacuation(t.DataCentre)
	return e.Requested
}

// lastOpening returns the time of the last new flow at a target of a data centre.
func (p *Plane) lastOpening(dataCentre string) time.Duration {
	var last time.Duration
	for _, t := range p.targets {
		if t.DataCentre == dataCentre {
			last = max(last, t.openedAt)
		}
	}
	return last
}

// openElsewhere decides on a copy of an opening whose target is evacuated since. If there is no
// other target the copy is dropped: the target may have answered already, and a reset would end
// a flow that has just opened.
func (p *Plane) openElsewhere(now time.Duration, k *Packet, route *Route, f *flowRecord) Decision {
	if f.state == flowOpen {
		return Decision{Action: Drop, Reason: ReasonEvacuated, Name: f.target.Name}
	}
	f.copies = max(f.copies, k.Acknowledgement)
	next, _ := p.place(now, route, f.target, f.previous)
	if next == nil {
		return Decision{Action: Drop, Reason: ReasonEvacuated, Name: f.target.Name}
	}
	previous := f.target
	p.move(now, f, next)
	f.previous, f.placed = previous, now
	p.tellOpening(k.Flow, f)
	return forwardOpening(now, next, ReasonPlacedAgain)
}

// drawReturns decides for a new flow whether it may go back to each data centre whose evacuation
// was taken back. No flow does before the targets were confirmed after that: news that they are
// cold come with another collection.
func (p *Plane) drawReturns(now time.Duration) {
	if len(p.returns) == 0 {
		return
	}
	drawn := p.random.Float64()
	for name, r := range p.returns {
		if r.started == 0 && p.confirmed-r.lifted > returnMargin {
			r.started = now
		}
		part := r.share(now)
		r.admits = drawn < part
		if part >= 1 {
			// Its targets keep the record, which admits all flows.
			delete(p.returns, name)
		}
	}
}

// admitReturns lets the flow that is being placed go back to each of these data centres, if it
// has to. It reports whether that adds any.
func (p *Plane) admitReturns(needed bool) (added bool) {
	if !needed {
		return false
	}
	for _, r := range p.returns {
		added = added || !r.admits
		r.admits = true
	}
	return added
}

// admitted reports whether the flow that is being placed may go to the target.
func (t *targetRecord) admitted() bool { return t.returning == nil || t.returning.admits }
