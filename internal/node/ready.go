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

func (n *Node) serveMetrics(l net.Listener) error { return serve(l, n.metrics.handler()) }

func serve(l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: time.Minute}
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "serving HTTP")
	}
	return nil
}
