package node

import (
	"slices"
	"testing"

	"oriolevalve/internal/golden"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
)

// Guards against a metric without documentation and documentation of a metric
// that is gone.
func TestPageListsEveryMetric(t *testing.T) {
	m := newMetrics()
	m.countUnwritten(func() uint64 { return 0 })
	golden.RequireMetricsPage(t, m.registry, "../../docs/METRICS-node.md", 2)
}

// Guards against a reason without a log line, which an engineer would miss. An
// open flow and a copy of its opening are no decisions of their own, and a
// malformed packet has a line elsewhere.
func TestEveryDecisionIsLogged(t *testing.T) {
	events := map[string]bool{}
	for _, event := range logs.Events() {
		events[event] = true
	}
	quiet := []packet.Reason{packet.ReasonOpen, packet.ReasonCopy, packet.ReasonMalformed}
	for _, reason := range packet.Reasons() {
		event, logged := decisionEvents[reason]
		require.Equal(t, !slices.Contains(quiet, reason), logged, reason)
		require.Equal(t, logged, events[event], reason)
	}
}
