package node

import (
	"fmt"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/gossip"

	"github.com/stretchr/testify/require"
)

// newEvacuationControl returns the control state of a node that follows evacuations and has all
// collections at revision 5.
func newEvacuationControl(t *testing.T, f *clock.Fake) *control {
	c := newTestControl(t, f)
	c.settings.EvacuationAge = duration.Duration(5 * time.Second)
	for kind := range catalog.KindCount {
		batch := catalog.Batch{Whole: true, Revision: 5}
		if kind == catalog.Configurations {
			batch.Objects = []catalog.Object{{Name: "main", Revision: 4, Configuration: &catalog.Configuration{Version: 1}}}
		}
		c.catalog.Merge(kind, batch, c.node.now(), c.node.now())
	}
	return c
}

// Guards against answers without end to hosts that do not follow evacuations, which never say that
// they have them, and against hosts that wait for them and get no answer.
func TestHostsWithoutEvacuationsGetNoAnswers(t *testing.T) {
	f := clock.NewFake(time.Unix(1000, 0))
	c := newEvacuationControl(t, f)
	peer, err := listenUDP(fmt.Sprintf("127.0.0.2:%d", c.port))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, peer.Close()) })
	m := &gossip.Message{From: gossip.Host{ID: "host-2", DataCentre: "a", Address: "127.0.0.2"}, LiveHostCount: 2}
	answered := func(state catalog.State) bool {
		f.Advance(tick)
		c.look()
		for kind := range catalog.Evacuations {
			m.States[kind] = c.catalog.State(kind, c.node.now())
		}
		m.States[catalog.Evacuations] = state
		for {
			// What the host says of its own accord is no answer.
			require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Millisecond)))
			if _, err := peer.Read(make([]byte, 1<<16)); err != nil {
				break
			}
		}
		c.hear(m, c.node.now())
		require.NoError(t, peer.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := peer.Read(make([]byte, 1<<16))
		return err == nil
	}
	require.False(t, answered(catalog.State{}), "not followed")
	require.True(t, answered(catalog.State{Missing: true}), "awaited")
	require.False(t, answered(c.catalog.State(catalog.Evacuations, c.node.now())), "known")

	c.settings.EvacuationAge = 0
	require.False(t, answered(catalog.State{Missing: true}), "not followed here")
	require.Equal(t, catalog.State{}, c.message(c.node.now(), nil).States[catalog.Evacuations])
}

// Guards against a request that is written again and makes a view of all targets each time, and
// against an end that leaves no trace for the packet goroutine.
func TestViewsFollowEvacuations(t *testing.T) {
	f := clock.NewFake(time.Unix(1000, 0))
	c := newEvacuationControl(t, f)
	c.show()
	view := c.node.view.Load()
	require.NotNil(t, view)
	change := func(revision uint64, deleted bool) bool {
		f.Advance(tick)
		c.merge(catalog.Evacuations, catalog.Batch{Since: revision - 1, Revision: revision, Objects: []catalog.Object{
			{Name: "b", Revision: revision, Deleted: deleted},
		}}, c.node.now(), "store")
		before := view
		view = c.node.view.Load()
		return view != before
	}
	require.True(t, change(6, false))
	require.Equal(t, []string{"b"}, c.status(c.node.now()).Evacuated)
	for revision := range uint64(20) {
		require.False(t, change(7+revision, false))
	}
	require.True(t, change(27, true))
	require.Empty(t, c.status(c.node.now()).Evacuated)
}

// Guards against a host that publishes a view before it knows the evacuations, or that is made
// unready by a collection which it does not follow.
func TestNoViewWithoutTheEvacuations(t *testing.T) {
	f := clock.NewFake(time.Unix(1000, 0))
	c := newTestControl(t, f)
	c.catalog.Merge(catalog.Configurations, catalog.Batch{Whole: true, Revision: 5, Objects: []catalog.Object{
		{Name: "main", Revision: 4, Configuration: &catalog.Configuration{Version: 1}},
	}}, c.node.now(), c.node.now())
	c.settings.EvacuationAge = duration.Duration(5 * time.Second)
	c.show()
	require.Nil(t, c.node.view.Load())
	require.False(t, c.node.ready.Load())
	c.settings.EvacuationAge = 0
	c.show()
	require.NotNil(t, c.node.view.Load())
	require.True(t, c.node.ready.Load())
}
