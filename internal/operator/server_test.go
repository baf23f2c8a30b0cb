package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/golden"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/operator"
	standin "oriolevalve/internal/standin/platform"
	"oriolevalve/pkg/flow"
	"oriolevalve/pkg/operatorpb"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// host is the part of a host that the server needs.
type host struct {
	mutex    sync.Mutex
	state    *configuration.State
	sessions configuration.Sessions
}

func (h *host) State() *configuration.State {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state
}

func (h *host) adopt(s *configuration.State) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state = s
}

func (h *host) Sessions(flow.TargetID) configuration.Sessions { return h.sessions }

func (h *host) Status() operator.FleetStatus {
	return operator.FleetStatus{
		Host: "h1", PlatformReachable: true,
		Hosts:   []operator.HostStatus{{ID: "h1", DataCentre: "a", State: "alive", Revision: h.State().Revision()}},
		Targets: []flow.TargetStatus{{Target: 1, Owner: "h1", Healthy: true, Sessions: 7}},
	}
}

var silence = regexp.MustCompile(`(did not answer for 5s)[^"]*`)

type script struct {
	t          *testing.T
	out        strings.Builder
	clock      *clock.Fake
	store      *standin.Store
	hosts      map[string]*host
	connection map[string]*grpc.ClientConn
	log        *zap.Logger
	logged     *observer.ObservedLogs
}

// addHost starts a server for one more host on the same platform.
func (s *script) addHost(name string) {
	h := &host{state: configuration.NewState(), sessions: configuration.Sessions{Complete: true}}
	committer := operator.NewPlatformCommitter(s.store, s.clock, h.State, h.adopt)
	server := grpc.NewServer()
	operatorpb.RegisterOperatorServer(server, operator.NewServer(committer, h, h, s.store, operator.WithClock(s.clock), operator.WithLogger(s.log)))
	listener := bufconn.Listen(1 << 20)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(server.Stop)
	connection, err := grpc.NewClient("passthrough:///bufconn",
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return listener.Dial() }),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { require.NoError(s.t, connection.Close()) })
	s.hosts[name], s.connection[name] = h, connection
}

// call sends a request in JSON to a method and prints the answer. While a fault
// is on, the clock runs.
func (s *script) call(host, method, request string) {
	m := operatorpb.File_operator_v1_operator_proto.Services().Get(0).Methods().ByName(protoreflect.Name(method))
	require.NotNil(s.t, m, method)
	in, out := dynamicpb.NewMessage(m.Input()), dynamicpb.NewMessage(m.Output())
	require.NoError(s.t, protojson.Unmarshal([]byte(request), in))
	done := make(chan error, 1)
	go func() {
		done <- s.connection[host].Invoke(context.Background(), "/oriolevalve.operator.v1.Operator/"+method, in, out)
	}()
	for len(done) == 0 {
		if s.store.Switches().Outage {
			s.clock.Advance(100 * time.Millisecond)
		}
		runtime.Gosched()
	}
	if err := <-done; err != nil {
		fmt.Fprintf(&s.out, "  %v\n", err)
		return
	}
	s.print(out)
	for _, entry := range s.logged.TakeAll() {
		require.Contains(s.t, logs.Events(), entry.Message)
		fmt.Fprintf(&s.out, "  log %s %v\n", entry.Message, entry.ContextMap()["identity"])
	}
}

// many commits drains and joins of one target.
func (s *script) many(host string, count int) {
	client := operatorpb.NewOperatorClient(s.connection[host])
	service, exists := s.hosts[host].State().Configuration().Service("desk")
	require.True(s.t, exists)
	version := service.Version
	for i := range count {
		s.clock.Advance(time.Second)
		o := &operatorpb.Operation{Identity: fmt.Sprintf("many-%d", i), Actor: "bob", BaseVersion: version}
		var result *operatorpb.ChangeResult
		var err error
		if i%2 == 0 {
			result, err = client.DrainTarget(context.Background(), &operatorpb.TargetRequest{Operation: o, Service: "desk", Target: "t1"})
		} else {
			result, err = client.JoinTarget(context.Background(), &operatorpb.JoinTargetRequest{
				Operation: o, Service: "desk",
				Target: &operatorpb.Target{Name: "t1", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2},
			})
		}
		require.NoError(s.t, err)
		require.Equal(s.t, operatorpb.ChangeStatus_CHANGE_STATUS_APPLIED, result.Status, result.Reason)
		version = result.Revision
	}
	require.Len(s.t, s.logged.TakeAll(), count)
}

func (s *script) print(m proto.Message) {
	value, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	require.NoError(s.t, err)
	// The clock may reach the timeout before the first failure is known, which
	// the reason would name.
	value = silence.ReplaceAll(value, []byte("$1"))
	var indented bytes.Buffer
	require.NoError(s.t, json.Indent(&indented, value, "  ", " "))
	fmt.Fprintf(&s.out, "  %s\n", indented.String())
}

// line runs "HOST METHOD JSON" or one of the commands of the script.
func (s *script) line(line string) {
	w := strings.SplitN(line, " ", 3)
	fmt.Fprintf(&s.out, "> %s\n", line)
	switch w[0] {
	case "advance":
		d, err := time.ParseDuration(w[1])
		require.NoError(s.t, err)
		s.clock.Advance(d)
	case "switches":
		var switches standin.Switches
		require.NoError(s.t, json.Unmarshal([]byte(w[1]), &switches))
		s.store.SetSwitches(switches)
	case "host":
		s.addHost(w[1])
	case "sessions":
		require.NoError(s.t, json.Unmarshal([]byte(w[2]), &s.hosts[w[1]].sessions))
	case "many": // many HOST N: drains and joins t1 of desk in turn, by bob
		var count int
		_, err := fmt.Sscan(w[2], &count)
		require.NoError(s.t, err)
		s.many(w[1], count)
	default:
		s.call(w[0], w[1], w[2])
	}
}

// Runs every script in testdata and compares its output. Each script's first
// line says which failure it guards against.
func TestScripts(t *testing.T) {
	golden.Run(t, "testdata/*/input", func(t *testing.T, input []byte) string {
		fake := clock.NewFake(epoch)
		s := &script{
			t: t, clock: fake, store: standin.New(fake),
			hosts: map[string]*host{}, connection: map[string]*grpc.ClientConn{},
		}
		core, logged := observer.New(zap.InfoLevel)
		s.log, s.logged = zap.New(core), logged
		s.addHost("h1")
		for line := range strings.Lines(string(input)) {
			if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
				s.line(line)
			}
		}
		return s.out.String()
	})
}
