package target_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/duration"
	standin "oriolevalve/internal/standin/target"
	"oriolevalve/internal/target"

	"github.com/stretchr/testify/require"
)

// link dials the connections between a client and a target, so that a test can close
// them.
type link struct{ connections chan net.Conn }

func newLink() *link { return &link{connections: make(chan net.Conn, 100)} }

func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		l.connections <- c
	}
	return c, err
}

func (l *link) disconnect() { _ = (<-l.connections).Close() }

// manualDeadline is a context whose deadline passes when the test closes a channel.
type manualDeadline struct {
	context.Context
	passed chan struct{}
}

func newManualDeadline() *manualDeadline {
	return &manualDeadline{Context: context.Background(), passed: make(chan struct{})}
}

func (m *manualDeadline) Done() <-chan struct{} { return m.passed }

func (m *manualDeadline) Err() error {
	select {
	case <-m.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

type fixture struct {
	clock  *clock.Fake
	server *standin.Server
	client *target.Client
	link   *link
}

func newFixture(t *testing.T, b standin.Behaviour, slots int) *fixture {
	f := &fixture{clock: clock.NewFake(time.Now()), link: newLink()}
	var err error
	f.server, err = standin.Start(standin.Options{
		Name: "desk-1", Service: "desk", Address: "127.0.0.1:0", Slots: slots, Connections: 2000, Behaviour: b, Clock: f.clock,
	})
	require.NoError(t, err)
	f.client, err = target.NewClient(f.server.Address(), f.clock, target.WithDialer(f.link.dial))
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = f.client.Close()
		_ = f.server.Stop()
	})
	return f
}

func (f *fixture) request() *target.Request {
	return &target.Request{
		Method: "/any.Service/Method", HasSession: true, Session: "van-7", Sequence: 4, Identity: "stamp-1", Caller: "depot",
		Body: []byte{0xff, 0x00, 0x01}, NotAfter: f.clock.Now().Add(20 * time.Second),
	}
}

// startCall starts a call and waits until the target runs it.
func (f *fixture) startCall(ctx context.Context, t *testing.T, r *target.Request) chan target.Reply {
	before := len(f.server.Records())
	replies := make(chan target.Reply, 1)
	go func() {
		reply, _ := f.client.Call(ctx, "desk", r)
		replies <- reply
	}()
	require.Eventually(t, func() bool { return len(f.server.Records()) > before }, 10*time.Second, time.Millisecond)
	return replies
}

// Guards against altered bodies or metadata, a lost load report, and bodies above the
// size limit that are sent.
func TestCallPassesBodyAndMetadata(t *testing.T) {
	f := newFixture(t, standin.Behaviour{}, 2)
	reply, load := f.client.Call(context.Background(), "desk", f.request())
	require.Equal(t, target.OutcomeAnswered, reply.Outcome, reply.Message)
	require.Contains(t, string(reply.Body), `"session":"van-7","request_id":"stamp-1","sequence":4`)
	require.Equal(t, "desk", f.server.Records()[0].Service)
	require.True(t, load.Known)
	require.Equal(t, uint32(0), load.InProgress)
	large := f.request()
	large.Body = make([]byte, target.MaxMessageSize)
	reply, _ = f.client.Call(context.Background(), "desk", large)
	require.Equal(t, target.OutcomeAnswered, reply.Outcome, reply.Message)
	large.Body = append(large.Body, 0)
	reply, _ = f.client.Call(context.Background(), "desk", large)
	require.Equal(t, target.Reply{Outcome: target.OutcomeNotRun, Reason: target.ReasonTooLarge}, reply)
}

// Guards against not_run for a request that the target may have run.
func TestCallThatIsCutAfterSendingIsUnknown(t *testing.T) {
	slow := standin.Behaviour{ServiceTime: duration.Duration(time.Hour)}
	t.Run("connection lost", func(t *testing.T) {
		f := newFixture(t, slow, 2)
		replies := f.startCall(context.Background(), t, f.request())
		f.link.disconnect()
		reply := <-replies
		require.Equal(t, target.OutcomeUnknown, reply.Outcome)
		require.Equal(t, target.ReasonAttemptLost, reply.Reason)
	})
	t.Run("target crashed", func(t *testing.T) {
		f := newFixture(t, slow, 2)
		replies := f.startCall(context.Background(), t, f.request())
		require.NoError(t, f.server.Stop())
		require.Equal(t, target.OutcomeUnknown, (<-replies).Outcome)
		require.Len(t, f.server.Records(), 1)
	})
	t.Run("caller gone", func(t *testing.T) {
		f := newFixture(t, slow, 2)
		ctx, cancel := context.WithCancel(context.Background())
		replies := f.startCall(ctx, t, f.request())
		cancel()
		reply := <-replies
		require.Equal(t, target.OutcomeUnknown, reply.Outcome)
		require.Equal(t, target.ReasonCallerGone, reply.Reason)
		require.Eventually(t, func() bool { return f.server.InProgress() == 0 }, 10*time.Second, time.Millisecond)
	})
	t.Run("deadline", func(t *testing.T) {
		f := newFixture(t, slow, 2)
		ctx := newManualDeadline()
		replies := f.startCall(ctx, t, f.request())
		close(ctx.passed)
		reply := <-replies
		require.Equal(t, target.OutcomeUnknown, reply.Outcome)
		require.Equal(t, target.ReasonDeadline, reply.Reason)
	})
}

// Guards against an unknown outcome, or a second run, of a request that provably did
// not run.
func TestCallThatDidNotRun(t *testing.T) {
	t.Run("shed", func(t *testing.T) {
		f := newFixture(t, standin.Behaviour{ServiceTime: duration.Duration(time.Hour)}, 1)
		f.startCall(context.Background(), t, f.request())
		reply, load := f.client.Call(context.Background(), "desk", f.request())
		require.Equal(t, target.OutcomeNotRun, reply.Outcome)
		require.Equal(t, target.ReasonShed, reply.Reason)
		require.Equal(t, target.LoadReport{Known: true, InProgress: 1}, load)
		require.Len(t, f.server.Records(), 1)
	})
	t.Run("target down", func(t *testing.T) {
		f := newFixture(t, standin.Behaviour{}, 1)
		require.NoError(t, f.server.Stop())
		reply, _ := f.client.Call(context.Background(), "desk", f.request())
		require.Equal(t, target.OutcomeNotRun, reply.Outcome)
		require.Equal(t, target.ReasonTargetDown, reply.Reason)
	})
	t.Run("time limit passed before the send", func(t *testing.T) {
		f := newFixture(t, standin.Behaviour{}, 1)
		r := f.request()
		f.clock.Advance(21 * time.Second)
		reply, _ := f.client.Call(context.Background(), "desk", r)
		require.Equal(t, target.ReasonDeadline, reply.Reason)
		require.Empty(t, f.server.Records())
	})
	t.Run("caller gone before the send", func(t *testing.T) {
		f := newFixture(t, standin.Behaviour{}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		reply, _ := f.client.Call(ctx, "desk", f.request())
		require.Equal(t, target.OutcomeNotRun, reply.Outcome)
		require.Empty(t, f.server.Records())
	})
}

// Guards against a client that stays unusable after its connection was lost.
func TestConnectionIsReplaced(t *testing.T) {
	f := newFixture(t, standin.Behaviour{}, 1)
	reply, _ := f.client.Call(context.Background(), "desk", f.request())
	require.Equal(t, target.OutcomeAnswered, reply.Outcome)
	f.link.disconnect()
	require.Eventually(t, func() bool {
		reply, _ := f.client.Call(context.Background(), "desk", f.request())
		return reply.Outcome == target.OutcomeAnswered
	}, 10*time.Second, time.Millisecond)
}

// Guards against an error status of the application that counts as a failed attempt or
// as not run.
func TestStatusOfTheApplicationIsAnAnswer(t *testing.T) {
	f := newFixture(t, standin.Behaviour{}, 1)
	r := f.request()
	r.Method = "/grpc.health.v1.Health/Watch"
	reply, _ := f.client.Call(context.Background(), "desk", r)
	require.Equal(t, target.OutcomeAnswered, reply.Outcome, reply.Message)
	require.NotZero(t, reply.Code)
}

// Guards against a probe that reports an unreachable target as healthy, or changes the
// result or the load that the endpoint reports.
func TestProbe(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Load: "full"}, 3)
	ok, load := f.client.Probe(context.Background())
	require.True(t, ok)
	require.Equal(t, target.LoadReport{Known: true, InProgress: 3, Queued: 3}, load)
	require.NoError(t, f.server.SetBehaviour(standin.Behaviour{Health: "not_serving"}))
	ok, _ = f.client.Probe(context.Background())
	require.False(t, ok)
	require.NoError(t, f.server.Stop())
	ok, _ = f.client.Probe(context.Background())
	require.False(t, ok)
}

// Guards against not_run for a request to a target that accepts the connection but
// never answers. The header was sent, so the target may have run the request.
func TestSilentTargetIsUnknown(t *testing.T) {
	ctx := newManualDeadline()
	address, _ := startRefusingServer(t, false, func(byte) []byte {
		close(ctx.passed)
		return nil
	})
	client, err := target.NewClient(address, clock.NewFake(time.Now()))
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	reply, _ := client.Call(ctx, "", &target.Request{Method: "/a/B"})
	require.Equal(t, target.OutcomeUnknown, reply.Outcome)
	require.Equal(t, target.ReasonDeadline, reply.Reason)
}

// startRefusingServer starts an HTTP/2 server that answers each stream with the given
// frame. If once is set, it closes the listener before the first answer. The function
// streams returns the number of streams that were received.
func startRefusingServer(t *testing.T, once bool, frame func(stream byte) []byte) (address string, streams func() int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var count atomic.Int64
	serve := func(c net.Conn) {
		_, _ = c.Write([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0})
		_, _ = io.CopyN(io.Discard, c, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")))
		header := make([]byte, 9)
		for {
			if _, err := io.ReadFull(c, header); err != nil {
				return
			}
			length := int64(header[0])<<16 | int64(header[1])<<8 | int64(header[2])
			_, _ = io.CopyN(io.Discard, c, length)
			const headers = 1
			if header[3] == headers {
				count.Add(1)
				if once {
					_ = listener.Close()
				}
				_, _ = c.Write(frame(header[8]))
			}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String(), count.Load
}

// Guards against not_run for a refused stream that gRPC sent again, and against an
// unknown outcome if gRPC proved that the only sent stream was not processed.
func TestRefusedStreams(t *testing.T) {
	call := func(address string) target.Reply {
		fake := clock.NewFake(time.Now())
		client, err := target.NewClient(address, fake)
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		reply, _ := client.Call(context.Background(), "", &target.Request{Method: "/a/B", NotAfter: fake.Now().Add(20 * time.Second)})
		return reply
	}
	address, streams := startRefusingServer(t, false, func(stream byte) []byte {
		const refusedStream = 7
		return []byte{0, 0, 4, 3, 0, 0, 0, 0, stream, 0, 0, 0, refusedStream}
	})
	require.Equal(t, target.OutcomeUnknown, call(address).Outcome)
	require.LessOrEqual(t, streams(), int64(2))

	address, streams = startRefusingServer(t, true, func(byte) []byte {
		// GOAWAY with the last processed stream 0.
		return []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}
	})
	reply := call(address)
	require.Equal(t, target.OutcomeNotRun, reply.Outcome, reply.Message)
	require.Equal(t, target.ReasonTargetDown, reply.Reason)
	require.Equal(t, int64(1), streams())
}
