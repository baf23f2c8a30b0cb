package packet_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"oriolevalve/internal/golden"
	"oriolevalve/internal/packet"
)

func TestMain(m *testing.M) {
	// A fixed seed makes every run of the property tests equal.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// script is the input of a scripted test. A target's key is its place in the
// view of the step, counted from 1 in the order of first appearance.
type script struct {
	DataCentre string `json:"data_centre"`
	Hosts      int    `json:"hosts"`
	// Regions are those of data centres.
	Regions map[string]string `json:"regions"`
	Steps   []step            `json:"steps"`
}

type step struct {
	At   int64 `json:"at_ms"`
	View *struct {
		Routes []struct {
			Address  netip.AddrPort `json:"address"`
			Services []string       `json:"services"`
		} `json:"routes"`
		Targets []struct {
			Name       string `json:"name"`
			Service    string `json:"service"`
			DataCentre string `json:"data_centre"`
			State      string `json:"state"`
			// Slots is 20 if it is left out.
			Slots int `json:"slots"`
			// KeyOf names the target whose key this one has.
			KeyOf string `json:"key_of"`
			Born  int64  `json:"born_ms"`
			// WarmUpEnd is the end of the target's warm-up, Shared and Sole the host's allowance.
			WarmUpEnd int64 `json:"warm_up_end_ms"`
			Shared    int   `json:"shared"`
			Sole      int   `json:"sole"`
		} `json:"targets"`
		Complete bool `json:"complete"`
		Guarded  bool `json:"guarded"`
		// Unreadable are the names of entries that can't be read.
		Unreadable []string `json:"unreadable"`
		// Evacuations are those of data centres. One that was lifted was taken back.
		Evacuations []struct {
			DataCentre string `json:"data_centre"`
			Lifted     bool   `json:"lifted"`
			Since      int64  `json:"since_ms"`
		} `json:"evacuations"`
	} `json:"view"`
	Packet *struct {
		Client  string `json:"client"`
		Service string `json:"service"`
		// Flags holds S, A, F and R.
		Flags  string `json:"flags"`
		Tag    string `json:"tag"`
		Seq    uint32 `json:"seq"`
		Ack    uint32 `json:"ack"`
		Length int    `json:"length"`
	} `json:"packet"`
	// Confirmed is the time at which the targets of the view were all that were listed.
	Confirmed int64 `json:"confirmed_ms"`
	Sweeps    int   `json:"sweeps"`
	// Repeat makes as many clients do the same.
	Repeat int `json:"repeat"`
}

var states = map[string]packet.TargetState{
	"": packet.Accepting, "draining": packet.Draining, "lapsed": packet.Lapsed, "departed": packet.Departed, "gone": packet.Gone,
	"unnamed": packet.Unnamed,
}

var actions = map[packet.Action]string{packet.Drop: "drop", packet.Forward: "forward", packet.Refuse: "refuse"}

func (s *script) run() string {
	plane := packet.NewPlane(rand.New(rand.NewPCG(1, 2)))
	keys, names := map[string]packet.TargetKey{}, map[packet.TargetKey]string{0: "-"}
	key := func(name string) packet.TargetKey {
		if _, found := keys[name]; !found {
			keys[name] = packet.TargetKey(len(keys) + 1)
			names[keys[name]] = name
		}
		return keys[name]
	}
	var out strings.Builder
	for _, step := range s.Steps {
		now := time.Duration(step.At) * time.Millisecond
		if v := step.View; v != nil {
			var routes []packet.Route
			for _, r := range v.Routes {
				route := packet.Route{Address: r.Address, IdleTimeout: 12 * time.Second}
				for _, service := range r.Services {
					route.Services = append(route.Services, packet.ServiceShare{Service: service, Weight: 1})
				}
				routes = append(routes, route)
			}
			var targets []packet.Target
			for _, t := range v.Targets {
				targets = append(targets, packet.Target{
					Key: key(cmp.Or(t.KeyOf, t.Name)), Name: t.Name, Service: t.Service, DataCentre: t.DataCentre, Slots: cmp.Or(t.Slots, 20),
					State: states[t.State], StartedAtMillis: t.Born, WarmUpEnd: time.Duration(t.WarmUpEnd) * time.Millisecond,
					WarmUpAllowance: packet.WarmUpAllowance{Shared: t.Shared, Sole: t.Sole},
				})
			}
			var unreadable []packet.TargetKey
			for _, name := range v.Unreadable {
				unreadable = append(unreadable, key(name))
			}
			var evacuations []packet.Evacuation
			for _, e := range v.Evacuations {
				evacuations = append(evacuations, packet.Evacuation{
					DataCentre: e.DataCentre, Requested: !e.Lifted, Since: time.Duration(e.Since) * time.Millisecond,
				})
			}
			plane.SetView(packet.NewView(s.DataCentre, routes, targets, packet.WithHosts(max(1, s.Hosts), 1, 1),
				packet.WithCompleteTargets(v.Complete), packet.WithRegions(s.Regions), packet.WithUnreadableTargets(unreadable), packet.WithEvacuated(evacuations),
				packet.WithGuardedWarmUps(v.Guarded)))
			fmt.Fprintf(&out, "%dms view: %d routes, %d targets\n", step.At, len(routes), len(targets))
			for _, e := range plane.EvacuationChanges() {
				fmt.Fprintf(&out, "%dms evacuation: %s requested=%t, last opening at %s\n", step.At, e.DataCentre, e.Requested, e.LastOpening)
			}
			for _, x := range plane.SharedIdentities() {
				fmt.Fprintf(&out, "%dms left out: %s of %s, beside %s\n", step.At, x.Name, x.Service, x.Kept)
			}
		}
		plane.ConfirmTargets(time.Duration(step.Confirmed) * time.Millisecond)
		for range step.Sweeps {
			plane.Sweep(now)
		}
		if step.Sweeps > 0 {
			fmt.Fprintf(&out, "%dms swept: %d flows\n", step.At, plane.FlowCount())
		}
		if step.Packet == nil {
			continue
		}
		p := step.Packet
		client := netip.MustParseAddrPort(p.Client)
		counts := map[string]int{}
		for i := range max(1, step.Repeat) {
			k := packet.Packet{
				Flow: packet.Flow{
					Client:  netip.AddrPortFrom(client.Addr(), client.Port()+uint16(i)),
					Service: netip.MustParseAddrPort(p.Service),
				},
				Sequence: p.Seq, Acknowledgement: p.Ack, Length: p.Length,
				SYN: strings.Contains(p.Flags, "S"),
				FIN: strings.Contains(p.Flags, "F"), RST: strings.Contains(p.Flags, "R"),
			}
			if p.Tag != "" {
				k.Tag = key(p.Tag).Tag()
			}
			d := plane.Decide(now, &k)
			target := names[d.Target]
			if d.Action == packet.Forward {
				target = d.Name
			}
			counts[fmt.Sprintf("%s %s %s", actions[d.Action], target, d.Reason)]++
		}
		for _, outcome := range sorted(counts) {
			fmt.Fprintf(&out, "%dms %s %s seq=%d ack=%d: %s", step.At, p.Client, p.Flags, p.Seq, p.Ack, outcome)
			if step.Repeat > 0 {
				fmt.Fprintf(&out, " x%d", counts[outcome])
			}
			fmt.Fprintln(&out)
		}
	}
	return out.String()
}

// Guards the decisions on packets: where a flow opens, what holds it there, and
// what is refused or dropped.
func TestScripts(t *testing.T) {
	golden.Run(t, "testdata/scripts/*/input.json", func(t *testing.T, input []byte) string {
		var s script
		golden.Decode(t, input, &s)
		return s.run()
	})
}
