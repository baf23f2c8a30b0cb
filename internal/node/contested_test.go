package node

import (
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
)

// Guards against contested flows that a host never hears of because it was paused, cut off or not
// started when others told of them.
func TestContestedFlowsAreToldToHostsThatAsk(t *testing.T) {
	const flows = 60
	f := clock.NewFake(time.Unix(1000, 0))
	c := newTestControl(t, f)
	peer, err := listenUDP(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), c.port).String())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, peer.Close()) })
	for port := range uint16(flows) {
		client := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)
		c.contested.Add(packet.ContestedFlow{Flow: packet.Flow{Client: client, Service: client}, Target: 7, Sequence: 2}, true, 0)
	}
	// told returns the number of flows that the host tells in answer to a message.
	told := func(starts, asks bool) int {
		m := &gossip.Message{From: gossip.Host{ID: "host-2", DataCentre: "a", Address: "127.0.0.2"}, WantsContested: asks}
		m.States[catalog.Targets] = c.catalog.State(catalog.Targets, c.node.now())
		m.States[catalog.Targets].Valid = !starts
		c.hear(m, c.node.now())
		clients := map[netip.AddrPort]bool{}
		buffer := make([]byte, 64<<10)
		for {
			require.NoError(t, peer.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
			length, err := peer.Read(buffer)
			if err != nil {
				return len(clients)
			}
			answer, err := gossip.DecodeMessage(buffer[:length])
			require.NoError(t, err)
			for _, told := range answer.Contested {
				clients[told.Client] = true
			}
		}
	}
	f.Advance(tick)
	c.look()
	require.Zero(t, told(false, false))
	require.Equal(t, flows, told(false, true))
	require.Zero(t, told(false, true), "told a moment ago")
	for range 11 {
		f.Advance(tick)
		c.look()
	}
	require.Equal(t, flows, told(true, false))

	require.Positive(t, c.wantsContested, "all live hosts have just come")
	for now := c.wantsContested; c.node.now() <= now; {
		f.Advance(tick)
		c.look()
	}
	f.Advance(pauseLimit + tick)
	c.look()
	require.Greater(t, c.wantsContested, c.node.now(), "after a pause this host asks")
}
