package experiment

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/pkg/flow"
)

// slope is one measured cost at one size.
type slope struct {
	quantity string
	services int
	targets  int
	hosts    int
	value    float64
	unit     string
}

// repeats is the number of measurements of which the median counts.
const repeats = 7

// runSlopes measures the cost of tables, snapshots and decisions over the
// number of targets and services.
func runSlopes(_ context.Context, o Options) error {
	var list []slope
	counts := []int{4, 14, 100, 500, 1_000, 2_000}
	fleets := []struct{ services, targets, hosts int }{
		{2, 18, 6}, {100, 1_400, 140}, {200, 2_750, 275}, {400, 5_500, 550}, {800, 11_000, 1_100},
	}
	if o.Quick {
		counts, fleets = counts[:2], fleets[:1]
	}
	for _, n := range counts {
		input := fleetInput(1, n, 6)
		var members []flow.TableTarget
		for _, t := range input.Services[0].Targets {
			members = append(members, flow.TableTarget{ID: t.ID, Weight: t.Weight})
		}
		build := medianOf(o.Clock, func() { flow.NewTable(members, flow.TableSize) })
		list = append(list, slope{"table_build", 1, n, 6, build.Seconds() * 1e6, "us"})
		list = append(list, slope{"steer", 1, n, 6, steerNanoseconds(o.Clock, input), "ns"})
	}
	for _, f := range fleets {
		input := fleetInput(f.services, f.targets, f.hosts)
		var snapshot *flow.Snapshot
		bytes := heapOf(func() { snapshot = flow.NewSnapshot(input, nil) })
		runtime.KeepAlive(snapshot)
		fewer := input
		fewer.Hosts = input.Hosts[1:]
		add := func(quantity string, value float64, unit string) {
			list = append(list, slope{quantity, f.services, f.targets, f.hosts, value, unit})
		}
		add("memory_per_service", bytes/float64(f.services), "B")
		add("snapshot_first", medianOf(o.Clock, func() { flow.NewSnapshot(input, nil) }).Seconds()*1e3, "ms")
		add("snapshot_status", medianOf(o.Clock, func() { flow.NewSnapshot(input, snapshot) }).Seconds()*1e3, "ms")
		add("snapshot_host", medianOf(o.Clock, func() { flow.NewSnapshot(fewer, snapshot) }).Seconds()*1e3, "ms")
		add("steer", steerNanoseconds(o.Clock, input), "ns")
	}
	return writeFile(o.Output, "slopes.csv", func(w io.Writer) error { return writeSlopes(w, list) })
}

func writeSlopes(w io.Writer, list []slope) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"quantity", "services", "targets", "hosts", "value", "unit"}); err != nil {
		return err
	}
	for _, s := range list {
		if err := out.Write([]string{
			s.quantity, strconv.Itoa(s.services), strconv.Itoa(s.targets), strconv.Itoa(s.hosts),
			strconv.FormatFloat(s.value, 'f', 2, 64), s.unit,
		}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func medianOf(c clock.Clock, operation func()) time.Duration {
	var list []time.Duration
	for range repeats {
		began := c.Now()
		operation()
		list = append(list, c.Now().Sub(began))
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// heapOf returns the heap bytes that the result of an operation retains.
func heapOf(operation func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	operation()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// steerNanoseconds returns the median time of a decision on an established
// flow, over keys that spread over all services.
func steerNanoseconds(c clock.Clock, input flow.SnapshotInput) float64 {
	const decisions = 1 << 20
	now := time.Unix(0, 0)
	snapshot := flow.NewSnapshot(input, nil).WithPermit(now.Add(time.Second))
	keys := make([]flow.Key, 1<<14)
	for i := range keys {
		keys[i] = flow.KeyOfSession(flow.ServiceID(i%len(input.Services)+1), strconv.Itoa(i))
	}
	elapsed := medianOf(c, func() {
		for i := range decisions {
			n := i & (len(keys) - 1)
			snapshot.Steer(flow.ServiceID(n%len(input.Services)+1), keys[n], false, now)
		}
	})
	return float64(elapsed.Nanoseconds()) / decisions
}

// fleetInput returns a fleet whose targets spread evenly over the services.
func fleetInput(services, targets, hosts int) flow.SnapshotInput {
	input := flow.SnapshotInput{Self: "host-0"}
	for i := range hosts {
		input.Hosts = append(input.Hosts, flow.Host{ID: fmt.Sprint("host-", i), DataCentre: fmt.Sprint("dc-", i%3)})
	}
	id := flow.TargetID(0)
	for i := range services {
		v := flow.ServiceInput{ID: flow.ServiceID(i + 1)}
		for range (i+1)*targets/services - i*targets/services {
			id++
			v.Targets = append(v.Targets, flow.TargetInput{
				ID: id, DataCentre: fmt.Sprint("dc-", id%3), Weight: 1, InTable: true,
				Status: flow.TargetStatus{Target: id, Healthy: true},
			})
		}
		input.Services = append(input.Services, v)
	}
	return input
}
