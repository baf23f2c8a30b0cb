package packet

import "net/netip"

// View is the immutable picture of the configuration and the targets on which
// a Plane decides.
type View struct {
	dataCentre string
	routes     map[netip.AddrPort]*Route
	targets    []Target
	// hosts is the number of live hosts of the data centre, with this one.
	hosts int
	// complete is set if a tag that no target has belongs to a target that ended.
	complete bool
}

// NewView returns a view for one of the hosts of a data centre. Of two routes
// with one address the first holds.
func NewView(dataCentre string, hosts int, routes []Route, targets []Target, complete bool) *View {
	v := &View{dataCentre: dataCentre, hosts: hosts, routes: make(map[netip.AddrPort]*Route, len(routes)), targets: targets, complete: complete}
	for i := range routes {
		if _, found := v.routes[routes[i].Address]; !found {
			v.routes[routes[i].Address] = &routes[i]
		}
	}
	return v
}
