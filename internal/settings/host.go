// Package settings reads the JSON settings of a host. Decoding is strict, and
// all problems are reported at once with their path and the allowed range.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"oriolevalve/internal/duration"

	"github.com/cockroachdb/errors"
)

// Host holds the settings of `oriolevalve run`.
type Host struct {
	HostID     string `json:"host_id"`
	DataCentre string `json:"data_centre"`
	Listen     Listen `json:"listen"`
	// Advertise holds the addresses that other hosts and operators use. An
	// empty one is the address of Listen.
	Advertise Advertise `json:"advertise"`
	// Seeds are peer addresses that a starting host asks first.
	Seeds []string `json:"seeds"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `json:"platform_url"`
	// PlatformPoll is the mean interval at which the host reads the head itself.
	PlatformPoll duration.Duration `json:"platform_poll"`
	// DrainTimeout limits how long a stopping host waits for requests in progress.
	DrainTimeout duration.Duration `json:"drain_timeout"`
	PeerTLS      TLS               `json:"peer_tls"`
	OperatorTLS  TLS               `json:"operator_tls"`
	Limits       Limits            `json:"limits"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
}

// Listen holds the addresses that a host opens.
type Listen struct {
	// Callers are the gRPC listeners for callers.
	Callers  []string `json:"callers"`
	Peer     string   `json:"peer"`
	Operator string   `json:"operator"`
	Metrics  string   `json:"metrics"`
}

// Advertise holds the addresses under which others reach a host.
type Advertise struct {
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// Limits bound the work of one host.
type Limits struct {
	// InFlight is the number of requests that the host handles at once.
	InFlight int `json:"in_flight"`
	// MessageSize is the size in bytes of the largest request or answer body.
	MessageSize int `json:"message_size"`
	// CallerRate is the number of new flows a second that one caller may open
	// at this host in a service whose policy sets no rate. Zero means no limit.
	CallerRate float64 `json:"caller_rate"`
	// Callers is the number of callers whose rate is tracked separately.
	Callers int `json:"callers"`
}

// DefaultHost returns the values of settings that a document leaves out.
func DefaultHost() Host {
	return Host{
		PlatformPoll: duration.Duration(30 * time.Second),
		DrainTimeout: duration.Duration(30 * time.Second),
		Limits:       Limits{InFlight: 4096, MessageSize: 4 << 20, Callers: 10_000},
		LogLevel:     "info",
	}
}

// LoadHost reads the settings of a host from a file. The error is Problems if
// the content is at fault.
func LoadHost(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, errors.Wrap(err, "reading the settings")
	}
	return ParseHost(data, os.LookupEnv)
}

// ParseHost decodes and validates the settings of a host. The lookup resolves
// environment variables; it is os.LookupEnv outside tests.
func ParseHost(data []byte, lookup func(string) (string, bool)) (Host, error) {
	h := DefaultHost()
	problems := Decode(data, &h)
	problems = append(problems, h.validate(lookup)...)
	if len(problems) > 0 {
		return Host{}, firstPerPath(problems)
	}
	if h.Advertise.Peer == "" {
		h.Advertise.Peer = h.Listen.Peer
	}
	if h.Advertise.Operator == "" {
		h.Advertise.Operator = h.Listen.Operator
	}
	return h, nil
}

// firstPerPath drops the later problems of a path: a field that did not decode
// keeps its default, whose range says nothing about the document.
func firstPerPath(problems Problems) Problems {
	seen := map[string]bool{}
	var list Problems
	for _, p := range problems {
		if p.Path == "" || !seen[p.Path] {
			list = append(list, p)
		}
		seen[p.Path] = true
	}
	return list
}

// nameLimit is the greatest length of a name, in bytes.
const nameLimit = 63

// validName reports whether a name keeps nameRule.
func validName(name string) bool {
	if len(name) == 0 || len(name) > nameLimit || !letterOrDigit(name[0]) || !letterOrDigit(name[len(name)-1]) {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !letterOrDigit(c) && c != '.' && c != '-' {
			return false
		}
	}
	return true
}

func letterOrDigit(c byte) bool { return 'a' <= c && c <= 'z' || '0' <= c && c <= '9' }

const nameRule = "must be 1 to 63 characters of a-z, 0-9, '.' and '-', with a letter or digit at both ends"

func (h *Host) validate(lookup func(string) (string, bool)) Problems {
	var p Problems
	if !validName(h.HostID) {
		p.add("host_id", "%s", nameRule)
	}
	if !validName(h.DataCentre) {
		p.add("data_centre", "%s", nameRule)
	}
	h.validateAddresses(&p)
	if u, err := url.Parse(h.PlatformURL); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		p.add("platform_url", "must be an http or https URL with a host")
	} else if u.User != nil {
		p.add("platform_url", "must not contain a user name or password")
	}
	checkDuration(&p, "platform_poll", h.PlatformPoll, time.Second, 10*time.Minute)
	checkDuration(&p, "drain_timeout", h.DrainTimeout, time.Second, 10*time.Minute)
	h.PeerTLS.validate(&p, "peer_tls", h.Listen.Peer, lookup)
	h.OperatorTLS.validate(&p, "operator_tls", h.Listen.Operator, lookup)
	checkInt(&p, "limits.in_flight", h.Limits.InFlight, 1, 1_000_000)
	checkInt(&p, "limits.message_size", h.Limits.MessageSize, 1024, 64<<20)
	checkInt(&p, "limits.callers", h.Limits.Callers, 1, 1_000_000)
	// The negated form also refuses NaN.
	if !(h.Limits.CallerRate >= 0 && h.Limits.CallerRate <= 1e6) {
		p.add("limits.caller_rate", "%g is outside 0 to 1000000 (0 means no limit)", h.Limits.CallerRate)
	}
	checkLogLevel(&p, h.LogLevel)
	return p
}

func (h *Host) validateAddresses(p *Problems) {
	if len(h.Listen.Callers) == 0 {
		p.add("listen.callers", "must name at least one address")
	}
	used := map[string]string{}
	check := func(path, address string) netip.AddrPort {
		parsed := checkAddress(p, path, address)
		if other, taken := used[address]; taken && parsed.IsValid() {
			p.add(path, "%s is already used by %s", address, other)
		}
		used[address] = path
		return parsed
	}
	for i, address := range h.Listen.Callers {
		check(index("listen.callers", i), address)
	}
	peer := check("listen.peer", h.Listen.Peer)
	operator := check("listen.operator", h.Listen.Operator)
	check("listen.metrics", h.Listen.Metrics)
	checkAdvertised(p, "peer", h.Advertise.Peer, peer)
	checkAdvertised(p, "operator", h.Advertise.Operator, operator)
	for i, seed := range h.Seeds {
		if a := checkAddress(p, index("seeds", i), seed); a.IsValid() && a.Addr().IsUnspecified() {
			p.add(index("seeds", i), "%s is not an address that a host can be reached at", seed)
		}
	}
}

// checkAdvertised requires an address for a listener on all interfaces,
// because 0.0.0.0 reaches no host.
func checkAdvertised(p *Problems, name, advertised string, listen netip.AddrPort) {
	path := "advertise." + name
	if advertised == "" {
		if listen.IsValid() && listen.Addr().IsUnspecified() {
			p.add(path, "is required because listen.%s is on all interfaces", name)
		}
		return
	}
	if a := checkAddress(p, path, advertised); a.IsValid() && a.Addr().IsUnspecified() {
		p.add(path, "%s is not an address that a host can be reached at", advertised)
	}
}

func checkAddress(p *Problems, path, address string) netip.AddrPort {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		p.add(path, "%q is not an IP address with a port from 1 to 65535, such as \"127.0.0.1:7101\"", address)
		return netip.AddrPort{}
	}
	return parsed
}

func checkDuration(p *Problems, path string, value duration.Duration, least, most time.Duration) {
	if value.Std() < least || value.Std() > most {
		p.add(path, "%s is outside %s to %s", value, least, most)
	}
}

func checkLogLevel(p *Problems, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		p.add("log_level", "%q is not one of debug, info, warn, error", level)
	}
}

func checkInt(p *Problems, path string, value, least, most int) {
	if value < least || value > most {
		p.add(path, "%d is outside %d to %d", value, least, most)
	}
}
