package commands_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/commands"
	"oriolevalve/pkg/operatorpb"
	"oriolevalve/platform"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// fakeHost answers operator calls with the answers that the script queued, in
// order for each method, and records the calls.
type fakeHost struct {
	mutex   sync.Mutex
	answers map[string][]string
	calls   strings.Builder
	address string
}

func startFakeHost(options ...grpc.ServerOption) (f *fakeHost, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	f = &fakeHost{answers: map[string][]string{}, address: listener.Addr().String()}
	server := grpc.NewServer(append(options, grpc.UnaryInterceptor(f.intercept))...)
	operatorpb.RegisterOperatorServer(server, operatorpb.UnimplementedOperatorServer{})
	go func() { _ = server.Serve(listener) }()
	return f, server.Stop, nil
}

func (f *fakeHost) intercept(_ context.Context, request any, info *grpc.UnaryServerInfo, _ grpc.UnaryHandler) (any, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	method := info.FullMethod[strings.LastIndex(info.FullMethod, "/")+1:]
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(request.(proto.Message))
	if err != nil {
		return nil, err
	}
	// protojson varies its white space on purpose.
	fmt.Fprintf(&f.calls, "%s %s\n", method, strings.ReplaceAll(string(text), " ", ""))
	queue := f.answers[method]
	if len(queue) == 0 {
		return nil, status.Error(codes.Internal, "the script has no answer for "+method)
	}
	// The last answer stays, for polls.
	if len(queue) > 1 {
		f.answers[method] = queue[1:]
	}
	if name, ok := strings.CutPrefix(queue[0], "error "); ok {
		code, message, _ := strings.Cut(name, " ")
		var c codes.Code
		if err := c.UnmarshalJSON([]byte(strconv.Quote(code))); err != nil {
			return nil, err
		}
		return nil, status.Error(c, message)
	}
	answer := map[string]proto.Message{
		"ListServices": &operatorpb.ListServicesResponse{},
		"Status":       &operatorpb.StatusResponse{},
		"ListAudit":    &operatorpb.ListAuditResponse{},
	}[method]
	if answer == nil {
		answer = &operatorpb.ChangeResult{}
	}
	return answer, protojson.Unmarshal([]byte(queue[0]), answer)
}

type hostKey string

// Guards, script by script, against wrong exit codes, lost operation
// identities, misread declarations and requests that differ from the command
// line. Script commands: "answer HOST METHOD ANSWER" queues an answer (JSON or
// "error CODE message"), "oriolevalve CODE ARGUMENTS" expects an exit code, and
// "calls HOST" prints the calls that a host got.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"A", "B"} {
				f, stop, err := startFakeHost()
				if err != nil {
					return err
				}
				env.Defer(stop)
				env.Values[hostKey(name)] = f
				env.Setenv(name, f.address)
			}
			env.Setenv("DEAD", "127.0.0.1:1")
			address, err := startRealHost(env)
			env.Setenv("REAL", address)
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, arguments []string){
			"answer": func(ts *testscript.TestScript, _ bool, arguments []string) {
				f := ts.Value(hostKey(arguments[0])).(*fakeHost)
				f.mutex.Lock()
				defer f.mutex.Unlock()
				f.answers[arguments[1]] = append(f.answers[arguments[1]], arguments[2])
			},
			"calls": func(ts *testscript.TestScript, _ bool, arguments []string) {
				f := ts.Value(hostKey(arguments[0])).(*fakeHost)
				f.mutex.Lock()
				defer f.mutex.Unlock()
				_, err := fmt.Fprint(ts.Stdout(), f.calls.String())
				ts.Check(err)
				f.calls.Reset()
			},
			"oriolevalve": func(ts *testscript.TestScript, _ bool, arguments []string) {
				expected, err := strconv.Atoi(arguments[0])
				ts.Check(err)
				list := []string{"oriolevalve"}
				for _, a := range arguments[1:] {
					if strings.HasSuffix(a, ".json") {
						a = ts.MkAbs(a)
					}
					list = append(list, a)
				}
				code := commands.Run(context.Background(), list, ts.Stdout(), ts.Stderr(),
					commands.WithClock(clock.NewAutoAdvance(time.Unix(1_800_000_000, 0))),
					commands.WithIdentitySource(func() string { return "identity-1" }),
					commands.WithConfigurationReader(platform.ReadConfiguration))
				if code != expected {
					ts.Fatalf("exit code %d, expected %d", code, expected)
				}
			},
		},
	})
}

// Guards against a committed example that apply refuses: only the host is
// missing.
func TestExamplesAreDeclarations(t *testing.T) {
	var stdout, stderr strings.Builder
	code := commands.Run(context.Background(), []string{
		"oriolevalve", "apply", "--actor", "test", "--host", "127.0.0.1:1",
		"--file", "../../examples/head-office.json", "--file", "../../examples/fund.json",
	}, &stdout, &stderr)
	require.Equal(t, commands.ExitError, code)
	require.Equal(t, "error: no host answered: 127.0.0.1:1: cannot connect: dial tcp 127.0.0.1:1: connect: connection refused\n", stderr.String())
}

// Guards against command lines on the operators' page, and in the usage texts,
// that do not work.
func TestDocumentedCommandsWork(t *testing.T) {
	f, stop, err := startFakeHost()
	require.NoError(t, err)
	defer stop()
	applied := `{"status":"CHANGE_STATUS_APPLIED","revision":9}`
	for _, method := range []string{"Apply", "DeleteService", "JoinTarget", "DrainTarget", "LeaveTarget", "ShowOperation"} {
		f.answers[method] = []string{applied}
	}
	f.answers["ListServices"] = []string{`{"services":[{"name":"dispatch","version":7}]}`}
	f.answers["Status"], f.answers["ListAudit"] = []string{`{}`}, []string{`{}`}
	text, err := os.ReadFile("../../docs/CLI.md")
	require.NoError(t, err)
	var help func(list []*cli.Command)
	help = func(list []*cli.Command) {
		for _, c := range list {
			text = append(text, "\n"+c.Description...)
			help(c.Commands)
		}
	}
	help(commands.All())
	lines := regexp.MustCompile("(?m)^ +oriolevalve (.*)$").FindAllSubmatch(text, -1)
	require.Greater(t, len(lines), 30)
	t.Chdir("../..")
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }))
	defer node.Close()
	for _, line := range lines {
		arguments := strings.Fields(string(line[1]))
		for i, a := range arguments {
			switch a {
			case "127.0.0.11:7102":
				arguments[i] = f.address
			case "127.0.1.1:7375", "127.0.1.2:7375":
				arguments[i] = strings.TrimPrefix(node.URL, "http://")
			}
		}
		t.Setenv("ORIOLEVALVE_HOST", f.address)
		var stdout, stderr strings.Builder
		code := commands.Run(context.Background(), append([]string{"oriolevalve"}, arguments...), &stdout, &stderr,
			commands.WithClock(clock.NewAutoAdvance(time.Unix(1_800_000_000, 0))), commands.WithConfigurationReader(platform.ReadConfiguration))
		require.Zero(t, code, "%s: %s", line[1], stderr.String())
	}
}
