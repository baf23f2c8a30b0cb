package platform

import (
	"maps"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// The names of the calls, as counters and errors show them.
const (
	CallGet      = "get"
	CallCreate   = "create"
	CallUpdate   = "update"
	CallDelete   = "delete"
	CallWatch    = "watch"
	CallHostList = "host_list"
)

var callsDescription = prometheus.NewDesc(
	"oriolevalve_platform_calls_total", "Calls to the platform by kind.", []string{"call"}, nil)

// Calls counts calls by kind. It is safe for concurrent use and a collector of
// metrics.
type Calls struct {
	mutex  sync.Mutex
	counts map[string]uint64
}

// Add counts one call.
func (c *Calls) Add(call string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[string]uint64{}
	}
	c.counts[call]++
}

// Counts returns a copy of the counts.
func (c *Calls) Counts() map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.counts)
}

// Describe implements prometheus.Collector.
func (c *Calls) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- callsDescription }

// Collect implements prometheus.Collector.
func (c *Calls) Collect(metrics chan<- prometheus.Metric) {
	for call, count := range c.Counts() {
		metrics <- prometheus.MustNewConstMetric(callsDescription, prometheus.CounterValue, float64(count), call)
	}
}
