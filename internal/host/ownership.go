package host

import (
	"slices"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

// newTargetSettleTime is how long the set of hosts must be unchanged before a
// target that appears in the configuration counts as never owned. Within that
// time another host may have owned it under an older view.
const newTargetSettleTime = 3 * time.Second

// claimInterval is the time between two requests for the records of the
// previous owner.
const claimInterval = time.Second

// SetView puts a view in force: it starts, ends and updates the owners of this
// host. Only the control goroutine calls it.
func (t *Traffic) SetView(now time.Time, v *View) []Action {
	old := t.view.Swap(v)
	var out []Action
	for _, id := range sortedTargets(v) {
		if v.snapshot.Owner(id) == t.self {
			out = append(out, t.own(now, id, v, old)...)
		}
	}
	for _, s := range t.sortedShards() {
		out = append(out, t.refresh(now, s, v, old)...)
	}
	return out
}

// SetPermit replaces the permit of the view in force.
func (t *Traffic) SetPermit(until time.Time) {
	if v := t.view.Load(); v != nil {
		t.view.Store(v.withPermit(until))
	}
}

func sortedTargets(v *View) []flow.TargetID {
	ids := make([]flow.TargetID, 0, len(v.targets))
	for id := range v.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (t *Traffic) sortedShards() []*shard {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	list := make([]*shard, 0, len(t.shards))
	for _, s := range t.shards {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *shard) int { return int(a.id) - int(b.id) })
	return list
}

// addShard creates the machine of a target that this host does not own yet;
// nil if the target is unknown.
func (t *Traffic) addShard(now time.Time, id flow.TargetID, v *View) *shard {
	entry, known := v.targets[id]
	if !known {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s := t.shards[id]; s != nil {
		return s
	}
	owner := target.NewOwner(entry.target, entry.service.Policy,
		target.WithHost(t.self), target.WithPlacement(flow.PlaceSession))
	// Without ownership the machine only keeps records; there is nothing to
	// hand over yet.
	owner.Handle(now, target.HandoverRequested{})
	s := &shard{id: id, owner: owner}
	t.shards[id] = s
	return s
}

// own makes this host the owner of a target, unless it is already.
func (t *Traffic) own(now time.Time, id flow.TargetID, v, old *View) []Action {
	s := t.addShard(now, id, v)
	s.mutex.Lock()
	if s.claimedBy != "" && (now.After(s.claimedUntil) || !v.alive[s.claimedBy]) {
		s.claimedBy = ""
	}
	if s.owned || s.claimedBy != "" {
		s.mutex.Unlock()
		return nil
	}
	s.owned = true
	s.mutex.Unlock()
	takeover := t.takeover(now, id, v, old)
	out := t.run(now, s, takeover)
	s.mutex.Lock()
	s.previous, s.claimAt = takeover.PreviousOwner, now
	s.mutex.Unlock()
	return append(out, t.claim(now, s)...)
}

// claim asks the previous owner for its records until they are complete. The
// records may have been sent before this host had a configuration.
func (t *Traffic) claim(now time.Time, s *shard) []Action {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.owned || s.previous == "" || s.owner.TakeoverComplete() || now.Before(s.claimAt) {
		return nil
	}
	s.claimAt = now.Add(claimInterval)
	return []Action{Consult{Asking: s.id, Host: s.previous, Request: target.ConsultRequest{
		From: t.self, Claim: true, Target: s.id,
	}}}
}

// takeover tells from whom this host takes over a target.
func (t *Traffic) takeover(now time.Time, id flow.TargetID, v, old *View) target.TakeoverStarted {
	entry := v.targets[id]
	e := target.TakeoverStarted{RemoteDataCentre: true}
	var hosts []flow.Host
	for _, h := range v.snapshot.Hosts() {
		if h.DataCentre == entry.target.DataCentre {
			e.RemoteDataCentre = false
		}
		if h.ID != t.self {
			hosts = append(hosts, h)
		}
	}
	if input, known := v.snapshot.Target(id); known {
		e.Version = input.Status.Version
	}
	if old != nil {
		if _, known := old.targets[id]; !known {
			e.FirstOwner = now.Sub(v.settledAt) >= newTargetSettleTime
		} else if previous := old.snapshot.Owner(id); previous != t.self && v.reachable[previous] {
			e.PreviousOwner = previous
		} else if previous != t.self && previous != "" {
			// The previous owner has gone; nobody can hand over.
			return e
		}
	}
	if !e.FirstOwner && e.PreviousOwner == "" {
		// This host has just started: the next host in the order owned it.
		if order := flow.OwnerOrder(id, entry.target.DataCentre, hosts); len(order) > 0 {
			e.PreviousOwner = order[0].ID
		}
	}
	return e
}

// refresh brings an owner machine up to date with the view.
func (t *Traffic) refresh(now time.Time, s *shard, v, old *View) []Action {
	entry, known := v.targets[s.id]
	if !known {
		return t.retire(now, s)
	}
	var out []Action
	owner := v.snapshot.Owner(s.id)
	s.mutex.Lock()
	lost := s.owned && owner != t.self
	if lost {
		s.owned = false
	}
	backupChanged := s.owned && v.snapshot.Backup(s.id) != s.backup
	s.backup = v.snapshot.Backup(s.id)
	s.mutex.Unlock()
	if lost {
		out = append(out, t.run(now, s, target.HandoverRequested{To: owner})...)
	}
	if old != nil && !v.alive[t.self] && old.alive[t.self] && old.snapshot.Backup(s.id) == t.self {
		out = append(out, t.passCopies(s, v.snapshot.Backup(s.id))...)
	}
	changed := old == nil || old.snapshot.Revision() != v.snapshot.Revision()
	if changed {
		out = append(out, t.run(now, s, target.PolicyChanged{
			Target: entry.target, Policy: entry.service.Policy, Revision: v.snapshot.Revision(),
		})...)
		out = append(out, t.tableMoved(now, s, entry.service, v, old)...)
	}
	loads := slices.Clone(v.snapshot.Loads(entry.service.ID))
	for i := range loads {
		t := v.targets[loads[i].Target].target
		loads[i].Decline = 1 - target.WarmUpShare(t.JoinedAt, entry.service.Policy.WarmUp.Std(), now)
	}
	out = append(out, t.run(now, s, target.LoadsChanged{Loads: loads})...)
	if backupChanged {
		out = append(out, t.run(now, s, target.BackupChanged{})...)
	}
	return out
}

// tableMoved gives the flow owners under the new table the records that they
// need.
func (t *Traffic) tableMoved(now time.Time, s *shard, service *configuration.Service, v, old *View) []Action {
	if old == nil {
		return nil
	}
	before, after := old.snapshot.Table(service.ID), v.snapshot.Table(service.ID)
	if before == nil || before == after {
		return nil
	}
	event := target.TableChanged{Revision: v.snapshot.Revision(), ReplacedAt: now}
	if count := len(service.Generations); count > 0 {
		event.ReplacedAt = service.Generations[count-1].ReplacedAt
	}
	out := t.run(now, s, event)
	s.mutex.Lock()
	handovers := s.owner.MovedRecords(func(k flow.Key) flow.TargetID {
		if to := after.TargetOf(k); to != before.TargetOf(k) {
			return to
		}
		return 0
	})
	s.mutex.Unlock()
	for _, h := range handovers {
		to := v.snapshot.Owner(h.Target)
		if to == t.self {
			out = append(out, t.HandoverReceived(now, h)...)
		} else if to != "" {
			out = append(out, SendHandover{To: to, Handover: h})
		}
	}
	return out
}

// handOver sends records to the new owner, and its exceptions to the new backup
// as well: if the new owner dies at once, the old one may have left already.
func (t *Traffic) handOver(a target.SendHandover) []Action {
	if a.To == "" {
		return nil
	}
	out := []Action{SendHandover{To: a.To, Handover: a.Handover}}
	backup := t.view.Load().snapshot.Backup(a.Handover.Target)
	if len(a.Handover.Exceptions) > 0 && backup != "" && backup != t.self && backup != a.To {
		out = append(out, SendHandover{To: backup, Handover: target.Handover{
			Target: a.Handover.Target, From: t.self, Exceptions: a.Handover.Exceptions, Copy: true,
		}})
	}
	return out
}

// passCopies sends what a leaving host holds as the backup to the next backup.
func (t *Traffic) passCopies(s *shard, to string) []Action {
	if to == "" || to == t.self {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var out []Action
	for _, h := range s.owner.BackupCopies() {
		out = append(out, SendHandover{To: to, Handover: h})
	}
	return out
}

// Relinquish ends all ownership after a pause in which other hosts may have
// taken over. The next view takes the targets back from them.
func (t *Traffic) Relinquish(now time.Time) []Action {
	var out []Action
	for _, s := range t.sortedShards() {
		s.mutex.Lock()
		owned := s.owned
		s.owned = false
		s.mutex.Unlock()
		if owned {
			out = append(out, t.run(now, s, target.HandoverRequested{})...)
		}
	}
	return out
}

// retire ends the owner of a target that the configuration no longer has, once
// its requests are finished.
func (t *Traffic) retire(now time.Time, s *shard) []Action {
	s.mutex.Lock()
	s.owned = false
	s.mutex.Unlock()
	out := t.run(now, s, target.Stopping{})
	s.mutex.Lock()
	idle := s.owner.Idle()
	s.mutex.Unlock()
	if idle {
		t.mutex.Lock()
		delete(t.shards, s.id)
		t.mutex.Unlock()
	}
	return out
}

// Tick lets time pass for the owners of this host.
func (t *Traffic) Tick(now time.Time) []Action {
	var out []Action
	for _, s := range t.sortedShards() {
		out = append(out, t.run(now, s, target.Tick{})...)
		out = append(out, t.claim(now, s)...)
	}
	return out
}

// OwnedTarget describes an owner of this host.
type OwnedTarget struct {
	ID         flow.TargetID
	Owned      bool
	Healthy    bool
	Sessions   int
	Exceptions int
	InProgress int
	Queued     int
	// SessionsKnown is false for some time after a takeover without a complete
	// handover, while Sessions may be too low.
	SessionsKnown bool
}

// Owned lists the owners of this host.
func (t *Traffic) Owned(now time.Time) []OwnedTarget {
	var list []OwnedTarget
	for _, s := range t.sortedShards() {
		s.mutex.Lock()
		list = append(list, OwnedTarget{
			ID: s.id, Owned: s.owned, Healthy: s.owner.Healthy(), Sessions: s.owner.Sessions(),
			Exceptions: s.owner.Exceptions(), InProgress: s.owner.InProgress(), Queued: s.owner.Queued(),
			SessionsKnown: s.owned && s.owner.SessionsKnown(now),
		})
		s.mutex.Unlock()
	}
	return list
}
