package catalog

import (
	"net/netip"
	"time"
)

// Configuration is an accepted configuration.
type Configuration struct {
	Version  uint64   `json:"version"`
	Routes   []Route  `json:"routes"`
	Services []string `json:"services"`
	// ServiceSpecs describe the services that have more than a name.
	ServiceSpecs []ServiceSpec `json:"service_specs,omitempty"`
	// FlowIdle is the time in milliseconds after which a silent flow may be
	// discarded; zero if the configuration sets none.
	FlowIdle int64 `json:"flow_idle_ms"`
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name string `json:"name"`
	// HealthPath is the path that a target of the service answers with its health.
	HealthPath string `json:"health_path,omitempty"`
	// WarmUpRate is the number of new flows a second that a cold target bears; zero if the
	// configuration gives none.
	WarmUpRate float64 `json:"warm_up_rate,omitempty"`
}

// Described reports whether the service has more than a name.
func (s ServiceSpec) Described() bool { return s.HealthPath != "" || s.WarmUpRate > 0 }

// Spec returns the description of a service.
func (c *Configuration) Spec(service string) ServiceSpec {
	for _, s := range c.ServiceSpecs {
		if s.Name == service {
			return s
		}
	}
	return ServiceSpec{Name: service}
}

// Route sends the new flows of a service address to services.
type Route struct {
	Name     string         `json:"name"`
	Address  netip.AddrPort `json:"address"`
	Services []Share        `json:"services"`
	// Idempotent is set if clients may repeat the requests of the route.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Share is the weight of a service in a route.
type Share struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Target is a target as it registered itself.
type Target struct {
	Key        uint64         `json:"key"`
	Service    string         `json:"service"`
	DataCentre string         `json:"data_centre"`
	Address    netip.AddrPort `json:"address"`
	Slots      int            `json:"slots"`
	Draining   bool           `json:"draining"`
	// Warmup is the time in milliseconds for which the target was still slow when
	// the host learned of the entry.
	Warmup int64 `json:"warmup_ms"`
	// Born is the time of the target's start in milliseconds since 1970; zero if it is
	// not known. A target that starts again under its name knows nothing of before.
	Born int64 `json:"born,omitempty"`
	// Sequence is the target's own count of its writes since its start.
	Sequence uint64 `json:"sequence,omitempty"`
}

// sameEntry reports whether two copies of an entry say the same. Hosts send what is left of
// a warm-up, and a target may write an entry again without a change.
func (t *Target) sameEntry(other *Target) bool {
	a, b := *t, *other
	a.Warmup, a.Sequence, b.Warmup, b.Sequence = 0, 0, 0, 0
	return a == b
}

// returnLimit is the time in which the entry of a live target is back after an
// outage of the store; one that is missing longer has ended.
const returnLimit = 2500 * time.Millisecond

// Configuration returns the configuration in force; nil if none is known.
func (c *Catalog) Configuration() *Configuration {
	return c.collections[Configurations].configuration()
}

// TargetEntry is a target with what the catalog knows of its life.
type TargetEntry struct {
	Target
	Name string
	// WarmUpRemaining is the time for which the target is still slow.
	WarmUpRemaining time.Duration
	// Departed is set if the target is no longer listed, Gone if it has surely
	// ended.
	Departed, Gone bool
	// Unnamed is set if the configuration in force names no such service.
	Unnamed bool
}

// Departures sums up what the time changes about targets that are not listed.
type Departures struct {
	Departed, Gone int
	// Doubted counts the entries that contradict what is known of their targets.
	Doubted int
	// Withdrawn counts the listed targets whose entries are older than what the host
	// knows of them.
	Withdrawn int
	// Complete is set if a target that is neither listed nor departed has ended.
	Complete bool
}

// Departures returns the counts of departed targets. It is cheap; a change means
// that Members has changed.
func (c *Catalog) Departures(now time.Duration) Departures {
	l := &c.collections[Targets]
	d := Departures{Departed: len(l.departed), Doubted: l.doubted, Complete: c.settled(l, now)}
	for name := range l.departed {
		if c.gone(l, name, now) {
			d.Gone++
		}
	}
	for name := range l.withdrawn {
		if o := l.objects[name]; o != nil && !o.Deleted && o.Target != nil {
			if _, stale := l.staleEntry(o, now); stale {
				d.Withdrawn++
			}
		}
	}
	return d
}

// settled reports whether the entries of live targets are back since the last
// gap in the confirmations, as far as the collection is confirmed.
func (c *Catalog) settled(l *collection, now time.Duration) bool {
	return l.valid && l.confirmed-l.settled > returnLimit && now-l.confirmed <= c.gapLimit
}

func (c *Catalog) gone(l *collection, name string, now time.Duration) bool {
	o := l.objects[name]
	return (o == nil || o.Deleted) && c.settled(l, now) && l.confirmed-l.departed[name].at > returnLimit
}

// UnreadableTargets returns the keys of the entries that can't be read.
func (c *Catalog) UnreadableTargets() []uint64 {
	var keys []uint64
	for _, o := range c.collections[Targets].objects {
		if !o.Deleted && o.UnreadableKey != 0 {
			keys = append(keys, o.UnreadableKey)
		}
	}
	return keys
}

// unnamed returns a function that reports whether the configuration in force names no
// service of a name.
func (c *Catalog) unnamed() func(service string) bool {
	configuration := c.Configuration()
	if configuration == nil {
		return func(string) bool { return false }
	}
	named := make(map[string]bool, len(configuration.Services))
	for _, service := range configuration.Services {
		named[service] = true
	}
	for _, r := range configuration.Routes {
		for _, s := range r.Services {
			named[s.Service] = true
		}
	}
	return func(service string) bool { return !named[service] }
}

// TargetEntries returns the listed targets and those that left within the retention time.
func (c *Catalog) TargetEntries(now time.Duration) []TargetEntry {
	l, unnamed := &c.collections[Targets], c.unnamed()
	members := make([]TargetEntry, 0, len(l.objects)+len(l.departed))
	for name, o := range l.objects {
		if o.Deleted || o.Target == nil {
			continue
		}
		entry := TargetEntry{Target: *o.Target, Name: name, WarmUpRemaining: o.cold(now), Unnamed: unnamed(o.Target.Service)}
		if w, stale := l.staleEntry(o, now); stale {
			entry.Draining, entry.Departed = w.target.Draining, w.departed
		}
		members = append(members, entry)
	}
	for name, d := range l.departed {
		members = append(members, TargetEntry{
			Target: *d.target, Name: name, Departed: true, Gone: c.gone(l, name, now), Unnamed: unnamed(d.target.Service),
			WarmUpRemaining: max(0, d.warm-now),
		})
	}
	return members
}
