package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// standIn answers relays with their own body. A method named "wait" first
// reports its body on entered and waits for release.
type standIn struct {
	entered chan string
	release chan struct{}
}

func (standIn) Ping(_ context.Context, m Message) (Message, error) { return m, nil }
func (standIn) PingRequest(context.Context, PingRequest) (Message, error) {
	return Message{}, errors.New("no")
}

func (standIn) Handover(target.Handover) error { return errors.New("not the owner") }

func (standIn) Consult(target.ConsultRequest) target.ConsultReply {
	return target.ConsultReply{Authoritative: true}
}

func (standIn) ConfigurationGet(known uint64) ([]byte, uint64, error) {
	return []byte("c"), known + 1, nil
}

func (s standIn) Relay(_ context.Context, r target.Request) target.Reply {
	switch r.Method {
	case "wait":
		s.entered <- string(r.Body)
		<-s.release
	case "large":
		return target.Reply{Outcome: target.OutcomeAnswered, Body: make([]byte, MaxMessageSize)}
	}
	return target.Reply{Outcome: target.OutcomeAnswered, Body: r.Body}
}

type rig struct {
	t       *testing.T
	handler standIn
	server  *Server
	address string
	clock   *clock.Fake
	client  *Client
}

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (r *rig) serve(address string, options ...ServerOption) {
	l := listen(r.t, address)
	r.server, r.address = NewServer(r.handler, options...), l.Addr().String()
	server := r.server
	go func() { _ = server.Serve(l) }()
	r.t.Cleanup(func() { r.kill(server) })
}

// kill closes all connections without waiting for calls.
func (r *rig) kill(server *Server) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.Shutdown(ended)
}

func newRig(t *testing.T, server []ServerOption, client ...ClientOption) *rig {
	r := &rig{t: t, handler: standIn{make(chan string, 100), make(chan struct{})}, clock: clock.NewFake(time.Unix(0, 0))}
	r.serve("127.0.0.1:0", server...)
	r.client = NewClient(r.clock, client...)
	t.Cleanup(r.client.Close)
	return r
}

func (r *rig) relay(ctx context.Context, method, body string) (string, error) {
	reply, err := r.client.Relay(ctx, r.address, target.Request{Method: method, Body: []byte(body)})
	return string(reply.Body), err
}

// start makes a call that the handler holds, and returns its error later.
func (r *rig) start(ctx context.Context, body string) chan error {
	result := make(chan error, 1)
	go func() {
		_, err := r.relay(ctx, "wait", body)
		result <- err
	}()
	require.Equal(r.t, body, <-r.handler.entered)
	return result
}

func (r *rig) works() {
	body, err := r.relay(context.Background(), "echo", "hello")
	require.NoError(r.t, err)
	require.Equal(r.t, "hello", body)
}

func notSent(t *testing.T, err error) {
	t.Helper()
	require.ErrorIs(t, err, ErrNotSent)
	require.NotErrorIs(t, err, ErrOutcomeUnknown)
}

func unknown(t *testing.T, err error) {
	t.Helper()
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.NotErrorIs(t, err, ErrNotSent)
}

// Guards against a request that is called not sent although the peer handled
// it, or unknown although the peer never saw it.
func TestRelayErrorsTellWhetherTheRequestWasDelivered(t *testing.T) {
	ctx := context.Background()
	t.Run("no listener", func(t *testing.T) {
		r := newRig(t, nil)
		r.kill(r.server)
		_, err := r.relay(ctx, "echo", "x")
		notSent(t, err)
	})
	t.Run("context over", func(t *testing.T) {
		over, cancel := context.WithCancel(ctx)
		cancel()
		_, err := newRig(t, nil).relay(over, "echo", "x")
		notSent(t, err)
	})
	t.Run("connection dies while the peer works", func(t *testing.T) {
		r := newRig(t, nil)
		result := r.start(ctx, "a")
		r.kill(r.server)
		unknown(t, <-result)
		close(r.handler.release)
	})
	t.Run("write ends in the middle of the frame", func(t *testing.T) {
		r := newRig(t, nil)
		dial := r.client.dial
		r.client.dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			return &brokenConn{Conn: c, left: 20}, err
		}
		_, err := r.relay(ctx, "wait", "more than twenty bytes of body")
		notSent(t, err)
		require.Empty(t, r.handler.entered)
	})
	t.Run("peer restarted while the connection was idle", func(t *testing.T) {
		r := newRig(t, nil)
		r.works()
		r.kill(r.server)
		for _, s := range r.client.peers[r.address].slots {
			for s.connection != nil && !s.connection.frames.failed.Load() {
				runtime.Gosched()
			}
		}
		r.serve(r.address)
		r.works()
	})
	t.Run("peer stops", func(t *testing.T) {
		r := newRig(t, nil)
		result := r.start(ctx, "a")
		stopped := make(chan error, 1)
		go func() { stopped <- r.server.Shutdown(ctx) }()
		var err error
		for err == nil {
			_, err = r.relay(ctx, "echo", "x")
		}
		notSent(t, err)
		close(r.handler.release)
		// A graceful stop interrupts no request in progress.
		require.NoError(t, <-stopped)
		require.NoError(t, <-result)
	})
	t.Run("peer at its limit", func(t *testing.T) {
		r := newRig(t, []ServerOption{WithRelayLimit(1)})
		result := r.start(ctx, "a")
		_, err := r.relay(ctx, "echo", "x")
		notSent(t, err)
		close(r.handler.release)
		require.NoError(t, <-result)
	})
	t.Run("client at its limit", func(t *testing.T) {
		r := newRig(t, nil, WithCallLimit(1))
		result := r.start(ctx, "a")
		_, err := r.relay(ctx, "echo", "x")
		notSent(t, err)
		close(r.handler.release)
		require.NoError(t, <-result)
	})
	t.Run("oversize", func(t *testing.T) {
		r := newRig(t, nil, WithRequestConnections(1))
		result := r.start(ctx, "a")
		_, err := r.relay(ctx, "echo", string(make([]byte, MaxMessageSize)))
		notSent(t, err)
		require.ErrorIs(t, err, ErrTooLarge)
		_, err = r.relay(ctx, "large", "")
		unknown(t, err)
		r.works()
		close(r.handler.release)
		require.NoError(t, <-result)
	})
}

// brokenConn fails after a number of written bytes.
type brokenConn struct {
	net.Conn
	left int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n := min(len(p), c.left)
	c.left -= n
	n, err := c.Conn.Write(p[:n])
	if err == nil && n < len(p) {
		err = io.ErrClosedPipe
	}
	return n, err
}

// Guards against an answer that reaches the wrong call after its own caller
// gave up.
func TestLateAnswerIsNotMatchedToAnotherCall(t *testing.T) {
	r := newRig(t, nil, WithRequestConnections(1))
	ctx, cancel := context.WithCancel(context.Background())
	result := r.start(ctx, "late")
	cancel()
	unknown(t, <-result)
	second := make(chan string, 1)
	go func() {
		body, _ := r.relay(context.Background(), "wait", "second")
		second <- body
	}()
	require.Equal(t, "second", <-r.handler.entered)
	close(r.handler.release)
	require.Equal(t, "second", <-second)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			body, err := r.relay(context.Background(), "echo", fmt.Sprint(i))
			if err != nil || body != fmt.Sprint(i) {
				t.Errorf("call %d: answer %q, error %v", i, body, err)
			}
		})
	}
	group.Wait()
}

// silentPeer accepts connections, shakes hands and then does nothing.
func silentPeer(t *testing.T, accepted chan net.Conn) string {
	l := listen(t, "127.0.0.1:0")
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if handshake(conn, ProtocolVersion) == nil {
				accepted <- conn
			}
		}
	}()
	return l.Addr().String()
}

// Guards against callers that wait for ever, or against pings and requests
// that go on using a connection that no longer carries anything.
func TestSilentConnectionIsReplaced(t *testing.T) {
	r := newRig(t, nil, WithRequestConnections(1))
	accepted := make(chan net.Conn, 10)
	r.address = silentPeer(t, accepted)
	result := make(chan error, 1)
	for range 2 {
		go func() {
			_, err := r.relay(context.Background(), "echo", "x")
			result <- err
		}()
		conn := <-accepted
		_, err := io.ReadFull(conn, make([]byte, 10))
		require.NoError(t, err)
		for len(result) == 0 {
			r.clock.Advance(100 * time.Millisecond)
			runtime.Gosched()
		}
		err = <-result
		unknown(t, err)
		require.ErrorIs(t, err, ErrSilent)
	}
	for range 2 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_, err := r.client.Ping(ctx, r.address, Message{Sender: Member{ID: "a"}})
			result <- err
		}()
		_, err := io.ReadFull(<-accepted, make([]byte, 10))
		require.NoError(t, err)
		cancel()
		require.Error(t, <-result)
	}
}

// Guards against an unclear failure, or a wrong exchange of messages, when
// hosts of different versions meet or another program answers.
func TestHandshakeRefusesOtherVersionsAndProtocols(t *testing.T) {
	r := newRig(t, nil)
	r.client.version = 7
	_, err := r.relay(context.Background(), "echo", "x")
	notSent(t, err)
	var version VersionError
	require.ErrorAs(t, err, &version)
	require.Equal(t, VersionError{Peer: 1, Own: 7}, version)
	require.ErrorContains(t, err, "peer speaks protocol version 1, this host version 7")
	l := listen(t, "127.0.0.1:0")
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\n")
		}
	}()
	r.address = l.Addr().String()
	_, err = r.relay(context.Background(), "echo", "x")
	notSent(t, err)
	require.ErrorContains(t, err, `"HTTP" is not the start of the protocol`)
}

// Guards against malformed or oversized frames that end the connection or
// another call, on both sides.
func TestMalformedFramesLoseNothingElse(t *testing.T) {
	r := newRig(t, nil)
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, handshake(conn, ProtocolVersion))
	f := newFrames(conn, uncounted{})
	bad := frame(3, 5, 0)
	for _, data := range [][]byte{
		{0, 0, 0, 0}, {0, 0, 0, 0, 3, 0x80}, // no sequence: skipped
		append(bad, 0xff, 0xff),                                 // body is not protobuf
		append(frame(3, 6, 0), make([]byte, MaxMessageSize)...), // oversize
		frame(200, 7, 0),                                        // unknown method
		frame(0, 8, 0),                                          // a valid heartbeat
	} {
		_, err := f.write(data)
		require.NoError(t, err)
	}
	answered := map[uint64]int{}
	for range 4 {
		_, sequence, err := f.next()
		require.NoError(t, err)
		size, err := f.readUvarint()
		require.NoError(t, err)
		answered[sequence] = int(size)
	}
	require.Positive(t, answered[5])
	require.Positive(t, answered[6])
	require.Positive(t, answered[7])
	require.Zero(t, answered[8])

	accepted := make(chan net.Conn, 1)
	r.client.requests, r.address = 1, silentPeer(t, accepted)
	results := map[string]chan error{"a": make(chan error, 1), "b": make(chan error, 1), "c": make(chan error, 1)}
	var peer *frames
	answers := map[string][]byte{"a": {0, 0xff, 0xff}, "b": make([]byte, MaxMessageSize), "c": {0}}
	sequences := map[string]uint64{}
	for _, name := range []string{"a", "b", "c"} {
		go func() {
			_, err := r.relay(context.Background(), "echo", name)
			results[name] <- err
		}()
		if peer == nil {
			peer = newFrames(<-accepted, uncounted{})
		}
		_, sequence, err := peer.next()
		require.NoError(t, err)
		sequences[name] = sequence
	}
	for _, name := range []string{"a", "b", "c"} {
		_, err := peer.write(append(frame(3, sequences[name], 0), answers[name]...))
		require.NoError(t, err)
	}
	unknown(t, <-results["a"])
	unknown(t, <-results["b"])
	require.NoError(t, <-results["c"])
}

// authority makes PEM content for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t testing.TB) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := authority{key: key, certificate: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, key.Public(), key)
	require.NoError(t, err)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

func (a authority) issue(t testing.TB) (certificate, key, authority []byte) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, private.Public(), a.key)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), a.pem
}

// Guards against a peer without a valid certificate, and against certificates
// that stay in use after they were replaced.
func TestTLSAuthenticatesBothSidesAndReloads(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	ours, err := NewCredentials(first.issue(t))
	require.NoError(t, err)
	theirs, err := NewCredentials(first.issue(t))
	require.NoError(t, err)
	r := newRig(t, []ServerOption{WithServerTLS(theirs.ServerConfig())}, WithCredentials(ours), WithRequestConnections(1))
	r.works()
	require.NoError(t, theirs.Replace(second.issue(t)))
	r.works() // on the open connection
	r.client.Forget(r.address)
	_, err = r.relay(context.Background(), "echo", "x")
	notSent(t, err)
	require.NoError(t, ours.Replace(second.issue(t)))
	r.works()
	// The server refuses a client of another authority, and one without TLS.
	stranger, err := NewCredentials(first.issue(t))
	require.NoError(t, err)
	_, _, authority := second.issue(t)
	certificate, key, _ := first.issue(t)
	require.NoError(t, stranger.Replace(certificate, key, authority))
	for _, options := range [][]ClientOption{{WithCredentials(stranger)}, nil} {
		r.client = NewClient(r.clock, options...)
		_, err = r.relay(context.Background(), "echo", "x")
		notSent(t, err)
		r.client.Close()
	}
	require.Error(t, ours.Replace(nil, nil, nil))
}

// Guards against gossip that does not find its way between a machine and the
// network, in particular the ping for another host.
func TestGossipConnectsMembershipAndNetwork(t *testing.T) {
	events := make(chan Event, 10)
	client := NewClient(clock.System{})
	t.Cleanup(client.Close)
	g := NewGossip(client, events)
	g.pingTimeout, g.requestTimeout = time.Minute, time.Minute
	ctx := context.Background()
	r := newRig(t, nil)
	member := Member{ID: "b", Address: r.address}
	g.Do(ctx, SendPing{To: member, Sequence: 4, Message: Message{Sender: Member{ID: "a"}}})
	require.Equal(t, AckReceived{Sequence: 4, Message: Message{Sender: Member{ID: "a"}}}, <-events)
	g.Do(ctx, SendPingRequest{To: member, Sequence: 5, Request: PingRequest{Target: member}})
	require.Equal(t, PingFailed{Sequence: 5}, <-events)
	go func() {
		g.Do(ctx, SendAck{Token: (<-events).(PingReceived).Token, Message: Message{WantAll: true}})
	}()
	answer, err := g.Ping(ctx, Message{})
	require.NoError(t, err)
	require.True(t, answer.WantAll)
	require.Empty(t, g.waiting)
}

// Guards against methods that are wired to another one.
func TestOtherCalls(t *testing.T) {
	r := newRig(t, nil)
	ctx := context.Background()
	require.ErrorContains(t, r.client.Handover(ctx, r.address, target.Handover{Sessions: []flow.Key{{1}}}), "not the owner")
	reply, err := r.client.Consult(ctx, r.address, target.ConsultRequest{})
	require.NoError(t, err)
	require.True(t, reply.Authoritative)
	payload, revision, err := r.client.ConfigurationGet(ctx, r.address, 8)
	require.NoError(t, err)
	require.Equal(t, "c", string(payload))
	require.Equal(t, uint64(9), revision)
	_, err = r.client.PingRequest(ctx, r.address, PingRequest{})
	require.ErrorContains(t, err, "no")
}

type byteCounts struct{ sent, received atomic.Int64 }

func (b *byteCounts) AddControlBytes(sent, received int) {
	b.sent.Add(int64(sent))
	b.received.Add(int64(received))
}

// Guards against control frames that are not counted or counted twice, and
// against relayed requests that count as control traffic.
func TestControlBytesAreCountedWithoutRelays(t *testing.T) {
	var client, server byteCounts
	r := newRig(t, []ServerOption{WithServerByteCounter(&server)}, WithClientByteCounter(&client))
	r.works()
	require.Zero(t, client.sent.Load()+client.received.Load()+server.sent.Load()+server.received.Load())
	payload, _, err := r.client.ConfigurationGet(context.Background(), r.address, 7)
	require.NoError(t, err)
	require.Len(t, payload, 1)
	// Request: length 4, method 1, sequence 1, known 2. Answer: length 4,
	// method 1, sequence 1, error length 1, payload 3, revision 2.
	require.EqualValues(t, 8, client.sent.Load())
	require.EqualValues(t, 12, client.received.Load())
	require.EqualValues(t, 8, server.received.Load())
	// The server counts its answer after the client may have read it.
	require.Eventually(t, func() bool { return server.sent.Load() == 12 }, 5*time.Second, time.Millisecond)
}
