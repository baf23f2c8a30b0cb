package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
)

const deskDeclaration = `[{"name":"desk","address":"10.1.0.1:443","protocol":"grpc","targets":[
	{"name":"t1","address":"10.0.0.1:80","data_centre":"a","slots":2},
	{"name":"t2","address":"10.0.0.2:80","data_centre":"b","slots":2}]}]`

// deskStore returns a store with one service, and its head.
func deskStore(t testing.TB) (modelStore, *configuration.Head) {
	declarations, err := decodeDeclarations([]byte(deskDeclaration))
	require.NoError(t, err)
	store := modelStore{}
	result := runCommit(configuration.NewCommit(configuration.Operation{
		Identity: "first", Actor: "ada",
		Change: configuration.Change{Kind: configuration.ChangeApply, Declarations: declarations},
	}, nil), store, epoch)
	require.Equal(t, configuration.CommitApplied, result.Status, result.Reason)
	head, err := configuration.DecodeHead(store["head"].value)
	require.NoError(t, err)
	return store, head
}

// Guards against a decoder that panics, or accepts a head that it cannot write.
func FuzzDecodeHead(f *testing.F) {
	store, _ := deskStore(f)
	f.Add(store["head"].value)
	f.Add([]byte(`{"format":1,"services":[{"service":1}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := configuration.DecodeHead(value)
		if err != nil {
			return
		}
		again, err := configuration.EncodeHead(head)
		if err != nil {
			return
		}
		_, err = configuration.DecodeHead(again)
		require.NoError(t, err)
	})
}

// Guards against a segment that passes with the digest of another one, and
// against a panic on content that has the right digest.
func FuzzDecodeSegment(f *testing.F) {
	store, head := deskStore(f)
	reference := head.Services[0]
	f.Add(store[reference.Key()].value)
	f.Fuzz(func(t *testing.T, value []byte) {
		service, err := configuration.DecodeSegment(value, reference)
		if err == nil {
			require.Equal(t, reference.Service, service.ID)
			require.Equal(t, store[reference.Key()].value, value)
		}
		forged := configuration.SegmentReference{Service: 1, Version: 1, Digest: configuration.Digest(value)}
		if service, err = configuration.DecodeSegment(value, forged); err == nil {
			require.Equal(t, forged.Service, service.ID)
		}
	})
}

// Guards against a panic in the decoder of audit chunks.
func FuzzDecodeAuditChunk(f *testing.F) {
	_, head := deskStore(f)
	value, _, err := configuration.EncodeAuditChunk(head.Audit)
	require.NoError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		r := configuration.AuditChunkReference{Digest: configuration.Digest(value)}
		entries, err := configuration.DecodeAuditChunk(value, r)
		require.True(t, err == nil || entries == nil)
	})
}

// Guards against declarations that make a change panic or result in an invalid
// configuration. internal/commands reads the files of operators.
func FuzzApplyDeclarations(f *testing.F) {
	f.Add([]byte(deskDeclaration))
	f.Add([]byte(`[{"name":"a","policy":{"warm_up":"1s"}},{"name":"a","policy":null}]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		declarations, err := decodeDeclarations(value)
		if err != nil {
			return
		}
		next, _, err := (&configuration.Configuration{}).ApplyDeclarations(epoch, declarations)
		if err == nil {
			require.Empty(t, next.Validate())
		}
	})
}

// randomRun drives several commits against one store in an order that the
// bytes choose.
type randomRun struct {
	store   modelStore
	now     time.Time
	commits []*randomCommit
}

type randomCommit struct {
	identity string
	commit   *configuration.Commit
	pending  *configuration.CommitAction
	// delayed are head updates whose answer was lost and that reach the store later.
	delayed []configuration.CommitAction
	result  *configuration.CommitResult
}

func (r *randomRun) begin(identity string, c configuration.Change) {
	n := &randomCommit{identity: identity, commit: configuration.NewCommit(
		configuration.Operation{Identity: identity, Actor: "ada", Change: c}, nil)}
	r.commits = append(r.commits, n)
	r.handle(n, configuration.CommitEvent{Now: r.now, Kind: configuration.CommitStart})
}

func (r *randomRun) handle(n *randomCommit, e configuration.CommitEvent) {
	for _, a := range n.commit.Handle(e) {
		switch {
		case a.Kind == configuration.CommitReport:
			n.result, n.pending = &a.Result, nil
		case n.result != nil:
			r.store.perform(a, r.now)
		default:
			n.pending = &a
		}
	}
}

// step performs one event of a commit. The choice decides which.
func (r *randomRun) step(n *randomCommit, choice byte) {
	if choice%8 == 0 && len(n.delayed) > 0 {
		r.store.perform(n.delayed[0], r.now)
		n.delayed = n.delayed[1:]
		return
	}
	if n.pending == nil {
		return
	}
	e := configuration.CommitEvent{Now: r.now, Sequence: n.pending.Sequence}
	switch choice % 8 {
	case 1:
		r.store.perform(*n.pending, r.now)
		e.Kind = configuration.CommitResponseLost
	case 2:
		n.delayed = append(n.delayed, *n.pending)
		e.Kind = configuration.CommitResponseLost
	case 3:
		e.Kind = configuration.CommitNotSent
	case 4:
		r.now = r.now.Add(700 * time.Millisecond)
		e.Kind = configuration.CommitTick
	default:
		e = r.store.perform(*n.pending, r.now)
	}
	r.handle(n, e)
	if e.Kind == configuration.CommitNotSent || e.Kind == configuration.CommitResponseLost {
		r.handle(n, configuration.CommitEvent{Now: r.now, Kind: configuration.CommitTick})
	}
}

// check compares the results with the audit trail.
func (r *randomRun) check(t *testing.T) {
	head, err := configuration.DecodeHead(r.store["head"].value)
	require.NoError(t, err)
	state := assembleFromStore(t, r.store)
	applied := map[string]uint64{}
	for i, entry := range head.Audit {
		require.Equal(t, uint64(i+1), entry.Revision, "one entry for each revision")
		require.NotContains(t, applied, entry.Identity, "applied twice")
		applied[entry.Identity] = entry.Revision
	}
	require.Equal(t, uint64(len(head.Audit)), head.Revision)
	for _, n := range r.commits {
		if n.result == nil {
			continue
		}
		revision, found := applied[n.identity]
		switch n.result.Status {
		case configuration.CommitApplied:
			if n.result.Reason == "" {
				require.True(t, found, n.identity)
				require.Equal(t, revision, n.result.Revision)
			}
		case configuration.CommitNotApplied, configuration.CommitConflict:
			require.False(t, found && !r.mayApply(n.identity), "%s: %s %s", n.identity, n.result.Status, n.result.Reason)
		}
	}
	// Each audited join is in force, and nothing else is.
	for i := range 4 {
		_, found := applied[fmt.Sprintf("join-%d", i)]
		_, joined := state.Services[0].Target(fmt.Sprintf("j%d", i))
		require.Equal(t, found, joined, "join-%d", i)
	}
}

// mayApply reports whether any commit of the identity is running, applied or
// unknown.
func (r *randomRun) mayApply(identity string) bool {
	for _, n := range r.commits {
		if n.identity == identity && (n.result == nil ||
			n.result.Status == configuration.CommitApplied || n.result.Status == configuration.CommitUnknown) {
			return true
		}
	}
	return false
}

func assembleFromStore(t *testing.T, store modelStore) *configuration.Configuration {
	a := configuration.NewSyncer()
	actions := a.Handle(configuration.SyncEvent{Now: epoch, Kind: configuration.SyncStart})
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		if next.Kind == configuration.SyncReadObject {
			require.Contains(t, store, next.Key, "an object in use was deleted")
			actions = append(actions, a.Handle(configuration.SyncEvent{
				Now: epoch, Kind: configuration.SyncObject, Key: next.Key, Value: store[next.Key].value,
			})...)
		}
	}
	require.Empty(t, a.Alarm())
	return a.State().Configuration()
}

// Guards against a change that takes effect twice, without an audit entry, or
// after the operator was told that it did not, in any order of answers,
// losses, delays and outages.
func FuzzCommitOrders(f *testing.F) {
	f.Add([]byte{5, 13, 21, 29, 37, 45, 53, 61, 5, 13, 21, 29, 1, 9, 17, 25})
	f.Add([]byte{5, 5, 5, 2, 5, 13, 13, 13, 13, 13, 0, 8, 5, 5})
	f.Fuzz(func(t *testing.T, choices []byte) { runCommitOrder(t, choices) })
}

// The same invariant on 200 long orders from a fixed seed.
func TestCommitOrders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	statuses := map[configuration.CommitStatus]int{}
	for range 200 {
		choices := make([]byte, 40+random.IntN(200))
		for i := range choices {
			choices[i] = byte(random.UintN(256))
		}
		for _, n := range runCommitOrder(t, choices).commits {
			if n.result != nil {
				statuses[n.result.Status]++
			}
		}
	}
	// Every outcome must occur, or the orders test too little.
	require.Len(t, statuses, 4, statuses)
	t.Log(statuses)
}

func runCommitOrder(t *testing.T, choices []byte) *randomRun {
	store, _ := deskStore(t)
	r := &randomRun{store: store, now: epoch}
	// Racing joins on the first version, one identity under two commits.
	for i := range 5 {
		target := configuration.TargetDeclaration{
			Name: fmt.Sprintf("j%d", i%4), Address: fmt.Sprintf("10.0.1.%d:80", i%4+1), DataCentre: "a", Slots: 1,
		}
		r.begin(fmt.Sprintf("join-%d", i%4), configuration.Change{
			Kind: configuration.ChangeJoinTarget, Service: "desk", BaseVersion: uint64(1 + i%2), Join: &target,
		})
	}
	// Changes of other services, which rebase.
	for i := range 2 {
		r.begin(fmt.Sprintf("new-%d", i), configuration.Change{
			Kind: configuration.ChangeApply, Declarations: []configuration.ServiceDeclaration{{
				Name: fmt.Sprintf("new%d", i), Address: fmt.Sprintf("10.1.1.%d:443", i+1), Protocol: configuration.ProtocolGRPC,
			}},
		})
	}
	revision, version := uint64(0), uint64(0)
	for _, choice := range choices {
		r.step(r.commits[int(choice>>3)%len(r.commits)], choice)
		if store["head"].version == version {
			continue
		}
		version = store["head"].version
		head, err := configuration.DecodeHead(store["head"].value)
		require.NoError(t, err)
		require.Greater(t, head.Revision, revision)
		revision = head.Revision
		r.check(t)
	}
	r.check(t)
	return r
}

// Guards against a data centre without a watch, or with a watch at every host.
func TestWatchers(t *testing.T) {
	var hosts []flow.Host
	for i := range 20 {
		hosts = append(hosts, flow.Host{ID: fmt.Sprintf("h%d", i), DataCentre: string(rune('a' + i%2))})
	}
	watchers := configuration.Watchers("a", hosts)
	require.Len(t, watchers, configuration.WatchersPerDataCentre)
	require.True(t, configuration.IsWatcher(watchers[1], hosts))
	// The loss of a host that does not watch changes nothing; that of a watcher
	// moves one watch.
	var rest []flow.Host
	for _, h := range hosts {
		if h != watchers[0] {
			rest = append(rest, h)
		}
	}
	require.Equal(t, watchers[1], configuration.Watchers("a", rest)[0])
	require.Len(t, configuration.Watchers("a", rest), 2)
	require.Empty(t, configuration.Watchers("c", hosts))
}
