package host

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/peer"
	"oriolevalve/internal/platform"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	benchmarkDataCentres = 5
	// sessionsPerTarget is 12 million open flows over 11,000 targets.
	sessionsPerTarget = 1091
)

var benchmarkEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type fleetSize struct{ hosts, services, targets int }

func (s fleetSize) String() string {
	return fmt.Sprintf("hosts=%d/services=%d/targets=%d", s.hosts, s.services, s.targets)
}

func (s fleetSize) member(i int) peer.Member {
	return peer.Member{
		ID: fmt.Sprintf("host-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%benchmarkDataCentres),
		Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250+1), Incarnation: 1,
	}
}

func (s fleetSize) flowHosts() []flow.Host {
	var hosts []flow.Host
	for i := range s.hosts {
		m := s.member(i)
		hosts = append(hosts, flow.Host{ID: m.ID, DataCentre: m.DataCentre})
	}
	return hosts
}

// state is a configuration in which each service keeps one earlier generation.
func (s fleetSize) state(b *testing.B) *configuration.State {
	delta := configuration.Delta{Index: configuration.Index{Revision: 2, AcceptedAt: benchmarkEpoch}}
	id := flow.TargetID(0)
	for i := range s.services {
		service := configuration.Service{
			ID: flow.ServiceID(i + 1), Name: fmt.Sprintf("service-%d", i), Version: 2, TableRevision: 2,
			Address: fmt.Sprintf("10.1.%d.%d:443", i/250, i%250+1), Protocol: configuration.ProtocolGRPC,
			Policy: configuration.DefaultPolicy(),
		}
		old := configuration.Generation{ReplacedAt: benchmarkEpoch.Add(time.Hour)}
		for t := range (i+1)*s.targets/s.services - i*s.targets/s.services {
			n := int(id)
			id++
			service.Targets = append(service.Targets, configuration.Target{
				ID: id, Name: fmt.Sprintf("target-%d", t), DataCentre: fmt.Sprintf("dc-%d", n%benchmarkDataCentres),
				Address: fmt.Sprintf("10.%d.%d.%d:80", 2+n/62500, n/250%250, n%250+1),
				State:   configuration.TargetJoined, Slots: 2, Connections: 4000, Weight: 1, JoinedAt: benchmarkEpoch,
			})
			if t > 0 {
				old.Targets = append(old.Targets, flow.TableTarget{ID: id, Weight: 1})
			}
		}
		if len(old.Targets) > 0 {
			service.Generations = []configuration.Generation{old}
		}
		value, reference, err := configuration.EncodeSegment(&service, "create")
		require.NoError(b, err)
		delta.Index.Services = append(delta.Index.Services, reference)
		delta.Services = append(delta.Services, service.ID)
		delta.Segments = append(delta.Segments, value)
	}
	delta.Index.LastServiceID, delta.Index.LastTargetID = flow.ServiceID(s.services), id
	digest, err := delta.Index.Digest()
	require.NoError(b, err)
	delta.Digest = digest
	state, err := configuration.NewState().WithDelta(delta)
	require.NoError(b, err)
	return state
}

// benchmarkHost is one host of a fleet whose other hosts are answered for.
type benchmarkHost struct {
	size    fleetSize
	process *Process
	now     time.Time
	version uint64
	next    int
	owned   []flow.TargetID
	foreign []flow.TargetStatus

	views                                  int
	control, publish, setView, trafficTick time.Duration
}

// newBenchmarkHost starts a host that knows the whole fleet and every status.
// A host that was alone with the configuration before has owned every target.
func newBenchmarkHost(b *testing.B, size fleetSize, alone bool) *benchmarkHost {
	h := &benchmarkHost{size: size, now: benchmarkEpoch.Add(70 * time.Minute), version: 2}
	self := size.member(0)
	h.process = &Process{
		clock: clock.NewFake(h.now), log: zap.NewNop(), control: NewControl(self), traffic: NewTraffic(self.ID, 1),
	}
	h.process.settings.HostID = self.ID
	for range 25 {
		h.handle(ControlTick{})
		h.now = h.now.Add(TickInterval)
	}
	configured := ConfigurationEvent{Event: configuration.SyncEvent{
		Kind: configuration.SyncCommitted, State: size.state(b),
	}}
	if alone {
		h.handle(configured)
	}
	all := peer.Message{Sender: size.member(1), All: true}
	for i := 1; i < size.hosts; i++ {
		m := size.member(i)
		all.Updates = append(all.Updates, peer.Update{Member: &m})
	}
	hosts := size.flowHosts()
	for id := 1; id <= size.targets; id++ {
		owner := flow.OwnerOrder(flow.TargetID(id), fmt.Sprintf("dc-%d", (id-1)%benchmarkDataCentres), hosts)[0]
		status := flow.TargetStatus{
			Target: flow.TargetID(id), Owner: owner.ID, Version: 2, Healthy: true, Sessions: sessionsPerTarget,
		}
		if owner.ID == self.ID {
			h.owned = append(h.owned, status.Target)
		} else {
			h.foreign = append(h.foreign, status)
		}
		all.Updates = append(all.Updates, peer.Update{Status: &status})
	}
	h.handle(PeerEvent{Event: peer.PingReceived{Message: all}})
	h.handle(configured)
	require.NotNil(b, h.process.control.View())
	require.Len(b, h.process.control.View().snapshot.Hosts(), size.hosts)
	for _, id := range h.owned {
		var keys []flow.Key
		for i := range sessionsPerTarget {
			keys = append(keys, flow.KeyOfSession(1, fmt.Sprint(id, "/", i)))
		}
		h.process.traffic.HandoverReceived(h.now, target.Handover{
			Target: id, From: size.member(1).ID, Sessions: keys, Complete: true, SessionsKnown: true,
		})
	}
	return h
}

// handle does what Process.handle does, without the network.
func (h *benchmarkHost) handle(e ControlEvent) {
	start := time.Now()
	actions := h.process.control.Handle(h.now, e)
	handled := time.Now()
	h.control += handled.Sub(start)
	var pings []peer.SendPing
	for _, a := range actions {
		switch a := a.(type) {
		case SetView:
			begin := time.Now()
			h.process.traffic.SetView(h.now, a.View)
			h.setView += time.Since(begin)
			h.views++
		case SetPermit:
			h.process.traffic.SetPermit(a.Until)
		case ReadFromPlatform:
			h.handle(ConfigurationEvent{Event: configuration.SyncEvent{Kind: configuration.SyncPlatformFailed}})
		case SendToPeer:
			if ping, ok := a.Action.(peer.SendPing); ok {
				pings = append(pings, ping)
			}
		}
	}
	begin := time.Now()
	h.process.publishIfDue(h.now, actions)
	h.publish += time.Since(begin)
	for _, ping := range pings {
		h.handle(PeerEvent{Event: peer.AckReceived{Sequence: ping.Sequence, Message: h.message(ping.To)}})
	}
}

// message is one with eight changed loads.
func (h *benchmarkHost) message(from peer.Member) peer.Message {
	m := peer.Message{Sender: from}
	for range min(8, len(h.foreign)) {
		s := &h.foreign[h.next%len(h.foreign)]
		h.next++
		s.Version++
		s.Sessions = sessionsPerTarget + uint32(h.next%30)
		status := *s
		m.Updates = append(m.Updates, peer.Update{Status: &status})
	}
	return m
}

// second passes one second: ten ticks, two pings sent and two received, and two
// changed loads of each owned target, as its owner publishes each 500 ms.
func (h *benchmarkHost) second() {
	for tick := range 10 {
		h.now = h.now.Add(TickInterval)
		h.handle(ControlTick{})
		begin := time.Now()
		h.process.traffic.Tick(h.now)
		h.trafficTick += time.Since(begin)
		if tick%5 == 2 && h.size.hosts > 1 {
			from := h.size.member(1 + h.next%(h.size.hosts-1))
			h.handle(PeerEvent{Event: peer.PingReceived{Message: h.message(from)}})
		}
		if tick%5 == 4 {
			h.publishOwned()
		}
	}
}

// publishOwned publishes a changed load of each owned target.
func (h *benchmarkHost) publishOwned() {
	h.version++
	for i, id := range h.owned {
		h.handle(StatusPublished{Status: flow.TargetStatus{
			Target: id, Owner: h.size.member(0).ID, Version: h.version, Healthy: true,
			Sessions: sessionsPerTarget + uint32(h.version+uint64(i))%30,
		}})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkControlSecond measures the control work of one host in one second,
// by part, and the live heap of its state. ns/op over 1e7 is the percentage of
// a core.
func BenchmarkControlSecond(b *testing.B) {
	for _, size := range []fleetSize{
		{8, 2, 18},
		{64, 2, 18},
		{1100, 2, 18},
		{8, 80, 1100},
		{64, 80, 1100},
		{1100, 80, 1100},
		{8, 800, 11000},
		{64, 800, 11000},
		{1100, 800, 11000},
	} {
		benchmarkControlSecond(b, size.String(), size, false)
	}
	size := fleetSize{1100, 800, 11000}
	benchmarkControlSecond(b, size.String()+"/was-alone", size, true)
}

func benchmarkControlSecond(b *testing.B, name string, size fleetSize, alone bool) {
	b.Run(name, func(b *testing.B) {
		before := liveHeap()
		h := newBenchmarkHost(b, size, alone)
		h.second()
		used := liveHeap() - before
		h.views, h.control, h.publish, h.setView, h.trafficTick = 0, 0, 0, 0, 0
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			h.second()
		}
		b.StopTimer()
		seconds := float64(b.N)
		b.ReportMetric(float64(used)/1e6, "heap-MB")
		b.ReportMetric(float64(h.views)/seconds, "views/s")
		b.ReportMetric(float64(h.control.Microseconds())/seconds, "control-us/s")
		b.ReportMetric(float64(h.publish.Microseconds())/seconds, "publish-us/s")
		b.ReportMetric(float64(h.setView.Microseconds())/seconds, "setview-us/s")
		b.ReportMetric(float64(h.trafficTick.Microseconds())/seconds, "tick-us/s")
		b.ReportMetric(float64(len(h.owned)), "owned")
		b.ReportMetric(float64(len(h.process.traffic.Owned(h.now))), "machines")
		runtime.KeepAlive(h)
	})
}

// BenchmarkHostsLost measures how many targets change their owner when hosts
// fail at once, and what a survivor takes over at most.
func BenchmarkHostsLost(b *testing.B) {
	size := fleetSize{1100, 800, 11000}
	hosts := size.flowHosts()
	for _, c := range []struct {
		name string
		lost func(i int) bool
	}{
		{"host", func(i int) bool { return i == 0 }},
		// A rack has 20 hosts of one data centre.
		{"rack", func(i int) bool { return i%benchmarkDataCentres == 0 && i < 20*benchmarkDataCentres }},
		{"data-centre", func(i int) bool { return i%benchmarkDataCentres == 0 }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				var left []flow.Host
				gone := map[string]bool{}
				for i, h := range hosts {
					if c.lost(i) {
						gone[h.ID] = true
					} else {
						left = append(left, h)
					}
				}
				moved, taken := 0, map[string]int{}
				for id := 1; id <= size.targets; id++ {
					dataCentre := fmt.Sprintf("dc-%d", (id-1)%benchmarkDataCentres)
					if gone[flow.OwnerOrder(flow.TargetID(id), dataCentre, hosts)[0].ID] {
						moved++
						taken[flow.OwnerOrder(flow.TargetID(id), dataCentre, left)[0].ID]++
					}
				}
				most := 0
				for _, n := range taken {
					most = max(most, n)
				}
				b.ReportMetric(float64(len(gone)), "hosts-lost")
				b.ReportMetric(float64(moved), "targets-moved")
				b.ReportMetric(float64(len(taken)), "hosts-taking")
				b.ReportMetric(float64(most), "most-taken")
			}
		})
	}
}

// BenchmarkStartSize reports what a starting host receives: the complete
// configuration from a peer, and the platform's list of hosts.
func BenchmarkStartSize(b *testing.B) {
	for _, size := range []fleetSize{{8, 2, 18}, {64, 80, 1100}, {1100, 800, 11000}} {
		b.Run(size.String(), func(b *testing.B) {
			state := size.state(b)
			for b.Loop() {
				delta, err := state.Delta(0)
				require.NoError(b, err)
				payload, err := json.Marshal(delta)
				require.NoError(b, err)
				var list []platform.Host
				for i := range size.hosts {
					m := size.member(i)
					list = append(list, platform.Host{
						ID: m.ID, DataCentre: m.DataCentre, Address: m.Address, State: platform.HostLive,
					})
				}
				hosts, err := json.Marshal(list)
				require.NoError(b, err)
				b.ReportMetric(float64(len(payload)), "configuration-B")
				b.ReportMetric(float64(len(hosts)), "host-list-B")
			}
		})
	}
}
