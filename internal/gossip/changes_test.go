package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

type answers struct {
	batch catalog.Batch
	err   error
}

func (a *answers) Changes(kind catalog.Kind, since uint64) (catalog.Batch, time.Duration, error) {
	b := a.batch
	b.Since = since
	return b, time.Second + time.Duration(kind), a.err
}

// Guards against changes that differ after their way to another host, and
// against an error or a silent host that counts as an answer.
func TestFetch(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	a := &answers{batch: catalog.Batch{Revision: 9, Objects: []catalog.Object{
		{Name: "t1", Revision: 8, Target: &catalog.Target{Key: 1 << 60, Service: "desk", Slots: 2}},
		{Name: "t2", Revision: 7, Deleted: true},
		{Name: "main", Revision: 9, Configuration: &catalog.Configuration{Version: 4, Services: []string{"desk"}}},
	}}}
	done := make(chan error, 1)
	go func() { done <- gossip.Serve(l, a) }()
	address := l.Addr().String()
	batch, age, err := gossip.Fetch(context.Background(), address, catalog.Targets, 5)
	require.NoError(t, err)
	require.Equal(t, time.Second+time.Duration(catalog.Targets), age)
	want := a.batch
	want.Since = 5
	require.Equal(t, want, batch)
	_, _, err = gossip.Fetch(context.Background(), address, catalog.KindCount, 5)
	require.ErrorContains(t, err, "unknown collection")
	a.err = errors.New("no catalog yet")
	_, _, err = gossip.Fetch(context.Background(), address, catalog.Targets, 5)
	require.ErrorContains(t, err, "no catalog yet")
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
	_, _, err = gossip.Fetch(context.Background(), address, catalog.Targets, 5)
	require.ErrorContains(t, err, "connecting")
}
