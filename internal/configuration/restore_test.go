package configuration_test

import (
	"fmt"
	"maps"
	"testing"

	"oriolevalve/internal/configuration"

	"github.com/stretchr/testify/require"
)

// commitChange commits a change of a host that knows a state, and requires that the
// platform accepts it.
func commitChange(t *testing.T, store modelStore, known *configuration.State, identity string, change configuration.Change) configuration.CommitResult {
	t.Helper()
	operation := configuration.Operation{Identity: identity, Actor: "ada", Change: change}
	result := runCommit(configuration.NewCommit(operation, known), store, epoch)
	require.Equal(t, configuration.CommitApplied, result.Status, result.Reason)
	return result
}

// declare returns the change that declares a service with one target.
func declare(name string, number int) configuration.Change {
	return configuration.Change{Kind: configuration.ChangeApply, Declarations: []configuration.ServiceDeclaration{{
		Name: name, Address: fmt.Sprintf("10.1.0.%d:443", number), Protocol: "grpc",
		Targets: []configuration.TargetDeclaration{{Name: "t1", Address: fmt.Sprintf("10.0.0.%d:80", number), DataCentre: "a", Slots: 2}},
	}}}
}

// readHead passes the head of the platform to a host and answers its reads.
func readHead(syncer *configuration.Syncer, store modelStore) {
	events := []configuration.SyncEvent{{Now: epoch, Kind: configuration.SyncObject, Key: configuration.HeadKey, Value: store[configuration.HeadKey].value}}
	for len(events) > 0 {
		var next []configuration.SyncEvent
		for _, a := range syncer.Handle(events[0]) {
			if a.Kind == configuration.SyncReadObject {
				next = append(next, configuration.SyncEvent{Now: epoch, Kind: configuration.SyncObject, Key: a.Key, Value: store[a.Key].value})
			}
		}
		events = append(events[1:], next...)
	}
}

// Guards against a change that the platform accepts after it came back from an older copy
// and that no host puts into force, because its revision was given out before; and against
// the loss of the changes that the copy lacks, which are in force.
func TestChangeAfterARestoredPlatformIsInForce(t *testing.T) {
	store := modelStore{}
	committer, other := configuration.NewSyncer(), configuration.NewSyncer()
	commitChange(t, store, nil, "id-1", declare("desk", 1))
	copied := maps.Clone(store)
	commitChange(t, store, nil, "id-2", declare("photo", 2))
	commitChange(t, store, nil, "id-3", declare("stamps", 3))
	for _, syncer := range []*configuration.Syncer{committer, other} {
		readHead(syncer, store)
		require.Equal(t, uint64(3), syncer.State().Revision())
	}
	store = copied
	result := commitChange(t, store, committer.State(), "id-4", declare("audits", 4))
	require.Contains(t, result.Reason, "revision 1, older than revision 3")
	committer.Handle(configuration.SyncEvent{Now: epoch, Kind: configuration.SyncCommitted, State: result.State})
	readHead(other, store)
	fresh := configuration.NewSyncer()
	readHead(fresh, store)
	for i, syncer := range []*configuration.Syncer{committer, other, fresh} {
		for _, name := range []string{"desk", "photo", "stamps", "audits"} {
			_, exists := syncer.State().Configuration().Service(name)
			require.True(t, exists, "host %d, service %s", i, name)
		}
		require.Equal(t, uint64(4), syncer.State().Revision())
	}
}
