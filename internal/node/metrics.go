package node

import (
	"net/http"
	"sync/atomic"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/warmup"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "oriolevalve"

var (
	actionNames  = [...]string{packet.Drop: "drop", packet.Forward: "forward", packet.Refuse: "refuse"}
	outcomeNames = [...]string{catalog.Answered: "answered", catalog.HistoryGone: "history_gone", catalog.Failed: "failed"}
)

// metrics counts what a node does. The counters are made beforehand, so that
// the path of a packet builds no label.
type metrics struct {
	registry      *prometheus.Registry
	decisions     [len(actionNames)][]prometheus.Counter
	calls         [catalog.KindCount][len(outcomeNames)]prometheus.Counter
	ages          [catalog.KindCount]prometheus.Gauge
	flows         prometheus.Gauge
	revisions     [catalog.KindCount]prometheus.Gauge
	leftOut       [catalog.KindCount][catalog.MergeResultCount]prometheus.Counter
	epochs        [catalog.KindCount]prometheus.Gauge
	heldVersion   prometheus.Gauge
	evacuated     prometheus.Gauge
	gossipDropped prometheus.Counter
	// contestedLeftOut counts contested flows that others were not told of.
	contestedLeftOut prometheus.Counter
	linesRepeated    prometheus.Counter
	decisionTime     prometheus.Histogram
	coldTargets      prometheus.Gauge
	claimsHeld       prometheus.Gauge
	claims           [warmup.OperationCount][warmup.OutcomeCount]prometheus.Counter
	unexpected       [partCount]prometheus.Counter
	asked            [packet.QuestionOutcomeCount]prometheus.Counter
	suspectsHeard    prometheus.Counter
	verdicts         prometheus.Counter
	// speedsTold, speedsKnown and speedsUnknown count facts about the speeds of targets, uneven
	// the targets that are faster and slower than others.
	speedsTold, speedsKnown, speedsUnknown prometheus.Counter
	uneven                                 [2]prometheus.Gauge
	// version is the configuration in force.
	version atomic.Uint64
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		flows:    prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "flows", Help: "Flows that the host remembers."}),
		gossipDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gossip_dropped_total", Help: "Messages of hosts dropped because the host was busy.",
		}),
		contestedLeftOut: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "contested_flows_left_out_total", Help: "Contested flows left out of messages for lack of room.",
		}),
	}
	m.linesRepeated = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines left out because their event repeated.",
	})
	m.coldTargets = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "cold_targets", Help: "Targets whose new flows are limited by their warm-up.",
	})
	m.claimsHeld = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "warm_up_claims", Help: "Warm-ups of targets that the host holds.",
	})
	claims := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "warm_up_claim_calls_total", Help: "Calls to the platform's store about warm-ups by operation and outcome.",
	}, []string{"operation", "outcome"})
	for operation := range warmup.OperationCount {
		for outcome := range warmup.OutcomeCount {
			m.claims[operation][outcome] = claims.WithLabelValues(operation.String(), outcome.String())
		}
	}
	m.decisionTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "decision_duration_seconds", Help: "Time of the decision on a new flow.",
		Buckets: prometheus.ExponentialBuckets(1e-6, 4, 8),
	})
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "packets_total", Help: "Packets by action and reason.",
	}, []string{"action", "reason"})
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by collection and outcome.",
	}, []string{"collection", "outcome"})
	ages := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "catalog_age_seconds", Help: "Time since a collection was confirmed to be complete.",
	}, []string{"collection"})
	revisions := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "catalog_revision", Help: "Revision of the store up to which a collection is complete.",
	}, []string{"collection"})
	leftOut := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "answers_left_out_total", Help: "Answers of the store and of hosts that were not merged, by reason.",
	}, []string{"collection", "reason"})
	epochs := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "catalog_epoch", Help: "Times that the store came back from an older copy, as it counts them, of the collection's revision.",
	}, []string{"collection"})
	m.heldVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "held_configuration_version", Help: "Version of the configuration that is held against an older one of the store, or 0.",
	})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuated_data_centres", Help: "Data centres whose targets get no new flows by request.",
	})
	speeds := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "speed_facts_total", Help: "Facts about the speeds of targets that the host told others, and that others told of targets it knows or not.",
	}, []string{"outcome"})
	m.speedsTold, m.speedsKnown, m.speedsUnknown = speeds.WithLabelValues("told"), speeds.WithLabelValues("heard"), speeds.WithLabelValues("unknown_target")
	uneven := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "uneven_targets", Help: "Targets that are faster or slower than others of their service by what hosts learned.",
	}, []string{"speed"})
	m.uneven[0], m.uneven[1] = uneven.WithLabelValues("faster"), uneven.WithLabelValues("slower")
	unexpected := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "unexpected_errors_total", Help: "Errors of sockets and of the program that ended one input only.",
	}, []string{"part"})
	asked := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_questions_total", Help: "Questions to suspected targets by what they showed.",
	}, []string{"outcome"})
	for o := range packet.QuestionOutcomeCount {
		m.asked[o] = asked.WithLabelValues(o.String())
	}
	m.verdicts = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_verdicts_total", Help: "Targets that came to count as dead because a question to them failed.",
	})
	m.suspectsHeard = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_suspicions_heard_total", Help: "Failed questions to targets that other hosts told of.",
	})
	for p, name := range partNames {
		m.unexpected[p] = unexpected.WithLabelValues(name)
	}
	for action, name := range actionNames {
		for _, reason := range packet.Reasons() {
			m.decisions[action] = append(m.decisions[action], decisions.WithLabelValues(name, reason.String()))
		}
	}
	for kind := range catalog.KindCount {
		m.ages[kind] = ages.WithLabelValues(kind.String())
		m.epochs[kind] = epochs.WithLabelValues(kind.String())
		m.revisions[kind] = revisions.WithLabelValues(kind.String())
		for result := range catalog.MergeResultCount {
			if result.LeftOut() {
				m.leftOut[kind][result] = leftOut.WithLabelValues(kind.String(), result.String())
			}
		}
		for outcome, name := range outcomeNames {
			m.calls[kind][outcome] = calls.WithLabelValues(kind.String(), name)
		}
	}
	m.registry.MustRegister(decisions, calls, ages, revisions, epochs, leftOut, m.heldVersion, m.evacuated, m.flows, m.gossipDropped, m.contestedLeftOut, m.linesRepeated, m.decisionTime, unexpected, speeds, uneven, asked, m.verdicts, m.suspectsHeard, m.coldTargets, m.claimsHeld, claims)
	return m
}

func (m *metrics) decided(a packet.Action, r packet.Reason) { m.decisions[a][r].Inc() }

// countUnwritten shows the number of lines that were not written.
func (m *metrics) countUnwritten(count func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_unwritten_total", Help: "Log lines dropped because the log's reader was slow.",
	}, func() float64 { return float64(count()) }))
}

func (m *metrics) called(k catalog.Kind, o catalog.Outcome) { m.calls[k][o].Inc() }

func (m *metrics) aged(c *catalog.Catalog, now time.Duration) {
	for kind := range catalog.KindCount {
		if age, valid := c.Age(kind, now); valid {
			m.ages[kind].Set(age.Seconds())
			state := c.State(kind, now)
			m.epochs[kind].Set(float64(state.Epoch))
			m.revisions[kind].Set(float64(state.Revision))
		}
	}
	m.heldVersion.Set(float64(c.State(catalog.Configurations, now).Held))
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
