package node

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/packet"

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

// openings takes each datagram for the opening packet of a flow.
type openings struct{ flow packet.Flow }

func (o openings) Decode(datagram []byte, k *packet.Packet) bool {
	*k = packet.Packet{Flow: o.flow, SYN: true, Sequence: uint32(datagram[0])}
	return true
}
func (openings) EnvelopeLength() int                                { return 0 }
func (openings) Encapsulate([]byte, packet.TargetKey, uint32)       {}
func (openings) AppendReset(buffer []byte, _ *packet.Packet) []byte { return buffer }

// Guards against an opening that waited in the socket's buffer while the process was paused and
// is forwarded by a view from before the data centre was evacuated.
func TestOpeningFromAPauseReachesNoEvacuatedTarget(t *testing.T) {
	f := clock.NewFake(time.Unix(1000, 0))
	c := newEvacuationControl(t, f)
	target, err := listenUDP("127.0.0.3:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, target.Close()) })
	service := netip.MustParseAddrPort("198.18.0.1:443")
	c.node.codec = openings{packet.Flow{Client: netip.MustParseAddrPort("127.0.0.4:1000"), Service: service}}
	c.merge(catalog.Configurations, catalog.Batch{Since: 5, Revision: 6, Objects: []catalog.Object{{Name: "main", Revision: 6, Configuration: &catalog.Configuration{
		Version: 2, Services: []string{"desk"}, Routes: []catalog.Route{{Address: service, Services: []catalog.Share{{Service: "desk", Weight: 1}}}},
	}}}}, 0, "store")
	c.merge(catalog.Targets, catalog.Batch{Since: 5, Revision: 6, Objects: []catalog.Object{{Name: "i-1", Revision: 6, Target: &catalog.Target{
		Key: 1, Service: "desk", DataCentre: "b", Slots: 2, Address: target.LocalAddr().(*net.UDPAddr).AddrPort(),
	}}}}, 0, "store")
	socket, err := newPacketSocket(c.socket, c.node.now)
	require.NoError(t, err)
	forwarder := newForwarder(c.node, socket)
	sequence := byte(0)
	// reached reports whether a new flow reaches the target.
	reached := func() bool {
		sequence++
		forwarder.buffer[0] = sequence
		forwarder.handle(1, arrival{read: c.node.now()})
		require.NoError(t, target.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := target.Read(make([]byte, 10))
		return err == nil
	}
	f.Advance(tick)
	c.look()
	require.True(t, reached())
	f.Advance(5 * time.Second)
	require.False(t, reached(), "read before the first look")
	c.look()
	require.False(t, reached(), "read after the first look")
	c.merge(catalog.Evacuations, catalog.Batch{Since: 5, Revision: 7, Objects: []catalog.Object{{Name: "b", Revision: 7}}}, c.node.now(), "store")
	f.Advance(resumeSpan)
	c.look()
	require.False(t, reached(), "evacuated")
}
