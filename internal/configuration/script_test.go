package configuration_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/golden"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// modelStore is the object API as a map.
type modelStore map[string]modelObject

type modelObject struct {
	version uint64
	value   []byte
}

// perform executes an action and returns its answer.
func (m modelStore) perform(a configuration.CommitAction, now time.Time) configuration.CommitEvent {
	e := configuration.CommitEvent{Now: now, Kind: configuration.CommitDone, Sequence: a.Sequence}
	object, exists := m[a.Key]
	switch {
	case a.Kind == configuration.CommitReadObject && !exists:
		e.Kind = configuration.CommitNotFound
	case a.Kind == configuration.CommitReadObject:
		e.Kind, e.Version, e.Value = configuration.CommitRead, object.version, object.value
	case a.Kind == configuration.CommitDeleteObject:
		delete(m, a.Key)
	case a.Kind == configuration.CommitCreateObject && exists,
		a.Kind == configuration.CommitUpdateObject && object.version != a.Version:
		e.Kind = configuration.CommitPreconditionFailed
	default:
		m[a.Key] = modelObject{object.version + 1, a.Value}
		e.Version = object.version + 1
	}
	return e
}

// decodeDeclarations reads a JSON list of declarations for a test. Fields missing
// from a policy get their defaults.
func decodeDeclarations(value []byte) ([]configuration.ServiceDeclaration, error) {
	var list []struct {
		configuration.ServiceDeclaration
		Policy json.RawMessage `json:"policy"`
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return nil, err
	}
	declarations := make([]configuration.ServiceDeclaration, len(list))
	for i, d := range list {
		declarations[i] = d.ServiceDeclaration
		if len(d.Policy) == 0 || string(d.Policy) == "null" {
			continue
		}
		policy := configuration.DefaultPolicy()
		if err := json.Unmarshal(d.Policy, &policy); err != nil {
			return nil, err
		}
		declarations[i].Policy = &policy
	}
	return declarations, nil
}

// parseChange reads "apply JSON", "delete S V", "join S V JSON", "drain S V T"
// or "leave S V T [force] [open=N] [incomplete]".
func parseChange(t *testing.T, words []string) configuration.Change {
	c := configuration.Change{}
	if words[0] == "apply" {
		list, err := decodeDeclarations([]byte(strings.Join(words[1:], " ")))
		require.NoError(t, err)
		return configuration.Change{Kind: configuration.ChangeApply, Declarations: list}
	}
	version, err := strconv.ParseUint(words[2], 10, 64)
	require.NoError(t, err)
	c.Service, c.BaseVersion, c.Sessions.Complete = words[1], version, true
	switch words[0] {
	case "delete":
		c.Kind = configuration.ChangeDeleteService
	case "join":
		c.Kind, c.Join = configuration.ChangeJoinTarget, &configuration.TargetDeclaration{}
		require.NoError(t, json.Unmarshal([]byte(strings.Join(words[3:], " ")), c.Join))
	case "drain":
		c.Kind, c.Target = configuration.ChangeDrainTarget, words[3]
	case "leave":
		c.Kind, c.Target = configuration.ChangeLeaveTarget, words[3]
		for _, w := range words[4:] {
			switch w {
			case "force":
				c.Force = true
			case "incomplete":
				c.Sessions.Complete = false
			default:
				_, err := fmt.Sscanf(w, "open=%d", &c.Sessions.Open)
				require.NoError(t, err)
			}
		}
	default:
		require.Fail(t, "unknown change", words[0])
	}
	return c
}

// script runs one input file.
type script struct {
	t       *testing.T
	out     strings.Builder
	now     time.Time
	base    *configuration.Configuration
	store   modelStore
	commits map[string]*commitRun
	hosts   map[string]*hostRun
	// toggles counts the changes of manyChanges.
	toggles int
}

type commitRun struct {
	commit  *configuration.Commit
	pending *configuration.CommitAction
}

type hostRun struct {
	adoption *configuration.Syncer
	reads    []string
	// known is the revision in the latest request to a peer.
	known uint64
}

func (s *script) printf(format string, arguments ...any) { fmt.Fprintf(&s.out, format, arguments...) }

func (s *script) handle(name string, e configuration.CommitEvent) {
	r := s.commits[name]
	for _, a := range r.commit.Handle(e) {
		switch {
		case a.Kind == configuration.CommitReport:
			r.pending = nil
			s.printf("  %s: %s revision=%d current=%d %s\n", name, a.Result.Status, a.Result.Revision, a.Result.CurrentVersion, a.Result.Reason)
			if len(a.Result.Differences) > 0 {
				s.printf("    %s, %d in all\n", a.Result.Differences[0], len(a.Result.Differences))
			}
		case r.commit.Done():
			s.printf("  %s: delete orphan %s\n", name, keyName(a.Key))
			s.store.perform(a, s.now)
		default:
			s.printf("  %s: %s %s if=%d\n", name, a.Kind, keyName(a.Key), a.Version)
			r.pending = &a
		}
	}
}

// keyName cuts the digest, which changes with every change of the format.
func keyName(key string) string {
	if i := strings.LastIndex(key, "-"); i > 0 {
		return key[:i]
	}
	return key
}

func (s *script) deliver(name string) {
	r := s.commits[name]
	require.NotNil(s.t, r.pending)
	s.handle(name, s.store.perform(*r.pending, s.now))
}

func (s *script) answer(name string, kind configuration.CommitEventKind) {
	r := s.commits[name]
	s.handle(name, configuration.CommitEvent{Now: s.now, Kind: kind, Sequence: r.pending.Sequence, Reason: "scripted"})
}

func (s *script) adopt(name string, e configuration.SyncEvent) {
	e.Now = s.now
	h := s.hosts[name]
	for _, a := range h.adoption.Handle(e) {
		s.printf("  %s: %s", name, a.Kind)
		switch a.Kind {
		case configuration.SyncFetchPeer:
			h.known = a.SinceRevision
			s.printf(" %s known=%d", a.Peer, a.SinceRevision)
		case configuration.SyncReadObject:
			s.printf(" %s", keyName(a.Key))
			h.reads = append(h.reads, a.Key)
		case configuration.SyncAdopt:
			s.printf(" revision=%d", a.State.Revision())
		case configuration.SyncAlarm:
			s.printf(" %s", strings.SplitN(a.Reason, ":", 2)[0])
		}
		s.printf("\n")
	}
}

func (s *script) line(line string) {
	w := strings.Fields(line)
	s.printf("> %s\n", line)
	switch w[0] {
	case "at":
		d, err := time.ParseDuration(w[1])
		require.NoError(s.t, err)
		s.now = epoch.Add(d)
	case "apply", "delete", "join", "drain", "leave":
		s.change(parseChange(s.t, w))
	case "live":
		service, _ := s.base.Service(w[1])
		for _, g := range service.LiveGenerations(s.now) {
			s.printf("  from=%d replaced=%s targets=%v\n", g.Revision, g.ReplacedAt.Sub(epoch), g.Targets)
		}
	case "begin": // begin NAME IDENTITY CHANGE
		operation := configuration.Operation{Identity: w[2], Actor: "ada", Change: parseChange(s.t, w[3:])}
		s.commits[w[1]] = &commitRun{commit: configuration.NewCommit(operation, nil)}
		s.handle(w[1], configuration.CommitEvent{Now: s.now, Kind: configuration.CommitStart})
	case "deliver":
		s.deliver(w[1])
	case "until": // until NAME KEY: stop when the write of the key is pending
		for p := s.commits[w[1]].pending; p.Key != w[2] || p.Kind == configuration.CommitReadObject; p = s.commits[w[1]].pending {
			s.deliver(w[1])
		}
	case "run":
		for !s.commits[w[1]].commit.Done() {
			s.deliver(w[1])
		}
	case "lose": // lose NAME [applied]
		if len(w) > 2 {
			s.store.perform(*s.commits[w[1]].pending, s.now)
		}
		s.answer(w[1], configuration.CommitResponseLost)
	case "late": // late NAME: an earlier copy of the pending action arrives now
		s.store.perform(*s.commits[w[1]].pending, s.now)
	case "unsent":
		s.answer(w[1], configuration.CommitNotSent)
	case "refuse":
		s.answer(w[1], configuration.CommitRefused)
	case "tick":
		s.handle(w[1], configuration.CommitEvent{Now: s.now, Kind: configuration.CommitTick})
	case "changes": // changes N: commits N drains and joins in turn
		count, err := strconv.Atoi(w[1])
		require.NoError(s.t, err)
		s.manyChanges(count)
	case "head":
		s.head()
	case "damage": // damage KEY-PREFIX
		for key, object := range s.store {
			if strings.HasPrefix(key, w[1]) {
				s.store[key] = modelObject{object.version, append([]byte("x"), object.value...)}
			}
		}
	default:
		s.hostLine(w)
	}
}

func (s *script) hostLine(w []string) {
	h := s.hosts[w[1]]
	switch w[0] {
	case "host":
		s.hosts[w[1]] = &hostRun{adoption: configuration.NewSyncer(configuration.WithHost(w[1]))}
	case "start":
		s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncStart, Peers: w[2:]})
	case "offer": // offer HOST PEER: the peer gossips its revision
		s.adopt(w[1], configuration.SyncEvent{
			Kind: configuration.SyncPeerRevision, Peer: w[2], Revision: s.hosts[w[2]].adoption.State().Revision(),
		})
	case "peer": // peer HOST PEER [damaged]: the peer answers
		delta, err := s.hosts[w[2]].adoption.State().Delta(h.known)
		require.NoError(s.t, err)
		if len(w) > 3 {
			delta.Segments[0] = append([]byte(nil), delta.Segments[0][1:]...)
		}
		s.printf("  segments=%d\n", len(delta.Segments))
		s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncDelta, Peer: w[2], Delta: delta})
	case "peer_failed":
		s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncPeerFailed, Peer: w[2]})
	case "watch": // the platform's watch delivers the head
		s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncObject, Key: "head", Value: s.store["head"].value})
	case "platform": // the platform answers the reads
		for len(h.reads) > 0 {
			key := h.reads[0]
			h.reads = h.reads[1:]
			s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncObject, Key: key, Value: s.store[key].value})
		}
	case "platform_failed":
		h.reads = nil
		s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncPlatformFailed})
	case "pause":
		s.adopt(w[1], configuration.SyncEvent{Kind: configuration.SyncTick})
	case "state":
		s.printf("  revision=%d alarm=%t started=%t\n", h.adoption.State().Revision(), h.adoption.Alarm() != "", h.adoption.StartupDone())
	default:
		require.Fail(s.t, "unknown line", w)
	}
}

func (s *script) change(c configuration.Change) {
	next, differences, err := c.Apply(s.base, s.now)
	if err != nil {
		lines := []string{err.Error()}
		if problems := configuration.Problems(nil); errors.As(err, &problems) {
			lines = lines[:0]
			for _, problem := range problems {
				lines = append(lines, problem.String())
			}
		}
		for _, line := range lines {
			s.printf("  error: %s\n", line)
		}
		return
	}
	s.base = next
	s.printf("  revision=%d\n", next.Revision)
	for i, d := range differences {
		if i == 8 {
			s.printf("  and %d more\n", len(differences)-i)
			break
		}
		s.printf("  %s\n", d)
	}
}

func (s *script) manyChanges(count int) {
	head, err := configuration.DecodeHead(s.store["head"].value)
	require.NoError(s.t, err)
	version := head.Services[0].Version
	for range count {
		kind := configuration.ChangeDrainTarget
		c := configuration.Change{Service: "desk", BaseVersion: version, Target: "t1"}
		if s.toggles++; s.toggles%2 == 0 {
			kind = configuration.ChangeJoinTarget
			c.Join = &configuration.TargetDeclaration{Name: "t1", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2}
		}
		c.Kind = kind
		s.now = s.now.Add(time.Second)
		operation := configuration.Operation{Identity: fmt.Sprintf("many-%d", s.toggles), Actor: "ada", Change: c}
		result := runCommit(configuration.NewCommit(operation, nil), s.store, s.now)
		require.Equal(s.t, configuration.CommitApplied, result.Status, result.Reason)
		version = result.Revision
	}
}

// performed counts the calls of runCommit.
var performed int

// runCommit runs a commit against a store that always answers.
func runCommit(c *configuration.Commit, store modelStore, now time.Time) configuration.CommitResult {
	var result configuration.CommitResult
	actions := c.Handle(configuration.CommitEvent{Now: now, Kind: configuration.CommitStart})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if a.Kind == configuration.CommitReport {
			result = a.Result
			continue
		}
		performed++
		actions = append(actions, c.Handle(store.perform(a, now))...)
	}
	return result
}

func (s *script) head() {
	object, exists := s.store["head"]
	if !exists {
		s.printf("  none\n")
		return
	}
	head, err := configuration.DecodeHead(object.value)
	require.NoError(s.t, err)
	s.printf("  revision=%d version=%d obsolete=%d chunks=%d\n", head.Revision, object.version, len(head.Obsolete), len(head.AuditChunks))
	for _, r := range head.AuditChunks {
		s.printf("  chunk first=%d last=%d entries=%d\n", r.FirstRevision, r.LastRevision, r.Entries)
	}
	entries := head.Audit
	if len(entries) > 4 {
		s.printf("  audit entries=%d\n", len(entries))
		entries = entries[len(entries)-1:]
	}
	for _, e := range entries {
		s.printf("  audit revision=%d identity=%s action=%s services=%v\n", e.Revision, e.Identity, e.Action, e.Services)
	}
	var keys []string
	for key := range s.store {
		if strings.HasPrefix(key, "segment/") {
			keys = append(keys, keyName(key))
		}
	}
	sort.Strings(keys)
	if len(keys) < 10 {
		s.printf("  segments=%v\n", keys)
	}
}

// Runs every script in testdata and compares its output. Each script's first
// line says which failure it guards against.
func TestScripts(t *testing.T) {
	golden.Run(t, "testdata/*/*/input", func(t *testing.T, input []byte) string {
		s := &script{
			t: t, now: epoch, base: &configuration.Configuration{}, store: modelStore{},
			commits: map[string]*commitRun{}, hosts: map[string]*hostRun{},
		}
		for line := range strings.Lines(string(input)) {
			if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
				s.line(line)
			}
		}
		return s.out.String()
	})
}
