package node

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readyTimeout bounds a question of the fabric, which asks twice a second.
const readyTimeout = 2 * time.Second

// answerFabric answers whether the host takes packets, whatever the path.
func (n *Node) answerFabric(l net.Listener) error {
	return serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// serveReports serves the metrics, and the host's status at StatusPath.
func (n *Node) serveReports(l net.Listener, c *control) error {
	mux := http.NewServeMux()
	mux.Handle("/", n.metrics.handler())
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, r *http.Request) { n.answerStatus(w, r, c) })
	return serve(l, mux)
}

func serve(l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: time.Minute}
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "serving HTTP")
	}
	return nil
}
