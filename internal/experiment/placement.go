package experiment

import (
	"math/rand/v2"

	"oriolevalve/internal/packet"
)

// placement chooses the targets of new flows.
type placement interface {
	// view tells of a change of the targets' states.
	view(m *loadModel)
	// place returns the target of an opening packet; nil if it is refused.
	place(m *loadModel, r *loadRequest) *loadTarget
	// finished tells of the end of a request.
	finished(m *loadModel, r *loadRequest, served bool)
	sweep(m *loadModel)
}

// placementNames names the placements that are compared; the first is the product's.
var placementNames = [...]string{"packet_plane", "random", "round_robin", "two_choices", "least_own", "oracle"}

func newPlacement(name string, m *loadModel, seed uint64) placement {
	if name != placementNames[0] {
		return &countedPlacement{name: name, random: rand.New(rand.NewPCG(seed, 11))}
	}
	p := &planePlacement{}
	for i := range m.hosts {
		p.planes = append(p.planes, packet.NewPlane(rand.New(rand.NewPCG(seed, uint64(i+100)))))
	}
	return p
}

// planePlacement passes the packets of clients through the planes of the product.
type planePlacement struct{ planes []*packet.Plane }

func (p *planePlacement) view(m *loadModel) {
	list := make([]packet.Target, 0, len(m.targets))
	for _, t := range m.targets {
		if t.State != packet.Gone {
			list = append(list, t.Target)
		}
	}
	routes := []packet.Route{{Address: loadService, Services: []packet.ServiceShare{{Service: "s", Weight: 1}}}}
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
	acknowledged := uint32(1)
	if served || !r.target.dead {
		acknowledged = 101
	}
	p.planes[r.host].Decide(m.now, &packet.Packet{
		Flow: r.flow, Tag: r.target.Key.Tag(), Sequence: 102, Acknowledgement: acknowledged, FIN: true,
	})
}

func (p *planePlacement) sweep(m *loadModel) {
	for _, plane := range p.planes {
		plane.Sweep(m.now)
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

func (t *loadTarget) backlog() float64 { return float64(t.running+len(t.waiting)+1) * t.slow }

func (p *countedPlacement) finished(_ *loadModel, r *loadRequest, _ bool) {
	p.own[ownKey{r.host, r.target.Key}]--
}

func (p *countedPlacement) sweep(*loadModel) {}
