package node

import (
	"fmt"
	"strings"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"go.uber.org/zap"
)

// knowsEvacuations reports whether the host knows which data centres are evacuated, as far as
// its settings ask for that. Without it new flows could open in one of them.
func (c *control) knowsEvacuations(now time.Duration) bool {
	_, known := c.catalog.Age(catalog.Evacuations, now)
	return known || !c.follows(catalog.Evacuations)
}

// evacuations returns the evacuations that a view has to know.
func (c *control) evacuations(now time.Duration) []packet.Evacuation {
	var known []catalog.Evacuation
	if c.follows(catalog.Evacuations) {
		known = c.catalog.Evacuations(now)
	}
	list, requested := make([]packet.Evacuation, 0, len(known)), 0
	for _, e := range known {
		if e.Requested {
			requested++
		}
		list = append(list, packet.Evacuation{DataCentre: e.DataCentre, Revision: e.Revision, Requested: e.Requested, Since: e.Since})
	}
	c.node.metrics.evacuated.Set(float64(requested))
	return list
}

// evacuationBasis returns what a view is made of with these evacuations. A request that is
// written again changes nothing.
func evacuationBasis(list []packet.Evacuation) string {
	var basis strings.Builder
	for _, e := range list {
		fmt.Fprintf(&basis, "%q %t %d\n", e.DataCentre, e.Requested, e.Since)
	}
	return basis.String()
}

// logEvacuation logs that new flows leave a data centre, or may come back.
func (n *Node) logEvacuation(e *packet.EvacuationChange, now time.Duration) {
	last := zap.Skip()
	if e.LastOpening > 0 {
		last = zap.Duration("last_opening_ago", now-e.LastOpening)
	}
	n.log.Info(logs.EvacuationChanged, logs.Text("data_centre", e.DataCentre), zap.Bool("requested", e.Requested),
		zap.Uint64("revision", e.Revision), zap.Duration("known_for", now-e.Since), last)
}
