package node

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/settings"

	"github.com/stretchr/testify/require"
)

// lineClient reads the key of a target from a line, instead of HTTP.
type lineClient struct{}

func (lineClient) Identify(connection net.Conn, path string) (packet.TargetKey, error) {
	if _, err := connection.Write([]byte(path)); err != nil {
		return 0, err
	}
	key := make([]byte, 1)
	if _, err := connection.Read(key); err != nil {
		return 0, err
	}
	if key[0] == 0 {
		panic("unexpected answer")
	}
	return packet.TargetKey(key[0]), nil
}

func newProbingNode() *Node {
	s := settings.DefaultNode()
	s.HostID, s.DataCentre = "host-1", "a"
	n := New(s, nil, func(catalog.MalformedFunc) Store { return noStore{} }, WithHealthClient(lineClient{}))
	n.started = n.clock.Now()
	return n
}

// answering listens at an address and answers each connection with some bytes; nil leaves it
// open.
func answering(t *testing.T, answer []byte) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			if answer != nil {
				_, _ = connection.Write(answer)
			}
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// unanswering returns an address at which the system drops what opens a connection, since the
// queue of connections is full, as it is behind a cut.
func unanswering(t *testing.T) netip.AddrPort {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, syscall.Close(socket)) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0))
	name, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for {
		connection, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { require.NoError(t, connection.Close()) })
	}
}

// Guards against questions that tell a dead target from a live one wrongly: one that is gone, one
// that does not answer, one whose address another one has, one that hangs, one that breaks off, and
// an answer that the program does not expect. Each gets a reply, so that the next may be asked.
func TestQuestionsToTargets(t *testing.T) {
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	for name, c := range map[string]struct {
		address netip.AddrPort
		outcome packet.QuestionOutcome
	}{
		"itself":     {answering(t, []byte{7}), packet.AnsweredItself},
		"other":      {answering(t, []byte{8}), packet.AnsweredByOther},
		"hangs":      {answering(t, nil), packet.Inconclusive},
		"unexpected": {answering(t, []byte{0}), packet.Inconclusive},
		"gone":       {gone.Addr().(*net.TCPAddr).AddrPort(), packet.ConnectionRefused},
		"dark":       {unanswering(t), packet.NoConnection},
	} {
		t.Run(name, func(t *testing.T) {
			n := newProbingNode()
			go n.pauses.run(t.Context(), n)
			require.Eventually(t, func() bool {
				// A busy machine ends a try late, which is inconclusive.
				n.question(packet.Question{Target: 7, Address: c.address, HealthPath: "/health"})
				replies, _ := n.suspicions.takeUnread()
				require.Len(t, replies, 1)
				return replies[0].Outcome == c.outcome
			}, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against an outcome that waited through a pause of the process, in which the time for a
// connection ran out.
func TestQuestionsThroughAPauseShowNothing(t *testing.T) {
	n := newProbingNode()
	n.pauses.look(n.now())
	n.pauses.look(n.now() + 5*time.Second)
	n.question(packet.Question{Target: 8, Address: answering(t, []byte{7}), HealthPath: "/health"})
	replies, _ := n.suspicions.takeUnread()
	require.Len(t, replies, 1)
	require.Equal(t, packet.Inconclusive, replies[0].Outcome)
}

// Guards against suspicions that another host tells of and that get lost on their way to the plane
// and to others, and against hosts that believe them though their settings do not call for it.
func TestSuspicionsPassThroughAHost(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		n := newProbingNode()
		c := newTestControl(t, n.clock)
		c.settings.SharedSuspicions = enabled
		c.hearSuspects(&gossip.Message{Suspects: []gossip.SuspectedTarget{{Target: 7, Age: 100}}}, 5*time.Second)
		_, heard := c.node.suspicions.takeUnread()
		if !enabled {
			require.Empty(t, heard)
			continue
		}
		require.Equal(t, []packet.TargetNews{{Target: 7, At: 4900 * time.Millisecond}}, heard)
		require.Equal(t, []gossip.SuspectedTarget{{Target: 7, Age: 200}}, c.suspects.Next(5100*time.Millisecond, 88))
		require.True(t, c.tellSuspects(5100*time.Millisecond), "others wait for it")
		require.False(t, c.tellSuspects(5100*time.Millisecond))
		// The target answers this host, which tells of it no more, but of another one at once.
		c.node.suspicions.putTold([]packet.TargetNews{{Target: 7, At: 5050 * time.Millisecond, Lives: true}})
		require.False(t, c.tellSuspects(5100*time.Millisecond))
		c.node.suspicions.putTold([]packet.TargetNews{{Target: 9, At: 5050 * time.Millisecond}})
		require.True(t, c.tellSuspects(5100*time.Millisecond))
		require.Equal(t, []gossip.SuspectedTarget{{Target: 9, Age: 50}}, c.suspects.Next(5100*time.Millisecond, 88))
	}
}

// Guards against a host that asks although its settings or its configuration do not call for it.
func TestHealthPaths(t *testing.T) {
	configuration := &catalog.Configuration{ServiceSpecs: []catalog.ServiceSpec{{Name: "desk", HealthPath: "/health"}, {Name: "photos"}}}
	c := newTestControl(t, newProbingNode().clock)
	c.settings.SharedSuspicions = true
	require.Empty(t, c.healthPaths(configuration), "no client for health")
	c.node.health = lineClient{}
	require.Equal(t, map[string]string{"desk": "/health"}, c.healthPaths(configuration))
	c.settings.SharedSuspicions = false
	require.Empty(t, c.healthPaths(configuration))
}
