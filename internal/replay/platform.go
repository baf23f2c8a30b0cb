package replay

import (
	"time"

	"oriolevalve/internal/configuration"
)

const (
	// platformDelay is the one-way delay of a call to the platform.
	platformDelay = 2 * time.Millisecond
	// lostAnswerTimeout is how long a client waits for an answer.
	lostAnswerTimeout = time.Second
	platformName      = "platform"
)

type object struct {
	version uint64
	value   []byte
}

// platform is a model of the object API.
type platform struct {
	w           *world
	objects     map[string]object
	outageUntil time.Time
	slowUntil   time.Time
	slow        time.Duration
	silentUntil time.Time
	// loseAnswers is the number of head updates whose answer is lost.
	loseAnswers int
	// calls counts the calls that reached the platform.
	calls int
}

func newPlatform(w *world) *platform { return &platform{w: w, objects: map[string]object{}} }

// request runs an operation at the platform; done gets its result or what is
// known about it.
func (p *platform) request(n *node, run func() (answer func(), lost bool), done func(failure)) {
	w := p.w
	if _, separated := w.cutSince(n.id, n.dataCentre, platformName, platformName); separated || w.now.Before(p.outageUntil) {
		w.after(lostAnswerTimeout/10, func() { n.do(func() { done(notSent) }) })
		return
	}
	delay := platformDelay
	if w.now.Before(p.slowUntil) {
		delay += p.slow
	}
	w.after(delay, func() {
		p.calls++
		answer, lost := run()
		if lost {
			w.after(lostAnswerTimeout, func() { n.do(func() { done(maybeSent) }) })
			return
		}
		w.after(platformDelay, func() { n.do(answer) })
	})
}

func (p *platform) read(n *node, key string, done func(value []byte, ok bool)) {
	p.request(n, func() (func(), bool) {
		o := p.objects[key]
		return func() { done(o.value, true) }, false
	}, func(failure) { done(nil, false) })
}

// commit runs the commit state machine of an operator's change at a host.
func (p *platform) commit(n *node, o configuration.Operation, report func(configuration.CommitResult)) {
	c := configuration.NewCommit(o, n.control.State())
	var handle func(configuration.CommitEvent)
	handle = func(e configuration.CommitEvent) {
		e.Now = p.w.now
		for _, a := range c.Handle(e) {
			if a.Kind == configuration.CommitReport {
				report(a.Result)
				continue
			}
			p.perform(n, a, handle)
		}
	}
	var tick func()
	tick = func() {
		if !c.Done() {
			handle(configuration.CommitEvent{Kind: configuration.CommitTick})
			p.w.after(500*time.Millisecond, func() { n.do(tick) })
		}
	}
	handle(configuration.CommitEvent{Kind: configuration.CommitStart})
	p.w.after(500*time.Millisecond, func() { n.do(tick) })
}

func (p *platform) perform(n *node, a configuration.CommitAction, handle func(configuration.CommitEvent)) {
	p.request(n, func() (func(), bool) {
		e := p.apply(a)
		lost := false
		if a.Key == configuration.HeadKey && e.Kind == configuration.CommitDone && p.loseAnswers > 0 {
			p.loseAnswers--
			lost = true
		}
		return func() { handle(e) }, lost
	}, func(f failure) {
		kind := configuration.CommitNotSent
		if f == maybeSent {
			kind = configuration.CommitResponseLost
		}
		handle(configuration.CommitEvent{Kind: kind, Sequence: a.Sequence, Reason: "no answer"})
	})
}

// apply performs an operation on the objects.
func (p *platform) apply(a configuration.CommitAction) configuration.CommitEvent {
	e := configuration.CommitEvent{Sequence: a.Sequence, Kind: configuration.CommitDone}
	o, exists := p.objects[a.Key]
	switch a.Kind {
	case configuration.CommitReadObject:
		if !exists {
			e.Kind = configuration.CommitNotFound
			return e
		}
		e.Kind, e.Version, e.Value = configuration.CommitRead, o.version, o.value
	case configuration.CommitCreateObject:
		if exists {
			e.Kind = configuration.CommitPreconditionFailed
			return e
		}
		p.store(a.Key, object{version: 1, value: a.Value})
	case configuration.CommitUpdateObject:
		if !exists || o.version != a.Version {
			e.Kind = configuration.CommitPreconditionFailed
			return e
		}
		p.store(a.Key, object{version: o.version + 1, value: a.Value})
	case configuration.CommitDeleteObject:
		delete(p.objects, a.Key)
	}
	return e
}

func (p *platform) store(key string, o object) {
	p.objects[key] = o
	if key != configuration.HeadKey {
		return
	}
	w := p.w
	if c := p.decode(); c != nil {
		w.accepted(c)
	}
	for _, n := range w.order {
		if !n.watching || !n.alive || w.now.Before(p.silentUntil) {
			continue
		}
		w.after(platformDelay, func() {
			if _, separated := w.cutSince(n.id, n.dataCentre, platformName, platformName); separated {
				return
			}
			n.do(func() {
				n.configurationEvent(configuration.SyncEvent{
					Kind: configuration.SyncObject, Key: configuration.HeadKey, Value: o.value,
				})
			})
		})
	}
}

// decode returns the configuration that the objects hold; nil if there is none.
func (p *platform) decode() *configuration.Configuration {
	head, err := configuration.DecodeHead(p.objects[configuration.HeadKey].value)
	if err != nil {
		return nil
	}
	c := &configuration.Configuration{Revision: head.Revision, AcceptedAt: head.AcceptedAt}
	for _, r := range head.Services {
		s, err := configuration.DecodeSegment(p.objects[r.Key()].value, r)
		if err != nil {
			return nil
		}
		c.Services = append(c.Services, *s)
	}
	return c
}

func (p *platform) headRevision() uint64 {
	if head, err := configuration.DecodeHead(p.objects[configuration.HeadKey].value); err == nil {
		return head.Revision
	}
	return 0
}

// auditMismatches counts revisions without exactly one audit entry, and entries
// of revisions that do not exist.
func (p *platform) auditMismatches() int {
	head, err := configuration.DecodeHead(p.objects[configuration.HeadKey].value)
	if err != nil {
		return 0
	}
	entries := map[uint64]int{}
	for _, e := range head.Audit {
		entries[e.Revision]++
	}
	for _, r := range head.AuditChunks {
		chunk, err := configuration.DecodeAuditChunk(p.objects[r.Key()].value, r)
		if err != nil {
			return len(head.AuditChunks)
		}
		for _, e := range chunk {
			entries[e.Revision]++
		}
	}
	mismatches := 0
	for r := uint64(1); r <= head.Revision; r++ {
		if entries[r] != 1 {
			mismatches++
		}
		delete(entries, r)
	}
	return mismatches + len(entries)
}
