package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Check returns nil, or why the host is not ready or not alive.
type Check func() error

// Handler serves /metrics, /ready and /live. The last two answer 200, or 503
// with the reason.
func Handler(gatherer prometheus.Gatherer, ready, live Check) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /ready", checkHandler(ready))
	mux.HandleFunc("GET /live", checkHandler(live))
	return mux
}

func checkHandler(check Check) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
