package replay

import (
	"fmt"
	"time"

	"oriolevalve/internal/configuration"
)

// eventKinds names all events of traces.
var eventKinds map[string]func(w *world, e *Event)

func init() {
	eventKinds = map[string]func(w *world, e *Event){
		"start_host":        func(w *world, e *Event) { w.impaired[e.Host] = w.now; w.startNode(e.Host, e.DataCentre) },
		"stop_host":         func(w *world, e *Event) { w.withNode(e, func(n *node) { w.ending(n); n.stop() }) },
		"crash_host":        func(w *world, e *Event) { w.withNode(e, func(n *node) { w.failed(); w.ending(n); n.end() }) },
		"pause_host":        pauseHost,
		"cut":               cutBetween,
		"platform_outage":   func(w *world, e *Event) { w.platform.outageUntil = w.until(e) },
		"platform_slow":     func(w *world, e *Event) { w.platform.slowUntil, w.platform.slow = w.until(e), e.Delay.Std() },
		"silent_watch":      func(w *world, e *Event) { w.platform.silentUntil = w.until(e) },
		"lose_store_answer": func(w *world, _ *Event) { w.platform.loseAnswers++ },
		"crash_target":      func(w *world, e *Event) { w.withTarget(e, func(m *targetModel) { m.crash() }) },
		"start_target":      func(w *world, e *Event) { w.withTarget(e, func(m *targetModel) { m.alive = true }) },
		"slow_target": func(w *world, e *Event) {
			w.withTarget(e, func(m *targetModel) { m.slowUntil, m.slow = w.until(e), e.Delay.Std() })
		},
		"shed_target":  func(w *world, e *Event) { w.withTarget(e, func(m *targetModel) { m.shedUntil = w.until(e) }) },
		"hang_target":  func(w *world, e *Event) { w.withTarget(e, func(m *targetModel) { m.hangUntil = w.until(e) }) },
		"false_health": func(w *world, e *Event) { w.withTarget(e, func(m *targetModel) { m.falseUntil = w.until(e) }) },
		"apply": func(w *world, e *Event) {
			w.change(e, func(c *configuration.Configuration) configuration.Change {
				d := *e.Declaration
				if s, known := c.Service(d.Name); known {
					d.BaseVersion = s.Version
				}
				return configuration.Change{Kind: configuration.ChangeApply, Declarations: []configuration.ServiceDeclaration{d}}
			})
		},
		"delete_service": func(w *world, e *Event) { w.change(e, e.targetChange(configuration.ChangeDeleteService)) },
		"join_target":    func(w *world, e *Event) { w.change(e, e.targetChange(configuration.ChangeJoinTarget)) },
		"drain_target":   func(w *world, e *Event) { w.change(e, e.targetChange(configuration.ChangeDrainTarget)) },
		"leave_target":   func(w *world, e *Event) { w.change(e, e.targetChange(configuration.ChangeLeaveTarget)) },
	}
}

func (w *world) until(e *Event) time.Time {
	if e.For == 0 {
		return w.start.Add(w.trace.Duration.Std())
	}
	return w.now.Add(e.For.Std())
}

func (w *world) withNode(e *Event, run func(*node)) {
	if n := w.nodes[e.Host]; n != nil && n.alive {
		run(n)
	}
}

// ending notes when a host ends, for the lag of the fabric.
func (w *world) ending(n *node) { w.impaired["end "+n.id] = w.now }

// withTarget runs a function on the named target, or on all of a service.
func (w *world) withTarget(e *Event, run func(*targetModel)) {
	for i := range w.current.Services {
		for _, t := range w.current.Services[i].Targets {
			if t.Name == e.Target || e.Target == "" && w.current.Services[i].Name == e.Service {
				run(w.targets[t.Address])
			}
		}
	}
}

func pauseHost(w *world, e *Event) {
	w.withNode(e, func(n *node) {
		n.pause()
		w.failed()
		w.after(e.For.Std(), func() {
			w.failed()
			w.impaired[n.id] = w.now
			n.resume()
		})
	})
}

func cutBetween(w *world, e *Event) {
	w.cuts = append(w.cuts, cut{a: e.Between[0], b: e.Between[1], since: w.now, until: w.until(e)})
	w.failed()
	w.after(w.until(e).Sub(w.now), func() {
		w.failed()
		for _, n := range w.order {
			w.impaired[n.id] = w.now
		}
	})
}

func (e *Event) targetChange(kind configuration.ChangeKind) func(*configuration.Configuration) configuration.Change {
	return func(c *configuration.Configuration) configuration.Change {
		h := configuration.Change{Kind: kind, Service: e.Service, Target: e.Target, Join: e.Join, Force: e.Force}
		if s, known := c.Service(e.Service); known {
			h.BaseVersion = s.Version
		}
		return h
	}
}

// change sends an operator's change through a host.
func (w *world) change(e *Event, build func(*configuration.Configuration) configuration.Change) {
	n := w.nodes[e.Host]
	if e.Host == "" {
		for _, candidate := range w.order {
			if candidate.alive && !candidate.paused && !candidate.stopping {
				n = candidate
				break
			}
		}
	}
	if n == nil {
		w.result.OperatorMismatches++
		return
	}
	change := build(n.control.State().Configuration())
	if change.Kind == configuration.ChangeLeaveTarget {
		change.Sessions = n.sessionsOf(e.Service, e.Target)
	}
	identity := e.Operation
	if identity == "" {
		identity = fmt.Sprintf("%s-%s-%s%s", e.At, e.Kind, e.Service, e.Target)
	}
	expected := e.Status
	if expected == "" {
		expected = configuration.CommitApplied
	}
	w.commit(n, configuration.Operation{Identity: identity, Actor: "operator", Change: change}, expected)
}

func (w *world) commit(n *node, o configuration.Operation, expected configuration.CommitStatus) {
	w.platform.commit(n, o, func(r configuration.CommitResult) {
		w.log("operation %s: %s revision %d %s", o.Identity, r.Status, r.Revision, r.Reason)
		if r.Status != expected {
			w.result.OperatorMismatches++
		}
		if r.State != nil {
			n.configurationEvent(configuration.SyncEvent{Kind: configuration.SyncCommitted, State: r.State})
		}
	})
}

// sessionsOf returns what the owner of a target last reported.
func (n *node) sessionsOf(service, name string) configuration.Sessions {
	s, known := n.control.State().Configuration().Service(service)
	if !known {
		return configuration.Sessions{}
	}
	t, known := s.Target(name)
	if !known {
		return configuration.Sessions{}
	}
	for _, status := range n.control.Statuses() {
		if status.Target == t.ID {
			return configuration.Sessions{Open: uint64(status.Sessions), Complete: !status.Stale}
		}
	}
	return configuration.Sessions{}
}

func (w *world) createServices() {
	o := configuration.Operation{
		Identity: "create-services", Actor: "operator",
		Change: configuration.Change{Kind: configuration.ChangeApply, Declarations: w.trace.Services},
	}
	for i := range o.Change.Declarations {
		d := &o.Change.Declarations[i]
		if d.Policy == nil {
			policy := configuration.DefaultPolicy()
			d.Policy = &policy
		}
	}
	w.commit(w.order[0], o, configuration.CommitApplied)
}
