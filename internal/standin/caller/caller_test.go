package caller_test

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/standin/caller"
	"oriolevalve/internal/standin/fabric"
	"oriolevalve/internal/standin/record"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// faultyHost answers like a host with its targets, with one fault.
type faultyHost struct {
	fault   string
	mutex   sync.Mutex
	records []record.Record
	calls   map[string]int
}

type codec struct{}

func (codec) Name() string { return "proto" }
func (codec) Marshal(value any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(value.([]byte))}, nil
}

func (codec) Unmarshal(data mem.BufferSlice, value any) error {
	*value.(*[]byte) = data.Materialize()
	return nil
}

func (f *faultyHost) handle(_ any, stream grpc.ServerStream) error {
	var body []byte
	if err := stream.RecvMsg(&body); err != nil {
		return err
	}
	pairs, _ := metadata.FromIncomingContext(stream.Context())
	get := func(key string) string {
		if list := pairs.Get(key); len(list) > 0 {
			return list[0]
		}
		return ""
	}
	sequence, _ := strconv.ParseUint(get("oriolevalve-sequence"), 10, 64)
	run := record.Record{
		Target: "t0", Service: get(":authority"), Session: get("oriolevalve-session"), RequestID: get("oriolevalve-request-id"),
		Sequence: sequence, BodyDigest: record.Digest(body),
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls[run.RequestID]++
	again := f.calls[run.RequestID] > 1
	end := func(outcome, reason string, code codes.Code) error {
		stream.SetTrailer(metadata.Pairs("oriolevalve-outcome", outcome, "oriolevalve-reason", reason))
		return status.Error(code, reason)
	}
	marked := get("oriolevalve-attempt") != "0"
	if f.fault == "unknown_once" && marked != again {
		return end("not_run", "the mark is wrong", codes.Unavailable)
	}
	if f.fault == "not_run_once" && marked {
		return end("unknown", "a repeat after not_run must not be marked", codes.Aborted)
	}
	runs := 1
	switch {
	case f.fault == "not_run_once" && !again:
		return end("not_run", "shed", codes.Unavailable)
	case f.fault == "unknown_once" && !again:
		// Without the trailer, as after a reset.
		return status.Error(codes.Unavailable, "reset")
	case f.fault == "refused_for_good", f.fault == "unknown_then_refused" && again:
		return end("not_run", "target_down", codes.Unavailable)
	case f.fault == "unknown_then_refused":
		return end("unknown", "attempt_lost", codes.Aborted)
	case f.fault == "careless_runs_twice" && !again:
		f.records = append(f.records, run)
		return end("unknown", "attempt_lost", codes.Aborted)
	case f.fault == "not_run_but_ran" && !again:
		f.records = append(f.records, run)
		return end("not_run", "shed", codes.Unavailable)
	case f.fault == "ran_twice":
		runs = 2
	case f.fault == "no_record":
		runs = 0
	case f.fault == "other_service":
		run.Service = "payroll"
	case f.fault == "session_moves" && sequence > 2:
		run.Target = "t1"
	}
	for range runs {
		f.records = append(f.records, run)
	}
	if f.fault == "error_of_target" {
		return end("answered", "", codes.FailedPrecondition)
	}
	if f.fault == "answer_of_another" {
		run.RequestID = "another"
	}
	answer, _ := json.Marshal(run)
	if f.fault == "answer_cut_short" {
		answer = answer[:len(answer)-1]
	}
	stream.SetTrailer(metadata.Pairs("oriolevalve-outcome", "answered"))
	return stream.SendMsg(answer)
}

func options(address string, f *faultyHost) caller.Options {
	return caller.Options{
		Seed: 3, Sprayer: fabric.NewSprayer(3, []string{address}), Service: "dispatch", Method: "/a.B/C", Name: "test",
		Sessions: 10, Messages: 6, Think: time.Second, BodySize: 100, Repeats: 2, RepeatPause: time.Second, Timeout: time.Minute,
		Clock: clock.NewAutoAdvance(time.Unix(1000, 0)),
		Records: func(context.Context) ([]record.Record, error) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.records, nil
		},
	}
}

func start(t *testing.T, fault string) (*faultyHost, string) {
	f := &faultyHost{fault: fault, calls: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(grpc.UnknownServiceHandler(f.handle), grpc.ForceServerCodecV2(codec{}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return f, listener.Addr().String()
}

// Guards against a caller model that doesn't see a fault, or sees one that is
// not there: each fault is injected and the counts are compared.
func TestReportShowsInjectedFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.json")
	require.NoError(t, err)
	var cases []struct {
		Fault    string         `json:"fault"`
		Expected map[string]any `json:"expected"`
	}
	require.NoError(t, json.Unmarshal(text, &cases))
	for _, c := range cases {
		t.Run(c.Fault, func(t *testing.T) {
			f, address := start(t, c.Fault)
			o := options(address, f)
			if c.Fault == "careless_runs_twice" {
				o.CarelessShare = 1
			}
			report, err := caller.Run(context.Background(), o)
			require.NoError(t, err)
			encoded, err := json.Marshal(report)
			require.NoError(t, err)
			var seen map[string]any
			require.NoError(t, json.Unmarshal(encoded, &seen))
			for _, field := range []string{
				"requests", "sessions", "attempts", "answered", "answered_errors", "not_run", "unknown", "not_sent",
				"broken_flows", "wrong_answers", "misrouted", "doubled", "lost", "false_not_run",
			} {
				expected := c.Expected[field]
				if expected == nil {
					expected = 0.0
				}
				require.Equal(t, expected, seen[field], field)
			}
			if reasons := c.Expected["reasons"]; reasons != nil {
				require.Equal(t, reasons, seen["reasons"])
			}
		})
	}
}

// Guards against uploads, pauses and the plot being left out, and against a
// run whose traffic depends on more than the seed.
func TestPhotosIdleSessionsAndPlot(t *testing.T) {
	bodies := map[string]string{}
	for range 2 {
		f, address := start(t, "none")
		o := options(address, f)
		o.PhotoService, o.PhotoShare, o.PhotoSize = "photo-intake", 0.5, 200_000
		o.IdleShare, o.IdleTime, o.IdempotentShare = 1, time.Hour, 0.5
		report, err := caller.Run(context.Background(), o)
		require.NoError(t, err)
		require.Greater(t, report.Requests, 60)
		require.Equal(t, report.Requests, report.Answered)
		require.Zero(t, report.Misrouted+report.WrongAnswers+report.BrokenFlows)
		require.GreaterOrEqual(t, report.DurationSeconds, 3600.0)
		require.InDelta(t, 1, report.ImbalanceRequests, 0)
		path := filepath.Join(t.TempDir(), "latency.png")
		require.NoError(t, report.Plot(path))
		for _, run := range f.records {
			if previous := bodies[run.RequestID]; previous != "" {
				require.Equal(t, previous, run.BodyDigest)
			}
			bodies[run.RequestID] = run.BodyDigest
		}
		require.Len(t, bodies, report.Requests)
	}
}

// Guards against a host that is down being counted as an unknown outcome, and
// against a truncated application record being compared.
func TestUnreachableHostAndTruncatedRecord(t *testing.T) {
	o := options("127.0.0.1:1", &faultyHost{})
	report, err := caller.Run(context.Background(), o)
	require.NoError(t, err)
	require.Equal(t, 60, report.NotSent)
	require.Zero(t, report.Attempts)
	o.Messages = 1
	o.Records = func(context.Context) ([]record.Record, error) { return nil, errors.New("line 3 is truncated") }
	_, err = caller.Run(context.Background(), o)
	require.ErrorContains(t, err, "line 3 is truncated")
}
