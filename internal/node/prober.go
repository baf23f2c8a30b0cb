package node

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// HealthClient asks a target who it is.
type HealthClient interface {
	// Identify asks at a path on a connection, and returns who answered, healthy or not.
	Identify(connection net.Conn, path string) (packet.TargetKey, error)
}

// WithHealthClient sets how targets are asked who they are. Without it the host asks none.
func WithHealthClient(h HealthClient) Option { return func(n *Node) { n.health = h } }

// suspicionQueue bounds the news that wait for the other goroutine.
const suspicionQueue = 256

// suspicionExchange passes what is found out about targets between the goroutine of packets, that
// of the control state and those that ask. What finds no room is left out, but for replies, of
// which a plane awaits few.
type suspicionExchange struct {
	mutex   sync.Mutex
	replies []packet.Reply
	heard   []packet.TargetNews
	told    []packet.TargetNews
	// unread is set while replies or heard are not empty, untold while told is not.
	unread, untold atomic.Bool
}

func (e *suspicionExchange) putReply(r packet.Reply) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.replies = append(e.replies, r)
	e.unread.Store(true)
}

func (e *suspicionExchange) putHeard(news packet.TargetNews) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.heard) < suspicionQueue {
		e.heard = append(e.heard, news)
	}
	e.unread.Store(true)
}

// takeUnread returns the replies to this host's questions and the news of other hosts.
func (e *suspicionExchange) takeUnread() ([]packet.Reply, []packet.TargetNews) {
	if !e.unread.Load() {
		return nil, nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	replies, heard := e.replies, e.heard
	e.replies, e.heard = nil, nil
	e.unread.Store(false)
	return replies, heard
}

func (e *suspicionExchange) putTold(news []packet.TargetNews) {
	if len(news) == 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.told = append(e.told, news[:min(len(news), suspicionQueue-len(e.told))]...)
	e.untold.Store(true)
}

// takeTold returns what this host has found out since the last call.
func (e *suspicionExchange) takeTold() []packet.TargetNews {
	if !e.untold.Load() {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	told := e.told
	e.told = nil
	e.untold.Store(false)
	return told
}

// judge passes the plane what was found out about targets, and takes its verdicts.
func (f *forwarder) judge(now time.Duration) {
	n := f.node
	replies, heard := n.suspicions.takeUnread()
	for i := range replies {
		n.logReply(&replies[i])
		f.plane.TakeReply(now, &replies[i])
	}
	for _, news := range heard {
		f.plane.HearNews(now, news)
	}
	n.suspicions.putTold(f.plane.Judge(now))
}

func (n *Node) logReply(r *packet.Reply) {
	n.metrics.asked[r.Outcome].Inc()
	n.log.Info(logs.TargetAsked, logs.Text("target", r.Name), zap.Stringer("address", r.Address), zap.Stringer("outcome", r.Outcome),
		zap.Duration("after", r.Ended-r.Asked), zap.Int("repeats", r.Retransmissions), zap.Bool("opening_unanswered", r.Unanswered),
		zap.Duration("silence", r.Silence), zap.Duration("heard_age", r.HeardAge))
}

// question asks a target whether it lives, and passes the outcome on.
func (n *Node) question(q packet.Question) {
	r := packet.Reply{Question: q}
	defer func() {
		r.Ended = n.now()
		if n.pauses.delay(r.Ended) > 0 {
			r.Outcome = packet.Inconclusive
		}
		n.suspicions.putReply(r)
	}()
	defer n.recovered(partQuestions, nil)
	r.Outcome = n.examine(&q)
}

// examine connects to a target and asks who it is.
func (n *Node) examine(q *packet.Question) packet.QuestionOutcome {
	connection, attempts := n.connect(q.Address)
	if connection == nil {
		return packet.FailedConnections(attempts)
	}
	err := connection.SetDeadline(time.Now().Add(packet.AnswerLimit))
	var key packet.TargetKey
	if err == nil {
		key, err = n.health.Identify(connection, q.HealthPath)
	}
	if closing := connection.Close(); err == nil {
		err = closing
	}
	switch {
	case err != nil:
		n.log.Debug(logs.TargetAsked, logs.Text("target", q.Name), logs.Cause(err))
		return packet.Inconclusive
	case key == q.Target:
		return packet.AnsweredItself
	default:
		return packet.AnsweredByOther
	}
}

// connect tries to connect to an address, and again ConnectPause after the start of the first try,
// or RefusedPause if that was refused, unless it has succeeded. It returns the first connection, or
// the tries, which all failed.
func (n *Node) connect(address netip.AddrPort) (net.Conn, []packet.ConnectionAttempt) {
	type result struct {
		connection net.Conn
		attempt    packet.ConnectionAttempt
	}
	results := make(chan result, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	try := func() {
		started := n.now()
		dialer := net.Dialer{Timeout: packet.ConnectLimit}
		connection, err := dialer.DialContext(ctx, "tcp4", address.String())
		results <- result{connection, packet.ConnectionAttempt{
			Lasted:  n.now() - started,
			Refused: errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET),
			Expired: errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT),
		}}
	}
	var attempts []packet.ConnectionAttempt
	go try()
	running, again := 1, n.clock.After(packet.ConnectPause)
	for running > 0 || again != nil {
		select {
		case <-again:
			again = nil
			running++
			go try()
		case r := <-results:
			running--
			if r.connection == nil {
				attempts = append(attempts, r.attempt)
				if again != nil && r.attempt.Refused {
					again = n.clock.After(packet.RefusedPause - r.attempt.Lasted)
				}
				continue
			}
			cancel()
			if running > 0 {
				go func() {
					if second := <-results; second.connection != nil {
						// Nothing was written to it.
						_ = second.connection.Close()
					}
				}()
			}
			return r.connection, nil
		}
	}
	return nil, attempts
}

// healthPaths returns the paths by service at which targets are asked who they are; nil if the
// settings do not call for it.
func (c *control) healthPaths(configuration *catalog.Configuration) map[string]string {
	if !c.settings.SharedSuspicions || c.node.health == nil {
		return nil
	}
	paths := map[string]string{}
	for _, s := range configuration.ServiceSpecs {
		if s.HealthPath != "" {
			paths[s.Name] = s.HealthPath
		}
	}
	return paths
}

// tellSuspects takes what this host has found out about targets into the messages to others. It
// reports whether there is news, here or from another host, that others wait for.
func (c *control) tellSuspects(now time.Duration) bool {
	fresh := c.suspectsHeard
	c.suspectsHeard = false
	for _, news := range c.node.suspicions.takeTold() {
		if news.Lives {
			c.suspects.Clear(uint64(news.Target), news.At)
			continue
		}
		fresh = c.suspects.Add(uint64(news.Target), news.At, now) || fresh
	}
	return fresh && c.suspects.Urgent(c.members.LiveHostCount(now))
}

// hearSuspects takes over what another host says of targets.
func (c *control) hearSuspects(m *gossip.Message, now time.Duration) {
	if !c.settings.SharedSuspicions {
		return
	}
	for _, s := range m.Suspects {
		asked := now - time.Duration(s.Age)*time.Millisecond
		if !c.suspects.Add(s.Target, asked, now) {
			continue
		}
		c.suspectsHeard = true
		c.node.metrics.suspectsHeard.Inc()
		c.node.log.Info(logs.TargetSuspected, zap.Uint64("target_key", s.Target), zap.String("source", m.From.ID), zap.Duration("age", now-asked))
		c.node.suspicions.putHeard(packet.TargetNews{Target: packet.TargetKey(s.Target), At: asked})
	}
}
