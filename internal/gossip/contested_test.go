package gossip_test

import (
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/gossip"

	"github.com/stretchr/testify/require"
)

func contested(port uint16, age int64) gossip.ContestedFlow {
	return gossip.ContestedFlow{
		Client:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port),
		Service: netip.MustParseAddrPort("198.18.0.1:443"), Target: 7, Sequence: 3, Age: age,
	}
}

// add notes a flow at a time as one that this host saw.
func add(s *gossip.ContestedFlows, c gossip.ContestedFlow, now time.Duration) bool {
	return s.Add(c.Flow(now), true, now)
}

// Guards against a contested flow that is told without end, or so often that others wait, and
// against ages that do not grow on the way: hosts would believe old news.
func TestContestedFlowsSpread(t *testing.T) {
	const flows = 40
	sender, receiver := gossip.NewContestedFlows(time.Minute), gossip.NewContestedFlows(time.Minute)
	for port := range uint16(flows) {
		require.True(t, add(sender, contested(port, 0), 0))
	}
	require.False(t, add(sender, contested(0, 0), 0), "known")
	seen := map[uint16]bool{}
	for round := range 3 {
		require.Equal(t, round < 2, sender.Urgent())
		now := time.Duration(round) * time.Second
		m := gossip.Message{Contested: sender.Next(now)}
		require.Len(t, m.Contested, 24)
		data, err := m.Encode()
		require.NoError(t, err)
		require.Less(t, len(data), 1000)
		got, err := gossip.DecodeMessage(data)
		require.NoError(t, err)
		require.Equal(t, m.Contested, got.Contested)
		for _, c := range got.Contested {
			require.Equal(t, now.Milliseconds(), c.Age)
			require.Equal(t, !seen[c.Client.Port()], receiver.Add(c.Flow(now), false, now))
			seen[c.Client.Port()] = true
		}
	}
	require.Len(t, seen, flows)
	require.Len(t, receiver.Next(2*time.Second), 24)
	require.False(t, receiver.Urgent(), "others saw the rest, which fits a message")
	// Once nearly all hosts know them, messages are short; hosts that start later hear of all of
	// them as well, until they are old.
	for range 20 {
		sender.Next(4 * time.Second)
	}
	late := map[uint16]bool{}
	for range 2 * flows {
		told := sender.Next(5 * time.Second)
		require.Len(t, told, 1)
		late[told[0].Client.Port()] = true
	}
	require.Len(t, late, flows)
	// A host that leaves tells those again that it saw, and not the others.
	sender.TellOwnAgain()
	require.True(t, sender.Urgent())
	require.Len(t, sender.Next(6*time.Second), 24)
	receiver.TellOwnAgain()
	require.False(t, receiver.Urgent())
	require.NotEmpty(t, receiver.Next(59*time.Second))
	require.Empty(t, receiver.Next(61*time.Second))
	require.False(t, add(receiver, contested(99, 70_000), 61*time.Second))
	// A later flow of the same addresses takes the place of the first.
	later := contested(1, 0)
	later.Sequence = 4_000_000
	require.True(t, add(sender, later, 7*time.Second))
}

// Guards against news of an opening that hide where the flow opened, in whichever order they
// arrive and whatever their ages.
func TestContestedOpenings(t *testing.T) {
	opening, open := contested(1, 50), contested(1, 100)
	opening.Target, opening.Sequence = 0, open.Sequence-1
	for _, first := range []gossip.ContestedFlow{opening, open} {
		s := gossip.NewContestedFlows(time.Minute)
		require.True(t, add(s, first, time.Second))
		require.Equal(t, first == opening, add(s, open, time.Second))
		require.False(t, add(s, opening, time.Second))
		told := s.Next(time.Second)
		require.Len(t, told, 1)
		require.Equal(t, open.Target, told[0].Target)
	}
}

// Guards against an odd flow in a message that is believed, or that hides the others, and
// against more flows than a host remembers: the latest are told, and what is left out is counted.
func TestContestedFlowsAreChecked(t *testing.T) {
	source := netip.MustParseAddr("127.0.0.1")
	check := func(flows ...gossip.ContestedFlow) []gossip.ContestedFlow {
		m := gossip.Message{From: gossip.Host{Address: source.String()}, Contested: flows}
		require.NoError(t, m.Check(source))
		return m.Contested
	}
	good := contested(1, 30_000)
	require.Equal(t, []gossip.ContestedFlow{good}, check(contested(1, -1), good, contested(1, 1<<62), gossip.ContestedFlow{}))
	many := make([]gossip.ContestedFlow, 100)
	for i := range many {
		many[i] = good
	}
	require.Len(t, check(many...), 64)
	s := gossip.NewContestedFlows(time.Minute)
	for port := range uint16(24) {
		require.True(t, add(s, contested(port, 0), 0))
	}
	require.Len(t, s.Next(0), 24)
	for port := range uint16(4096) {
		require.True(t, add(s, contested(1000+port, 0), 0))
	}
	require.Zero(t, s.TakeLeftOut(), "those that were told gave way")
	require.True(t, add(s, contested(9999, 0), 0))
	require.Equal(t, 1, s.TakeLeftOut())
	told := map[uint16]bool{}
	for _, part := range s.All(0) {
		for _, c := range part {
			told[c.Client.Port()] = true
		}
	}
	require.Len(t, told, 4096)
	require.True(t, told[9999] && !told[1000])
}
