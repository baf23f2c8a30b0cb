package gossip_test

import (
	"math/rand/v2"
	"testing"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// earlierMessage is a message of builds that know two collections.
type earlierMessage struct {
	From         gossip.Host      `cbor:"1,keyasint"`
	States       [2]catalog.State `cbor:"3,keyasint"`
	ListProgress [2]int           `cbor:"6,keyasint,omitempty"`
	Answer       bool             `cbor:"5,keyasint,omitempty"`
}

// Guards against hosts of two builds that do not understand each other, because one knows of a
// collection more, and against messages that grow where no host follows it.
func TestMessagesOfBuildsWithoutEvacuations(t *testing.T) {
	known := catalog.State{Valid: true, Revision: 7, Checksum: 9, Age: 40, Epoch: 1}
	var earlier earlierMessage
	earlier.From = gossip.Host{ID: "h1", DataCentre: "a", Address: "10.0.0.1"}
	earlier.States[catalog.Targets], earlier.ListProgress[catalog.Configurations] = known, 3
	data, err := cbor.Marshal(earlier)
	require.NoError(t, err)
	m, err := gossip.DecodeMessage(data)
	require.NoError(t, err)
	require.Equal(t, known, m.States[catalog.Targets])
	require.Equal(t, 3, m.ListProgress[catalog.Configurations])
	require.False(t, m.States.Follows(catalog.Evacuations))
	require.False(t, m.States.Lacks(catalog.Evacuations))
	require.True(t, m.States.Lacks(catalog.Configurations))

	without := gossip.Message{From: earlier.From, States: gossip.States{catalog.Targets: known}}
	small, err := without.Encode()
	require.NoError(t, err)
	with := without
	with.States[catalog.Evacuations], with.ListProgress[catalog.Evacuations] = known, 5
	large, err := with.Encode()
	require.NoError(t, err)
	for _, data := range [][]byte{small, large} {
		var read earlierMessage
		require.NoError(t, cbor.Unmarshal(data, &read))
		require.Equal(t, earlier.States, read.States)
	}
	again, err := gossip.DecodeMessage(large)
	require.NoError(t, err)
	require.Equal(t, with, *again)
	require.Less(t, len(large), len(small)+40)

	// What a host writes that does not follow the collection is what earlier builds write.
	var fields, earlierFields map[int]cbor.RawMessage
	require.NoError(t, cbor.Unmarshal(small, &fields))
	earlier.ListProgress = [2]int{}
	data, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &earlierFields))
	require.Equal(t, earlierFields[3], fields[3])
	require.Equal(t, earlierFields[6], fields[6])
}

// Guards against messages to hosts that do not follow the evacuations, as if they waited for them.
func TestHostsWithoutEvacuationsDoNotLackThem(t *testing.T) {
	members := gossip.NewMembership(gossip.Host{ID: "h0", DataCentre: "a", Address: "10.0.0.9"}, nil, rand.New(rand.NewPCG(1, 2)))
	states := map[string]gossip.States{
		"10.0.0.1": {}, "10.0.0.2": {catalog.Evacuations: {Missing: true}}, "10.0.0.3": {catalog.Evacuations: {Valid: true}},
	}
	for address, state := range states {
		members.Receive(&gossip.Message{From: gossip.Host{ID: "h" + address, DataCentre: "a", Address: address}, States: state}, 1)
	}
	require.Equal(t, []string{"10.0.0.2"}, members.TakeHostsLacking(catalog.Evacuations, 2))
	require.Len(t, members.TakeHostsLacking(catalog.Targets, 2), 3)
}
