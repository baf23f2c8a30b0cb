package caller_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"oriolevalve/internal/caller"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/golden"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// messageSize is the limit in all tests.
const messageSize = 2048

type routerFunc func(ctx context.Context, request target.Request) target.Reply

func (f routerFunc) Route(ctx context.Context, request target.Request) target.Reply {
	return f(ctx, request)
}

// directory knows the service dispatch. It writes the session key in clear into
// the flow key, so that a test can read it.
type directory struct {
	permitExpired bool
	rate          float64
}

func (d directory) Service(authority string) (caller.Service, bool) {
	return caller.Service{ID: 7, CallerRate: d.rate}, authority == "dispatch" || authority == "127.0.0.40:80"
}
func (d directory) Permitted(bool, time.Time) bool { return !d.permitExpired }
func (d directory) SessionKey(_ flow.ServiceID, session string) (key flow.Key) {
	copy(key[:], session)
	return key
}

type bytesCodec struct{}

func (bytesCodec) Name() string { return "proto" }
func (bytesCodec) Marshal(value any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(value.([]byte))}, nil
}

func (bytesCodec) Unmarshal(data mem.BufferSlice, value any) error {
	*value.(*[]byte) = data.Materialize()
	return nil
}

type fixture struct {
	server  *caller.Server
	clock   *clock.Fake
	client  *grpc.ClientConn
	address string
}

func start(t *testing.T, router routerFunc, d directory, options ...caller.Option) *fixture {
	t.Helper()
	f := &fixture{clock: clock.NewFake(time.Unix(1_000_000, 0))}
	var identities int
	var mutex sync.Mutex
	options = append([]caller.Option{
		caller.WithClock(f.clock), caller.WithMessageSize(messageSize),
		caller.WithIdentitySource(func() string {
			mutex.Lock()
			defer mutex.Unlock()
			identities++
			return "identity-" + strconv.Itoa(identities)
		}),
	}, options...)
	f.server = caller.NewServer(router, d, options...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(listener) }()
	f.client, err = grpc.NewClient("passthrough:///"+f.address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(bytesCodec{})))
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = f.client.Close()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = f.server.Stop(ended)
		require.NoError(t, <-served)
	})
	return f
}

type result struct {
	body            []byte
	err             error
	outcome, reason string
}

func (f *fixture) call(authority string, pairs metadata.MD, messages ...[]byte) (r result) {
	ctx, cancel := context.WithCancel(metadata.NewOutgoingContext(context.Background(), pairs))
	defer cancel()
	stream, err := f.client.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/any.Service/Method", grpc.CallAuthority(authority))
	if err != nil {
		return result{err: err}
	}
	for _, m := range messages {
		// The server may refuse first; RecvMsg then returns its status.
		_ = stream.SendMsg(m)
	}
	_ = stream.CloseSend()
	if r.err = stream.RecvMsg(&r.body); r.err == nil {
		var extra []byte
		if r.err = stream.RecvMsg(&extra); errors.Is(r.err, io.EOF) {
			r.err = nil
		}
	}
	get := func(key string) string {
		if list := stream.Trailer().Get(key); len(list) == 1 {
			return list[0]
		}
		return ""
	}
	r.outcome, r.reason = get(caller.TrailerOutcome), get(caller.TrailerReason)
	return r
}

func read(t *testing.T, path string, into any) {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	golden.Decode(t, data, into)
}

type routed struct {
	Session    string `json:"session"`
	First      bool   `json:"first"`
	SessionEnd bool   `json:"session_end"`
	Identity   string `json:"identity"`
	Idempotent bool   `json:"idempotent"`
	Attempt    uint32 `json:"attempt"`
	Caller     string `json:"caller"`
	Method     string `json:"method"`
	Body       string `json:"body"`
}

type expectation struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Outcome string  `json:"outcome"`
	Reason  string  `json:"reason"`
	Body    string  `json:"body"`
	Routed  *routed `json:"routed"`
}

// Guards against a request that reaches the router although it was answered
// not_run (P4), against metadata that is misread (P5) and against a part of an
// answer next to an error (P3).
func TestScriptedRequests(t *testing.T) {
	inputs, err := filepath.Glob("testdata/requests/*/input.json")
	require.NoError(t, err)
	require.NotEmpty(t, inputs)
	for _, path := range inputs {
		t.Run(filepath.Base(filepath.Dir(path)), func(t *testing.T) {
			var input struct {
				Authority     string       `json:"authority"`
				Metadata      metadata.MD  `json:"metadata"`
				Messages      []string     `json:"messages"`
				MessageSize   int          `json:"message_size"`
				Reply         target.Reply `json:"reply"`
				ReplySize     int          `json:"reply_size"`
				PermitExpired bool         `json:"permit_expired"`
				Stopping      bool         `json:"stopping"`
				InFlightLimit *int         `json:"in_flight_limit"`
			}
			read(t, path, &input)
			var expected, seen expectation
			read(t, filepath.Join(filepath.Dir(path), "expected.json"), &expected)
			router := func(_ context.Context, q target.Request) target.Reply {
				seen.Routed = &routed{
					string(bytes.TrimRight(q.Key[:], "\x00")), q.First, q.SessionEnd, q.Identity, q.Idempotent,
					q.Attempt, q.Caller, q.Method, string(q.Body),
				}
				if input.ReplySize > 0 {
					input.Reply.Body = make([]byte, input.ReplySize)
				}
				return input.Reply
			}
			var options []caller.Option
			if input.InFlightLimit != nil {
				options = append(options, caller.WithInFlightLimit(*input.InFlightLimit))
			}
			f := start(t, router, directory{permitExpired: input.PermitExpired}, options...)
			if input.Stopping {
				f.server.Refuse()
			}
			var messages [][]byte
			for _, m := range input.Messages {
				messages = append(messages, append([]byte(m), make([]byte, max(0, input.MessageSize-len(m)))...))
			}
			r := f.call(input.Authority, input.Metadata, messages...)
			seen.Code, seen.Message = status.Code(r.err).String(), status.Convert(r.err).Message()
			seen.Outcome, seen.Reason, seen.Body = r.outcome, r.reason, string(r.body)
			require.Equal(t, expected, seen)
		})
	}
}

// Guards against a request body that was cut short being run (P3, P4).
func TestTruncatedRequestIsNotRouted(t *testing.T) {
	f := start(t, func(context.Context, target.Request) target.Reply {
		t.Error("the router got a truncated request")
		return target.Reply{}
	}, directory{})
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := http.Client{Transport: &http.Transport{Protocols: &protocols}}
	defer client.CloseIdleConnections()
	for body, outcome := range map[string]string{
		"": "not_run",
		// gRPC ends these calls itself, without the trailer.
		"\x00":                           "",
		"\x00\x00\x00\x00\x64only ten b": "",
		"\x00\x00\x00\x00\x01a\x00\x00\x00\x00\x02b":         "",
		"\x00\x00\x01\x00\x00" + string(make([]byte, 65536)): "",
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.address+"/any.Service/Method", bytes.NewBufferString(body))
		require.NoError(t, err)
		request.Host = "dispatch"
		request.Header = http.Header{"Content-Type": {"application/grpc"}, "Te": {"trailers"}}
		response, err := client.Do(request)
		require.NoError(t, err)
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Empty(t, answer)
		code := response.Header.Get("Grpc-Status") + response.Trailer.Get("Grpc-Status")
		require.NotContains(t, []string{"", "0"}, code)
		require.Equal(t, outcome, response.Header.Get(caller.TrailerOutcome)+response.Trailer.Get(caller.TrailerOutcome))
	}
}

// Guards against answers that reach another request or arrive in part when
// targets answer out of order (P3).
func TestAnswersOutOfOrder(t *testing.T) {
	const requests = 64
	random := rand.New(rand.NewPCG(1, 2))
	body := func(identity string) []byte {
		n, _ := strconv.Atoi(identity)
		return bytes.Repeat([]byte(identity+" "), n)
	}
	arrived := make(chan string, requests)
	release := map[string]chan struct{}{}
	for i := range requests {
		release[strconv.Itoa(i)] = make(chan struct{})
	}
	f := start(t, func(_ context.Context, q target.Request) target.Reply {
		arrived <- q.Identity
		<-release[q.Identity]
		return target.Reply{Outcome: target.OutcomeAnswered, Body: body(q.Identity)}
	}, directory{})
	var group sync.WaitGroup
	results := make([]result, requests)
	for i := range requests {
		group.Go(func() {
			results[i] = f.call("dispatch", metadata.Pairs("oriolevalve-request-id", strconv.Itoa(i)), []byte("x"))
		})
	}
	var order []string
	for range requests {
		order = append(order, <-arrived)
	}
	random.Shuffle(requests, func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, identity := range order {
		close(release[identity])
	}
	group.Wait()
	for i, r := range results {
		require.NoError(t, r.err)
		require.Equal(t, "answered", r.outcome)
		require.Equal(t, string(body(strconv.Itoa(i))), string(r.body))
	}
}

// Guards against a late answer that reaches a caller or a later request, and
// against an in-flight place that is freed while the router still works.
func TestLateAnswerIsDropped(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan context.Context, 2)
	returned := make(chan struct{}, 2)
	f := start(t, func(ctx context.Context, q target.Request) target.Reply {
		defer func() { returned <- struct{}{} }()
		arrived <- ctx
		if q.Identity == "slow" {
			<-release
		}
		return target.Reply{Outcome: target.OutcomeAnswered, Body: []byte(q.Identity)}
	}, directory{}, caller.WithInFlightLimit(1))
	slow := make(chan result, 1)
	go func() {
		slow <- f.call("dispatch", metadata.Pairs("oriolevalve-request-id", "slow"), []byte("x"))
	}()
	ctx := <-arrived
	f.clock.Advance(target.MaxRequestTime)
	r := <-slow
	require.Equal(t, []string{"unknown", "deadline", ""}, []string{r.outcome, r.reason, string(r.body)})
	require.Error(t, r.err)
	<-ctx.Done()
	refused := f.call("dispatch", nil, []byte("x"))
	require.Equal(t, "host_limit", refused.reason)
	close(release)
	<-returned
	// The place is freed after the router has returned.
	for f.server.InProgress() > 0 {
		runtime.Gosched()
	}
	r = f.call("dispatch", metadata.Pairs("oriolevalve-request-id", "quick"), []byte("x"))
	require.Equal(t, "quick", string(r.body))
}

// Guards against a stop that interrupts a request in progress or lets a new one
// in (P7).
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{})
	f := start(t, func(context.Context, target.Request) target.Reply {
		close(arrived)
		<-release
		return target.Reply{Outcome: target.OutcomeAnswered, Body: []byte("whole")}
	}, directory{})
	held := make(chan result, 1)
	go func() { held <- f.call("dispatch", nil, []byte("x")) }()
	<-arrived
	f.server.Refuse()
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(context.Background()) }()
	refused := f.call("dispatch", nil, []byte("x"))
	require.Equal(t, []string{"not_run", "stopping"}, []string{refused.outcome, refused.reason})
	close(release)
	r := <-held
	require.NoError(t, r.err)
	require.Equal(t, "whole", string(r.body))
	require.NoError(t, <-stopped)
	require.Zero(t, f.server.InProgress())
}

// Guards against a flood by one caller that starves others, against a caller
// that gets around the limit by changing its name, and against refusals of
// sessions that are already open.
func TestCallerRate(t *testing.T) {
	f := start(t, func(context.Context, target.Request) target.Reply {
		return target.Reply{Outcome: target.OutcomeAnswered}
	}, directory{rate: 2}, caller.WithCallerRate(100, 3))
	reasons := func(name string, calls int, more ...string) (list []string) {
		for range calls {
			pairs := metadata.Pairs(append(more, "oriolevalve-caller", name)...)
			list = append(list, f.call("dispatch", pairs, []byte("x")).reason)
		}
		return list
	}
	limited := string(target.ReasonCallerRate)
	require.Equal(t, []string{"", "", limited}, reasons("a", 3))
	require.Equal(t, []string{"", "", limited}, reasons("b", 3))
	require.Equal(t, []string{"", ""}, reasons("a", 2, "oriolevalve-session", "s", "oriolevalve-sequence", "1"))
	require.Equal(t, []string{""}, reasons("c", 1))
	var refusals int
	for i := range 10 {
		if reasons(fmt.Sprint("new-", i), 1)[0] == limited {
			refusals++
		}
	}
	require.Equal(t, 8, refusals, "callers beyond the table share one bucket")
	f.clock.Advance(time.Second)
	require.Equal(t, []string{"", "", limited}, reasons("d", 3))
}
