package node

import (
	"context"
	"fmt"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/warmup"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ClaimStore keeps the claims on the warm-ups of targets.
type ClaimStore interface {
	// Claim makes a call about a claim for a holder. The error says why the outcome is Refused or
	// Lost.
	Claim(ctx context.Context, call warmup.Call, holder string) (warmup.Outcome, error)
	// RemoveClaims removes claims that were made up to a position of the store.
	RemoveClaims(ctx context.Context, upTo catalog.Position) (removed int, err error)
}

// WithClaims sets the store of the claims on warm-ups. Without it the node claims none.
func WithClaims(s ClaimStore) Option { return func(n *Node) { n.claims = s } }

// warmUps is what the control goroutine knows of targets in their warm-up.
type warmUps struct {
	bound     warmup.Bound
	claims    *warmup.Claims
	leftovers warmup.Leftovers
	// holder names this process to the store. One that starts again holds nothing.
	holder string
	// wanted are the targets of the last view whose warm-up is worth a claim.
	wanted []warmup.Target
	// removing is set while leftovers are removed.
	removing bool
}

// newWarmUps returns the state of a process that holds no warm-up; nil if the settings set no
// bound on the new flows of cold targets.
func (c *control) newWarmUps() *warmUps {
	s := c.node.settings.WarmUp
	if s == nil {
		return nil
	}
	return &warmUps{
		bound: warmup.Bound{Overshoot: s.Overshoot, Slack: s.Slack}, claims: warmup.NewClaims(),
		holder: fmt.Sprintf("%s/%016x", c.self.ID, c.node.random().Uint64()),
	}
}

// version changes with the warm-ups that the host holds.
func (w *warmUps) version() uint64 {
	if w == nil {
		return 0
	}
	return w.claims.Version()
}

// allow sets what the host may send the cold ones of a view's targets, and notes those that it may
// claim. Targets of evacuated data centres take no flows, so they are not counted.
func (w *warmUps) allow(
	targets []packet.Target, evacuations []packet.Evacuation, configuration *catalog.Configuration, now time.Duration,
) {
	if w == nil {
		return
	}
	evacuated := map[string]bool{}
	for _, e := range evacuations {
		evacuated[e.DataCentre] = e.Requested
	}
	w.wanted = nil
	var accepting []warmup.Target
	cold := false
	for i := range targets {
		t := &targets[i]
		if t.State != packet.Accepting && t.WarmUpEnd == 0 {
			continue
		}
		life, rate := warmup.Life{Target: t.Name, Born: t.StartedAtMillis}, configuration.Spec(t.Service).WarmUpRate
		if t.WarmUpEnd > 0 && w.claims.Holds(life) {
			t.WarmUpAllowance = w.bound.Allowance(rate)
		}
		if t.State == packet.Accepting && !evacuated[t.DataCentre] {
			cold = cold || t.WarmUpEnd > 0
			accepting = append(accepting, warmup.Target{
				Life: life, Service: t.Service, DataCentre: t.DataCentre, Slots: t.Slots, Rate: rate, End: t.WarmUpEnd,
			})
		}
	}
	if cold {
		w.wanted = w.bound.Wanted(accepting, now)
	}
}

// claimWarmUps makes the calls about claims that are due.
func (c *control) claimWarmUps(now time.Duration) {
	w := c.warmUps
	if w == nil || c.node.claims == nil {
		return
	}
	known := c.catalog.State(catalog.Targets, now).Position()
	for i := range w.wanted {
		t := &w.wanted[i]
		if t.End-now < warmup.LeastLeft || c.leaving {
			continue
		}
		w.leftovers.Seen(now, known)
		if c.members.First(t.Name(), t.DataCentre, now) {
			w.claims.Want(t.Life, t.End)
		}
	}
	for {
		call, due := w.claims.Next(now)
		if !due {
			break
		}
		go c.callClaim(w, call)
	}
	if upTo, due := w.leftovers.Due(now, known); due && !w.removing && c.rank(catalog.Targets, now) == 0 {
		w.removing = true
		go c.removeLeftovers(w, upTo)
	}
	c.node.metrics.claimsHeld.Set(float64(w.claims.Held()))
}

func (c *control) callClaim(w *warmUps, call warmup.Call) {
	ctx, cancel := context.WithTimeout(c.context, catalog.AnswerTimeout)
	defer cancel()
	outcome, err := warmup.Lost, errors.New("the call ended unexpectedly")
	func() {
		defer c.node.recovered(partStore, nil)
		outcome, err = c.node.claims.Claim(ctx, call, w.holder)
	}()
	c.do(func() { c.claimAnswered(w, call, outcome, err) })
}

func (c *control) claimAnswered(w *warmUps, call warmup.Call, outcome warmup.Outcome, err error) {
	now := c.node.now()
	w.claims.Done(call, outcome, now)
	c.node.metrics.claims[call.Operation][outcome].Inc()
	event := logs.WarmUpNotClaimed
	switch {
	case call.Operation == warmup.Delete:
		event = logs.WarmUpReleased
	case outcome == warmup.Done:
		event = logs.WarmUpClaimed
	}
	c.node.log.Info(event, logs.Text("target", call.Life.Target), zap.Int64("born", call.Life.Born), zap.Stringer("operation", call.Operation),
		zap.Stringer("outcome", outcome), zap.Int("held", w.claims.Held()), logs.Cause(err))
	c.claimWarmUps(now)
	c.show()
}

func (c *control) removeLeftovers(w *warmUps, upTo catalog.Position) {
	ctx, cancel := context.WithTimeout(c.context, time.Minute)
	defer cancel()
	removed, err := 0, errors.New("the call ended unexpectedly")
	func() {
		defer c.node.recovered(partStore, nil)
		removed, err = c.node.claims.RemoveClaims(ctx, upTo)
	}()
	c.do(func() {
		w.removing = false
		c.node.log.Info(logs.WarmUpClaimsRemoved, zap.Int("claims", removed), zap.Uint64("revision", upTo.Revision), logs.Cause(err))
	})
}
