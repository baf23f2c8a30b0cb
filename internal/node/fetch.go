package node

import (
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// changeWait is the time for which another host's question waits for the control
// goroutine.
const changeWait = time.Second

// fetchDue starts the fetches from other hosts that are due.
func (c *control) fetchDue() {
	now := c.node.now()
	for kind := range catalog.KindCount {
		if address, due := c.sources[kind].Next(now); due {
			c.fetch(kind, address, now)
		}
	}
}

// fetch gets the changes of a collection from another host.
func (c *control) fetch(kind catalog.Kind, address string, started time.Duration) {
	to, err := c.peer(address)
	if err != nil {
		c.node.log.Warn(logs.ChangesNotFetched, zap.Stringer("collection", kind), zap.String("from", address), logs.Cause(err))
		c.sources[kind].Done(false, "", started)
		return
	}
	var since catalog.Position
	if state := c.catalog.State(kind, started); state.Valid && !c.epochChanged[kind] {
		since = state.Position()
	}
	go func() {
		fetched, err := gossip.Fetch(c.context, to.String(), kind, since)
		c.do(func() { c.fetched(kind, address, started, fetched, err) })
	}()
}

func (c *control) fetched(kind catalog.Kind, address string, started time.Duration, f gossip.FetchResult, err error) {
	now := c.node.now()
	c.sources[kind].Done(err == nil, f.Redirect, now)
	switch {
	case errors.Is(err, gossip.ErrBusy):
		c.node.log.Info(logs.FetchRedirected, zap.Stringer("collection", kind), zap.String("from", address),
			zap.String("to", f.Redirect), zap.Duration("after", now-started))
	case err != nil:
		c.node.log.Warn(logs.ChangesNotFetched, zap.Stringer("collection", kind), zap.String("from", address),
			zap.Duration("after", now-started), logs.Cause(err))
	default:
		c.epochChanged[kind] = false
		c.merge(kind, f.Batch, started-f.Age, address)
	}
	c.fetchDue()
	c.ask()
}

// Changes implements gossip.ChangeProvider.
func (c *control) Changes(kind catalog.Kind, q gossip.Question) (catalog.Batch, time.Duration, error) {
	type answer struct {
		batch catalog.Batch
		age   time.Duration
		valid bool
	}
	answers := make(chan answer, 1)
	c.do(func() {
		now := c.node.now()
		age, valid := c.catalog.Age(kind, now)
		since := q.Position(c.catalog.State(kind, now).Epoch)
		answers <- answer{c.catalog.Changes(kind, since, now), age, valid}
	})
	select {
	case a := <-answers:
		if !a.valid {
			return catalog.Batch{}, 0, errors.New("this host has no catalog yet")
		}
		return a.batch, a.age, nil
	case <-c.node.clock.After(changeWait):
		return catalog.Batch{}, 0, errors.New("this host is too busy")
	}
}
