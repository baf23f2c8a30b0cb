package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func playNamed(t *testing.T, pattern, placement string, hosts, targets int) loadRow {
	for _, p := range loadPatterns() {
		if p.name == pattern {
			return playLoad(p, placement, hosts, targets, 3)
		}
	}
	t.Fatalf("no pattern %s", pattern)
	return loadRow{}
}

// Guards against a model that depends on anything but its seed or loses requests.
func TestLoadRepeats(t *testing.T) {
	one := playNamed(t, "release", "packet_plane", 8, 18)
	require.Equal(t, one, playNamed(t, "release", "packet_plane", 8, 18))
	require.InDelta(t, 1, one.InAim+one.Late+one.Failed, 1e-9)
}

// Guards against a placement of packet hosts that serves callers worse than drawing a
// target: a third of the targets slow, a quarter silent, a crowd, targets replaced.
func TestPacketHostsServeBetterThanChance(t *testing.T) {
	for _, pattern := range []string{"crowd", "release", "slow_third", "dead_quarter"} {
		for _, size := range []struct{ hosts, targets int }{{8, 18}, {30, 48}} {
			ours := playNamed(t, pattern, "packet_plane", size.hosts, size.targets)
			chance := playNamed(t, pattern, "random", size.hosts, size.targets)
			require.Greater(t, ours.InAim, chance.InAim, "%s, %d hosts", pattern, size.hosts)
			require.Less(t, ours.P99, chance.P99, "%s, %d hosts", pattern, size.hosts)
		}
	}
}

// Guards against hosts of a large fleet that all send their next flow to a target which
// has just started, because none of them has a flow there: during a release at 91 hosts
// targets shed 0.9% of the requests, of which chance sheds 0.07%.
func TestNewTargetsAreNotCrowded(t *testing.T) {
	r := playNamed(t, "release", "packet_plane", 91, 150)
	require.Less(t, r.Shed, 0.002)
}

// Guards against speeds of targets that hosts do not learn together: at 88 hosts no host sees enough
// of one target. Both
// the median and the tail are then those of targets drawn at random.
func TestHostsLearnSpeedsTogether(t *testing.T) {
	before := playNamed(t, "uneven", placementPlane, 88, 120)
	shared := playNamed(t, "uneven", placementShared, 88, 120)
	require.Less(t, shared.P50, 0.9*before.P50)
	require.Less(t, shared.P99, 0.85*before.P99)
	require.Less(t, shared.Late, before.Late)
}

// Guards against requests that are neither answered nor failed, as those that waited at a
// target when it fell silent were: the shares would be of fewer requests than arrived.
func TestEveryRequestIsCounted(t *testing.T) {
	for _, name := range []string{"packet_plane", "random"} {
		m := newLoadModel(8, 18, 0.9, 3)
		m.at(loadChange, func() { m.each(4, m.kill) })
		m.run(newPlacement(name, m, 3), loadLength)
		require.Equal(t, m.clients, m.result.inAim+m.result.late+m.result.failed, name)
	}
}
