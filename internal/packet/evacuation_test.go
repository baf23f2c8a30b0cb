package packet_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an opening packet that reaches an evacuated data centre by some order of views,
// openings, copies, answers and silence; against open flows that leave it; and against a refusal
// while the service has a target elsewhere.
func TestNoOpeningReachesAnEvacuatedDataCentre(t *testing.T) {
	service := netip.MustParseAddrPort("198.18.0.1:443")
	routes := []packet.Route{{Address: service, Services: []packet.ServiceShare{{Service: "desk", Weight: 1}}, Idempotent: true}}
	dataCentres := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		plane := packet.NewPlane(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		var targets []packet.Target
		for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
			targets = append(targets, packet.Target{
				Key: packet.TargetKey(i + 1), Name: string(rune('A' + i)), Service: "desk", Slots: 2,
				DataCentre: dataCentres[rapid.IntRange(0, 2).Draw(t, "data centre")],
				State:      rapid.SampledFrom([]packet.TargetState{packet.Accepting, packet.Accepting, packet.Lapsed}).Draw(t, "state"),
			})
		}
		place := map[packet.TargetKey]string{}
		for _, target := range targets {
			place[target.Key] = target.DataCentre
		}
		evacuated := map[string]bool{}
		var now, since time.Duration
		show := func() {
			var list []packet.Evacuation
			for _, name := range dataCentres {
				if requested, known := evacuated[name]; known {
					list = append(list, packet.Evacuation{DataCentre: name, Requested: requested, Since: since})
				}
			}
			plane.SetView(packet.NewView("a", routes, targets, packet.WithEvacuated(list), packet.WithHosts(1, 1, 1)))
		}
		show()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				name := rapid.SampledFrom(dataCentres).Draw(t, "evacuated")
				evacuated[name], since = !evacuated[name], now
				show()
			case 1:
				plane.ConfirmTargets(now)
				plane.Sweep(now)
			case 2, 3:
				k := packet.Packet{Flow: clientFlow(t, service), Sequence: 2, Acknowledgement: 7, Length: 10, Tag: targets[0].Key.Tag()}
				if d := plane.Decide(now, &k); d.Action == packet.Refuse {
					require.Equal(t, packet.ReasonTargetDead, d.Reason)
				}
			default:
				k := packet.Packet{Flow: clientFlow(t, service), Sequence: 1, SYN: true, Acknowledgement: uint32(rapid.IntRange(0, 2).Draw(t, "copy"))}
				d := plane.Decide(now, &k)
				require.False(t, d.Action == packet.Forward && evacuated[place[d.Target]], "%s in %s", d.Name, place[d.Target])
				if d.Action == packet.Refuse {
					for key, name := range place {
						require.True(t, evacuated[name], "refused with %s while target %d is left", d.Reason, key)
					}
				}
			}
		}
	})
}

// clientFlow draws one of a few flows.
func clientFlow(t *rapid.T, service netip.AddrPort) packet.Flow {
	port := uint16(1000 + rapid.IntRange(0, 15).Draw(t, "client"))
	return packet.Flow{Client: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Service: service}
}
