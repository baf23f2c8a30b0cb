// Package httptransport makes the HTTP/1.1 transport of the clients of stores. It stands apart from
// them, so that a packet host does not start with the code of the request plane.
package httptransport

import (
	"net"
	"net/http"
	"time"
)

// dialTimeout limits the connection within a call.
const dialTimeout = time.Second

// New returns the default transport. It uses no proxy, and HTTP/1.1 only: with HTTP/2 all
// calls share one connection, and the end of a call does not replace it when it has gone
// silent.
func New() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     90 * time.Second,
	}
}
