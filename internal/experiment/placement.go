package experiment

import (
	"math/rand/v2"

	"oriolevalve/internal/gossip"
	"oriolevalve/internal/packet"
)

// placement chooses the targets of new flows.
type placement interface {
	// view tells of a change of the targets' states.
	view(m *loadModel)
	// place returns the target of an opening packet; nil if it is refused.
	place(m *loadModel, r *loadRequest) *loadTarget
	// answered and requested tell of the end of a request of a flow that goes on, and of its
	// next request.
	answered(m *loadModel, r *loadRequest)
	requested(m *loadModel, r *loadRequest)
	// finished tells of the end of a flow with its last request.
	finished(m *loadModel, r *loadRequest, served bool)
	sweep(m *loadModel)
}

// The product's placements: without learned costs, with what each host learns alone, and with
// what hosts tell each other.
const (
	placementPlane  = "packet_plane"
	placementAlone  = "learned_alone"
	placementShared = "learned_shared"
)

// placementNames names the placements that are compared.
var placementNames = [...]string{
	placementPlane, placementAlone, placementShared, "random", "round_robin", "two_choices", "least_own", "oracle",
}

func newPlacement(name string, m *loadModel, seed uint64) placement {
	switch name {
	case placementPlane, placementAlone, placementShared:
	default:
		return &countedPlacement{name: name, random: rand.New(rand.NewPCG(seed, 11))}
	}
	p := &planePlacement{shares: name == placementShared, random: rand.New(rand.NewPCG(seed, 13))}
	for i := range m.hosts {
		p.planes = append(p.planes, packet.NewPlane(rand.New(rand.NewPCG(seed, uint64(i+100))), packet.WithLearnedCosts(name != placementPlane)))
	}
	return p
}

// planePlacement passes the packets of clients through the planes of the product.
type planePlacement struct {
	planes []*packet.Plane
	// shares is set if hosts tell each other of speeds, as in the messages of gossip.
	shares bool
	random *rand.Rand
}

func (p *planePlacement) view(m *loadModel) {
	list := make([]packet.Target, 0, len(m.targets))
	for _, t := range m.targets {
		if t.State != packet.Gone {
			list = append(list, t.Target)
		}
	}
	var routes []packet.Route
	for i := range m.kinds {
		routes = append(routes, packet.Route{Address: loadRoute(i), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}})
	}
	for i, plane := range p.planes {
		own := dataCentreOf(i)
		plane.SetView(packet.NewView(dataCentreName(own), routes, list, packet.WithHosts(m.hostsIn(own), m.hosts, m.hosts)))
	}
}

func (p *planePlacement) place(m *loadModel, r *loadRequest) *loadTarget {
	plane := p.planes[r.host]
	d := plane.Decide(m.now, &packet.Packet{Flow: r.flow, SYN: true, Sequence: 1, Acknowledgement: uint32(r.copies)})
	if d.Action != packet.Forward {
		return nil
	}
	t := m.targets[d.Target-1]
	if !t.dead {
		plane.Decide(m.now, &packet.Packet{Flow: r.flow, Tag: d.Tag, Sequence: 2, Acknowledgement: 1, Length: 100})
	}
	return t
}

func (p *planePlacement) finished(m *loadModel, r *loadRequest, served bool) {
	acknowledged := uint32(1 + 100*r.made)
	if served || !r.target.dead {
		acknowledged += 100
	}
	p.planes[r.host].Decide(m.now, &packet.Packet{
		Flow: r.flow, Tag: r.target.Key.Tag(), Sequence: uint32(102 + 100*r.made), Acknowledgement: acknowledged, FIN: true,
	})
}

func (p *planePlacement) answered(m *loadModel, r *loadRequest) {
	p.planes[r.host].Decide(m.now, &packet.Packet{
		Flow: r.flow, Tag: r.target.Key.Tag(), Sequence: uint32(102 + 100*r.made), Acknowledgement: uint32(101 + 100*r.made),
	})
}

func (p *planePlacement) requested(m *loadModel, r *loadRequest) {
	p.planes[r.host].Decide(m.now, &packet.Packet{
		Flow: r.flow, Tag: r.target.Key.Tag(), Sequence: uint32(2 + 100*r.made), Acknowledgement: uint32(1 + 100*r.made), Length: 100,
	})
}

func (p *planePlacement) sweep(m *loadModel) {
	for i, plane := range p.planes {
		plane.Sweep(m.now)
		if !p.shares {
			continue
		}
		partner := dataCentreOf(i) + loadDataCentres*p.random.IntN(m.hostsIn(dataCentreOf(i)))
		if partner != i {
			p.planes[partner].HearSpeeds(m.now, plane.SpeedFacts(m.now, nil, gossip.SpeedFactsPerMessage))
		}
	}
}

// countedPlacement chooses among the targets of the host's data centre by what the host
// itself counts, and as an oracle among all targets by their queues.
type countedPlacement struct {
	name   string
	random *rand.Rand
	// groups are the targets that take new flows, by data centre.
	groups [loadDataCentres][]*loadTarget
	all    []*loadTarget
	// own counts the requests of each host at each target.
	own  map[ownKey]int
	next map[int]int
}

type ownKey struct {
	host   int
	target packet.TargetKey
}

func (p *countedPlacement) view(m *loadModel) {
	if p.own == nil {
		p.own, p.next = map[ownKey]int{}, map[int]int{}
	}
	p.all = p.all[:0]
	for i := range p.groups {
		p.groups[i] = p.groups[i][:0]
	}
	for _, t := range m.targets {
		if t.State == packet.Accepting {
			p.all = append(p.all, t)
			i := int(t.DataCentre[0] - 'a')
			p.groups[i] = append(p.groups[i], t)
		}
	}
}

func (p *countedPlacement) place(_ *loadModel, r *loadRequest) *loadTarget {
	group := p.groups[dataCentreOf(r.host)]
	if len(group) == 0 {
		group = p.all
	}
	if len(group) == 0 {
		return nil
	}
	var chosen *loadTarget
	switch p.name {
	case "random":
		chosen = group[p.random.IntN(len(group))]
	case "round_robin":
		p.next[r.host]++
		chosen = group[(p.next[r.host]+r.host)%len(group)]
	case "two_choices":
		chosen = p.least(r, []*loadTarget{group[p.random.IntN(len(group))], group[p.random.IntN(len(group))]})
	case "least_own":
		chosen = p.least(r, group)
	case "oracle":
		chosen = p.shortest()
	}
	p.own[ownKey{r.host, chosen.Key}]++
	return chosen
}

// least returns a target with the fewest requests of the host.
func (p *countedPlacement) least(r *loadRequest, group []*loadTarget) *loadTarget {
	offset := p.random.IntN(len(group))
	var best *loadTarget
	for i := range group {
		t := group[(offset+i)%len(group)]
		if best == nil || p.own[ownKey{r.host, t.Key}] < p.own[ownKey{r.host, best.Key}] {
			best = t
		}
	}
	return best
}

// shortest returns the live target with the least work before a new request.
func (p *countedPlacement) shortest() *loadTarget {
	offset := p.random.IntN(len(p.all))
	var best *loadTarget
	for i := range p.all {
		t := p.all[(offset+i)%len(p.all)]
		if !t.dead && (best == nil || t.backlog() < best.backlog()) {
			best = t
		}
	}
	if best == nil {
		return p.all[offset]
	}
	return best
}

func (t *loadTarget) backlog() float64 {
	return (float64(t.running+len(t.waiting)+1) + t.demand) * t.slow
}

func (p *countedPlacement) answered(*loadModel, *loadRequest) {}

func (p *countedPlacement) requested(*loadModel, *loadRequest) {}

func (p *countedPlacement) finished(_ *loadModel, r *loadRequest, _ bool) {
	p.own[ownKey{r.host, r.target.Key}]--
}

func (p *countedPlacement) sweep(*loadModel) {}
