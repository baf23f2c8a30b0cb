package node

import (
	"net"
	"runtime/debug"
	"time"

	"oriolevalve/internal/logs"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// failurePause is the time between two tries of a socket that fails, in which
	// descriptors or buffers may come free.
	failurePause = 50 * time.Millisecond
	// failureLimit is the number of failures in a row, 5 s, after which a socket
	// counts as lost: the process ends, and a new one opens its own.
	failureLimit = 100
)

// part names a part of the node in logs and metrics of its failures.
type part uint8

const (
	partPackets part = iota
	partGossip
	partChanges
	partControl
	partStore
	partQuestions
	partCount
)

var partNames = [partCount]string{"packets", "gossip", "changes", "control", "store", "questions"}

// recovered ends a panic of a part, so that one unexpected input costs no more than
// its own outcome. It is deferred. The rebuild replaces state that may be half
// changed; nil if there is none.
func (n *Node) recovered(p part, rebuild func()) {
	cause := recover()
	if cause == nil {
		return
	}
	n.metrics.unexpected[p].Inc()
	n.log.Error(logs.UnexpectedError, zap.String("part", partNames[p]), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
	if rebuild != nil {
		rebuild()
	}
}

// socketGuard decides whether the loop of a socket goes on after an error.
type socketGuard struct {
	node     *Node
	part     part
	failures int
}

// ended reports whether the loop of the socket ends after the error of a call: it was
// closed, or it has failed for long, which is the error returned.
func (g *socketGuard) ended(err error) (bool, error) {
	switch {
	case err == nil:
		g.failures = 0
		return false, nil
	case errors.Is(err, net.ErrClosed):
		return true, nil
	}
	g.failures++
	g.node.metrics.unexpected[g.part].Inc()
	g.node.log.Warn(logs.SocketFailed, zap.String("part", partNames[g.part]), zap.Int("failures", g.failures), logs.Cause(err))
	if g.failures > failureLimit {
		return true, errors.Wrapf(err, "socket for %s", partNames[g.part])
	}
	<-g.node.clock.After(failurePause)
	return false, nil
}
