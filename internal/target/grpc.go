package target

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"oriolevalve/internal/clock"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// The metadata keys that a Client sends to targets.
const (
	MetadataSession    = "oriolevalve-session"
	MetadataSequence   = "oriolevalve-sequence"
	MetadataSessionEnd = "oriolevalve-session-end"
	MetadataRequestID  = "oriolevalve-request-id"
	MetadataIdempotent = "oriolevalve-idempotent"
	MetadataAttempt    = "oriolevalve-attempt"
	MetadataCaller     = "oriolevalve-caller"
	// MetadataNotAfter is the time in Unix milliseconds after which the target
	// must not start the request.
	MetadataNotAfter = "oriolevalve-not-after"
)

// The trailer keys that targets send.
const (
	// TrailerNotRun is "1" if the target did not start the request.
	TrailerNotRun = "oriolevalve-not-run"
	// TrailerLoad is the load of the target in the form "IN_PROGRESS,QUEUED".
	TrailerLoad = "oriolevalve-load"
)

// MaxMessageSize is the largest body of a request or an answer, in bytes.
const MaxMessageSize = 4 << 20

const (
	// keepaliveTime is the interval of keepalive pings, which detect a connection
	// without responses. The target must permit pings every 10 s without calls.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time after an unanswered ping until the connection
	// is closed.
	keepaliveTimeout = 10 * time.Second
	// connectTimeout limits one attempt to connect.
	connectTimeout = 2 * time.Second
	probeTimeout   = 2 * time.Second
)

// Client calls one target over one gRPC connection. It replaces the connection when
// it breaks or keepalive pings go unanswered. It is safe for concurrent use.
type Client struct {
	connection *grpc.ClientConn
	clock      clock.Clock
	dial       func(context.Context, string) (net.Conn, error)
	keepalive  keepalive.ClientParameters
}

// ClientOption changes a default of NewClient.
type ClientOption func(*Client)

// WithDialer sets the function that opens the connections.
func WithDialer(dial func(context.Context, string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// NewClient returns a client of the target at a TCP address. The connection is
// opened by the first call. It returns an error for a malformed address.
func NewClient(address string, timeSource clock.Clock, options ...ClientOption) (*Client, error) {
	c := &Client{
		clock:     timeSource,
		keepalive: keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true},
	}
	for _, option := range options {
		option(c)
	}
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(attemptObserver{}),
		grpc.WithKeepaliveParams(c.keepalive),
		grpc.WithConnectParams(grpc.ConnectParams{
			// With this maximum delay, a restarted target serves its sessions
			// again within a second.
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		// gRPC then resends only streams that the target provably did not process.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(0),
	}
	if c.dial != nil {
		dialOptions = append(dialOptions, grpc.WithContextDialer(c.dial))
	}
	var err error
	if c.connection, err = grpc.NewClient("passthrough:///"+address, dialOptions...); err != nil {
		return nil, errors.Wrapf(err, "target %s", address)
	}
	return c, nil
}

// Close closes the connection. Requests in progress end with OutcomeUnknown.
func (c *Client) Close() error { return c.connection.Close() }

// Call sends a request and waits for its result. The target receives authority as the
// ":authority" header, which names the service. A request whose NotAfter has passed is
// not sent.
func (c *Client) Call(ctx context.Context, authority string, r *Request) (Reply, LoadReport) {
	if len(r.Body) > MaxMessageSize {
		return Reply{Outcome: OutcomeNotRun, Reason: ReasonTooLarge}, LoadReport{}
	}
	if !r.NotAfter.IsZero() {
		left := r.NotAfter.Sub(c.clock.Now())
		if left <= 0 {
			return Reply{Outcome: OutcomeNotRun, Reason: ReasonDeadline}, LoadReport{}
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	a := &attempt{}
	ctx = context.WithValue(metadata.NewOutgoingContext(ctx, requestMetadata(r)), attemptKey{}, a)
	var answer []byte
	var trailer metadata.MD
	options := []grpc.CallOption{
		grpc.ForceCodecV2(RawCodec{}), grpc.Trailer(&trailer), grpc.MaxCallRecvMsgSize(MaxMessageSize),
		grpc.MaxCallSendMsgSize(MaxMessageSize),
	}
	if authority != "" {
		options = append(options, grpc.CallAuthority(authority))
	}
	err := c.connection.Invoke(ctx, r.Method, &r.Body, &answer, options...)
	return classify(ctx, a, err, answer, trailer), parseLoad(trailer)
}

func requestMetadata(r *Request) metadata.MD {
	md := metadata.Pairs(
		MetadataIdempotent, strconv.FormatBool(r.Idempotent),
		MetadataAttempt, strconv.FormatUint(uint64(r.Attempt), 10),
	)
	if r.HasSession {
		md.Set(MetadataSession, r.Session)
		md.Set(MetadataSequence, strconv.FormatUint(r.Sequence, 10))
		md.Set(MetadataSessionEnd, strconv.FormatBool(r.SessionEnd))
	}
	if r.Identity != "" {
		md.Set(MetadataRequestID, r.Identity)
	}
	if r.Caller != "" {
		md.Set(MetadataCaller, r.Caller)
	}
	if !r.NotAfter.IsZero() {
		md.Set(MetadataNotAfter, strconv.FormatInt(r.NotAfter.UnixMilli(), 10))
	}
	return md
}

// classify converts the result of a call to a reply. The outcome is OutcomeNotRun only
// if no header was written or the target sent TrailerNotRun.
func classify(ctx context.Context, a *attempt, err error, answer []byte, trailer metadata.MD) Reply {
	if err == nil {
		return Reply{Outcome: OutcomeAnswered, Body: answer}
	}
	s := status.Convert(err)
	// Both sides of the connection end a call at its deadline, in either order.
	// Such a status does not tell whether the request ran.
	timedOut := s.Code() == codes.DeadlineExceeded || s.Code() == codes.Canceled
	if a.statusReceived.Load() && !timedOut {
		if notRun(s.Code(), trailer) {
			return Reply{Outcome: OutcomeNotRun, Reason: ReasonShed, Code: uint32(s.Code()), Message: s.Message()}
		}
		return Reply{Outcome: OutcomeAnswered, Code: uint32(s.Code()), Message: s.Message()}
	}
	reply := Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost, Message: s.Message()}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reply.Reason = ReasonCallerGone
	case timedOut:
		reply.Reason = ReasonDeadline
	}
	if !a.headerWritten.Load() {
		reply.Outcome = OutcomeNotRun
		if reply.Reason == ReasonAttemptLost {
			reply.Reason = ReasonTargetDown
		}
	}
	return reply
}

func notRun(code codes.Code, trailer metadata.MD) bool {
	value := trailer.Get(TrailerNotRun)
	return (code == codes.ResourceExhausted || code == codes.Unavailable) && len(value) == 1 && value[0] == "1"
}

// parseLoad parses TrailerLoad. It treats a malformed trailer as absent.
func parseLoad(trailer metadata.MD) LoadReport {
	value := trailer.Get(TrailerLoad)
	if len(value) != 1 {
		return LoadReport{}
	}
	inProgressText, queuedText, _ := strings.Cut(value[0], ",")
	inProgress, err := strconv.ParseUint(inProgressText, 10, 32)
	if err != nil {
		return LoadReport{}
	}
	queued, err := strconv.ParseUint(queuedText, 10, 32)
	if err != nil {
		return LoadReport{}
	}
	return LoadReport{Known: true, InProgress: uint32(inProgress), Queued: uint32(queued)}
}

// Probe checks the health endpoint (grpc.health.v1) and returns whether the target is
// healthy, with its load. A target without a health endpoint is healthy if it answers
// the call.
func (c *Client) Probe(ctx context.Context) (bool, LoadReport) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var trailer metadata.MD
	answer, err := grpc_health_v1.NewHealthClient(c.connection).Check(ctx, &grpc_health_v1.HealthCheckRequest{},
		grpc.Trailer(&trailer))
	if status.Code(err) == codes.Unimplemented {
		return true, parseLoad(trailer)
	}
	return err == nil && answer.GetStatus() == grpc_health_v1.HealthCheckResponse_SERVING, parseLoad(trailer)
}

// Connected reports whether the connection is open.
func (c *Client) Connected() bool { return c.connection.GetState() == connectivity.Ready }

// attempt is the progress of a call as observed at the transport.
type attempt struct {
	// headerWritten is set once the request header may have been sent.
	headerWritten atomic.Bool
	// statusReceived is set once the status sent by the target has arrived.
	statusReceived atomic.Bool
}

type attemptKey struct{}

// attemptObserver updates the attempt in the context of a call. It implements
// stats.Handler.
type attemptObserver struct{}

func (attemptObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (attemptObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (attemptObserver) HandleConn(context.Context, stats.ConnStats) {}

func (attemptObserver) HandleRPC(ctx context.Context, event stats.RPCStats) {
	a, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		if e.IsTransparentRetryAttempt {
			// gRPC resends only after the target provably did not process the
			// stream.
			a.headerWritten.Store(false)
			a.statusReceived.Store(false)
		}
	case *stats.OutHeader:
		a.headerWritten.Store(true)
	case *stats.InTrailer:
		a.statusReceived.Store(true)
	}
}
