package target_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

const trackedSessions = 300_000

func numberedKey(i int) flow.Key {
	var input [8]byte
	binary.LittleEndian.PutUint64(input[:], uint64(i))
	return flow.Key(xxh3.Hash128(input[:]).Bytes())
}

// ownerWithSessions returns an owner with the given number of open sessions, and the
// time of its last event.
func ownerWithSessions(count int) (*target.Owner, time.Time) {
	declared, policy := declaration()
	declared.Connections, policy.IdleTimeout = 2*count, 1<<52
	o := target.NewOwner(declared, policy, target.WithSeed(1))
	now := epoch
	o.Handle(now, target.TakeoverStarted{FirstOwner: true})
	sessions := make([]flow.Key, 0, 1000)
	for i := range count {
		sessions = append(sessions, numberedKey(i))
		if len(sessions) == cap(sessions) || i == count-1 {
			o.Handle(now, target.HandoverReceived{Handover: target.Handover{Target: 1, Sessions: sessions}})
			sessions = sessions[:0]
		}
	}
	return o, now
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against more than 100 bytes of memory per session at 300,000 sessions, and at
// half and 5/4 of that number, since maps grow in steps.
func TestSessionMemory(t *testing.T) {
	for _, count := range []int{trackedSessions / 2, trackedSessions, trackedSessions * 5 / 4} {
		before := heapBytes()
		o, _ := ownerWithSessions(count)
		bytesPerSession := float64(heapBytes()-before) / float64(count)
		require.Equal(t, count, o.Sessions())
		t.Logf("%d sessions: %.1f bytes per session", count, bytesPerSession)
		require.Less(t, bytesPerSession, 100.0)
	}
}

// BenchmarkSessionMemory reports the heap bytes per session at 300,000 sessions.
func BenchmarkSessionMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		o, _ := ownerWithSessions(trackedSessions)
		b.ReportMetric(float64(heapBytes()-before)/trackedSessions, "bytes/session")
		runtime.KeepAlive(o)
	}
}

// BenchmarkEstablishedMessage measures a message of an established session from
// its arrival to its answer.
func BenchmarkEstablishedMessage(b *testing.B) {
	for _, idempotent := range []bool{true, false} {
		b.Run(fmt.Sprintf("idempotent=%t", idempotent), func(b *testing.B) {
			o, now := ownerWithSessions(trackedSessions)
			b.ReportAllocs()
			reply := target.Reply{Outcome: target.OutcomeAnswered, Body: make([]byte, 100)}
			i := 0
			for b.Loop() {
				i++
				now = now.Add(100 * time.Microsecond)
				r := &target.Request{
					Target: 1, HasSession: true, Key: numberedKey(i % trackedSessions), Method: "/a/B",
					Idempotent: idempotent, Identity: "identity", NotAfter: now.Add(time.Second), Attempt: 0,
				}
				if !idempotent && i >= trackedSessions {
					r.Method = fmt.Sprint("/a/", i/trackedSessions)
				}
				o.Handle(now, target.RequestArrived{ID: uint64(i), Request: r})
				o.Handle(now, target.AttemptFinished{ID: uint64(i), Reply: reply})
				if i%5000 == 0 {
					o.Handle(now, target.Tick{})
				}
			}
		})
	}
}

// BenchmarkNewSession measures the placement of a new session among 14 targets.
func BenchmarkNewSession(b *testing.B) {
	o, now := ownerWithSessions(1000)
	var loads []target.Load
	for id := flow.TargetID(1); id <= 14; id++ {
		loads = append(loads, target.Load{Target: id, Weight: 1, Eligible: true, Sessions: 1000})
	}
	o.Handle(now, target.LoadsChanged{Loads: loads})
	b.ReportAllocs()
	reply := target.Reply{Outcome: target.OutcomeAnswered}
	i := 1 << 30
	for b.Loop() {
		i++
		r := &target.Request{
			Target: 1, HasSession: true, First: true, SessionEnd: true, Key: numberedKey(i), Idempotent: true,
		}
		o.Handle(now, target.RequestArrived{ID: uint64(i), Request: r})
		o.Handle(now, target.AttemptFinished{ID: uint64(i), Reply: reply})
	}
}

// BenchmarkTick measures a tick with 300,000 sessions. The host holds the owner's lock
// for this time.
func BenchmarkTick(b *testing.B) {
	o, now := ownerWithSessions(trackedSessions)
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		o.Handle(now, target.Tick{})
	}
}
