package host

import (
	"go.uber.org/zap"

	"oriolevalve/internal/logs"
	"oriolevalve/pkg/flow"
)

// ownerLog remembers the targets that this host owns, with their health, to
// log the changes.
type ownerLog map[flow.TargetID]bool

// update logs what has changed since the last call.
func (l ownerLog) update(log *zap.Logger, owners []OwnedTarget) {
	owned := make(map[flow.TargetID]bool, len(l))
	for _, o := range owners {
		if !o.Owned {
			continue
		}
		owned[o.ID] = true
		id := zap.Uint32("target", uint32(o.ID))
		healthy, known := l[o.ID]
		if !known {
			log.Info(logs.OwnershipTaken, id)
			healthy = true
		}
		switch {
		case healthy && !o.Healthy:
			log.Warn(logs.TargetEjected, id)
		case !healthy && o.Healthy:
			log.Info(logs.TargetReturned, id)
		}
		l[o.ID] = o.Healthy
	}
	for id := range l {
		if !owned[id] {
			log.Info(logs.OwnershipReleased, zap.Uint32("target", uint32(id)))
			delete(l, id)
		}
	}
}
