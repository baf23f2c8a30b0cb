package packet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"oriolevalve/internal/golden"
	"oriolevalve/internal/packet"

	"github.com/stretchr/testify/require"
)

// suspicionScript plays flows at targets that are asked whether they live. A target's data
// centre is the first letter of its name; the host's is "a". Client numbers from 100 on call a
// service whose requests must not run twice.
type suspicionScript struct {
	GuardsAgainst string `json:"guards_against"`
	// Hosts is the number of hosts in the data centre.
	Hosts   int              `json:"hosts"`
	Targets []string         `json:"targets"`
	Steps   []suspicionsStep `json:"steps"`
}

type suspicionsStep struct {
	At int64 `json:"at_ms"`
	// Ask lets a client ask on its flow at a target; a flow that the host does not know was opened
	// by another host. Repeat and Answered are the client's next packets. Open sends an opening
	// packet, with the given number of copies before it.
	Ask      int    `json:"ask"`
	Target   string `json:"target"`
	Repeat   int    `json:"repeat"`
	Answered int    `json:"answered"`
	Open     int    `json:"open"`
	Copies   uint32 `json:"copies"`
	// Others is the number of requests that the target answers at once.
	Others int `json:"others"`
	// Outcome is that of the running question to the target, Heard the age of what another host
	// found out about it.
	Outcome string `json:"outcome"`
	Heard   *int64 `json:"heard_ms"`
	// State and Born change the target's entry.
	State string `json:"state"`
	Born  int64  `json:"born_ms"`
}

type suspicionPlay struct {
	plane   *packet.Plane
	now     time.Duration
	hosts   int
	targets []packet.Target
	flows   map[int]*feed
	asked   map[string]packet.Question
	others  int
	out     strings.Builder
}

func (p *suspicionPlay) show() {
	routes := []packet.Route{
		{Address: serviceAddress(0), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}, Idempotent: true},
		{Address: serviceAddress(1), Services: []packet.ServiceShare{{Service: "s", Weight: 1}}},
	}
	p.plane.SetView(packet.NewView("a", routes, append([]packet.Target(nil), p.targets...), packet.WithHosts(p.hosts, 0, 0),
		packet.WithCompleteTargets(true), packet.WithHealthPaths(map[string]string{"s": "/health"})))
}

func (p *suspicionPlay) target(name string) *packet.Target {
	for i := range p.targets {
		if p.targets[i].Name == name {
			return &p.targets[i]
		}
	}
	return nil
}

func (p *suspicionPlay) print(format string, arguments ...any) {
	fmt.Fprintf(&p.out, "%d ", p.now.Milliseconds())
	fmt.Fprintf(&p.out, format+"\n", arguments...)
}

// send passes a packet of a client and prints what becomes of it.
func (p *suspicionPlay) send(client int, k packet.Packet) {
	d := p.plane.Decide(p.now, &k)
	p.print("client %d: %s %s %s", client, actions[d.Action], d.Name, d.Reason)
	p.report()
}

func (p *suspicionPlay) report() {
	news := p.plane.Judge(p.now)
	for _, q := range p.plane.Questions(p.now) {
		p.asked[q.Name] = q
		p.print("asks %s: repeats=%d unanswered=%t silence=%s heard=%s", q.Name, q.Retransmissions, q.Unanswered, q.Silence, q.HeardAge)
	}
	for _, b := range p.plane.HealthChanges() {
		switch {
		case b.Dead:
			p.print("dead: %s by %s %s ago", b.Target, b.Asked, b.QuestionAge)
		case !b.Silent:
			p.print("not dead: %s retried=%t", b.Target, b.Retried)
		}
	}
	for _, e := range p.plane.TerminatedFlows() {
		p.print("reset of a flow at %s", e.Name)
	}
	for _, n := range news {
		p.print("tells of %d: age=%s lives=%t", n.Target, p.now-n.At, n.Lives)
	}
}

func (p *suspicionPlay) play(s *suspicionsStep) {
	switch t := p.target(s.Target); {
	case s.Ask > 0:
		x := p.flows[s.Ask]
		if x == nil {
			x = &feed{
				flow: packet.Flow{Client: clientAddress(s.Ask), Service: serviceAddress(s.Ask / 100)}, tag: t.Key.Tag(), sequence: 2, acknowledged: 1,
			}
			p.flows[s.Ask] = x
		}
		p.send(s.Ask, packet.Packet{Flow: x.flow, Tag: x.tag, Sequence: x.sequence, Acknowledgement: x.acknowledged, Length: 50})
		x.sequence += 50
	case s.Repeat > 0:
		x := p.flows[s.Repeat]
		p.send(s.Repeat, packet.Packet{Flow: x.flow, Tag: x.tag, Sequence: x.sequence - 50, Acknowledgement: x.acknowledged, Length: 50})
	case s.Answered > 0:
		x := p.flows[s.Answered]
		x.acknowledged += 100
		p.send(s.Answered, packet.Packet{Flow: x.flow, Tag: x.tag, Sequence: x.sequence, Acknowledgement: x.acknowledged})
	case s.Open > 0:
		flow := packet.Flow{Client: clientAddress(s.Open), Service: serviceAddress(s.Open / 100)}
		p.send(s.Open, packet.Packet{Flow: flow, SYN: true, Sequence: 1, Acknowledgement: s.Copies})
	case s.Others > 0:
		for range s.Others {
			p.others++
			flow := packet.Flow{Client: clientAddress(1000 + p.others), Service: serviceAddress(0)}
			for _, k := range []packet.Packet{
				{Flow: flow, Tag: t.Key.Tag(), Sequence: 2, Acknowledgement: 1, Length: 50},
				{Flow: flow, Tag: t.Key.Tag(), Sequence: 52, Acknowledgement: 100, FIN: true},
			} {
				p.plane.Decide(p.now, &k)
			}
		}
		p.print("%d answers of %s", s.Others, s.Target)
	case s.Outcome != "":
		q, running := p.asked[s.Target]
		delete(p.asked, s.Target)
		for o := range packet.QuestionOutcomeCount {
			if running && o.String() == s.Outcome {
				p.plane.TakeReply(p.now, &packet.Reply{Question: q, Outcome: o, Ended: p.now})
				p.print("%s: %s", s.Target, o)
			}
		}
	case s.Heard != nil:
		age := time.Duration(*s.Heard) * time.Millisecond
		p.plane.HearNews(p.now, packet.TargetNews{Target: t.Key, At: p.now - age})
		p.print("hears of %s: age=%s", s.Target, age)
	case t != nil:
		t.State, t.StartedAtMillis = states[s.State], s.Born
		p.show()
		p.print("%s: %s", s.Target, t.State)
	}
	p.report()
}

// Guards against what each script names: questions that hosts with many targets should ask or
// not, verdicts on targets that live, and verdicts that come late or never end.
func TestSuspicions(t *testing.T) {
	golden.Run(t, "testdata/suspicions/*/input.json", func(t *testing.T, input []byte) string {
		var s suspicionScript
		golden.Decode(t, input, &s)
		require.NotEmpty(t, s.GuardsAgainst)
		p := &suspicionPlay{
			plane: packet.NewPlane(rand.New(rand.NewPCG(1, 2))), hosts: s.Hosts, flows: map[int]*feed{}, asked: map[string]packet.Question{},
		}
		for i, name := range s.Targets {
			p.targets = append(p.targets, packet.Target{
				Key: packet.TargetKey(i + 1), Name: name, Service: "s", DataCentre: name[:1], Slots: 2, StartedAtMillis: 1,
			})
		}
		p.show()
		for i := range s.Steps {
			p.now = time.Duration(s.Steps[i].At) * time.Millisecond
			p.play(&s.Steps[i])
		}
		return p.out.String()
	})
}

// Guards against a try that ended late, because the host's processor was taken away, and against
// the host's own errors: both say nothing about the target.
func TestFailedConnections(t *testing.T) {
	limit := packet.ConnectLimit
	expired := packet.ConnectionAttempt{Lasted: limit + 20*time.Millisecond, Expired: true}
	refused := packet.ConnectionAttempt{Lasted: time.Millisecond, Refused: true}
	for _, c := range []struct {
		attempts []packet.ConnectionAttempt
		outcome  packet.QuestionOutcome
	}{
		{[]packet.ConnectionAttempt{expired, expired}, packet.NoConnection},
		{[]packet.ConnectionAttempt{refused, refused}, packet.ConnectionRefused},
		{[]packet.ConnectionAttempt{refused, expired}, packet.NoConnection},
		{[]packet.ConnectionAttempt{expired, {Lasted: limit + 100*time.Millisecond, Expired: true}}, packet.Inconclusive},
		{[]packet.ConnectionAttempt{{Lasted: time.Millisecond}, refused}, packet.Inconclusive},
	} {
		require.Equal(t, c.outcome, packet.FailedConnections(c.attempts), c.attempts)
	}
}
