package target_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/golden"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func key(session string) flow.Key { return flow.Key(xxh3.HashString128(session).Bytes()) }

func declaration() (configuration.Target, configuration.Policy) {
	declared := configuration.Target{
		ID: 1, State: configuration.TargetJoined, Slots: 2, Connections: 2000, Weight: 1, JoinedAt: epoch.Add(-time.Hour),
	}
	return declared, configuration.Policy{
		BalanceBound: 1.15, IdleTimeout: duration.Duration(2 * time.Minute), QueueLimit: 4, EjectFloor: 0.5,
	}
}

// scenario executes one event per line: the time, the event, an optional number such
// as a request ID, and fields in the form name=value. A request without the field
// session has no session.
type scenario struct {
	t       *testing.T
	target  configuration.Target
	policy  configuration.Policy
	options []target.Option
	owner   *target.Owner
	output  strings.Builder
}

type fields map[string]string

func (f fields) is(name string) bool { return f[name] == "true" }

func (f fields) list(name string) []string {
	if f[name] == "" {
		return nil
	}
	return strings.Split(f[name], ",")
}

func (s *scenario) parseInt(f fields, name string, fallback int) int {
	if f[name] == "" {
		return fallback
	}
	n, err := strconv.Atoi(f[name])
	require.NoError(s.t, err)
	return n
}

func (s *scenario) parseDuration(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	return d
}

func (s *scenario) declare(f fields) {
	s.target.Slots = s.parseInt(f, "slots", s.target.Slots)
	s.target.Connections = s.parseInt(f, "connections", s.target.Connections)
	s.policy.QueueLimit = s.parseInt(f, "queue_limit", s.policy.QueueLimit)
	if f["state"] != "" {
		s.target.State = configuration.TargetState(f["state"])
	}
	if f["warm_up"] != "" {
		s.policy.WarmUp = duration.Duration(s.parseDuration(f["warm_up"]))
		s.target.JoinedAt = epoch
	}
}

func (s *scenario) request(now time.Time, id uint64, f fields) target.RequestArrived {
	r := &target.Request{
		Target: flow.TargetID(s.parseInt(f, "target", 1)), HasSession: true, Key: key(f["session"]), Method: "/desk/Apply",
		First: f.is("first"), SessionEnd: f.is("end"), Placed: f.is("placed"), Assumed: f.is("assumed"),
		Idempotent: f.is("idempotent"),
		Identity:   f["identity"], Attempt: uint32(s.parseInt(f, "attempt", 0)), BaseTarget: flow.TargetID(s.parseInt(f, "base", 0)),
		PreviousTarget: flow.TargetID(s.parseInt(f, "previous", 0)), HasAttempt: f.is("marked"),
		Caller: f["caller"], Hops: uint8(s.parseInt(f, "hops", 0)), NotAfter: now.Add(30 * time.Second), Body: []byte(f["session"]),
	}
	if f["session"] == "" {
		r.HasSession, r.Key = false, key("without session "+strconv.FormatUint(id, 10))
	}
	if f["deadline"] != "" {
		r.NotAfter = now.Add(s.parseDuration(f["deadline"]))
	}
	r.AcceptedAt = now.Add(-s.parseDuration(f["accepted_ago"]))
	return target.RequestArrived{ID: id, Request: r}
}

func reply(f fields) target.Reply {
	r := target.Reply{Reason: target.Reason(f["reason"]), Body: []byte(f["body"])}
	switch f["outcome"] {
	case "answered":
		r.Outcome = target.OutcomeAnswered
	case "not_run":
		r.Outcome = target.OutcomeNotRun
	}
	return r
}

func (s *scenario) loads(f fields) []target.Load {
	var loads []target.Load
	for _, text := range f.list("sessions") {
		id, count, _ := strings.Cut(text, ":")
		count, ineligible := strings.CutSuffix(count, "!")
		l := target.Load{
			Target: flow.TargetID(s.parseInt(fields{"id": id}, "id", 0)), Weight: 1, Eligible: !ineligible,
			Sessions: uint32(s.parseInt(fields{"n": count}, "n", 0)),
		}
		loads = append(loads, l)
	}
	return loads
}

func (s *scenario) handover(f fields) target.Handover {
	h := target.Handover{Target: 1, From: "previous", Complete: f.is("complete"), Copy: f.is("copy")}
	for _, session := range f.list("sessions") {
		h.Sessions = append(h.Sessions, key(session))
	}
	for _, text := range f.list("exceptions") {
		session, id, _ := strings.Cut(text, ":")
		h.Exceptions = append(h.Exceptions, flow.Record{
			Key: key(session), Target: flow.TargetID(s.parseInt(fields{"id": id}, "id", 0)),
		})
	}
	for _, text := range f.list("identities") {
		session, identity, _ := strings.Cut(text, "/")
		h.Identities = append(h.Identities, s.identity(session, identity))
	}
	return h
}

func (s *scenario) identity(session, identity string) string {
	return target.IdentityHash(&target.Request{HasSession: true, Key: key(session), Method: "/desk/Apply", Identity: identity})
}

func (s *scenario) run(now time.Time, event string, id uint64, f fields) {
	var e target.Event
	switch event {
	case "declare":
		s.declare(f)
		if s.owner == nil {
			return
		}
		e = target.PolicyChanged{Target: s.target, Policy: s.policy}
	case "kept_bytes":
		s.options = append(s.options, target.WithAnswerCacheBytes(int(id)))
		return
	case "request":
		e = s.request(now, id, f)
	case "finished":
		e = target.AttemptFinished{ID: id, Reply: reply(f)}
	case "forwarded":
		e = target.ForwardFinished{Key: key(f["session"]), Target: flow.TargetID(id), Reply: reply(f)}
	case "gone":
		e = target.CallerGone{ID: id}
	case "moved":
		e = target.TableChanged{ReplacedAt: now}
	case "loads":
		e = target.LoadsChanged{Loads: s.loads(f)}
	case "handover":
		e = target.HandoverReceived{Handover: s.handover(f)}
	case "takeover":
		e = target.TakeoverStarted{PreviousOwner: f["previous"], FirstOwner: f.is("complete"), RemoteDataCentre: f.is("foreign")}
	case "lost":
		e = target.HandoverRequested{To: f["to"]}
	case "answer":
		e = target.ConsultAnswered{ID: id, Failed: f.is("failed"), Reply: target.ConsultReply{
			KnownSession: f.is("session"), KnownIdentity: f.is("identity"), Authoritative: !f.is("incomplete"),
			Exception: flow.TargetID(s.parseInt(f, "exception", 0)),
		}}
	case "consult":
		request := target.ConsultRequest{From: f["from"], Claim: f.is("claim"), Target: 1, Key: key(f["session"])}
		if f["identity"] != "" {
			request.Identity = s.identity(f["session"], f["identity"])
		}
		r, actions := s.owner.HandleConsult(now, request)
		fmt.Fprintf(&s.output, "    reply session=%t identity=%t exception=%d complete=%t\n",
			r.KnownSession, r.KnownIdentity, r.Exception, r.Authoritative)
		s.print(actions)
		return
	case "probe":
		e = target.ProbeFinished{OK: f.is("ok")}
	case "backup":
		e = target.BackupChanged{}
	case "stopping":
		e = target.Stopping{}
	case "tick":
		e = target.Tick{}
	case "moved_sessions":
		for _, h := range s.owner.MovedRecords(func(flow.Key) flow.TargetID { return flow.TargetID(id) }) {
			fmt.Fprintf(&s.output, "    records for %d: %s\n", h.Target, s.describe(h))
		}
		return
	default:
		s.t.Fatalf("unknown event %q", event)
	}
	if s.owner == nil {
		s.owner = target.NewOwner(s.target, s.policy, append(s.options, target.WithSeed(1), target.WithHost("self"))...)
	}
	s.print(s.owner.Handle(now, e))
}

func (s *scenario) describe(h target.Handover) string {
	var text strings.Builder
	fmt.Fprintf(&text, "sessions=%d", len(h.Sessions))
	for _, r := range h.Exceptions {
		fmt.Fprintf(&text, " exception=%x:%d", r.Key[:2], r.Target)
	}
	for _, r := range h.Assumed {
		fmt.Fprintf(&text, " assumed=%x:%d", r.Key[:2], r.Target)
	}
	fmt.Fprintf(&text, " identities=%d complete=%t copy=%t", len(h.Identities), h.Complete, h.Copy)
	return text.String()
}

func (s *scenario) print(actions []target.Action) {
	line := func(format string, values ...any) { fmt.Fprintf(&s.output, "    "+format+"\n", values...) }
	for _, action := range actions {
		switch a := action.(type) {
		case target.Dispatch:
			line("dispatch %d not_after=%s", a.ID, a.NotAfter.Sub(epoch))
		case target.Forward:
			line("forward %d to=%d placed=%t assumed=%t base=%d", a.ID, a.Target, a.Request.Placed, a.Request.Assumed, a.Request.BaseTarget)
		case target.Finish:
			line("finish %d %s %s %s", a.ID, a.Reply.Outcome, a.Reply.Reason, a.Reply.Body)
		case target.Cancel:
			line("cancel %d", a.ID)
		case target.Consult:
			line("consult %d host=%q target=%d claim=%t", a.ID, a.Host, a.Request.Target, a.Request.Claim)
		case target.SendHandover:
			line("handover to=%s %s", a.To, s.describe(a.Handover))
		case target.CopyExceptions:
			line("copy %s", s.describe(a.Handover))
		case target.Probe:
			line("probe")
		case target.PublishStatus:
			line("status version=%d healthy=%t relay=%t sessions=%d in_progress=%d queued=%d",
				a.Status.Version, a.Status.Healthy, a.Status.Relay, a.Status.Sessions, a.Status.InProgress, a.Status.Queued)
		}
	}
}

// Each directory of testdata/scenarios holds the events that test one rule and the
// expected actions. The first line of the events says which failure the scenario
// guards against.
func TestScenarios(t *testing.T) {
	golden.Run(t, "testdata/scenarios/*/events.txt", func(t *testing.T, input []byte) string {
		s := &scenario{t: t}
		s.target, s.policy = declaration()
		require.True(t, strings.HasPrefix(string(input), "# Guards against "), "the first line names the failure")
		for text := range strings.Lines(string(input)) {
			s.step(strings.TrimSpace(text))
		}
		return s.output.String()
	})
}

func (s *scenario) step(text string) {
	words := strings.Fields(text)
	if len(words) == 0 || words[0] == "#" {
		return
	}
	require.GreaterOrEqual(s.t, len(words), 2, text)
	fmt.Fprintln(&s.output, text)
	now := epoch.Add(s.parseDuration(words[0]))
	event, words := words[1], words[2:]
	var id uint64
	if len(words) > 0 {
		if n, err := strconv.ParseUint(words[0], 10, 64); err == nil {
			id, words = n, words[1:]
		}
	}
	f := fields{}
	for _, word := range words {
		name, value, assigned := strings.Cut(word, "=")
		if !assigned {
			value = "true"
		}
		f[name] = value
	}
	s.run(now, event, id, f)
}
