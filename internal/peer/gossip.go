package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Gossip connects a Membership with Client and Server. The goroutine that owns
// the Membership passes events to Handle and every action to Do.
type Gossip struct {
	client *Client
	events chan<- Event
	// pingTimeout limits a ping and its way back. A ping that takes longer is
	// reported as failed, so that Membership asks other hosts.
	pingTimeout time.Duration
	// requestTimeout leaves the helper of a ping request the time for a ping.
	requestTimeout time.Duration

	mutex   sync.Mutex
	token   uint64
	waiting map[uint64]chan SendAck
}

// NewGossip returns an adapter that sends the events of the network to the
// given channel.
func NewGossip(client *Client, events chan<- Event) *Gossip {
	return &Gossip{
		client: client, events: events, pingTimeout: 200 * time.Millisecond,
		requestTimeout: 300 * time.Millisecond, waiting: map[uint64]chan SendAck{},
	}
}

// Do carries out SendPing, SendPingRequest and SendAck, and ignores other
// actions. It does not block.
func (g *Gossip) Do(ctx context.Context, action Action) {
	switch a := action.(type) {
	case SendPing:
		go g.report(ctx, a.Sequence, g.pingTimeout, func(ctx context.Context) (Message, error) {
			return g.client.Ping(ctx, a.To.Address, a.Message)
		})
	case SendPingRequest:
		go g.report(ctx, a.Sequence, g.requestTimeout, func(ctx context.Context) (Message, error) {
			return g.client.PingRequest(ctx, a.To.Address, a.Request)
		})
	case SendAck:
		g.mutex.Lock()
		waiting := g.waiting[a.Token]
		delete(g.waiting, a.Token)
		g.mutex.Unlock()
		if waiting != nil {
			waiting <- a
		}
	}
}

func (g *Gossip) report(ctx context.Context, sequence uint64, limit time.Duration, call func(context.Context) (Message, error)) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var event Event = PingFailed{Sequence: sequence}
	if message, err := call(limited); err == nil {
		event = AckReceived{Sequence: sequence, Message: message}
	}
	select {
	case g.events <- event:
	case <-ctx.Done():
	}
}

// Ping implements the method of Handler.
func (g *Gossip) Ping(ctx context.Context, message Message) (Message, error) {
	return g.ask(ctx, g.pingTimeout, func(token uint64) Event { return PingReceived{Token: token, Message: message} })
}

// PingRequest implements the method of Handler.
func (g *Gossip) PingRequest(ctx context.Context, request PingRequest) (Message, error) {
	return g.ask(ctx, g.requestTimeout, func(token uint64) Event {
		return PingRequestReceived{Token: token, Request: request}
	})
}

// ask passes an event to Membership and waits for its SendAck.
func (g *Gossip) ask(ctx context.Context, limit time.Duration, event func(token uint64) Event) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer := make(chan SendAck, 1)
	g.mutex.Lock()
	g.token++
	token := g.token
	g.waiting[token] = answer
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.waiting, token)
	}()
	select {
	case g.events <- event(token):
	case <-ctx.Done():
		return Message{}, errors.Wrap(ctx.Err(), "membership is busy")
	}
	select {
	case ack := <-answer:
		if ack.Failed {
			return Message{}, errors.New("member did not answer")
		}
		return ack.Message, nil
	case <-ctx.Done():
		return Message{}, errors.Wrap(ctx.Err(), "no answer from membership")
	}
}
