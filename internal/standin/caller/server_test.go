package caller_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	server "oriolevalve/internal/caller"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/standin/caller"
	"oriolevalve/internal/standin/fabric"
	"oriolevalve/internal/standin/record"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

// echo is a router and the directory of one service. It answers as the target
// of the session would.
type echo struct {
	mutex   sync.Mutex
	runs    []record.Record
	names   map[flow.Key]string
	routed  atomic.Int64
	stopAt  int64
	stopNow func()
	// release lets the held requests go on.
	release chan struct{}
}

func (e *echo) Service(authority string) (server.Service, bool) {
	return server.Service{ID: 1}, authority == "dispatch"
}
func (e *echo) Permitted(bool, time.Time) bool { return true }
func (e *echo) SessionKey(service flow.ServiceID, session string) flow.Key {
	key := flow.KeyOfSession(service, session)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.names[key] = session
	return key
}

func (e *echo) Route(_ context.Context, q target.Request) target.Reply {
	switch n := e.routed.Add(1); {
	case n == e.stopAt:
		e.stopNow()
		fallthrough
	case n > e.stopAt && n < e.stopAt+10:
		// In progress at both servers while the stop begins. The ten sessions hold
		// back at most 300 of the 800 messages that remain, so the release comes.
		<-e.release
	case n == e.stopAt+150:
		close(e.release)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	session := e.names[q.Key]
	var sequence uint64
	for _, run := range e.runs {
		if run.Session == session {
			sequence++
		}
	}
	run := record.Record{Target: "t", Service: "dispatch", Session: session, RequestID: q.Identity, Sequence: sequence, BodyDigest: record.Digest(q.Body)}
	e.runs = append(e.runs, run)
	answer, _ := json.Marshal(run)
	return target.Reply{Outcome: target.OutcomeAnswered, Body: answer}
}

// Guards against a planned stop of a host that interrupts a request, or that
// leaves a caller with an unknown outcome (P7), and against a caller model and
// a server that disagree on metadata and trailers.
func TestGracefulStopOfOneHostUnderLoad(t *testing.T) {
	e := &echo{names: map[flow.Key]string{}, stopAt: 400, release: make(chan struct{})}
	var servers []*server.Server
	var addresses []string
	for range 2 {
		s := server.NewServer(e, e)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = s.Serve(listener) }()
		servers, addresses = append(servers, s), append(addresses, listener.Addr().String())
	}
	stopped := make(chan error, 1)
	e.stopNow = func() { go func() { stopped <- servers[0].Stop(context.Background()) }() }
	report, err := caller.Run(context.Background(), caller.Options{
		Seed: 5, Sprayer: fabric.NewSprayer(5, addresses), Service: "dispatch", Method: "/a.B/C", Name: "test",
		Sessions: 40, Messages: 30, BodySize: 3000, Repeats: 8, Timeout: time.Minute,
		Clock: clock.NewAutoAdvance(time.Unix(1000, 0)),
		Records: func(context.Context) ([]record.Record, error) {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			return e.runs, nil
		},
	})
	require.NoError(t, err)
	require.NoError(t, <-stopped)
	require.NoError(t, servers[1].Stop(context.Background()))
	require.Equal(t, 1200, report.Answered, "%+v", report)
	require.Zero(t, report.Unknown+report.BrokenFlows+report.WrongAnswers+report.Doubled+report.Lost+report.FalseNotRun, "%+v", report)
	require.Len(t, e.runs, 1200)
}
