package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/packet"
	"oriolevalve/internal/warmup"

	"github.com/stretchr/testify/require"
)

// part plays a data centre of two whose targets return together: all of the flows go to 60 cold and
// 60 warm targets for the 2 s of the warm-up. Each host holds its part of the warm-ups, known
// 0.3 s after the targets' start.
type part struct {
	hosts int
	// flows is the number of new flows a second for each target.
	flows float64
	rate  float64
}

const (
	partTargets = 60
	partWarmUp  = 2 * time.Second
	partKnown   = 300 * time.Millisecond
	partWork    = 60 * time.Millisecond
)

// play returns the share of the cold targets' capacity, and of their bound, that was used, and the
// number of flows that were refused.
func (p part) play(t *testing.T, bound warmup.Bound) (capacity, most float64, refused int) {
	random := rand.New(rand.NewPCG(1, 2))
	planes := make([]*packet.Plane, p.hosts)
	for h := range planes {
		var targets []packet.Target
		for i := range 2 * partTargets {
			target := packet.Target{Key: packet.TargetKey(i + 1), Name: fmt.Sprint("i-", i), Service: "s", DataCentre: "b", Slots: 2, StartedAtMillis: 1}
			if i < partTargets {
				target.DataCentre, target.WarmUpEnd = "a", partWarmUp
				if h%2 == 0 && i%((p.hosts+1)/2) == h/2 {
					target.WarmUpAllowance = bound.Allowance(p.rate)
				}
			}
			targets = append(targets, target)
		}
		dataCentre := []string{"a", "b"}[h%2]
		planes[h] = packet.NewPlane(rand.New(rand.NewPCG(uint64(h), 2)))
		planes[h].SetView(packet.NewView(dataCentre, []packet.Route{{
			Address: service, Services: []packet.ServiceShare{{Service: "s", Weight: 1}},
		}}, targets, packet.WithHosts((p.hosts+1)/2, p.hosts, p.hosts), packet.WithGuardedWarmUps(true)))
	}
	type flow struct {
		packet packet.Packet
		host   int
	}
	ends := map[time.Duration][]flow{}
	cold, clients, due := 0, 0, 0.0
	for now := partKnown; now < partWarmUp; now += time.Millisecond {
		for _, f := range ends[now] {
			f.packet.SYN, f.packet.Sequence, f.packet.Acknowledgement = false, 1, 1
			planes[f.host].Decide(now, &f.packet)
			f.packet.FIN, f.packet.Acknowledgement = true, 500
			planes[f.host].Decide(now, &f.packet)
		}
		for due += p.flows * 2 * partTargets / 1000; due >= 1; due-- {
			clients++
			f := flow{host: random.IntN(p.hosts), packet: packet.Packet{SYN: true, Flow: packet.Flow{
				Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(clients >> 8), byte(clients)}), 1000), Service: service,
			}}}
			d := planes[f.host].Decide(now, &f.packet)
			if d.Action != packet.Forward {
				refused++
				continue
			}
			if d.Target <= partTargets {
				cold++
			}
			f.packet.Tag = d.Tag
			ends[now+partWork] = append(ends[now+partWork], f)
		}
	}
	span := partTargets * partWarmUp.Seconds()
	require.LessOrEqual(t, float64(cold), span*(p.rate*bound.Overshoot+bound.Slack))
	return float64(cold) / (span * p.rate), float64(cold) / (span * (p.rate*bound.Overshoot + bound.Slack)), refused
}

// Guards against clients that are refused, although warm targets have room, while a data centre's
// targets are cold. The log shows what of their capacity is used.
func TestUnusedCapacity(t *testing.T) {
	bound := warmup.Bound{Overshoot: 1.5, Slack: 5}
	for _, rate := range []float64{4, 10} {
		for _, hosts := range []int{8, 90, 300} {
			for _, flows := range []float64{4, 12} {
				capacity, most, refused := part{hosts: hosts, flows: flows, rate: rate}.play(t, bound)
				t.Logf("rate %2.0f, %3d hosts, %2.0f flows a second and target: %2.0f%% of the capacity used, %2.0f%% of the bound, %d refused", rate, hosts, flows, 100*capacity, 100*most, refused)
				require.Zero(t, refused)
			}
		}
	}
}
