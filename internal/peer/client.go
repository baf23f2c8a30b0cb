package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/peer/peerpb"
	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

var (
	// ErrNotSent marks the error of a request that the peer has not handled and
	// never will: no connection, no complete frame, or a refusal by the peer
	// before it handled the request.
	ErrNotSent = errors.New("request was not delivered to the peer")
	// ErrOutcomeUnknown marks the error of a request that the peer may have
	// handled, or may still handle.
	ErrOutcomeUnknown = errors.New("request may have been handled by the peer")
	// ErrSilent is the error of a connection that was replaced because nothing
	// arrived on it.
	ErrSilent = errors.New("connection to peer is silent")
)

// markedError is an error of a known kind. Both errors.Is of the standard
// library and that of cockroachdb/errors find the kind and the cause; a mark of
// cockroachdb/errors is invisible to the former.
type markedError struct{ kind, cause error }

// Error implements error.
func (e markedError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Is reports whether the target is the kind of the error.
func (e markedError) Is(target error) bool { return target == e.kind }

// Unwrap returns the cause.
func (e markedError) Unwrap() error { return e.cause }

const (
	dialTimeout = time.Second
	// A connection is checked at this interval while calls are outstanding. The
	// third check in a row without a frame ends it, so at most 2 s pass; the
	// first one sends a heartbeat.
	checkInterval = 500 * time.Millisecond
	silentChecks  = 3
)

// Client calls other hosts. It keeps one connection for pings and a few for
// requests to each host, so that a large body does not delay a ping.
type Client struct {
	clock       clock.Clock
	credentials *Credentials
	version     uint16
	requests    int
	callLimit   int
	bytes       ByteCounter
	dial        func(ctx context.Context, address string) (net.Conn, error)

	mutex sync.Mutex
	peers map[string]*pool
	// closed is set by Close.
	closed bool
}

// ClientOption changes a default of NewClient.
type ClientOption func(*Client)

// WithCredentials makes the client use TLS. The default is plain TCP.
func WithCredentials(credentials *Credentials) ClientOption {
	return func(c *Client) { c.credentials = credentials }
}

// WithClientByteCounter counts the bytes of control frames. By default nothing
// counts them.
func WithClientByteCounter(b ByteCounter) ClientOption { return func(c *Client) { c.bytes = b } }

// WithRequestConnections sets the number of connections for requests to each
// host, by default 2.
func WithRequestConnections(count int) ClientOption { return func(c *Client) { c.requests = count } }

// WithCallLimit sets the highest number of concurrent calls to each host, by
// default 1024. Calls beyond it fail with ErrNotSent.
func WithCallLimit(count int) ClientOption { return func(c *Client) { c.callLimit = count } }

// NewClient returns a client.
func NewClient(clock clock.Clock, options ...ClientOption) *Client {
	c := &Client{
		clock: clock, version: ProtocolVersion, requests: 2, callLimit: 1024, bytes: uncounted{}, peers: map[string]*pool{},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// pool holds the connections to one host.
type pool struct {
	// calls holds a token for each call in progress.
	calls chan struct{}
	// slots are the connection for pings and those for requests.
	slots []*slot
	next  atomic.Uint32
}

// slot holds one connection, or the attempt to open it.
type slot struct {
	mutex      sync.Mutex
	connection *connection
	opening    *opening
	// closed is set when the peer was forgotten. A connection that opens later
	// is closed at once.
	closed bool
}

type opening struct {
	done       chan struct{}
	connection *connection
	err        error
}

// connection is an open connection with its outstanding calls.
type connection struct {
	clock     clock.Clock
	rpc       *rpc.Client
	frames    *frames
	open      atomic.Int64
	silent    atomic.Bool
	monitored atomic.Bool
}

func (c *Client) pool(address string) (*pool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	p := c.peers[address]
	if p == nil {
		p = &pool{calls: make(chan struct{}, c.callLimit)}
		for range c.requests + 1 {
			p.slots = append(p.slots, &slot{})
		}
		c.peers[address] = p
	}
	return p, nil
}

// Forget closes the connections to a host that has left.
func (c *Client) Forget(address string) {
	c.mutex.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mutex.Unlock()
	if p != nil {
		p.close()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	peers := c.peers
	c.peers, c.closed = map[string]*pool{}, true
	c.mutex.Unlock()
	for _, p := range peers {
		p.close()
	}
}

func (p *pool) close() {
	for _, s := range p.slots {
		s.mutex.Lock()
		s.closed = true
		connection := s.connection
		s.mutex.Unlock()
		if connection != nil {
			connection.frames.close()
		}
	}
}

// get returns the open connection of the slot or opens one. Callers share an
// attempt to open it.
func (s *slot) get(ctx context.Context, c *Client, address string) (*connection, error) {
	s.mutex.Lock()
	if s.connection != nil && !s.connection.frames.failed.Load() {
		defer s.mutex.Unlock()
		return s.connection, nil
	}
	o := s.opening
	if o == nil {
		o = &opening{done: make(chan struct{})}
		s.opening = o
		go func() {
			o.connection, o.err = c.connect(address)
			s.mutex.Lock()
			s.connection, s.opening = o.connection, nil
			if s.closed && o.connection != nil {
				o.connection.frames.close()
			}
			s.mutex.Unlock()
			close(o.done)
		}()
	}
	s.mutex.Unlock()
	select {
	case <-o.done:
		return o.connection, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) connect(address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	if c.credentials != nil {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "address of peer")
		}
		conn = tls.Client(conn, c.credentials.clientConfig(host))
	}
	if err := handshake(conn, c.version); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	f := newFrames(conn, c.bytes)
	return &connection{clock: c.clock, frames: f, rpc: rpc.NewClientWithCodec(clientCodec{f})}, nil
}

// monitor ends the connection if nothing arrives on it while calls are
// outstanding. It runs only for that time, so idle connections cost nothing.
func (n *connection) monitor() {
	if n.monitored.Swap(true) {
		return
	}
	go func() {
		defer n.monitored.Store(false)
		reads, quiet := n.frames.reads.Load(), 0
		for {
			<-n.clock.After(checkInterval)
			if n.frames.failed.Load() || n.open.Load() == 0 {
				return
			}
			if now := n.frames.reads.Load(); now != reads {
				reads, quiet = now, 0
				continue
			}
			quiet++
			if quiet >= silentChecks {
				n.silent.Store(true)
				n.frames.close()
				return
			}
			if quiet == 1 {
				// The write may block on a peer that takes no data.
				go n.rpc.Go("Peer.Echo", &outgoing{message: &peerpb.Empty{}}, &incoming{message: &peerpb.Empty{}}, make(chan *rpc.Call, 1))
			}
		}
	}()
}

// call makes a call on a connection of the given slot. Its error is marked
// with ErrNotSent or ErrOutcomeUnknown, unless the handler returned it.
func (c *Client) call(ctx context.Context, address string, control bool, method string, in, out proto.Message) error {
	p, err := c.pool(address)
	if err != nil {
		return markedError{ErrNotSent, err}
	}
	if err := ctx.Err(); err != nil {
		return markedError{ErrNotSent, err}
	}
	s := p.slots[0]
	if !control {
		select {
		case p.calls <- struct{}{}:
			defer func() { <-p.calls }()
		default:
			return markedError{ErrNotSent, errors.Newf("%d calls to peer %s are in progress", cap(p.calls), address)}
		}
		s = p.slots[1+int(p.next.Add(1))%(len(p.slots)-1)]
	}
	for repeat := false; ; repeat = true {
		n, err := s.get(ctx, c, address)
		if err != nil {
			return markedError{ErrNotSent, err}
		}
		written, err := n.call(ctx, control, method, in, out)
		// A connection that the peer closed while it was idle is noticed at the
		// next write. Nothing was delivered on it.
		if err == nil || written || repeat || !n.frames.failed.Load() {
			return err
		}
	}
}

func (n *connection) call(ctx context.Context, control bool, method string, in, out proto.Message) (written bool, err error) {
	n.open.Add(1)
	defer n.open.Add(-1)
	if !control {
		n.monitor()
	}
	reads := n.frames.reads.Load()
	request := &outgoing{message: in}
	// The answer of an abandoned call is decoded into a value of its own.
	answer := &incoming{message: out}
	call := n.rpc.Go(method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// A ping on a silent connection must not be repeated on it: its member
		// would be declared dead although new connections work.
		if control && n.frames.reads.Load() == reads {
			n.frames.close()
		}
		return request.written, markedError{ErrOutcomeUnknown, errors.Wrap(ctx.Err(), "no answer from peer")}
	}
	if call.Error == nil && answer.err == nil {
		return true, nil
	}
	if call.Error == nil {
		return true, markedError{ErrOutcomeUnknown, errors.Wrap(answer.err, "answer of peer")}
	}
	return request.written, n.classify(call.Error, request.written)
}

// classify marks the error of a call that has ended.
func (n *connection) classify(err error, written bool) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		text := string(remote)
		// net/rpc itself answers a call of an unknown method.
		if strings.HasPrefix(text, notRun) || strings.HasPrefix(text, "rpc: can't find") {
			return markedError{ErrNotSent, errors.Newf("peer refused: %s", text)}
		}
		return markedError{errRemote, errors.Newf("peer: %s", text)}
	}
	if !written {
		return markedError{ErrNotSent, errors.Wrap(err, "send to peer")}
	}
	if n.silent.Load() {
		err = markedError{ErrSilent, err}
	}
	return markedError{ErrOutcomeUnknown, errors.Wrap(err, "connection to peer")}
}

// errRemote marks an error that the handler of the peer returned.
var errRemote = errors.New("peer failed")

// Relay sends a request to the host at the address. An error is marked with
// either ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Relay(ctx context.Context, address string, request target.Request) (target.Reply, error) {
	var out peerpb.Reply
	if err := c.call(ctx, address, false, "Peer.Relay", requestToProto(request), &out); err != nil {
		if errors.Is(err, errRemote) {
			err = markedError{ErrOutcomeUnknown, err}
		}
		return target.Reply{}, err
	}
	reply, err := replyFromProto(&out)
	if err != nil {
		return target.Reply{}, markedError{ErrOutcomeUnknown, err}
	}
	return reply, nil
}

// Ping sends a ping and returns the ack.
func (c *Client) Ping(ctx context.Context, address string, message Message) (Message, error) {
	var out peerpb.Ping
	if err := c.call(ctx, address, true, "Peer.Ping", messageToProto(message), &out); err != nil {
		return Message{}, err
	}
	return messageFromProto(&out)
}

// PingRequest asks the host at the address to ping another one.
func (c *Client) PingRequest(ctx context.Context, address string, request PingRequest) (Message, error) {
	var out peerpb.Ping
	if err := c.call(ctx, address, true, "Peer.PingRequest", pingRequestToProto(request), &out); err != nil {
		return Message{}, err
	}
	return messageFromProto(&out)
}

// Handover sends records to another owner.
func (c *Client) Handover(ctx context.Context, address string, handover target.Handover) error {
	return c.call(ctx, address, false, "Peer.Handover", handoverToProto(handover), &peerpb.Empty{})
}

// Consult asks the owner of a target about a session or identity.
func (c *Client) Consult(ctx context.Context, address string, request target.ConsultRequest) (target.ConsultReply, error) {
	var out peerpb.ConsultReply
	if err := c.call(ctx, address, false, "Peer.Consult", consultRequestToProto(request), &out); err != nil {
		return target.ConsultReply{}, err
	}
	return consultReplyFromProto(&out), nil
}

// ConfigurationGet fetches the configuration from a host.
func (c *Client) ConfigurationGet(ctx context.Context, address string, known uint64) ([]byte, uint64, error) {
	var out peerpb.ConfigurationReply
	in := &peerpb.ConfigurationRequest{Known: known}
	if err := c.call(ctx, address, false, "Peer.ConfigurationGet", in, &out); err != nil {
		return nil, 0, err
	}
	return out.GetPayload(), out.GetRevision(), nil
}
