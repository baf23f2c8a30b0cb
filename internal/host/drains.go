package host

import "oriolevalve/pkg/flow"

// drains follows the draining targets that this host owns. The value is true
// once the drain has finished.
type drains map[flow.TargetID]bool

// update compares the owners of this host with the configuration, and returns
// how many drains began and finished since the last update. A drain that
// another host takes over begins there anew.
func (d drains) update(owners []OwnedTarget, draining func(flow.TargetID) bool) (started, finished int) {
	present := make(map[flow.TargetID]bool, len(d))
	for _, o := range owners {
		if !o.Owned || !draining(o.ID) {
			continue
		}
		present[o.ID] = true
		done, known := d[o.ID]
		if !known {
			started++
		}
		if !done && o.SessionsKnown && o.Sessions == 0 {
			done = true
			finished++
		}
		d[o.ID] = done
	}
	for id := range d {
		if !present[id] {
			delete(d, id)
		}
	}
	return started, finished
}
