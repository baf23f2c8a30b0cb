package node

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// Guards against a metric without documentation and documentation of a metric
// that is gone.
func TestPageListsEveryMetric(t *testing.T) {
	m := newMetrics()
	m.countUnwritten(func() uint64 { return 0 })
	descriptions := make(chan *prometheus.Desc, 1000)
	m.registry.Describe(descriptions)
	close(descriptions)
	pattern := regexp.MustCompile(`fqName: "([a-z_]+)".*variableLabels: \{([a-z_,]*)\}`)
	registered := map[string]string{}
	for d := range descriptions {
		match := pattern.FindStringSubmatch(d.String())
		require.NotNil(t, match, d.String())
		registered[match[1]] = match[2]
	}
	page, err := os.ReadFile("../../docs/METRICS-node.md")
	require.NoError(t, err)
	documented := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(oriolevalve_[a-z_]+)` \\| [a-z]+ \\| ([a-z_,]*) ?\\| .+ \\| .+ \\|$").FindAllSubmatch(page, -1) {
		documented[string(row[1])] = string(row[2])
	}
	require.Equal(t, registered, documented)
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
