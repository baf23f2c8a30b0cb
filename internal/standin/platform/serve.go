package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds a caller that sends no header.
const readHeaderTimeout = 10 * time.Second

// Serve serves the API on a listener until the context ends. Waiting calls end
// with it.
func (s *Store) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the platform stand-in")
	}
	return nil
}
