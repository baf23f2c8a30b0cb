// Package metrics holds the metrics of a host and its HTTP endpoints. No label
// grows with flows, callers, services or targets. docs/METRICS.md describes
// each metric.
package metrics

import (
	"sync/atomic"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/platform"
	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "oriolevalve"

// PlaneRequest is the plane of gRPC requests.
const PlaneRequest = "request"

// The places where a host holds exception records.
const (
	RecordsOwned  = "owned"
	RecordsBackup = "backup"
)

// other stands for label values that are not in the fixed list of a label, so
// that no peer can make a label grow.
const other = "other"

var (
	planes = []string{PlaneRequest}
	places = []string{RecordsOwned, RecordsBackup}
	states = []string{"alive", "suspect", "leaving", "dead"}
	calls  = []string{
		platform.CallGet, platform.CallCreate, platform.CallUpdate, platform.CallDelete, platform.CallWatch, platform.CallHostList,
	}
	reasons = []target.Reason{
		target.ReasonNone, target.ReasonPermitExpired, target.ReasonNoTarget, target.ReasonTargetDown,
		target.ReasonQueueFull, target.ReasonDeadline, target.ReasonShed, target.ReasonCallerRate,
		target.ReasonHostLimit, target.ReasonStopping, target.ReasonNotOwner, target.ReasonOwnerUnreachable,
		target.ReasonRepeatUnknown, target.ReasonTakeover, target.ReasonAttemptLost, target.ReasonCallerGone,
		target.ReasonUnknownService, target.ReasonTooLarge, target.ReasonConnectionLimit,
		target.ReasonPlacementRefused,
	}
	outcomes = []target.Outcome{target.OutcomeUnknown, target.OutcomeAnswered, target.OutcomeNotRun}
)

// result names a request's counter. The counters are made beforehand, so that
// the path of a request takes no lock and builds no label.
type result struct {
	outcome target.Outcome
	reason  target.Reason
}

// Host holds the metrics of one host. Its methods are safe for concurrent use.
type Host struct {
	clock clock.Clock

	flowsOpen        map[string]prometheus.Gauge
	flowsNew         map[string]prometheus.Counter
	requests         map[result]prometheus.Counter
	otherRequests    map[target.Outcome]prometheus.Counter
	durations        map[target.Outcome]prometheus.Observer
	inFlight         prometheus.Gauge
	relayedRequests  prometheus.Counter
	exceptions       map[string]prometheus.Gauge
	drainsStarted    prometheus.Counter
	drainsFinished   prometheus.Counter
	targetsOwned     prometheus.Gauge
	targetsEjected   prometheus.Gauge
	revision         prometheus.Gauge
	peers            map[string]prometheus.Gauge
	platformErrors   map[string]prometheus.Counter
	bytesSent        prometheus.Counter
	bytesReceived    prometheus.Counter
	permit           prometheus.Gauge
	undecodable      prometheus.Gauge
	undecodableTotal prometheus.Counter
	logLinesDropped  prometheus.Counter

	// adopted is the Unix time in nanoseconds of the last adoption; zero before
	// the first.
	adopted atomic.Int64
}

// builder registers metrics and keeps the first error.
type builder struct {
	registry prometheus.Registerer
	err      error
}

func (b *builder) register(c prometheus.Collector) {
	if err := b.registry.Register(c); err != nil && b.err == nil {
		b.err = errors.Wrap(err, "registering a metric")
	}
}

func (b *builder) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	b.register(g)
	return g
}

func (b *builder) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	b.register(c)
	return c
}

func (b *builder) gauges(name, help, label string, values []string) map[string]prometheus.Gauge {
	vector := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
	b.register(vector)
	list := map[string]prometheus.Gauge{}
	for _, value := range values {
		list[value] = vector.WithLabelValues(value)
	}
	return list
}

func (b *builder) counters(name, help, label string, values []string) map[string]prometheus.Counter {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
	b.register(vector)
	list := map[string]prometheus.Counter{}
	for _, value := range append([]string{other}, values...) {
		list[value] = vector.WithLabelValues(value)
	}
	return list
}

// New registers the metrics of a host, and the collectors of other packages,
// such as platform.Calls.
func New(registry prometheus.Registerer, c clock.Clock, collectors ...prometheus.Collector) (*Host, error) {
	b := &builder{registry: registry}
	for _, collector := range collectors {
		b.register(collector)
	}
	h := &Host{
		clock:            c,
		flowsOpen:        b.gauges("flows_open", "Flows that the host tracks.", "plane", planes),
		flowsNew:         b.counters("flows_new_total", "Flows that began at the host: their first message was answered.", "plane", planes),
		inFlight:         b.gauge("requests_in_progress", "Requests of callers that the host handles now."),
		relayedRequests:  b.counter("relayed_requests_total", "Requests sent to another host."),
		exceptions:       b.gauges("exception_records", "Records of flows at another target than their table target.", "place", places),
		drainsStarted:    b.counter("drains_started_total", "Drains of owned targets that began, or that the host took over."),
		drainsFinished:   b.counter("drains_finished_total", "Drains of owned targets that ended with no open session."),
		targetsOwned:     b.gauge("targets_owned", "Targets that the host owns."),
		targetsEjected:   b.gauge("targets_ejected", "Owned targets that get no new session because of their health."),
		revision:         b.gauge("configuration_revision", "Configuration revision in force."),
		peers:            b.gauges("peers", "Other hosts by the state that this host sees.", "state", states),
		platformErrors:   b.counters("platform_errors_total", "Calls to the platform that failed.", "call", calls),
		permit:           b.gauge("permit_valid", "1 while the host may serve new flows."),
		undecodable:      b.gauge("undecodable_object", "1 while the newest revision of the configuration does not decode."),
		undecodableTotal: b.counter("undecodable_objects_total", "Configuration objects that did not decode."),
		logLinesDropped:  b.counter("log_lines_dropped_total", "Log lines left out because their event repeated too often."),
	}
	h.buildRequests(b)
	bytes := b.counters("control_bytes_total", "Bytes of messages between hosts, without relayed requests.", "direction", []string{"sent", "received"})
	h.bytesSent, h.bytesReceived = bytes["sent"], bytes["received"]
	b.register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "configuration_revision_age_seconds", Help: "Time since the revision came into force.",
	}, h.revisionAge))
	return h, b.err
}

func (h *Host) buildRequests(b *builder) {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "requests_total", Help: "Requests of callers by what is known about their execution.",
	}, []string{"outcome", "reason"})
	b.register(requests)
	durations := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_duration_seconds", Help: "Time from the arrival of a request to its result.",
		// 0.5 ms to 33 s: from one hop to the longest request.
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17),
	}, []string{"outcome"})
	b.register(durations)
	h.requests = map[result]prometheus.Counter{}
	h.otherRequests = map[target.Outcome]prometheus.Counter{}
	h.durations = map[target.Outcome]prometheus.Observer{}
	for _, outcome := range outcomes {
		h.otherRequests[outcome] = requests.WithLabelValues(outcome.String(), other)
		h.durations[outcome] = durations.WithLabelValues(outcome.String())
		for _, reason := range reasons {
			h.requests[result{outcome, reason}] = requests.WithLabelValues(outcome.String(), string(reason))
		}
	}
}

// RequestDone counts a request. It implements caller.Observer.
func (h *Host) RequestDone(outcome target.Outcome, reason target.Reason, duration time.Duration) {
	if _, known := h.durations[outcome]; !known {
		outcome = target.OutcomeUnknown
	}
	counter := h.requests[result{outcome, reason}]
	if counter == nil {
		counter = h.otherRequests[outcome]
	}
	counter.Inc()
	h.durations[outcome].Observe(duration.Seconds())
}

// SetRequestsInProgress sets the number of requests that the host handles.
func (h *Host) SetRequestsInProgress(n int) { h.inFlight.Set(float64(n)) }

// SetFlowsOpen sets the number of flows of a plane.
func (h *Host) SetFlowsOpen(plane string, n int) { set(h.flowsOpen, plane, n) }

// AddFlowsNew counts flows that began on a plane.
func (h *Host) AddFlowsNew(plane string, n int) { add(h.flowsNew, plane, n) }

// AddRelayedRequests counts requests sent to another host.
func (h *Host) AddRelayedRequests(n int) { h.relayedRequests.Add(float64(n)) }

// SetExceptionRecords sets the number of records at a place.
func (h *Host) SetExceptionRecords(place string, n int) { set(h.exceptions, place, n) }

// DrainStarted counts a drain of an owned target that began.
func (h *Host) DrainStarted() { h.drainsStarted.Inc() }

// DrainFinished counts a drain of an owned target that ended with no session.
func (h *Host) DrainFinished() { h.drainsFinished.Inc() }

// SetTargets sets the numbers of owned targets and of ejected ones among them.
func (h *Host) SetTargets(owned, ejected int) {
	h.targetsOwned.Set(float64(owned))
	h.targetsEjected.Set(float64(ejected))
}

// RevisionAdopted sets the revision in force and starts its age.
func (h *Host) RevisionAdopted(revision uint64) {
	h.revision.Set(float64(revision))
	h.adopted.Store(h.clock.Now().UnixNano())
}

func (h *Host) revisionAge() float64 {
	adopted := h.adopted.Load()
	if adopted == 0 {
		return 0
	}
	return time.Duration(h.clock.Now().UnixNano() - adopted).Seconds()
}

// SetPeers sets the number of other hosts in each state. States that are not
// in the map get 0.
func (h *Host) SetPeers(counts map[string]int) {
	for state, gauge := range h.peers {
		gauge.Set(float64(counts[state]))
	}
}

// PlatformFailed counts a failed call by its name in package platform, which
// counts all calls itself.
func (h *Host) PlatformFailed(call string) { add(h.platformErrors, call, 1) }

// AddControlBytes counts bytes of control messages. It implements
// peer.ByteCounter.
func (h *Host) AddControlBytes(sent, received int) {
	h.bytesSent.Add(float64(sent))
	h.bytesReceived.Add(float64(received))
}

// SetPermit says whether the host may serve new flows.
func (h *Host) SetPermit(valid bool) { setFlag(h.permit, valid) }

// ObjectUndecodable raises the alarm for a configuration object.
func (h *Host) ObjectUndecodable() {
	h.undecodableTotal.Inc()
	setFlag(h.undecodable, true)
}

// ObjectsDecodable ends the alarm.
func (h *Host) ObjectsDecodable() { setFlag(h.undecodable, false) }

// LogLineDropped counts a log line that the rate limit left out.
func (h *Host) LogLineDropped() { h.logLinesDropped.Inc() }

func setFlag(g prometheus.Gauge, on bool) {
	if on {
		g.Set(1)
	} else {
		g.Set(0)
	}
}

func set(gauges map[string]prometheus.Gauge, value string, n int) {
	if g, ok := gauges[value]; ok {
		g.Set(float64(n))
	}
}

func add(counters map[string]prometheus.Counter, value string, n int) {
	c, ok := counters[value]
	if !ok {
		c = counters[other]
	}
	c.Add(float64(n))
}
