// Package target is the stand-in for targets: a gRPC server that runs any unary
// method with an opaque body in a fixed number of slots, and records what it
// ran.
package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/standin/record"
	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// readHeaderTimeout ends connections that send no request. It is long, because
// a test machine may give the process no time for more than a second.
const readHeaderTimeout = 30 * time.Second

// Options describe a target.
type Options struct {
	// Name and Service are written into the records.
	Name    string
	Service string
	// Address is the TCP address of the gRPC server, with port 0 for a free one.
	Address string
	// ControlAddress is the address of the HTTP endpoint; empty for none.
	ControlAddress string
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of requests that the target holds at once.
	Connections int
	// Record receives each record as a JSON line before the request takes time,
	// so that it survives the target. Nil keeps the records in memory only.
	Record    io.Writer
	Behaviour Behaviour
	Clock     clock.Clock
}

func (o *Options) validate() error {
	if o.Slots < 1 || o.Connections < 1 || o.Clock == nil {
		return errors.New("slots and connections must be at least 1, and the clock is required")
	}
	return o.Behaviour.validate()
}

// Server is a running target.
type Server struct {
	options  Options
	listener net.Listener
	control  net.Listener
	server   *grpc.Server
	http     *http.Server
	started  time.Time
	stopped  sync.WaitGroup

	mutex     sync.Mutex
	behaviour Behaviour
	running   int
	// waiting holds the requests without a slot, oldest first. A closed channel
	// gives the slot.
	waiting []chan struct{}
	held    int
	records []record.Record
	// recordError is the first failure to write a record.
	recordError error
	history     reports
}

// Start starts a target. It returns an error if the options are invalid or an
// address is in use.
func Start(options Options) (*Server, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	s := &Server{options: options, behaviour: options.Behaviour, started: options.Clock.Now()}
	s.remember()
	var err error
	if s.listener, err = net.Listen("tcp", options.Address); err != nil {
		return nil, errors.Wrap(err, "target stand-in")
	}
	if options.ControlAddress != "" {
		if s.control, err = net.Listen("tcp", options.ControlAddress); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "control of the target stand-in"), s.listener.Close())
		}
	}
	s.server = grpc.NewServer(
		grpc.ForceServerCodecV2(codec{}),
		grpc.UnknownServiceHandler(s.handle),
		grpc.MaxRecvMsgSize(target.MaxMessageSize),
		grpc.MaxSendMsgSize(target.MaxMessageSize),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	)
	grpc_health_v1.RegisterHealthServer(s.server, healthServer{server: s})
	s.stopped.Go(func() { _ = s.server.Serve(s.listener) })
	if s.control != nil {
		s.http = &http.Server{Handler: s.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
		s.stopped.Go(func() { _ = s.http.Serve(s.control) })
	}
	return s, nil
}

// Run runs a target until the context ends, and then ends its requests.
func Run(ctx context.Context, options Options) error {
	s, err := Start(options)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return s.Stop()
}

// Stop ends the target at once, like a crash: requests in progress are cut.
func (s *Server) Stop() error {
	s.server.Stop()
	var err error
	if s.http != nil {
		err = s.http.Close()
	}
	s.stopped.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return errors.CombineErrors(err, errors.Wrap(s.recordError, "writing the application record"))
}

// Address returns the address of the gRPC server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ControlAddress returns the address of the HTTP endpoint; empty for none.
func (s *Server) ControlAddress() string {
	if s.control == nil {
		return ""
	}
	return s.control.Addr().String()
}

// SetBehaviour changes how the target acts from now on.
func (s *Server) SetBehaviour(b Behaviour) error {
	if err := b.validate(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = b
	s.remember()
	return nil
}

// Records returns what the target ran, in order.
func (s *Server) Records() []record.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.records)
}

// InProgress returns the number of running requests.
func (s *Server) InProgress() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// handle runs one request. A request counts as run from the moment that it has
// a slot, so that a timeout or a cancellation after that is truly unknown.
func (s *Server) handle(_ any, stream grpc.ServerStream) error {
	md, _ := metadata.FromIncomingContext(stream.Context())
	var body []byte
	if err := stream.RecvMsg(&body); err != nil {
		return err
	}
	defer func() { stream.SetTrailer(metadata.Pairs(target.TrailerLoad, s.load())) }()
	if reason := s.enter(stream.Context(), md); reason != "" {
		stream.SetTrailer(metadata.Pairs(target.TrailerNotRun, "1"))
		return status.Error(codes.ResourceExhausted, reason)
	}
	r, serviceTime := s.apply(md, body)
	defer s.leave()
	if serviceTime > 0 {
		select {
		case <-s.options.Clock.After(serviceTime):
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		}
	}
	answer, err := json.Marshal(r)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return stream.SendMsg(&answer)
}

// enter takes a slot, or returns the reason why the request does not start.
func (s *Server) enter(ctx context.Context, md metadata.MD) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reason := s.refusal(md); reason != "" {
		return reason
	}
	s.held++
	defer func() { s.held-- }()
	if s.running < s.options.Slots {
		s.running++
		s.remember()
		return s.checkTime(md)
	}
	if len(s.waiting) >= s.behaviour.QueueLimit {
		return "no slot is free"
	}
	slot := make(chan struct{})
	s.waiting = append(s.waiting, slot)
	s.remember()
	s.mutex.Unlock()
	select {
	case <-slot:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	if i := slices.Index(s.waiting, slot); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.remember()
		return "the call ended before it started"
	}
	if ctx.Err() != nil {
		s.free()
		return "the call ended before it started"
	}
	return s.checkTime(md)
}

func (s *Server) refusal(md metadata.MD) string {
	first := first(md, target.MetadataSession) == "" || first(md, target.MetadataSequence) == "0"
	switch {
	case s.behaviour.Shedding:
		return "the target sheds load"
	case s.behaviour.Draining && first:
		return "the target drains"
	case s.held+s.running >= s.options.Connections:
		return "too many connections"
	default:
		return ""
	}
}

// checkTime gives the slot back if the request must not start any longer. A
// malformed time counts as passed.
func (s *Server) checkTime(md metadata.MD) string {
	text := first(md, target.MetadataNotAfter)
	if text == "" {
		return ""
	}
	limit, err := strconv.ParseInt(text, 10, 64)
	if err == nil && s.options.Clock.Now().UnixMilli() <= limit {
		return ""
	}
	s.free()
	return "the request arrived after its time limit"
}

func (s *Server) apply(md metadata.MD, body []byte) (record.Record, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sequence, _ := strconv.ParseUint(first(md, target.MetadataSequence), 10, 64)
	r := record.Record{
		Target: s.options.Name, Service: s.options.Service, Session: first(md, target.MetadataSession),
		RequestID: first(md, target.MetadataRequestID), Sequence: sequence, BodyDigest: record.Digest(body),
	}
	s.records = append(s.records, r)
	if s.options.Record != nil && s.recordError == nil {
		s.recordError = json.NewEncoder(s.options.Record).Encode(r)
	}
	return r, s.behaviour.serviceTime(s.options.Clock.Now().Sub(s.started))
}

func (s *Server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.free()
}

// free passes the slot to the request that waits longest.
func (s *Server) free() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	s.remember()
}

func (s *Server) remember() {
	now := s.options.Clock.Now()
	s.history.add(report{
		at: now, serving: !s.behaviour.Draining && !s.behaviour.Shedding, inProgress: s.running, queued: len(s.waiting),
	}, s.behaviour.Lag.Std())
}

// load returns the value of the load trailer.
func (s *Server) load() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch s.behaviour.Load {
	case "idle":
		return "0,0"
	case "full":
		return fmt.Sprintf("%d,%d", s.options.Slots, s.options.Slots)
	}
	state := s.history.before(s.options.Clock.Now(), s.behaviour.Lag.Std())
	return fmt.Sprintf("%d,%d", state.inProgress, state.queued)
}

func (s *Server) serving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch s.behaviour.Health {
	case "serving":
		return true
	case "not_serving":
		return false
	}
	return s.history.before(s.options.Clock.Now(), s.behaviour.Lag.Std()).serving
}

func first(md metadata.MD, key string) string {
	if values := md.Get(key); len(values) > 0 {
		return values[0]
	}
	return ""
}
