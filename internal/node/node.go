// Package node runs a host that forwards packets: the sockets, the goroutine
// that decides on packets and the one that keeps the control state.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/settings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Store answers questions about the configuration and the targets.
type Store interface {
	// Read makes a call within the time of the context. The error is
	// catalog.ErrHistoryGone if the store no longer has the changes asked for.
	Read(ctx context.Context, call catalog.Call) (catalog.Batch, error)
}

// Codec reads and writes the datagrams of clients and targets.
type Codec interface {
	// Decode reads a client's datagram. It reports false if it is malformed.
	Decode(datagram []byte, k *packet.Packet) bool
	// EnvelopeLength is the number of bytes in front of a packet to a target.
	EnvelopeLength() int
	// Encapsulate prepares a datagram for a target: its first EnvelopeLength bytes
	// are free and followed by the client's packet.
	Encapsulate(datagram []byte, target packet.TargetKey, tag uint32)
	// AppendReset appends a reset of the flow of a client's packet.
	AppendReset(buffer []byte, k *packet.Packet) []byte
}

// suspensionLimit is the time until a suspension of the machine shows in ages: half of
// the time between two looks at what is due.
const suspensionLimit = tick / 2

// Node is a running host.
type Node struct {
	settings settings.Node
	clock    clock.Clock
	started  time.Time
	log      *zap.Logger
	newStore func(catalog.MalformedFunc) Store
	codec    Codec
	claims   ClaimStore
	random   func() *rand.Rand
	metrics  *metrics
	view     atomic.Pointer[packet.View]
	// targetsConfirmed is the time since the start, in nanoseconds, at which the targets of the
	// view were all that were listed. It is stored after the view and read before it.
	targetsConfirmed atomic.Int64
	ready            atomic.Bool
	// statusWanted asks the packet goroutine for targets.
	statusWanted atomic.Bool
	targets      atomic.Pointer[targetReport]
	// contested passes flows whose tags may mislead between the two goroutines.
	contested contestedExchange
	// suspicions passes what is found out about targets between them; health asks targets.
	suspicions suspicionExchange
	health     HealthClient
	// speeds passes what hosts saw of the speeds of targets between them.
	speeds speedExchange
	// prepared is closed once the first view is published.
	prepared chan struct{}
	// finishing is set once the fabric sends no more packets to a stopping node.
	finishing atomic.Bool
	pauses    pauseWatch
	// stopWait is the setting in force, in nanoseconds.
	stopWait  atomic.Int64
	reload    <-chan struct{}
	loadAgain func() (settings.Node, error)
	// packets is the socket for packets if it was opened beforehand.
	packets *net.UDPConn
}

// Option changes a node.
type Option func(*Node)

// WithClock sets the time source.
func WithClock(c clock.Clock) Option { return func(n *Node) { n.clock = c } }

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(n *Node) { n.log = l } }

// WithDroppedLines counts the log lines that were left out: those that a limit
// on repeats dropped, and those that a slow reader of the log left no room for.
func WithDroppedLines(repeated *logs.Dropped, unwritten func() uint64) Option {
	return func(n *Node) {
		repeated.Bind(n.metrics.linesRepeated.Inc)
		n.metrics.countUnwritten(unwritten)
	}
}

// WithRandom sets the source of random numbers.
func WithRandom(random func() *rand.Rand) Option { return func(n *Node) { n.random = random } }

// WithReload makes the node read its settings again whenever the channel
// receives.
func WithReload(signals <-chan struct{}, load func() (settings.Node, error)) Option {
	return func(n *Node) { n.reload, n.loadAgain = signals, load }
}

// WithPacketSocket sets the socket for packets, from OpenPacketSocket. Run closes it.
func WithPacketSocket(c *net.UDPConn) Option { return func(n *Node) { n.packets = c } }

// OpenPacketSocket opens the socket on which a node with the settings takes packets. They wait in
// its buffer until the node runs. What clients send before is lost, and their next copy comes up
// to 400 ms later, so a process opens it before anything else.
func OpenPacketSocket(s settings.Node) (*net.UDPConn, error) { return listenUDP(s.Listen.Packets) }

// New returns a node that is not running.
func New(
	s settings.Node, codec Codec,
	newStore func(catalog.MalformedFunc) Store, options ...Option,
) *Node {
	n := &Node{
		settings: s, prepared: make(chan struct{}), codec: codec, newStore: newStore, clock: clock.NewBootTime(clock.WithResolution(suspensionLimit)), log: zap.NewNop(), metrics: newMetrics(),
		random: func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) },
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// now returns the time since the start.
func (n *Node) now() time.Duration { return n.clock.Now().Sub(n.started) }

// listeners are the open sockets of a node.
type listeners struct {
	packets, gossip *net.UDPConn
	changes, ready  net.Listener
	metrics         net.Listener
}

func (n *Node) listen() (*listeners, error) {
	var l listeners
	var err error
	if l.packets = n.packets; l.packets == nil {
		if l.packets, err = OpenPacketSocket(n.settings); err != nil {
			return nil, err
		}
	}
	if l.gossip, err = listenUDP(n.settings.Listen.Gossip); err != nil {
		return nil, errors.CombineErrors(err, l.close())
	}
	if l.changes, err = net.Listen("tcp4", n.settings.Listen.Gossip); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listening for hosts"), l.close())
	}
	if l.ready, err = net.Listen("tcp4", n.settings.Listen.Ready); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listening for the fabric"), l.close())
	}
	if n.settings.Listen.Metrics == "" {
		return &l, nil
	}
	if l.metrics, err = net.Listen("tcp4", n.settings.Listen.Metrics); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listening for metrics"), l.close())
	}
	return &l, nil
}

// packetBufferBytes is the size asked for the kernel's receive buffer, 350 packets of
// full size: what arrives in 0.1 s, the longest pause under a processor quota,
// when eight uploads reach a host at once.
const packetBufferBytes = 512 << 10

func listenUDP(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of a socket")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(err, "opening a socket")
	}
	if err := c.SetReadBuffer(packetBufferBytes); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "setting the buffer of a socket"), c.Close())
	}
	return c, nil
}

func (l *listeners) close() error {
	var err error
	for _, c := range []interface{ Close() error }{l.packets, l.gossip, l.changes, l.ready, l.metrics} {
		switch c := c.(type) {
		case *net.UDPConn:
			if c != nil {
				err = errors.CombineErrors(err, c.Close())
			}
		case net.Listener:
			err = errors.CombineErrors(err, c.Close())
		}
	}
	return err
}

// Run forwards packets until the context ends, then leaves the rotation and
// stops after the settings' StopWait.
func (n *Node) Run(ctx context.Context) error {
	n.started = n.clock.Now()
	n.stopWait.Store(int64(n.settings.StopWait.Std()))
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info(logs.NodeStarted, zap.Any("settings", n.settings))
	running, stop := context.WithCancel(context.Background())
	control := newControl(running, n, l.gossip)
	failures, forwarded := make(chan error, 4), make(chan error, 1)
	socket, err := newPacketSocket(l.packets, n.now)
	if err != nil {
		stop()
		return errors.CombineErrors(errors.Wrap(err, "reading times of arrival"), l.close())
	}
	go n.pauses.run(running, n)
	go func() { forwarded <- newForwarder(n, socket).run() }()
	go func() { failures <- control.receive() }()
	go func() { failures <- control.serve(l.changes) }()
	go func() { failures <- n.answerFabric(l.ready) }()
	if l.metrics != nil {
		go func() { failures <- n.serveReports(l.metrics, control) }()
	}
	stopped := make(chan struct{})
	go func() {
		control.run()
		close(stopped)
	}()
	select {
	case err = <-failures:
	case err = <-forwarded:
	case <-ctx.Done():
		control.leave()
		wait := time.Duration(n.stopWait.Load())
		n.log.Info(logs.NodeStopping, zap.Duration("wait", wait))
		select {
		case err = <-failures:
		case err = <-forwarded:
		case <-n.clock.After(wait):
			err = n.finish(l.packets, forwarded)
		}
	}
	stop()
	<-stopped
	err = errors.CombineErrors(err, l.close())
	n.log.Info(logs.NodeStopped, logs.Cause(err))
	return err
}

// finish lets the forwarder empty the buffer of its socket.
func (n *Node) finish(packets *net.UDPConn, forwarded <-chan error) error {
	n.finishing.Store(true)
	if err := packets.SetReadDeadline(time.Now().Add(quietLimit)); err != nil {
		return errors.Wrap(err, "limiting the last reads")
	}
	select {
	case err := <-forwarded:
		return err
	case <-n.clock.After(finishLimit):
		return nil
	}
}
