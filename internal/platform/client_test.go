package platform_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/httptransport"
	"oriolevalve/internal/platform"
	standin "oriolevalve/internal/standin/platform"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// forEachClient runs a test against the in-memory store and over HTTP.
func forEachClient(t *testing.T, test func(*testing.T, *standin.Store, platform.Client, *clock.Fake)) {
	t.Run("memory", func(t *testing.T) {
		fake := clock.NewFake(epoch)
		store := standin.New(fake)
		test(t, store, store, fake)
	})
	t.Run("http", func(t *testing.T) {
		fake := clock.NewFake(epoch)
		store := standin.New(fake)
		server := httptest.NewServer(store.Handler())
		t.Cleanup(server.Close)
		t.Cleanup(func() { store.SetSwitches(standin.Switches{}) })
		client, err := platform.NewHTTPClient(server.URL, platform.WithClock(fake))
		require.NoError(t, err)
		test(t, store, client, fake)
	})
}

func requireKind(t *testing.T, kind platform.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind, platform.KindOf(err), err)
}

// Guards against a client that confuses the kinds of failures, and against a
// stand-in that behaves differently in memory and over HTTP.
func TestObjects(t *testing.T) {
	forEachClient(t, func(t *testing.T, store *standin.Store, client platform.Client, fake *clock.Fake) {
		ctx := context.Background()
		_, err := client.Get(ctx, "segment/1/2-ab")
		requireKind(t, platform.KindNotFound, err)
		version, err := client.Create(ctx, "segment/1/2-ab", []byte(`{"a":1}`))
		require.NoError(t, err)
		_, err = client.Create(ctx, "segment/1/2-ab", []byte(`{}`))
		requireKind(t, platform.KindConflict, err)
		_, err = client.UpdateIfVersion(ctx, "segment/1/2-ab", version+1, []byte(`{}`))
		requireKind(t, platform.KindConflict, err)
		_, err = client.UpdateIfVersion(ctx, "none", 0, []byte(`{}`))
		requireKind(t, platform.KindConflict, err)
		next, err := client.UpdateIfVersion(ctx, "segment/1/2-ab", version, []byte(`{"a":2}`))
		require.NoError(t, err)
		require.Greater(t, next, version)
		object, err := client.Get(ctx, "segment/1/2-ab")
		require.NoError(t, err)
		require.Equal(t, platform.Object{Version: next, Value: []byte(`{"a":2}`)}, object)
		_, err = client.Create(ctx, "large", bytes.Repeat([]byte("1"), platform.MaxValueBytes+1))
		requireKind(t, platform.KindRefused, err)

		store.SetSwitches(standin.Switches{LoseRequests: 1, LoseAnswers: 1})
		_, err = client.UpdateIfVersion(ctx, "segment/1/2-ab", next, []byte(`{"a":3}`))
		requireKind(t, platform.KindAnswerLost, err)
		_, err = client.UpdateIfVersion(ctx, "segment/1/2-ab", next, []byte(`{"a":3}`))
		requireKind(t, platform.KindAnswerLost, err)
		object, err = client.Get(ctx, "segment/1/2-ab")
		require.NoError(t, err)
		require.Equal(t, `{"a":3}`, string(object.Value), "the second write took effect, the first did not")

		store.SetSwitches(standin.Switches{Outage: true})
		_, err = client.Get(ctx, "segment/1/2-ab")
		requireKind(t, platform.KindNotSent, err)
		requireKind(t, platform.KindNotSent, client.Delete(ctx, "segment/1/2-ab"))
		store.SetSwitches(standin.Switches{})
		require.NoError(t, client.Delete(ctx, "segment/1/2-ab"))
		requireKind(t, platform.KindNotFound, client.Delete(ctx, "segment/1/2-ab"))
		again, err := client.Create(ctx, "segment/1/2-ab", []byte(`{}`))
		require.NoError(t, err)
		require.Greater(t, again, object.Version, "a version is never used again")

		store.SetSwitches(standin.Switches{HostListLag: duration.Duration(5 * time.Second)})
		store.SetHost(platform.Host{ID: "h1", DataCentre: "a", Address: "127.0.0.1:1", State: platform.HostLive})
		hosts, err := client.HostList(ctx)
		require.NoError(t, err)
		require.Empty(t, hosts)
		fake.Advance(5 * time.Second)
		store.RemoveHost("h1")
		hosts, err = client.HostList(ctx)
		require.NoError(t, err)
		require.Equal(t, []platform.Host{{ID: "h1", DataCentre: "a", Address: "127.0.0.1:1", State: platform.HostLive}}, hosts)
		require.Equal(t, uint64(2), store.Calls().Counts()[platform.CallHostList])
	})
}

// Guards against a request that reached nobody but counts as possibly applied.
func TestNotSentWithoutConnection(t *testing.T) {
	server := httptest.NewServer(nil)
	client, err := platform.NewHTTPClient(server.URL)
	require.NoError(t, err)
	server.Close()
	_, err = client.Create(context.Background(), "head", []byte(`{}`))
	requireKind(t, platform.KindNotSent, err)
	require.Equal(t, map[string]uint64{platform.CallCreate: 1}, client.Calls().Counts())
}

// freezable is a connection whose reads wait for ever once it is frozen.
type freezable struct {
	net.Conn
	frozen *atomic.Bool
	// written is set by a write to a frozen connection.
	written *atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (f *freezable) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if f.frozen.Load() {
		<-f.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (f *freezable) Write(p []byte) (int, error) {
	if f.frozen.Load() {
		f.written.Store(true)
	}
	return f.Conn.Write(p)
}

func (f *freezable) Close() error {
	f.once.Do(func() { close(f.closed) })
	return f.Conn.Close()
}

// Guards against a client that keeps using connections that went silent while
// new ones work.
func TestSilentConnection(t *testing.T) {
	fake := clock.NewFake(epoch)
	store := standin.New(fake)
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	// Each connection has the switch that was current when it was opened.
	var current atomic.Pointer[atomic.Bool]
	current.Store(&atomic.Bool{})
	var written atomic.Bool
	transport := httptransport.New()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &freezable{Conn: connection, frozen: current.Load(), written: &written, closed: make(chan struct{})}, nil
	}
	client, err := platform.NewHTTPClient(server.URL, platform.WithClock(fake), platform.WithTransport(transport))
	require.NoError(t, err)
	ctx := context.Background()
	version, err := client.Create(ctx, "head", []byte(`1`))
	require.NoError(t, err)
	current.Swap(&atomic.Bool{}).Store(true)
	failures := make(chan error, 1)
	go func() {
		_, err := client.UpdateIfVersion(ctx, "head", version, []byte(`2`))
		failures <- err
	}()
	until(written.Load)
	until(func() bool {
		fake.Advance(time.Second)
		return len(failures) > 0
	})
	requireKind(t, platform.KindAnswerLost, <-failures)
	_, err = client.Get(ctx, "head")
	require.NoError(t, err)
}

type counted interface{ Calls() *platform.Calls }

// until lets other goroutines run until the condition holds.
func until(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// Guards against a watch that misses a change, and against one that waits for
// ever on a connection that went silent.
func TestWatch(t *testing.T) {
	forEachClient(t, func(t *testing.T, store *standin.Store, client platform.Client, fake *clock.Fake) {
		ctx, cancel := context.WithCancel(context.Background())
		first, err := client.Create(ctx, "head", []byte(`1`))
		require.NoError(t, err)
		object, err := client.Watch(ctx, "head", 0)
		require.NoError(t, err)
		require.Equal(t, first, object.Version)

		objects := make(chan platform.Object)
		failures := make(chan error, 100)
		done := make(chan struct{})
		go func() {
			defer close(done)
			platform.Follow(ctx, client, fake, "head", first,
				func(o platform.Object) { objects <- o }, func(err error) { failures <- err })
		}()
		until(func() bool { return store.Watches() == 1 })
		second, err := client.UpdateIfVersion(ctx, "head", first, []byte(`2`))
		require.NoError(t, err)
		require.Equal(t, platform.Object{Version: second, Value: []byte(`2`)}, <-objects)

		until(func() bool { return store.Watches() == 1 })
		opened := client.(counted).Calls().Counts()[platform.CallWatch]
		store.SilenceWatches()
		third, err := client.UpdateIfVersion(ctx, "head", second, []byte(`3`))
		require.NoError(t, err)
		until(func() bool {
			fake.Advance(time.Second)
			return len(failures) > 0
		})
		requireKind(t, platform.KindAnswerLost, <-failures)
		// The clock stops once the new watch is open, or that would time out too.
		until(func() bool {
			if client.(counted).Calls().Counts()[platform.CallWatch] > opened {
				return true
			}
			fake.Advance(time.Second)
			return false
		})
		object = <-objects
		require.Equal(t, platform.Object{Version: third, Value: []byte(`3`)}, object)
		cancel()
		<-done
	})
}

// Guards against a watch without heartbeats, which would be replaced every 10 s.
func TestWatchHeartbeat(t *testing.T) {
	fake := clock.NewFake(epoch)
	store := standin.New(fake)
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	response, err := server.Client().Get(server.URL + "/watch/head?version=0")
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	line := `{"type":"heartbeat"}` + "\n"
	received := make(chan string, 100)
	go func() {
		buffer := make([]byte, len(line))
		for {
			n, err := response.Body.Read(buffer)
			if err != nil {
				return
			}
			received <- string(buffer[:n])
		}
	}()
	require.Equal(t, line, <-received)
	for count := 0; count < 2; {
		select {
		case text := <-received:
			require.Equal(t, line, text)
			count++
		default:
			fake.Advance(time.Second)
			runtime.Gosched()
		}
	}
}

// hooked calls a function before each update.
type hooked struct {
	platform.Client
	beforeUpdate func()
}

func (h hooked) UpdateIfVersion(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	h.beforeUpdate()
	return h.Client.UpdateIfVersion(ctx, key, version, value)
}

func operation(identity string, c configuration.Change) configuration.Operation {
	return configuration.Operation{Identity: identity, Actor: "ada", Change: c}
}

func applyService(name, address string) configuration.Change {
	return configuration.Change{Kind: configuration.ChangeApply, Declarations: []configuration.ServiceDeclaration{
		{Name: name, Address: address, Protocol: configuration.ProtocolGRPC},
	}}
}

// Guards against a wrong outcome of a commit when the platform fails.
func TestRunCommit(t *testing.T) {
	cases := map[string]struct {
		switches standin.Switches
		// atUpdate sets the switches only at the conditional update.
		atUpdate bool
		// silence lets the time pass once the switches are set.
		silence bool
		status  configuration.CommitStatus
	}{
		"healthy":      {status: configuration.CommitApplied},
		"answer_lost":  {standin.Switches{LoseAnswers: 1}, true, false, configuration.CommitApplied},
		"request_lost": {standin.Switches{LoseRequests: 1}, true, false, configuration.CommitApplied},
		"outage":       {standin.Switches{Outage: true}, false, true, configuration.CommitNotApplied},
		"silent":       {standin.Switches{Silent: true}, true, true, configuration.CommitUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			forEachClient(t, func(t *testing.T, store *standin.Store, client platform.Client, fake *clock.Fake) {
				run := func(client platform.Client, o configuration.Operation, passes func() bool) configuration.CommitResult {
					results := make(chan configuration.CommitResult, 1)
					go func() {
						results <- platform.RunCommit(context.Background(), client, fake, configuration.NewCommit(o, nil))
					}()
					until(func() bool {
						if passes() {
							fake.Advance(100 * time.Millisecond)
						}
						return len(results) > 0
					})
					return <-results
				}
				never := func() bool { return false }
				result := run(client, operation("first", applyService("desk", "10.1.0.1:443")), never)
				require.Equal(t, configuration.CommitApplied, result.Status, result.Reason)
				if !c.atUpdate {
					store.SetSwitches(c.switches)
				}
				faulty := hooked{client, sync.OnceFunc(func() { store.SetSwitches(c.switches) })}
				second := operation("second", applyService("photo", "10.1.0.2:443"))
				result = run(faulty, second, func() bool {
					// An update that has not reached the store would count as not sent.
					reached := !c.atUpdate || store.Calls().Counts()[platform.CallUpdate] > 0
					return c.silence && reached && store.Switches() == c.switches
				})
				require.Equal(t, c.status, result.Status, result.Reason)
				store.SetSwitches(standin.Switches{})
				repeated := run(client, second, never)
				require.Equal(t, configuration.CommitApplied, repeated.Status, repeated.Reason)
				require.Equal(t, uint64(2), repeated.Revision)
			})
		})
	}
}

// Guards against one odd entry in the list of hosts that hides the others.
func TestOddHostLeavesTheOthers(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	good := `{"id":"h1","data_centre":"a","address":"10.0.0.1:80","state":"live"}`
	for _, odd := range []string{`{"id":` + deep + `}`, `{"id":1e999}`, `7`, `{"id":"x","state":+1}`, `{}`, strings.Replace(good, ":80", ":80000", 1)} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("[" + good + "," + odd + "," + good + "]"))
		}))
		malformed := 0
		client, err := platform.NewHTTPClient(server.URL, platform.WithMalformedEntries(func(error) { malformed++ }))
		require.NoError(t, err)
		list, err := client.HostList(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 2)
		require.Equal(t, 1, malformed)
		server.Close()
	}
}
