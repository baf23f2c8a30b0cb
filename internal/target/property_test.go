package target_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// A fixed seed makes every run of the property tests equal.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// call is a caller's request in the simulated world.
type call struct {
	name       string
	request    target.Request
	idempotent bool
	// from is the flow owner that forwarded the request.
	from *node
}

// node is a host's owner of one target with what it has open.
type node struct {
	host       string
	target     flow.TargetID
	owner      *target.Owner
	dead       bool
	open       map[uint64]*call
	dispatched map[uint64]*call
	pristine   map[uint64]bool
}

// world runs several owners and delivers their messages in a random order.
type world struct {
	t        *rapid.T
	now      time.Time
	nextID   uint64
	hosts    int
	slots    int
	nodes    map[flow.TargetID][]*node
	draining map[flow.TargetID]bool
	messages []func()
	runs     map[string]int
	sent     map[string]time.Time
	// opened has the sessions that a target may know.
	opened map[flow.Key]bool
	// begun has the sessions whose callers got an answer to the first message
	// or do not know its outcome, and send later messages.
	begun map[flow.Key]bool
	moves int
}

// The bucket of every session moves to target 3 and then to target 4.
const worldTargets = 4

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: epoch, slots: rapid.IntRange(1, 3).Draw(t, "slots"), nodes: map[flow.TargetID][]*node{},
		draining: map[flow.TargetID]bool{}, runs: map[string]int{}, sent: map[string]time.Time{}, opened: map[flow.Key]bool{}, begun: map[flow.Key]bool{},
	}
	for id := flow.TargetID(1); id <= worldTargets; id++ {
		w.start(id, target.TakeoverStarted{FirstOwner: true})
	}
	return w
}

func (w *world) start(id flow.TargetID, takeover target.TakeoverStarted) {
	w.hosts++
	declared, policy := declaration()
	declared.ID, declared.Slots = id, w.slots
	if w.draining[id] {
		declared.State = configuration.TargetDraining
	}
	n := &node{
		host: fmt.Sprintf("host%d", w.hosts), target: id,
		open: map[uint64]*call{}, dispatched: map[uint64]*call{}, pristine: map[uint64]bool{},
	}
	n.owner = target.NewOwner(declared, policy, target.WithHost(n.host), target.WithSeed(uint64(w.hosts)))
	w.nodes[id] = append(w.nodes[id], n)
	w.handle(n, takeover)
	if w.moves > 0 {
		w.handle(n, target.TableChanged{ReplacedAt: w.now})
	}
	w.handle(n, target.LoadsChanged{Loads: w.loads()})
	if takeover.PreviousOwner != "" {
		claim := target.Consult{Host: takeover.PreviousOwner, Request: target.ConsultRequest{From: n.host, Claim: true, Target: id}}
		w.send(func() { w.consult(n, claim) })
	}
}

func (w *world) loads() []target.Load {
	var loads []target.Load
	for id := flow.TargetID(1); id <= worldTargets; id++ {
		loads = append(loads, target.Load{Target: id, Weight: 1, Eligible: !w.draining[id], Sessions: uint32(w.now.Second() % 3)})
	}
	return loads
}

func (w *world) live(id flow.TargetID) []*node {
	var live []*node
	for _, n := range w.nodes[id] {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

func (w *world) send(message func()) { w.messages = append(w.messages, message) }

func (w *world) handle(n *node, event target.Event) {
	if !n.dead {
		if arrived, ok := event.(target.RequestArrived); ok {
			r := arrived.Request
			w.t.Logf("request %s first=%t base=%d placed=%t attempt=%d", r.Identity, r.First, r.BaseTarget, r.Placed, r.Attempt)
		}
		w.t.Logf("%s %s of %d: %T %+v", w.now.Sub(epoch), n.host, n.target, event, event)
		w.perform(n, n.owner.Handle(w.now, event))
	}
}

func (w *world) perform(n *node, actions []target.Action) {
	for _, action := range actions {
		w.t.Logf("    %T %+v", action, action)
		switch a := action.(type) {
		case target.Dispatch:
			w.dispatch(n, a)
		case target.Forward:
			c := w.close(n, a.ID)
			request := *a.Request
			request.Hops++
			w.send(func() { w.deliver(&call{c.name, request, c.idempotent, n}) })
		case target.Finish:
			c := w.close(n, a.ID)
			if a.Reply.Outcome == target.OutcomeNotRun {
				require.True(w.t, n.pristine[a.ID], "%s: not_run after a dispatch without proof", c.name)
			}
			if c.request.First && a.Reply.Outcome != target.OutcomeNotRun {
				w.begun[c.request.Key] = true
			}
			if c.request.First && c.from != nil {
				event := target.ForwardFinished{Key: c.request.Key, Target: c.request.Target, Reply: a.Reply}
				w.send(func() { w.handle(c.from, event) })
			}
		case target.Consult:
			w.send(func() { w.consult(n, a) })
		case target.SendHandover:
			w.sendHandover(a)
		}
	}
	require.LessOrEqual(w.t, len(n.dispatched), w.slots, "attempts in progress above the slots")
}

func (w *world) close(n *node, id uint64) *call {
	c := n.open[id]
	require.NotNil(w.t, c, "request %d got a second Finish or Forward", id)
	delete(n.open, id)
	return c
}

func (w *world) dispatch(n *node, a target.Dispatch) {
	c := n.open[a.ID]
	require.NotNil(w.t, c, "dispatch of request %d, which is not open", a.ID)
	require.Nil(w.t, n.dispatched[a.ID], "a second attempt while the first is in progress")
	require.False(w.t, w.draining[n.target] && c.request.First && !w.opened[c.request.Key],
		"%s: a new session is dispatched while draining", c.name)
	w.opened[c.request.Key] = true
	n.dispatched[a.ID] = c
	n.pristine[a.ID] = false
	w.runs[c.name]++
	if !c.idempotent {
		require.Equal(w.t, 1, w.runs[c.name], "%s runs twice", c.name)
	}
}

// sendHandover keeps the order of the messages of one handover.
func (w *world) sendHandover(a target.SendHandover) {
	for _, n := range w.nodes[a.Handover.Target] {
		if n.host == a.To {
			w.handle(n, target.HandoverReceived{Handover: a.Handover})
		}
	}
}

func (w *world) consult(n *node, a target.Consult) {
	answer := target.ConsultAnswered{ID: a.ID, Failed: true}
	candidates := w.live(a.Request.Target)
	for i := len(candidates) - 1; i >= 0; i-- {
		other := candidates[i]
		if a.Host != "" && other.host != a.Host {
			continue
		}
		if rapid.IntRange(0, 9).Draw(w.t, "consult fails") > 0 {
			reply, actions := other.owner.HandleConsult(w.now, a.Request)
			w.perform(other, actions)
			answer.Failed, answer.Reply = false, reply
		}
		break
	}
	w.send(func() { w.handle(n, answer) })
}

// deliver hands a request to one of the hosts that believe to own its target.
func (w *world) deliver(c *call) {
	live := w.live(c.request.Target)
	n := live[rapid.IntRange(0, len(live)-1).Draw(w.t, "owner")]
	w.opened[c.request.Key] = w.opened[c.request.Key] || !c.request.First
	w.nextID++
	id := w.nextID
	n.open[id], n.pristine[id] = c, true
	request := c.request
	w.handle(n, target.RequestArrived{ID: id, Request: &request})
}

func (w *world) call() {
	session := rapid.IntRange(0, 3).Draw(w.t, "session")
	sequence := rapid.IntRange(0, 3).Draw(w.t, "sequence")
	name := fmt.Sprintf("%d/%d", session, sequence)
	c := &call{name: name, idempotent: sequence == 2}
	c.request = target.Request{
		HasSession: true, Key: key(fmt.Sprint(session)), Method: "/a/B", Identity: name, Idempotent: c.idempotent,
		First: sequence == 0, SessionEnd: sequence == 3, Target: flow.TargetID(1 + session%2),
		AcceptedAt: w.now, NotAfter: w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(w.t, "deadline")) * time.Second),
	}
	// Sessions 2 and 3 were opened before the world began.
	if c.request.First == (session >= 2) || !c.request.First && session < 2 && !w.begun[c.request.Key] {
		return
	}
	for i := range w.moves {
		if i == 0 {
			c.request.BaseTarget = c.request.Target
		}
		c.request.PreviousTarget, c.request.Target = c.request.Target, flow.TargetID(3+i)
	}
	at, repeated := w.sent[name]
	if !repeated {
		w.sent[name] = w.now
	}
	switch {
	case session%2 == 1:
		// A careful caller states every attempt and the time of the first one.
		c.request.HasAttempt = true
		if repeated {
			c.request.Attempt, c.request.FirstAttemptAt = 1, at
		}
	case repeated && w.now.Sub(at) >= target.RepeatWindow:
		// Others mark only the repeats that come later than the window.
		c.request.Attempt = 1
	}
	w.send(func() { w.deliver(c) })
}

func (w *world) finish(n *node) {
	if ids := sortedIDs(n.dispatched); len(ids) > 0 {
		id := ids[0]
		c := n.dispatched[id]
		delete(n.dispatched, id)
		reply := target.Reply{Outcome: target.Outcome(rapid.IntRange(0, 2).Draw(w.t, "outcome"))}
		if reply.Outcome == target.OutcomeNotRun {
			reply.Reason = target.ReasonShed
			w.runs[c.name]--
			n.pristine[id] = true
		}
		w.handle(n, target.AttemptFinished{ID: id, Reply: reply})
	}
}

func sortedIDs(calls map[uint64]*call) []uint64 {
	var ids []uint64
	for id := uint64(0); len(ids) < len(calls); id++ {
		if calls[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *world) step() {
	id := flow.TargetID(rapid.IntRange(1, worldTargets).Draw(w.t, "target"))
	live := w.live(id)
	n := live[rapid.IntRange(0, len(live)-1).Draw(w.t, "node")]
	switch rapid.IntRange(0, 20).Draw(w.t, "step") {
	case 0, 1, 2, 3:
		w.call()
	case 4, 5, 6, 7, 8, 9:
		if len(w.messages) > 0 {
			i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
			message := w.messages[i]
			w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
			message()
		}
	case 10, 11, 12:
		w.finish(n)
	case 13, 14:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(w.t, "ms")) * time.Millisecond)
		for id := flow.TargetID(1); id <= worldTargets; id++ {
			for _, n := range w.live(id) {
				w.handle(n, target.Tick{})
			}
		}
	case 15:
		if ids := sortedIDs(n.open); len(ids) > 0 {
			w.handle(n, target.CallerGone{ID: ids[0]})
		}
	case 16:
		// A planned change of owner. Hosts with an older view still use the old one.
		w.start(id, target.TakeoverStarted{PreviousOwner: live[len(live)-1].host})
	case 17:
		// A crash of every host that owns the target.
		for _, n := range live {
			n.dead = true
		}
		w.start(id, target.TakeoverStarted{})
	case 18:
		w.draining[id] = !w.draining[id] && id < 3
		declared, policy := declaration()
		declared.ID, declared.Slots = id, w.slots
		if w.draining[id] {
			declared.State = configuration.TargetDraining
		}
		for _, n := range live {
			w.handle(n, target.PolicyChanged{Target: declared, Policy: policy})
		}
	case 19:
		w.move()
	case 20:
		w.handle(n, target.LoadsChanged{Loads: w.loads()})
	}
}

// move moves all buckets to the next target, at most twice.
func (w *world) move() {
	if w.moves == 2 {
		return
	}
	w.moves++
	to := flow.TargetID(2 + w.moves)
	for id := flow.TargetID(1); id <= worldTargets; id++ {
		for _, n := range w.live(id) {
			w.handle(n, target.TableChanged{ReplacedAt: w.now})
			for _, h := range n.owner.MovedRecords(func(flow.Key) flow.TargetID { return to }) {
				w.send(func() { w.handle(w.live(h.Target)[0], target.HandoverReceived{Handover: h}) })
			}
		}
	}
}

// drain lets everything end and checks that no request is left open.
func (w *world) settle() {
	for i := 0; i < 400; i++ {
		for len(w.messages) > 0 {
			message := w.messages[0]
			w.messages = w.messages[1:]
			message()
		}
		w.now = w.now.Add(time.Second)
		for id := flow.TargetID(1); id <= worldTargets; id++ {
			for _, n := range w.live(id) {
				w.finish(n)
				w.handle(n, target.Tick{})
			}
		}
	}
	for id := flow.TargetID(1); id <= worldTargets; id++ {
		for _, n := range w.live(id) {
			require.Empty(w.t, n.open, "requests without a Finish or Forward at %s", n.host)
			require.True(w.t, n.owner.Idle())
			require.Zero(w.t, n.owner.InProgress()+n.owner.Queued())
		}
	}
}

func checkRandomEvents(t *rapid.T) {
	w := newWorld(t)
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		w.step()
	}
	w.settle()
}

// Guards against double runs, lost or doubled replies, untruthful not_run, full
// slots and new work on draining targets, under crashes, changes of owner,
// table moves and messages in any order.
func TestRandomEvents(t *testing.T) { rapid.Check(t, checkRandomEvents) }

func FuzzRandomEvents(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkRandomEvents)) }
