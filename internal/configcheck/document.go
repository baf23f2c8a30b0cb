// Package configcheck checks a configuration before it is sent.
package configcheck

import (
	"net/netip"
	"time"
)

// Place is where an entry stands in its file.
type Place struct {
	// Path names the entry in the words of the file, such as routes[2].
	Path string
	// Line is counted from 1; zero if it is not known.
	Line int
}

// Document is a configuration as a file holds it.
type Document struct {
	// Version is zero if the file has none.
	Version  Version
	Routes   []Route
	Services []Service
	Limits   []Limit
	// Findings are those of the reader: entries that can't be read.
	Findings []Finding
}

// Version is the number of a configuration.
type Version struct {
	Place
	Number uint64
}

// Route leads the new flows of an address to services.
type Route struct {
	Place
	Name string
	// Address is not valid if the file has none that can be read.
	Address netip.AddrPort
	Shares  []Share
	// Timeout is that of a request, Objective the time in which it should be answered; zero if
	// the file has none.
	Timeout, Objective time.Duration
	// Settings are the values of the entry as written, by name, for differences.
	Settings map[string]string
}

// Share is the weight of a service in a route.
type Share struct {
	Place
	Service string
	Weight  uint32
}

// Service is a set of targets.
type Service struct {
	Place
	Name string
	// WarmUp is the time for which a target that has started is cold, WarmUpRate the number of
	// requests a second that it bears meanwhile.
	WarmUp     time.Duration
	WarmUpRate float64
	Settings   map[string]string
}

// LimitKind says what a limit bounds.
type LimitKind uint8

// The limits that rules compare.
const (
	OtherLimit LimitKind = iota
	// IdleTimeout is the time after which a silent flow may be discarded.
	IdleTimeout
	// HeaderTimeout is the time for the head of a request.
	HeaderTimeout
)

// Limit is a limit of the whole configuration.
type Limit struct {
	Place
	Kind LimitKind
	Name string
	// Duration is set for time-outs.
	Duration time.Duration
	// Text is the value as written.
	Text string
}

// limit returns the limit of a kind.
func (d *Document) limit(kind LimitKind) (Limit, bool) {
	for _, l := range d.Limits {
		if l.Kind == kind {
			return l, true
		}
	}
	return Limit{}, false
}
