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
	// With a fixed seed every run executes the same property tests.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// call is an attempt of a caller's request in the simulation.
type call struct {
	name       string
	request    target.Request
	idempotent bool
	// from is the owner that forwarded the request; nil if a caller sent it.
	from *node
}

// node is one host's owner of a target.
type node struct {
	host   string
	target flow.TargetID
	owner  *target.Owner
	dead   bool
	// open has the requests without a Finish or Forward.
	open map[uint64]*call
	// dispatched has the attempts without a result.
	dispatched map[uint64]*call
	// provablyNotRun has the requests that may end with OutcomeNotRun.
	provablyNotRun map[uint64]bool
}

// simulation runs several owners and delivers their messages in a random order.
type simulation struct {
	t           *rapid.T
	now         time.Time
	nextID      uint64
	hosts       int
	slots       int
	nodes       map[flow.TargetID][]*node
	draining    map[flow.TargetID]bool
	messages    []func()
	runsByCall  map[string]int
	firstSentAt map[string]time.Time
	// opened has the sessions that may be open at a target.
	opened map[flow.Key]bool
	// established has the sessions whose first message was answered or had an
	// unknown outcome. Their callers send later messages.
	established map[flow.Key]bool
	moves       int
}

// The bucket of every session moves to target 3 and then to target 4.
const targetCount = 4

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: epoch, slots: rapid.IntRange(1, 3).Draw(t, "slots"), nodes: map[flow.TargetID][]*node{},
		draining: map[flow.TargetID]bool{}, runsByCall: map[string]int{}, firstSentAt: map[string]time.Time{}, opened: map[flow.Key]bool{}, established: map[flow.Key]bool{},
	}
	for id := flow.TargetID(1); id <= targetCount; id++ {
		s.startOwner(id, target.TakeoverStarted{FirstOwner: true})
	}
	return s
}

func (s *simulation) startOwner(id flow.TargetID, takeover target.TakeoverStarted) {
	s.hosts++
	declared, policy := declaration()
	declared.ID, declared.Slots = id, s.slots
	if s.draining[id] {
		declared.State = configuration.TargetDraining
	}
	n := &node{
		host: fmt.Sprintf("host%d", s.hosts), target: id,
		open: map[uint64]*call{}, dispatched: map[uint64]*call{}, provablyNotRun: map[uint64]bool{},
	}
	n.owner = target.NewOwner(declared, policy, target.WithHost(n.host), target.WithSeed(uint64(s.hosts)))
	s.nodes[id] = append(s.nodes[id], n)
	s.handle(n, takeover)
	if s.moves > 0 {
		s.handle(n, target.TableChanged{ReplacedAt: s.now})
	}
	s.handle(n, target.LoadsChanged{Loads: s.loads()})
	if takeover.PreviousOwner != "" {
		claim := target.Consult{Host: takeover.PreviousOwner, Request: target.ConsultRequest{From: n.host, Claim: true, Target: id}}
		s.send(func() { s.consult(n, claim) })
	}
}

func (s *simulation) loads() []target.Load {
	var loads []target.Load
	for id := flow.TargetID(1); id <= targetCount; id++ {
		loads = append(loads, target.Load{Target: id, Weight: 1, Eligible: !s.draining[id], Sessions: uint32(s.now.Second() % 3)})
	}
	return loads
}

func (s *simulation) live(id flow.TargetID) []*node {
	var live []*node
	for _, n := range s.nodes[id] {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

func (s *simulation) send(message func()) { s.messages = append(s.messages, message) }

func (s *simulation) handle(n *node, event target.Event) {
	if !n.dead {
		if arrived, ok := event.(target.RequestArrived); ok {
			r := arrived.Request
			s.t.Logf("request %s first=%t base=%d placed=%t attempt=%d", r.Identity, r.First, r.BaseTarget, r.Placed, r.Attempt)
		}
		s.t.Logf("%s %s of %d: %T %+v", s.now.Sub(epoch), n.host, n.target, event, event)
		s.perform(n, n.owner.Handle(s.now, event))
	}
}

func (s *simulation) perform(n *node, actions []target.Action) {
	for _, action := range actions {
		s.t.Logf("    %T %+v", action, action)
		switch a := action.(type) {
		case target.Dispatch:
			s.dispatch(n, a)
		case target.Forward:
			c := s.close(n, a.ID)
			request := *a.Request
			request.Hops++
			s.send(func() { s.deliver(&call{c.name, request, c.idempotent, n}) })
		case target.Finish:
			c := s.close(n, a.ID)
			if a.Reply.Outcome == target.OutcomeNotRun {
				require.True(s.t, n.provablyNotRun[a.ID], "%s: not_run after a dispatch without proof", c.name)
			}
			if c.request.First && a.Reply.Outcome != target.OutcomeNotRun {
				s.established[c.request.Key] = true
			}
			if c.request.First && c.from != nil {
				event := target.ForwardFinished{Key: c.request.Key, Target: c.request.Target, Reply: a.Reply}
				s.send(func() { s.handle(c.from, event) })
			}
		case target.Consult:
			s.send(func() { s.consult(n, a) })
		case target.SendHandover:
			s.sendHandover(a)
		}
	}
	require.LessOrEqual(s.t, len(n.dispatched), s.slots, "attempts in progress above the slots")
}

func (s *simulation) close(n *node, id uint64) *call {
	c := n.open[id]
	require.NotNil(s.t, c, "request %d got a second Finish or Forward", id)
	delete(n.open, id)
	return c
}

func (s *simulation) dispatch(n *node, a target.Dispatch) {
	c := n.open[a.ID]
	require.NotNil(s.t, c, "dispatch of request %d, which is not open", a.ID)
	require.Nil(s.t, n.dispatched[a.ID], "a second attempt while the first is in progress")
	require.False(s.t, s.draining[n.target] && c.request.First && !s.opened[c.request.Key],
		"%s: a new session is dispatched while draining", c.name)
	s.opened[c.request.Key] = true
	n.dispatched[a.ID] = c
	n.provablyNotRun[a.ID] = false
	s.runsByCall[c.name]++
	if !c.idempotent {
		require.Equal(s.t, 1, s.runsByCall[c.name], "%s runs twice", c.name)
	}
}

// sendHandover delivers a handover message at once, so that the messages of one
// handover keep their order.
func (s *simulation) sendHandover(a target.SendHandover) {
	for _, n := range s.nodes[a.Handover.Target] {
		if n.host == a.To {
			s.handle(n, target.HandoverReceived{Handover: a.Handover})
		}
	}
}

func (s *simulation) consult(n *node, a target.Consult) {
	answer := target.ConsultAnswered{ID: a.ID, Failed: true}
	candidates := s.live(a.Request.Target)
	for i := len(candidates) - 1; i >= 0; i-- {
		other := candidates[i]
		if a.Host != "" && other.host != a.Host {
			continue
		}
		if rapid.IntRange(0, 9).Draw(s.t, "consult fails") > 0 {
			reply, actions := other.owner.HandleConsult(s.now, a.Request)
			s.perform(other, actions)
			answer.Failed, answer.Reply = false, reply
		}
		break
	}
	s.send(func() { s.handle(n, answer) })
}

// deliver passes a request to one of the hosts that consider themselves the owner of
// its target.
func (s *simulation) deliver(c *call) {
	live := s.live(c.request.Target)
	n := live[rapid.IntRange(0, len(live)-1).Draw(s.t, "owner")]
	s.opened[c.request.Key] = s.opened[c.request.Key] || !c.request.First
	s.nextID++
	id := s.nextID
	n.open[id], n.provablyNotRun[id] = c, true
	request := c.request
	s.handle(n, target.RequestArrived{ID: id, Request: &request})
}

func (s *simulation) sendCall() {
	session := rapid.IntRange(0, 3).Draw(s.t, "session")
	sequence := rapid.IntRange(0, 3).Draw(s.t, "sequence")
	name := fmt.Sprintf("%d/%d", session, sequence)
	c := &call{name: name, idempotent: sequence == 2}
	c.request = target.Request{
		HasSession: true, Key: key(fmt.Sprint(session)), Method: "/a/B", Identity: name, Idempotent: c.idempotent,
		First: sequence == 0, SessionEnd: sequence == 3, Target: flow.TargetID(1 + session%2),
		AcceptedAt: s.now, NotAfter: s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(s.t, "deadline")) * time.Second),
	}
	// Sessions 2 and 3 were opened before the simulation started.
	if c.request.First == (session >= 2) || !c.request.First && session < 2 && !s.established[c.request.Key] {
		return
	}
	for i := range s.moves {
		if i == 0 {
			c.request.BaseTarget = c.request.Target
		}
		c.request.PreviousTarget, c.request.Target = c.request.Target, flow.TargetID(3+i)
	}
	at, repeated := s.firstSentAt[name]
	if !repeated {
		s.firstSentAt[name] = s.now
	}
	switch {
	case session%2 == 1:
		// This caller sends the number of every attempt and the time of the first
		// one.
		c.request.HasAttempt = true
		if repeated {
			c.request.Attempt, c.request.FirstAttemptAt = 1, at
		}
	case repeated && s.now.Sub(at) >= target.RepeatWindow:
		// Other callers send the attempt number only for repeats after the window.
		c.request.Attempt = 1
	}
	s.send(func() { s.deliver(c) })
}

func (s *simulation) finishAttempt(n *node) {
	if ids := sortedIDs(n.dispatched); len(ids) > 0 {
		id := ids[0]
		c := n.dispatched[id]
		delete(n.dispatched, id)
		reply := target.Reply{Outcome: target.Outcome(rapid.IntRange(0, 2).Draw(s.t, "outcome"))}
		if reply.Outcome == target.OutcomeNotRun {
			reply.Reason = target.ReasonShed
			s.runsByCall[c.name]--
			n.provablyNotRun[id] = true
		}
		s.handle(n, target.AttemptFinished{ID: id, Reply: reply})
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

func (s *simulation) step() {
	id := flow.TargetID(rapid.IntRange(1, targetCount).Draw(s.t, "target"))
	live := s.live(id)
	n := live[rapid.IntRange(0, len(live)-1).Draw(s.t, "node")]
	switch rapid.IntRange(0, 20).Draw(s.t, "step") {
	case 0, 1, 2, 3:
		s.sendCall()
	case 4, 5, 6, 7, 8, 9:
		if len(s.messages) > 0 {
			i := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
			message := s.messages[i]
			s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
			message()
		}
	case 10, 11, 12:
		s.finishAttempt(n)
	case 13, 14:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(s.t, "ms")) * time.Millisecond)
		for id := flow.TargetID(1); id <= targetCount; id++ {
			for _, n := range s.live(id) {
				s.handle(n, target.Tick{})
			}
		}
	case 15:
		if ids := sortedIDs(n.open); len(ids) > 0 {
			s.handle(n, target.CallerGone{ID: ids[0]})
		}
	case 16:
		// A planned change of owner. Hosts with an older membership view still use
		// the previous owner.
		s.startOwner(id, target.TakeoverStarted{PreviousOwner: live[len(live)-1].host})
	case 17:
		// A crash of every host that owns the target.
		for _, n := range live {
			n.dead = true
		}
		s.startOwner(id, target.TakeoverStarted{})
	case 18:
		s.draining[id] = !s.draining[id] && id < 3
		declared, policy := declaration()
		declared.ID, declared.Slots = id, s.slots
		if s.draining[id] {
			declared.State = configuration.TargetDraining
		}
		for _, n := range live {
			s.handle(n, target.PolicyChanged{Target: declared, Policy: policy})
		}
	case 19:
		s.changeTable()
	case 20:
		s.handle(n, target.LoadsChanged{Loads: s.loads()})
	}
}

// changeTable maps all buckets to the next target, at most twice.
func (s *simulation) changeTable() {
	if s.moves == 2 {
		return
	}
	s.moves++
	to := flow.TargetID(2 + s.moves)
	for id := flow.TargetID(1); id <= targetCount; id++ {
		for _, n := range s.live(id) {
			s.handle(n, target.TableChanged{ReplacedAt: s.now})
			for _, h := range n.owner.MovedRecords(func(flow.Key) flow.TargetID { return to }) {
				s.send(func() { s.handle(s.live(h.Target)[0], target.HandoverReceived{Handover: h}) })
			}
		}
	}
}

// settle delivers all messages, finishes all attempts and checks that no request is
// left open.
func (s *simulation) settle() {
	for i := 0; i < 400; i++ {
		for len(s.messages) > 0 {
			message := s.messages[0]
			s.messages = s.messages[1:]
			message()
		}
		s.now = s.now.Add(time.Second)
		for id := flow.TargetID(1); id <= targetCount; id++ {
			for _, n := range s.live(id) {
				s.finishAttempt(n)
				s.handle(n, target.Tick{})
			}
		}
	}
	for id := flow.TargetID(1); id <= targetCount; id++ {
		for _, n := range s.live(id) {
			require.Empty(s.t, n.open, "requests without a Finish or Forward at %s", n.host)
			require.True(s.t, n.owner.Idle())
			require.Zero(s.t, n.owner.InProgress()+n.owner.Queued())
		}
	}
}

func checkRandomEvents(t *rapid.T) {
	s := newSimulation(t)
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		s.step()
	}
	s.settle()
}

// Guards against requests that run twice, lost or duplicate replies, a false not_run,
// more attempts than slots, and new sessions on draining targets. Owners crash and
// change, tables change, and messages arrive in any order.
func TestRandomEvents(t *testing.T) { rapid.Check(t, checkRandomEvents) }

func FuzzRandomEvents(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkRandomEvents)) }
