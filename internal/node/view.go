package node

import (
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/settings"

	"go.uber.org/zap"
)

// viewBasis tells whether a view has to be made again.
type viewBasis struct {
	states [catalog.Evacuations]struct{ epoch, checksum uint64 }
	// version is that of the configuration in force, which may be held against the store's.
	version    uint64
	departures catalog.Departures
	hosts      hostCounts
	// evacuations sums up the evacuations.
	evacuations string
	// claims changes with the warm-ups that the host holds.
	claims uint64
}

// hostCounts are the numbers of live hosts that share targets, with this one.
type hostCounts struct{ dataCentre, region, fleet int }

// show publishes a view if it would differ from the last one.
func (c *control) show() {
	now := c.node.now()
	configuration := c.catalog.Configuration()
	age, known := c.catalog.Age(catalog.Targets, now)
	c.node.metrics.aged(c.catalog, now)
	if configuration == nil || !known {
		return
	}
	if !c.knowsEvacuations(now) {
		return
	}
	defer c.noteReady(now)
	for _, r := range c.catalog.ResolveDoubts(now) {
		c.node.log.Warn(logs.TargetEntryHolds, logs.Text("target", r.Name), logs.Text("service", r.Service), logs.Text("service_before", r.Before),
			zap.Duration("doubted", r.Doubted), zap.Duration("age", age))
	}
	evacuations := c.evacuations(now)
	basis := viewBasis{
		version: configuration.Version, departures: c.catalog.Departures(now), hosts: c.hosts(now), evacuations: evacuationBasis(evacuations),
		claims: c.warmUps.version(),
	}
	for kind := range basis.states {
		state := c.catalog.State(catalog.Kind(kind), now)
		basis.states[kind].epoch, basis.states[kind].checksum = state.Epoch, state.Checksum
	}
	defer c.node.targetsConfirmed.Store(int64(now - age))
	if basis == c.shown {
		return
	}
	c.shown = basis
	list := targets(c.catalog.TargetEntries(now), now)
	c.warmUps.allow(list, evacuations, configuration, now)
	first := c.node.view.Swap(packet.NewView(
		c.node.settings.DataCentre, routes(configuration), list, packet.WithGuardedWarmUps(c.warmUps != nil),
		packet.WithHosts(basis.hosts.dataCentre, basis.hosts.region, basis.hosts.fleet),
		packet.WithRegions(c.regions), packet.WithCompleteTargets(basis.departures.Complete),
		packet.WithUnreadableTargets(targetKeys(c.catalog.UnreadableTargets())),
		packet.WithEvacuated(evacuations), packet.WithHealthPaths(c.healthPaths(configuration)),
	)) == nil
	if first {
		close(c.node.prepared)
	}
}

// regions returns the regions of data centres, and nil if there is only one, so
// that far targets and the number of hosts that share them need no attention.
func regions(list []settings.DataCentre) map[string]string {
	byName, names := map[string]string{}, map[string]bool{}
	for _, d := range list {
		byName[d.Name], names[d.Region] = d.Region, true
	}
	if len(names) < 2 {
		return nil
	}
	return byName
}

// hosts counts the live hosts. Only the own data centre counts if there is one
// region: a change of the others would renew the view for nothing.
func (c *control) hosts(now time.Duration) hostCounts {
	hosts, own := c.members.HostsByDataCentre(now), c.node.settings.DataCentre
	counts := hostCounts{dataCentre: hosts[own]}
	if c.regions == nil {
		return counts
	}
	for dataCentre, count := range hosts {
		counts.fleet += count
		if c.regions[dataCentre] == c.regions[own] {
			counts.region += count
		}
	}
	return counts
}

func routes(c *catalog.Configuration) []packet.Route {
	list := make([]packet.Route, 0, len(c.Routes))
	for _, r := range c.Routes {
		route := packet.Route{Address: r.Address, IdleTimeout: time.Duration(c.FlowIdle) * time.Millisecond, Idempotent: r.Idempotent}
		for _, s := range r.Services {
			route.Services = append(route.Services, packet.ServiceShare{Service: s.Service, Weight: s.Weight})
		}
		list = append(list, route)
	}
	return list
}

func targetKeys(list []uint64) []packet.TargetKey {
	keys := make([]packet.TargetKey, 0, len(list))
	for _, key := range list {
		keys = append(keys, packet.TargetKey(key))
	}
	return keys
}

func targets(members []catalog.TargetEntry, now time.Duration) []packet.Target {
	list := make([]packet.Target, 0, len(members))
	for _, m := range members {
		t := packet.Target{
			Key: packet.TargetKey(m.Key), Name: m.Name, Service: m.Service, DataCentre: m.DataCentre,
			Address: m.Address, Slots: m.Slots, StartedAtMillis: m.Born,
		}
		switch {
		case m.Gone:
			t.State = packet.Gone
		case m.Unnamed:
			t.State = packet.Unnamed
		case m.Departed && m.Draining:
			t.State = packet.Departed
		case m.Departed:
			t.State = packet.Lapsed
		case m.Draining:
			t.State = packet.Draining
		}
		if m.WarmUpRemaining > 0 {
			t.WarmUpEnd = now + m.WarmUpRemaining
		}
		list = append(list, t)
	}
	return list
}
