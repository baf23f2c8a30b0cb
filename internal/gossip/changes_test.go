package gossip_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"syscall"
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/gossip"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

type answers struct {
	batch catalog.Batch
	err   error
}

func (a *answers) Changes(kind catalog.Kind, q gossip.Question) (catalog.Batch, time.Duration, error) {
	b := a.batch
	b.Since = q.Since
	return b, time.Second + time.Duration(kind), a.err
}

// untilClosed ends a server with its listener.
func untilClosed(err error) (bool, error) { return errors.Is(err, net.ErrClosed), nil }

// failing is a listener whose first calls fail.
type failing struct {
	net.Listener
	failures int
}

func (l *failing) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// serve starts a server that has all targets and returns its address.
func serve(t *testing.T, a *answers) string {
	server := gossip.NewServer(a, clock.System{})
	server.SetReady(catalog.Targets)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l, untilClosed) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

// Guards against a server that ends, and its process with it, because a caller was
// gone when its connection was accepted or because descriptors ran out.
func TestServerOutlivesFailedConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := gossip.NewServer(&answers{batch: catalog.Batch{Revision: 9}}, clock.System{})
	seen := 0
	done := make(chan error, 1)
	go func() {
		done <- server.Serve(&failing{Listener: l, failures: 3}, func(err error) (bool, error) {
			if errors.Is(err, syscall.EMFILE) {
				seen++
			}
			return untilClosed(err)
		})
	}()
	fetched, err := gossip.Fetch(context.Background(), l.Addr().String(), catalog.Targets, catalog.Position{Revision: 5})
	require.NoError(t, err)
	require.Equal(t, uint64(9), fetched.Batch.Revision)
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
	require.Equal(t, 3, seen)
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
	server := gossip.NewServer(a, clock.System{})
	done := make(chan error, 1)
	go func() { done <- server.Serve(l, untilClosed) }()
	address := l.Addr().String()
	fetched, err := gossip.Fetch(context.Background(), address, catalog.Targets, catalog.Position{Revision: 5})
	require.NoError(t, err)
	require.Equal(t, time.Second+time.Duration(catalog.Targets), fetched.Age)
	want := a.batch
	want.Since = 5
	require.Equal(t, want, fetched.Batch)
	_, err = gossip.Fetch(context.Background(), address, catalog.KindCount, catalog.Position{Revision: 5})
	require.ErrorContains(t, err, "unknown collection")
	a.err = errors.New("no catalog yet")
	_, err = gossip.Fetch(context.Background(), address, catalog.Targets, catalog.Position{Revision: 5})
	require.ErrorContains(t, err, "no catalog yet")
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
	_, err = gossip.Fetch(context.Background(), address, catalog.Targets, catalog.Position{Revision: 5})
	require.ErrorContains(t, err, "connecting")
}

// Guards against a start of many hosts in which the fast ones stand idle: two askers that are slow to
// read a small collection must not hold up the third.
func TestSlowAskersDoNotHoldUpOthers(t *testing.T) {
	address := serve(t, &answers{batch: catalog.Batch{Whole: true, Revision: 9}})
	for range 2 {
		slow, err := rpc.Dial("tcp4", address)
		require.NoError(t, err)
		var reply gossip.Reply
		require.NoError(t, slow.Call("Catalog.Changes", gossip.Question{Kind: uint8(catalog.Targets)}, &reply))
		require.NotEmpty(t, reply.Batch)
		t.Cleanup(func() { require.NoError(t, slow.Close()) })
	}
	fetched, err := gossip.Fetch(context.Background(), address, catalog.Targets, catalog.Position{})
	require.NoError(t, err)
	require.Equal(t, uint64(9), fetched.Batch.Revision)
}

// Guards against transfers that fill the link of a host: the model of a mass
// start takes 40 bytes for a target.
func TestEncodedSize(t *testing.T) {
	const count = 3000
	batch := catalog.Batch{Whole: true, Revision: 1 << 40}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range count {
		key := random.Uint64N(1 << 40)
		batch.Objects = append(batch.Objects, catalog.Object{
			Name: fmt.Sprintf("i-%010x", key), Revision: 1<<39 + uint64(i), Target: &catalog.Target{
				Key: key, Sequence: uint64(i), Service: "rounds-desk", DataCentre: []string{"reykjavik-a", "keflavik-c"}[i%2], Slots: 2,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 8687),
			},
		})
	}
	fetched, err := gossip.Fetch(context.Background(), serve(t, &answers{batch: batch}), catalog.Targets, catalog.Position{})
	require.NoError(t, err)
	require.Equal(t, batch, fetched.Batch)
	require.Less(t, fetched.Size, 40*count)
}

// Guards against a message that makes a host answer to somebody else, or take what it
// knows for fresh until a time in the future.
func TestForgedMessagesAreRefused(t *testing.T) {
	source := netip.MustParseAddr("10.0.0.1")
	m := gossip.Message{From: gossip.Host{ID: "h1", DataCentre: "a", Address: "10.0.0.1"}}
	require.NoError(t, m.Check(source))
	m.States[catalog.Targets] = catalog.State{Valid: true, Age: -1}
	require.ErrorContains(t, m.Check(source), "age of the targets")
	m.States[catalog.Targets].Age = math.MaxInt64 / int64(time.Millisecond) * 2
	require.ErrorContains(t, m.Check(source), "age of the targets", "it overflows to the future")
	m.States[catalog.Targets].Age = 0
	m.Contacts = []gossip.Contact{{Host: gossip.Host{ID: "h2", Address: "10.0.0.2"}, Age: math.MaxInt64}}
	require.ErrorContains(t, m.Check(source), "h2")
	m.Contacts = nil
	m.From.Address = "10.0.0.2"
	require.ErrorContains(t, m.Check(source), "10.0.0.2")
}

// Guards against bytes in the place of a message or of a collection that stop a
// host, or make it hear of another one in the future.
func FuzzDecode(f *testing.F) {
	m := gossip.Message{From: gossip.Host{ID: "h1", DataCentre: "a", Address: "10.0.0.1"}, Contacts: []gossip.Contact{
		{Host: gossip.Host{ID: "h2", DataCentre: "b", Address: "10.0.0.2"}, Age: -7},
	}}
	m.States[catalog.Targets] = catalog.State{Valid: true, Revision: 9, Checksum: 1 << 63, Age: 40}
	m.Digest, m.WantedKeys, m.LiveHostCount = []byte{1, 2, 3, 4, 5, 6}, []uint32{7}, 3
	data, err := m.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xa1, 0x04, 0x81, 0xa1, 0x04, 0x3b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	source := netip.MustParseAddr("10.0.0.1")
	f.Fuzz(func(t *testing.T, datagram []byte) {
		heard, err := gossip.DecodeMessage(datagram)
		if err != nil || heard.Check(source) != nil {
			return
		}
		members := gossip.NewMembership(gossip.Host{ID: "self", DataCentre: "a", Address: "10.0.0.9"}, nil, rand.New(rand.NewPCG(1, 2)))
		const now = time.Minute
		members.Receive(heard, now)
		for _, c := range members.Contacts(now) {
			require.GreaterOrEqual(t, c.Age, int64(0))
			require.NotEmpty(t, c.Address)
		}
		members.Partners(now)
		members.Digest(now)
		members.ReplyContents(heard, now)
		again, err := heard.Encode()
		require.NoError(t, err)
		_, err = gossip.DecodeMessage(again)
		require.NoError(t, err)
	})
}
