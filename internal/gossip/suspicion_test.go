package gossip_test

import (
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/gossip"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Guards against suspicions that are told without end, or that take the room of what a host may
// spend on control, and against ages that do not grow on the way: hosts would believe old news.
func TestSuspectsSpread(t *testing.T) {
	for hosts, perMessage := range map[int]int{88: 8, 1100: 3} {
		var sender, receiver gossip.SuspectedTargets
		require.Equal(t, hosts < 500, sender.Urgent(hosts))
		for target := range uint64(9) {
			require.True(t, sender.Add(0xfedcba9876543210+target, 0, 0))
			require.False(t, sender.Add(0xfedcba9876543210+target, 100*time.Millisecond, 0), "hardly later")
		}
		told := map[uint64]int{}
		for round := range 20 {
			now := time.Duration(round) * 50 * time.Millisecond
			with := gossip.Message{Suspects: sender.Next(now, hosts)}
			require.LessOrEqual(t, len(with.Suspects), perMessage)
			data, err := with.Encode()
			require.NoError(t, err)
			bare, err := (&gossip.Message{}).Encode()
			require.NoError(t, err)
			require.LessOrEqual(t, len(data)-len(bare), 3+16*len(with.Suspects))
			got, err := gossip.DecodeMessage(data)
			require.NoError(t, err)
			for _, s := range got.Suspects {
				require.Equal(t, now.Milliseconds(), s.Age)
				receiver.Add(s.Target, now-time.Duration(s.Age)*time.Millisecond, now)
				told[s.Target]++
			}
		}
		require.Len(t, told, 9)
		for _, count := range told {
			require.Equal(t, 3, count)
		}
		require.NotEmpty(t, receiver.Next(2*time.Second, hosts))
		require.Empty(t, receiver.Next(2100*time.Millisecond, hosts))
		require.False(t, receiver.Add(77, 0, 2100*time.Millisecond), "too old")
	}
}

// Guards against a host that passes on what it knows to be wrong, because the target answered it
// later, and that ignores a later finding.
func TestSuspectIsCleared(t *testing.T) {
	var s gossip.SuspectedTargets
	require.True(t, s.Add(7, time.Second, time.Second))
	s.Clear(7, 1100*time.Millisecond)
	require.Empty(t, s.Next(1200*time.Millisecond, 88))
	require.False(t, s.Add(7, 1050*time.Millisecond, 1200*time.Millisecond))
	require.True(t, s.Add(7, 1300*time.Millisecond, 1400*time.Millisecond))
	require.Len(t, s.Next(1400*time.Millisecond, 88), 1)
}

// Guards against odd suspicions in a message that are believed, or that refuse the rest of it, and
// against more than a host remembers.
func TestSuspectsAreChecked(t *testing.T) {
	source := netip.MustParseAddr("127.0.0.1")
	good := gossip.SuspectedTarget{Target: 7, Age: 2000}
	m := gossip.Message{From: gossip.Host{Address: source.String()}, Suspects: []gossip.SuspectedTarget{
		good, {Target: 7, Age: -1}, {Target: 7, Age: 1 << 62}, {Age: 5}, {Target: 7, Age: 2001},
	}}
	require.NoError(t, m.Check(source))
	require.Equal(t, []gossip.SuspectedTarget{good}, m.Suspects)
	m.Suspects = make([]gossip.SuspectedTarget, 100)
	for i := range m.Suspects {
		m.Suspects[i] = good
	}
	require.NoError(t, m.Check(source))
	require.Len(t, m.Suspects, 32)
	var s gossip.SuspectedTargets
	added := 0
	for target := range uint64(1000) {
		if s.Add(target+1, 0, 0) {
			added++
		}
	}
	require.Equal(t, 512, added)
}

// Guards against hosts of another build that can't read a message: an old one, for which the
// number of the field is unknown, and this one, if a later build names targets otherwise.
func TestSuspectsBesideOtherBuilds(t *testing.T) {
	data, err := (&gossip.Message{From: gossip.Host{ID: "h"}, Suspects: []gossip.SuspectedTarget{{Target: 7, Age: 3}}}).Encode()
	require.NoError(t, err)
	var old struct {
		From gossip.Host `cbor:"1,keyasint"`
	}
	require.NoError(t, cbor.Unmarshal(data, &old))
	require.Equal(t, "h", old.From.ID)
	bare, err := (&gossip.Message{From: gossip.Host{ID: "h"}}).Encode()
	require.NoError(t, err)
	m, err := gossip.DecodeMessage(bare)
	require.NoError(t, err)
	require.Empty(t, m.Suspects)
	later, err := cbor.Marshal(map[int]any{1: map[int]any{1: "h"}, 12: []any{map[int]any{1: 7, 2: 3, 9: "new"}}})
	require.NoError(t, err)
	m, err = gossip.DecodeMessage(later)
	require.NoError(t, err)
	require.Equal(t, []gossip.SuspectedTarget{{Target: 7, Age: 3}}, m.Suspects)
}
