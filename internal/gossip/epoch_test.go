package gossip_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// earlierState and earlierQuestion are what builds without epochs send.
type earlierState struct {
	Valid    bool   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Checksum uint64 `cbor:"3,keyasint"`
	Age      int64  `cbor:"4,keyasint"`
}

type earlierQuestion struct {
	Kind  uint8
	Since uint64
}

// Guards against two builds side by side of which one does not understand the other: the
// earlier one has to read the states and questions of the later one, and its own questions
// are answered by revision alone.
func TestEarlierBuildsTellNoEpoch(t *testing.T) {
	state := catalog.State{Valid: true, Revision: 9, Checksum: 7, Age: 40, Epoch: 2, Held: 11}
	data, err := cbor.Marshal(state)
	require.NoError(t, err)
	var earlier earlierState
	require.NoError(t, cbor.Unmarshal(data, &earlier))
	require.Equal(t, earlierState{Valid: true, Revision: 9, Checksum: 7, Age: 40}, earlier)
	data, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	var heard catalog.State
	require.NoError(t, cbor.Unmarshal(data, &heard))
	require.Equal(t, catalog.Position{Revision: 9}, heard.Position())

	var buffer bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buffer).Encode(gossip.Question{Kind: 1, Since: 9, Epoch: 2, KnowsEpochs: true}))
	var question earlierQuestion
	require.NoError(t, gob.NewDecoder(&buffer).Decode(&question))
	require.Equal(t, earlierQuestion{Kind: 1, Since: 9}, question)
	buffer.Reset()
	require.NoError(t, gob.NewEncoder(&buffer).Encode(question))
	var asked gossip.Question
	require.NoError(t, gob.NewDecoder(&buffer).Decode(&asked))
	require.Equal(t, catalog.Position{Epoch: 2, Revision: 9}, asked.Position(2))
	asked.KnowsEpochs = true
	require.Equal(t, catalog.Position{Revision: 9}, asked.Position(2), "a host that learned from earlier builds")
}

// Guards against a host that is not told of a restore of the store, because its revision
// is the higher one.
func TestHostBehindARestoreGetsAnAnswer(t *testing.T) {
	restored := catalog.State{Valid: true, Epoch: 2, Revision: 22, Checksum: 1}
	behind := catalog.State{Valid: true, Epoch: 1, Revision: 30, Checksum: 1}
	require.True(t, gossip.NeedsAnswer(&gossip.Message{}, restored, behind, false))
	require.False(t, gossip.NeedsAnswer(&gossip.Message{}, behind, restored, false))
}

// Guards against a host that sends the encoded collection of before a restore, because a
// revision of the restored store is equal.
func TestEncodedCollectionIsOfItsEpoch(t *testing.T) {
	a := &answers{}
	address := serve(t, a)
	for epoch := range uint64(3) {
		a.batch = catalog.Batch{Whole: true, Epoch: epoch, Revision: 9, Objects: []catalog.Object{{Name: "t", Revision: epoch + 1}}}
		fetched, err := gossip.Fetch(t.Context(), address, catalog.Targets, catalog.Position{})
		require.NoError(t, err)
		require.Equal(t, a.batch, fetched.Batch)
	}
}
