package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/settings"

	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// noStore answers no call.
type noStore struct{}

func (noStore) Read(context.Context, catalog.Call) (catalog.Batch, error) {
	return catalog.Batch{}, errors.New("no store")
}

// newTestControl returns the control state of a node whose goroutines do not run, with a
// collection of targets that was just confirmed.
func newTestControl(t *testing.T, c clock.Clock) *control {
	s := settings.DefaultNode()
	s.HostID, s.DataCentre = "host-1", "a"
	n := New(s, nil, func(catalog.MalformedFunc) Store { return noStore{} }, WithClock(c))
	n.started = c.Now()
	socket, err := listenUDP("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, socket.Close()) })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	control := newControl(ctx, n, socket)
	control.catalog.Merge(catalog.Targets, catalog.Batch{Whole: true, Revision: 5}, n.now(), n.now())
	return control
}

func targetsAge(c *control) time.Duration {
	age, _ := c.catalog.Age(catalog.Targets, c.node.now())
	return age
}

// Guards against messages that waited in the socket's buffer while the process was
// paused, or the machine suspended, and that confirm what the host knows as if they had
// just been sent: it would go on with targets that left meanwhile.
func TestMessagesFromAPauseConfirmNothing(t *testing.T) {
	for name, pause := range map[string]func(f *clock.Fake, d time.Duration){
		"paused":    (*clock.Fake).Advance,
		"suspended": (*clock.Fake).Suspend,
	} {
		t.Run(name, func(t *testing.T) {
			f := clock.NewFake(time.Unix(1000, 0))
			c := newTestControl(t, f)
			m := &gossip.Message{From: gossip.Host{ID: "host-2", DataCentre: "a", Address: "127.0.0.2"}}
			m.States[catalog.Targets] = catalog.State{Valid: true, Revision: 5, Age: 40}
			for range 5 {
				f.Advance(tick)
				c.look()
				c.hear(m, c.node.now())
				require.Equal(t, 40*time.Millisecond, targetsAge(c))
			}
			pause(f, 5*time.Second)
			require.Greater(t, targetsAge(c), 5*time.Second)
			c.hear(m, c.node.now())
			require.Greater(t, targetsAge(c), 5*time.Second, "read before the first look")
			c.look()
			c.hear(m, c.node.now())
			require.Greater(t, targetsAge(c), 5*time.Second, "read after the first look")
			require.Zero(t, c.members.LivePeerCount(c.node.now()))
			f.Advance(resumeSpan)
			c.look()
			c.hear(m, c.node.now())
			require.Equal(t, 40*time.Millisecond, targetsAge(c))
		})
	}
}

// Guards against an answer of the store that counts as new although it waited through a
// pause, and against a message that waited for the control goroutine.
func TestInputsCountFromTheirArrival(t *testing.T) {
	f := clock.NewFake(time.Unix(1000, 0))
	c := newTestControl(t, f)
	f.Advance(tick)
	c.look()
	call, started := catalog.Call{Kind: catalog.Targets, Since: 5, Wait: time.Second}, c.node.now()
	f.Advance(4 * time.Second)
	c.answered(call, started, catalog.Batch{
		Since: 5, Revision: 6, Objects: []catalog.Object{{Name: "i-01", Revision: 6, Target: &catalog.Target{Key: 1}}},
	}, nil)
	require.Equal(t, 4*time.Second, targetsAge(c))

	c.look()
	for range 10 {
		f.Advance(tick)
		c.look()
	}
	m := &gossip.Message{From: gossip.Host{ID: "host-2", DataCentre: "a", Address: "127.0.0.2"}}
	m.States[catalog.Targets] = catalog.State{Valid: true, Revision: 6, Checksum: c.catalog.State(catalog.Targets, 0).Checksum, Age: 40}
	c.hear(m, c.node.now()-300*time.Millisecond)
	require.Equal(t, 340*time.Millisecond, targetsAge(c))
}

// askedStore passes on the calls that it gets, and answers none.
type askedStore struct{ calls chan catalog.Call }

func (s askedStore) Read(ctx context.Context, call catalog.Call) (catalog.Batch, error) {
	s.calls <- call
	<-ctx.Done()
	return catalog.Batch{}, ctx.Err()
}

// Guards against a watch that goes on across a restore of the store: the revision that it
// begins at was given out again, so changes before it may be missing, and its empty answer
// confirms what was lost.
func TestWatchAcrossARestoreEndsInAList(t *testing.T) {
	f := clock.NewFake(time.Unix(1000, 0))
	c := newTestControl(t, f)
	store := askedStore{calls: make(chan catalog.Call, catalog.KindCount)}
	c.store = store
	asked := func() catalog.Call {
		for {
			if call := <-store.calls; call.Kind == catalog.Targets {
				return call
			}
		}
	}
	f.Advance(2 * time.Second)
	c.ask()
	call := asked()
	require.Equal(t, catalog.Call{Kind: catalog.Targets, Since: 5, Wait: call.Wait}, call)
	before := targetsAge(c)
	c.answered(call, c.node.now(), catalog.Batch{Epoch: 1, Since: 5, Revision: 5}, nil)
	require.Equal(t, before, targetsAge(c))
	require.True(t, asked().List)
}

// Guards against an answer that is left out without a line and a count, or ends in an
// unexpected error, after which the host would forget all that it knows.
func TestAnswersLeftOutAreLoggedAndCounted(t *testing.T) {
	c := newTestControl(t, clock.NewFake(time.Unix(1000, 0)))
	core, observed := observer.New(zapcore.InfoLevel)
	c.node.log = zap.New(core)
	now := c.node.now()
	listed := func(slots int) []catalog.Object {
		return []catalog.Object{{Name: "i-01", Revision: 6, Target: &catalog.Target{Key: 1, Slots: slots}}}
	}
	c.merge(catalog.Targets, catalog.Batch{Whole: true, Epoch: 1, Revision: 8, Objects: listed(2)}, now, "store")
	for reason, batch := range map[catalog.MergeResult]catalog.Batch{
		catalog.OlderEpoch:    {Whole: true, Revision: 9},
		catalog.OlderRevision: {Whole: true, Epoch: 1, Revision: 7, Objects: listed(2)},
		catalog.Disconnected:  {Epoch: 1, Since: 9, Revision: 9},
		catalog.Conflicting:   {Whole: true, Epoch: 1, Revision: 8, Objects: listed(3)},
	} {
		observed.TakeAll()
		c.merge(catalog.Targets, batch, now, "store")
		lines := observed.FilterMessage(logs.AnswerLeftOut).All()
		require.Len(t, lines, 1, reason)
		require.Equal(t, reason.String(), lines[0].ContextMap()["reason"])
		var counted dto.Metric
		require.NoError(t, c.node.metrics.leftOut[catalog.Targets][reason].Write(&counted))
		require.Equal(t, 1.0, counted.GetCounter().GetValue(), reason)
	}
}
