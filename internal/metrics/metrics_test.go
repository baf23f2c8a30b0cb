package metrics_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/golden"
	"oriolevalve/internal/metrics"
	"oriolevalve/internal/platform"
	"oriolevalve/internal/target"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// Guards against a metric without documentation and documentation of a metric
// that is gone.
func TestPageListsEveryMetric(t *testing.T) {
	registry := prometheus.NewRegistry()
	_, err := metrics.New(registry, clock.System{}, &platform.Calls{})
	require.NoError(t, err)
	golden.RequireMetricsPage(t, registry, "../../docs/METRICS.md", 3)
}

// Guards against label values from outside that make a label grow, and against
// lost counts.
func TestLabelsStayBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	fake := clock.NewFake(time.Unix(1000, 0))
	h, err := metrics.New(registry, fake)
	require.NoError(t, err)
	before := series(t, registry)
	h.RequestDone(target.OutcomeNotRun, target.ReasonShed, time.Second)
	h.RequestDone(target.OutcomeNotRun, "made up", time.Second)
	h.RequestDone(99, "made up", time.Second)
	h.AddFlowsNew("made up", 3)
	h.SetPeers(map[string]int{"alive": 7, "made up": 1})
	h.PlatformFailed("made up")
	h.RevisionAdopted(12)
	fake.Advance(90 * time.Second)
	after := series(t, registry)
	require.Len(t, after, len(before))
	require.Equal(t, "1", after[`oriolevalve_requests_total{outcome="not_run",reason="shed"}`])
	require.Equal(t, "1", after[`oriolevalve_requests_total{outcome="not_run",reason="other"}`])
	require.Equal(t, "1", after[`oriolevalve_requests_total{outcome="unknown",reason="other"}`])
	require.Equal(t, "3", after[`oriolevalve_flows_new_total{plane="other"}`])
	require.Equal(t, "7", after[`oriolevalve_peers{state="alive"}`])
	require.Equal(t, "90", after[`oriolevalve_configuration_revision_age_seconds`])
}

func series(t *testing.T, registry *prometheus.Registry) map[string]string {
	recorder := httptest.NewRecorder()
	metrics.Handler(registry, nil, nil).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	list := map[string]string{}
	for _, line := range regexp.MustCompile(`(?m)^([^# ].*) (\S+)$`).FindAllStringSubmatch(recorder.Body.String(), -1) {
		list[line[1]] = line[2]
	}
	return list
}

// Guards against a host that reports ready while its check fails.
func TestChecks(t *testing.T) {
	handler := metrics.Handler(prometheus.NewRegistry(), func() error { return errors.New("no revision") }, func() error { return nil })
	for path, code := range map[string]int{"/ready": http.StatusServiceUnavailable, "/live": http.StatusOK, "/": http.StatusNotFound} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		require.Equal(t, code, recorder.Code, path)
	}
}

// Guards against a new reason that is counted as "other".
func TestEveryReasonHasACounter(t *testing.T) {
	source, err := os.ReadFile("../target/request.go")
	require.NoError(t, err)
	registry := prometheus.NewRegistry()
	_, err = metrics.New(registry, clock.System{})
	require.NoError(t, err)
	list := series(t, registry)
	reasons := regexp.MustCompile(`Reason += "([a-z_]*)"`).FindAllSubmatch(source, -1)
	require.NotEmpty(t, reasons)
	for _, reason := range reasons {
		require.Contains(t, list, `oriolevalve_requests_total{outcome="not_run",reason="`+string(reason[1])+`"}`)
	}
}
