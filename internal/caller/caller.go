// Package caller serves callers over gRPC. It accepts every unary method with
// an opaque body, passes the request through a filter chain to a Router and
// tells the caller what is known about its execution.
package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// keepaliveTime is the silence after which a connection is pinged.
// keepaliveTimeout is how long the answer to a ping may take.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
)

// minimumPingInterval is below keepaliveTime, so that callers which also ping
// every 10 s aren't disconnected for too many pings.
const minimumPingInterval = 5 * time.Second

// maximumStreams bounds the requests in progress on one connection, so that
// one connection can't use up the in-flight limit of the host.
const maximumStreams = 1024

// Router decides where a request goes and returns what is known about it. It
// blocks until the outcome is known and obeys the context. A reply with
// OutcomeNotRun is a proof that the request was not run.
type Router interface {
	Route(ctx context.Context, request target.Request) target.Reply
}

// Service is what the chain needs to know about a service.
type Service struct {
	ID flow.ServiceID
	// CallerRate is the number of new flows a second that one caller may open
	// at this host; zero for the default of the host.
	CallerRate float64
}

// Directory answers from the configuration in force.
type Directory interface {
	// Service finds a gRPC service by its name or its address.
	Service(authority string) (Service, bool)
	// Permitted reports whether the host may serve now. First is true for a new flow.
	Permitted(first bool, now time.Time) bool
	// SessionKey returns the flow key of a session of a service.
	SessionKey(service flow.ServiceID, session string) flow.Key
}

// Observer counts what happens to requests.
type Observer interface {
	// RequestDone is called once for each request. The duration is the time
	// from its arrival to the result.
	RequestDone(outcome target.Outcome, reason target.Reason, duration time.Duration)
}

type noObserver struct{}

func (noObserver) RequestDone(target.Outcome, target.Reason, time.Duration) {}

// Option changes an optional parameter of NewServer.
type Option func(*Server)

// WithClock sets the time source.
func WithClock(c clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithObserver sets the receiver of counts.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithInFlightLimit sets the number of requests that the host handles at once.
func WithInFlightLimit(limit int) Option { return func(s *Server) { s.inFlightLimit = int64(limit) } }

// WithMessageSize sets the size in bytes of the largest request or answer body.
func WithMessageSize(size int) Option { return func(s *Server) { s.messageSize = size } }

// WithCallerRate sets the default number of new flows a second that one caller
// may open, and the number of callers that are tracked separately.
func WithCallerRate(rate float64, callers int) Option {
	return func(s *Server) { s.callerRate, s.callers = rate, callers }
}

// WithIdentitySource sets the source of identities for requests without one.
// The default draws UUIDs.
func WithIdentitySource(source func() string) Option {
	return func(s *Server) { s.newIdentity = source }
}

// Server is the gRPC server for callers.
type Server struct {
	router      Router
	directory   Directory
	clock       clock.Clock
	observer    Observer
	newIdentity func() string

	inFlightLimit int64
	messageSize   int
	callerRate    float64
	callers       int

	grpc  *grpc.Server
	entry handler
	rates *rateTable

	// routed counts the requests in the router; reading counts those whose body
	// is being read.
	routed  atomic.Int64
	reading atomic.Int64

	mutex    sync.Mutex
	stopping bool
	// accepted counts the requests that were accepted and whose handler or
	// router has not finished.
	accepted int
	// idle is closed when stopping is set and accepted is zero.
	idle chan struct{}
}

// NewServer returns a server that passes requests to the router.
func NewServer(router Router, directory Directory, options ...Option) *Server {
	s := &Server{
		router:        router,
		directory:     directory,
		clock:         clock.System{},
		observer:      noObserver{},
		newIdentity:   uuid.NewString,
		inFlightLimit: 4096,
		messageSize:   4 << 20,
		callers:       10_000,
		idle:          make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.rates = newRateTable(s.callers)
	s.entry = s.chain()
	s.grpc = grpc.NewServer(
		grpc.UnknownServiceHandler(s.handle),
		grpc.ForceServerCodecV2(target.RawCodec{}),
		// gRPC itself ends a call with a larger message, before the trailer can be
		// set. The factor lets the size filter refuse what is moderately too large
		// with the outcome in the trailer.
		grpc.MaxRecvMsgSize(2*s.messageSize),
		grpc.MaxSendMsgSize(s.messageSize),
		grpc.MaxConcurrentStreams(maximumStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minimumPingInterval, PermitWithoutStream: true}),
	)
	return s
}

// Serve accepts connections until Stop. Several listeners may be served at
// once. It returns nil after Stop.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.grpc.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return errors.Wrap(err, "serving callers")
	}
	return nil
}

// Refuse makes the server answer every new request as not run, with the reason
// stopping. Requests in progress go on.
func (s *Server) Refuse() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.accepted == 0 {
		close(s.idle)
	}
}

// Stop refuses new requests, waits for those in progress and closes the
// connections. If the context ends first, it interrupts the remaining requests
// and returns their number in the error.
func (s *Server) Stop(ctx context.Context) error {
	s.Refuse()
	select {
	case <-s.idle:
	case <-ctx.Done():
		s.mutex.Lock()
		remaining := s.accepted
		s.mutex.Unlock()
		s.grpc.Stop()
		return errors.Newf("%d requests were in progress at the end of the drain timeout", remaining)
	}
	// Every handler that was accepted has returned; this flushes their answers.
	finished := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		s.grpc.Stop()
		return errors.New("connections were open at the end of the drain timeout")
	}
}

// InProgress returns the number of requests that are being handled.
func (s *Server) InProgress() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.accepted
}

func (s *Server) accept() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return false
	}
	s.accepted++
	return true
}

// hold keeps an accepted request counted for a second holder.
func (s *Server) hold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.accepted++
}

func (s *Server) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.accepted--
	if s.stopping && s.accepted == 0 {
		close(s.idle)
	}
}
