package packet

import "net/netip"

// Distance orders targets by the way from the host.
type Distance uint8

// The distances.
const (
	// Local targets are in the host's data centre.
	Local Distance = iota
	// Near targets are in another data centre of its region, a millisecond away.
	Near
	// Far targets are in another region.
	Far
	distanceCount
)

// View is the immutable picture of the configuration and the targets on which
// a Plane decides.
type View struct {
	dataCentre string
	routes     map[netip.AddrPort]*Route
	targets    []Target
	// hosts are the numbers of live hosts, with this one, that share the targets up
	// to a distance.
	hosts [distanceCount]int
	// regions are those of data centres; one that is missing is in the own region.
	regions map[string]string
	// complete is set if the entries of all live targets are known, up to the time of the last
	// confirmation.
	complete bool
	// unreadable are the keys of entries that can't be read. Their targets may live.
	unreadable []TargetKey
	// evacuations are the data centres that get no new flows, or got none until lately.
	evacuations map[string]Evacuation
	// healthPaths are the paths by service at which its targets say who they are; empty if the
	// hosts do not ask.
	healthPaths map[string]string
	// guarded is set if targets in their warm-up take new flows within an allowance only.
	guarded bool
}

// ViewOption changes a View.
type ViewOption func(*View)

// WithHosts sets the numbers of live hosts, with this one, in the data centre, the
// region and the fleet. Without it the host is alone.
func WithHosts(dataCentre, region, fleet int) ViewOption {
	return func(v *View) { v.hosts = [distanceCount]int{Local: dataCentre, Near: region, Far: fleet} }
}

// WithRegions sets the regions of data centres.
func WithRegions(regions map[string]string) ViewOption { return func(v *View) { v.regions = regions } }

// WithCompleteTargets says whether the entries of all targets that lived at the time of the last
// confirmation are known.
func WithCompleteTargets(complete bool) ViewOption { return func(v *View) { v.complete = complete } }

// WithUnreadableTargets sets the keys of entries that can't be read.
func WithUnreadableTargets(keys []TargetKey) ViewOption {
	return func(v *View) { v.unreadable = keys }
}

// WithHealthPaths sets the paths by service at which its targets say who they are. Without it the
// host asks no target.
func WithHealthPaths(paths map[string]string) ViewOption {
	return func(v *View) { v.healthPaths = paths }
}

// WithGuardedWarmUps makes targets in their warm-up take new flows within their allowance only.
func WithGuardedWarmUps(guarded bool) ViewOption { return func(v *View) { v.guarded = guarded } }

// NewView returns a view for one of the hosts of a data centre. Of two routes
// with one address the first holds.
func NewView(dataCentre string, routes []Route, targets []Target, options ...ViewOption) *View {
	v := &View{
		dataCentre: dataCentre, routes: make(map[netip.AddrPort]*Route, len(routes)), targets: targets,
		hosts: [distanceCount]int{1, 1, 1},
	}
	for _, o := range options {
		o(v)
	}
	for i := range routes {
		if _, found := v.routes[routes[i].Address]; !found {
			v.routes[routes[i].Address] = &routes[i]
		}
	}
	return v
}

// distance returns how far a target is.
func (v *View) distance(t *Target) Distance {
	if t.DataCentre == v.dataCentre {
		return Local
	}
	region, known := v.regions[t.DataCentre]
	if own, ownKnown := v.regions[v.dataCentre]; known && ownKnown && region != own {
		return Far
	}
	return Near
}
