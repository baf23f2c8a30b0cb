package golden

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// RequireMetricsPage compares the metrics of a registry and their labels with
// the rows of a page: name, type, labels, and so many further columns.
func RequireMetricsPage(t *testing.T, registry *prometheus.Registry, page string, further int) {
	t.Helper()
	descriptions := make(chan *prometheus.Desc, 1000)
	registry.Describe(descriptions)
	close(descriptions)
	pattern := regexp.MustCompile(`fqName: "([a-z_]+)".*variableLabels: \{([a-z_,]*)\}`)
	registered := map[string]string{}
	for d := range descriptions {
		match := pattern.FindStringSubmatch(d.String())
		require.NotNil(t, match, d.String())
		registered[match[1]] = match[2]
	}
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	documented := map[string]string{}
	row := regexp.MustCompile("(?m)^\\| `(oriolevalve_[a-z_]+)` \\| [a-z]+ \\| ([a-z_,]*) ?\\|" + strings.Repeat(` .+ \|`, further) + "$")
	for _, match := range row.FindAllSubmatch(text, -1) {
		documented[string(match[1])] = string(match[2])
	}
	require.Equal(t, registered, documented)
}
