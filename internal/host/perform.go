package host

import (
	"context"

	"github.com/cockroachdb/errors"

	"oriolevalve/internal/peer"
	"oriolevalve/internal/target"
)

// perform carries out the actions of the traffic side.
func (p *Process) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Dispatch:
			p.start(func() { p.dispatch(ctx, a) })
		case Cancel:
			if cancel, running := p.cancels.Load(a.ID); running {
				cancel.(context.CancelFunc)()
			}
		case Relay:
			p.start(func() { p.relay(ctx, a) })
		case Finish:
			p.replies.deliver(a.ID, a.Reply)
		case Wait:
			p.start(func() { p.wait(ctx, a) })
		case Consult:
			p.start(func() { p.consult(ctx, a) })
		case SendHandover:
			p.handovers.add(ctx, a, p.start)
		case Probe:
			p.start(func() { p.probe(ctx, a) })
		case Publish:
			p.publishStatus(ctx, StatusPublished(a))
		}
	}
}

// publishStatus keeps the order of the statuses of a target. The control
// goroutine also calls it, so it must not wait for a full buffer.
func (p *Process) publishStatus(ctx context.Context, e StatusPublished) {
	select {
	case p.events <- e:
	default:
		p.start(func() { p.post(ctx, e) })
	}
}

func (p *Process) dispatch(ctx context.Context, a Dispatch) {
	reply, load := p.callTarget(ctx, a)
	p.perform(ctx, p.traffic.AttemptFinished(p.clock.Now(), a.ID, a.Target, reply, load))
}

func (p *Process) callTarget(ctx context.Context, a Dispatch) (target.Reply, target.LoadReport) {
	declared, service, known := p.traffic.View().Target(a.Target)
	if !known {
		return notRun(target.ReasonNoTarget), target.LoadReport{}
	}
	client, err := p.targets.get(declared.Address)
	if err != nil {
		return notRun(target.ReasonTargetDown), target.LoadReport{}
	}
	ctx, cancel := context.WithTimeout(ctx, a.NotAfter.Sub(p.clock.Now()))
	defer cancel()
	p.cancels.Store(a.ID, cancel)
	defer p.cancels.Delete(a.ID)
	return client.Call(ctx, service.Name, a.Request)
}

func (p *Process) probe(ctx context.Context, a Probe) {
	declared, _, known := p.traffic.View().Target(a.Target)
	if !known {
		return
	}
	ok, load := false, target.LoadReport{}
	if client, err := p.targets.get(declared.Address); err == nil {
		ok, load = client.Probe(ctx)
	}
	p.perform(ctx, p.traffic.ProbeFinished(p.clock.Now(), a.Target, ok, load))
}

func (p *Process) relay(ctx context.Context, a Relay) {
	p.metrics.AddRelayedRequests(1)
	reply := p.callPeer(ctx, a)
	p.perform(ctx, p.traffic.RelayFinished(p.clock.Now(), a.ID, reply))
}

func (p *Process) callPeer(ctx context.Context, a Relay) target.Reply {
	address := p.status.Load().addresses[a.Host]
	if address == "" {
		return notRun(target.ReasonOwnerUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, a.Request.NotAfter.Sub(p.clock.Now()))
	defer cancel()
	reply, err := p.peers.Relay(ctx, address, *a.Request)
	switch {
	case err == nil:
		return reply
	case errors.Is(err, peer.ErrNotSent):
		return notRun(target.ReasonOwnerUnreachable)
	default:
		return target.Reply{Outcome: target.OutcomeUnknown, Reason: target.ReasonAttemptLost}
	}
}

func (p *Process) wait(ctx context.Context, a Wait) {
	select {
	case <-p.clock.After(a.After):
		p.perform(ctx, p.traffic.Retry(p.clock.Now(), a.ID))
	case <-ctx.Done():
	}
}

func (p *Process) consult(ctx context.Context, a Consult) {
	limited, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	reply, err := p.peers.Consult(limited, p.status.Load().addresses[a.Host], a.Request)
	p.perform(ctx, p.traffic.ConsultAnswered(p.clock.Now(), a, reply, err != nil))
}

// handover sends one message of a handover. What does not arrive is claimed by
// the new owner.
func (p *Process) handover(ctx context.Context, a SendHandover) error {
	var err error
	for range handoverTries {
		limited, cancel := context.WithTimeout(ctx, controlCallTimeout)
		err = p.peers.Handover(limited, p.status.Load().addresses[a.To], a.Handover)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-p.clock.After(handoverPause):
		case <-ctx.Done():
			return err
		}
	}
	return err
}
