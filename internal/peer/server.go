package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"oriolevalve/internal/peer/peerpb"
	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Handler answers the calls of other hosts. Its methods run concurrently.
type Handler interface {
	Ping(ctx context.Context, message Message) (Message, error)
	PingRequest(ctx context.Context, request PingRequest) (Message, error)
	// Relay serves a request. Its context ends at the request's NotAfter. It
	// does not end when the connection dies, since a repeat of the request may
	// still collect the answer.
	Relay(ctx context.Context, request target.Request) target.Reply
	Handover(handover target.Handover) error
	Consult(request target.ConsultRequest) target.ConsultReply
	// ConfigurationGet returns the configuration in force, encoded for a host
	// that has the known revision.
	ConfigurationGet(known uint64) (payload []byte, revision uint64, err error)
}

// ProtocolVersion is the version of the protocol between hosts.
const ProtocolVersion = 1

// VersionError says that a peer speaks another version of the protocol.
type VersionError struct{ Peer, Own uint16 }

// Error implements error.
func (e VersionError) Error() string {
	return errors.Newf("peer speaks protocol version %d, this host version %d", e.Peer, e.Own).Error()
}

const handshakeTimeout = time.Second

// handshake exchanges the versions. Both sides write before they read, so both
// can name the other's version.
func handshake(conn net.Conn, version uint16) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "handshake")
	}
	greeting := binary.BigEndian.AppendUint16([]byte("ORVP"), version)
	if _, err := conn.Write(greeting); err != nil {
		return errors.Wrap(err, "handshake")
	}
	answer := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, answer); err != nil {
		return errors.Wrap(err, "handshake")
	}
	if string(answer[:4]) != "ORVP" {
		return errors.Newf("handshake: %q is not the start of the protocol between hosts", answer[:4])
	}
	if peer := binary.BigEndian.Uint16(answer[4:]); peer != version {
		return VersionError{Peer: peer, Own: version}
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "handshake")
}

// Server accepts the connections of other hosts.
type Server struct {
	handler Handler
	version uint16
	tls     *tls.Config
	bytes   ByteCounter
	// relays holds a token for each request in progress.
	relays chan struct{}
	// context ends when the server is closed.
	context context.Context
	cancel  context.CancelFunc

	mutex       sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
	stopping    bool
	calls       sync.WaitGroup
}

// ServerOption changes a default of NewServer.
type ServerOption func(*Server)

// WithServerTLS makes the server require TLS. The default is plain TCP.
func WithServerTLS(config *tls.Config) ServerOption { return func(s *Server) { s.tls = config } }

// WithServerByteCounter counts the bytes of control frames. By default nothing
// counts them.
func WithServerByteCounter(b ByteCounter) ServerOption { return func(s *Server) { s.bytes = b } }

// WithRelayLimit sets the highest number of relayed requests in progress, by
// default 4096. Requests beyond it are refused as not run.
func WithRelayLimit(count int) ServerOption {
	return func(s *Server) { s.relays = make(chan struct{}, count) }
}

// NewServer returns a server that passes calls to the handler.
func NewServer(handler Handler, options ...ServerOption) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		handler: handler, version: ProtocolVersion, relays: make(chan struct{}, 4096), bytes: uncounted{},
		connections: map[net.Conn]bool{}, context: ctx, cancel: cancel,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Serve accepts connections until the server is shut down or closed, when it
// returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	stopping := s.stopping
	s.mutex.Unlock()
	if stopping {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.stopping {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		go s.serveConnection(conn)
	}
}

func (s *Server) serveConnection(conn net.Conn) {
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	defer func() { _ = conn.Close() }()
	if !s.add(conn) {
		return
	}
	defer s.remove(conn)
	if handshake(conn, s.version) != nil {
		return
	}
	// The methods of a server are found by reflection, once per connection,
	// which takes less than a handshake.
	r := rpc.NewServer()
	if err := r.RegisterName("Peer", &service{s}); err != nil {
		return
	}
	r.ServeCodec(serverCodec{newFrames(conn, s.bytes)})
}

func (s *Server) add(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return false
	}
	s.connections[conn] = true
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, conn)
}

// begin counts a call, unless the server stops.
func (s *Server) begin() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return errors.Newf("%shost is stopping", notRun)
	}
	s.calls.Add(1)
	return nil
}

// Shutdown refuses new calls as not run, waits for those in progress until the
// context ends, and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	s.stopping = true
	listener := s.listener
	s.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	finished := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "calls of peers in progress")
	}
	s.cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.connections {
		_ = conn.Close()
	}
	return err
}

// Answer is the result of a call at the server. net/rpc needs an exported type.
type Answer struct {
	message proto.Message
	// written is called once the answer is written. A call is in progress until
	// then, since Shutdown would otherwise close its connection too early.
	written func()
}

// service has the methods that net/rpc calls.
type service struct{ server *Server }

// Echo answers the heartbeat of a connection.
func (s *service) Echo(_ *peerpb.Empty, _ *Answer) error { return nil }

// Ping answers a ping.
func (s *service) Ping(in *peerpb.Ping, out *Answer) error {
	message, err := messageFromProto(in)
	if err != nil {
		return err
	}
	answer, err := s.server.handler.Ping(s.server.context, message)
	if err != nil {
		return err
	}
	out.message = messageToProto(answer)
	return nil
}

// PingRequest pings a member for another host.
func (s *service) PingRequest(in *peerpb.PingRequest, out *Answer) error {
	request, err := pingRequestFromProto(in)
	if err != nil {
		return err
	}
	answer, err := s.server.handler.PingRequest(s.server.context, request)
	if err != nil {
		return err
	}
	out.message = messageToProto(answer)
	return nil
}

// Relay serves a request of a caller.
func (s *service) Relay(in *peerpb.Request, out *Answer) error {
	if err := s.server.begin(); err != nil {
		return err
	}
	out.written = s.server.calls.Done
	request, err := requestFromProto(in)
	if err != nil {
		s.server.calls.Done()
		return errors.Newf("%s%s", notRun, err)
	}
	select {
	case s.server.relays <- struct{}{}:
		defer func() { <-s.server.relays }()
	default:
		s.server.calls.Done()
		return errors.Newf("%shost has %d relayed requests in progress", notRun, cap(s.server.relays))
	}
	ctx := s.server.context
	if !request.NotAfter.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.NotAfter)
		defer cancel()
	}
	out.message = replyToProto(s.server.handler.Relay(ctx, request))
	return nil
}

// Handover takes over records.
func (s *service) Handover(in *peerpb.Handover, out *Answer) error {
	if err := s.server.begin(); err != nil {
		return err
	}
	handover, err := handoverFromProto(in)
	if err == nil {
		err = s.server.handler.Handover(handover)
	}
	if err != nil {
		s.server.calls.Done()
		return err
	}
	out.written = s.server.calls.Done
	return nil
}

// Consult answers what this host knows about a session or identity.
func (s *service) Consult(in *peerpb.ConsultRequest, out *Answer) error {
	request, err := consultRequestFromProto(in)
	if err != nil {
		return err
	}
	out.message = consultReplyToProto(s.server.handler.Consult(request))
	return nil
}

// ConfigurationGet returns the configuration in force.
func (s *service) ConfigurationGet(in *peerpb.ConfigurationRequest, out *Answer) error {
	payload, revision, err := s.server.handler.ConfigurationGet(in.GetKnown())
	if err != nil {
		return err
	}
	out.message = &peerpb.ConfigurationReply{Payload: payload, Revision: revision}
	return nil
}
