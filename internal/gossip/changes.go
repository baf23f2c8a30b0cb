package gossip

import (
	"context"
	"encoding/json"
	"net"
	"net/rpc"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/cockroachdb/errors"
)

// serviceName is the name of the net/rpc service of a host.
const serviceName = "Catalog"

// Question asks for the changes of a collection after a revision.
type Question struct {
	Kind  uint8
	Since uint64
}

// Reply is the answer to a Question.
type Reply struct {
	// Batch is a catalog.Batch as JSON. Age is the time since its confirmation.
	Batch []byte
	Age   time.Duration
}

// Answerer answers the questions of other hosts. It is called from several
// goroutines.
type Answerer interface {
	Changes(kind catalog.Kind, since uint64) (batch catalog.Batch, age time.Duration, err error)
}

// Server is the receiver of the net/rpc service.
type Server struct{ answerer Answerer }

// Changes answers a question.
func (s *Server) Changes(q Question, r *Reply) error {
	if q.Kind >= uint8(catalog.KindCount) {
		return errors.Newf("unknown collection %d", q.Kind)
	}
	batch, age, err := s.answerer.Changes(catalog.Kind(q.Kind), q.Since)
	if err != nil {
		return err
	}
	r.Age = age
	if r.Batch, err = json.Marshal(batch); err != nil {
		return errors.Wrap(err, "encoding the changes")
	}
	return nil
}

// Serve answers on a listener until it is closed.
func Serve(l net.Listener, a Answerer) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Server{answerer: a}); err != nil {
		return errors.Wrap(err, "registering the service")
	}
	for {
		connection, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accepting a connection")
		}
		// A caller that was cut off never ends its connection.
		if err := connection.SetDeadline(time.Now().Add(2 * FetchLimit)); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "setting the deadline"), connection.Close())
		}
		go server.ServeConn(connection)
	}
}

// FetchLimit is the time for fetching changes from another host. The largest
// configuration, 360 KB, takes 0.3 s over a link of 10 Mbit/s.
const FetchLimit = time.Second

// Fetch asks the host at an address for changes. Each call has a connection of
// its own: changes are rare, and an old connection may have gone silent.
func Fetch(ctx context.Context, address string, kind catalog.Kind, since uint64) (catalog.Batch, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, FetchLimit)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return catalog.Batch{}, 0, errors.Wrap(err, "connecting to a host")
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := connection.SetDeadline(deadline); err != nil {
			return catalog.Batch{}, 0, errors.CombineErrors(errors.Wrap(err, "setting the deadline"), connection.Close())
		}
	}
	client := rpc.NewClient(connection)
	var reply Reply
	err = client.Call(serviceName+".Changes", Question{Kind: uint8(kind), Since: since}, &reply)
	if closing := client.Close(); err == nil && closing != nil && !errors.Is(closing, rpc.ErrShutdown) {
		err = closing
	}
	if err != nil {
		return catalog.Batch{}, 0, errors.Wrap(err, "fetching changes")
	}
	var batch catalog.Batch
	if err := json.Unmarshal(reply.Batch, &batch); err != nil {
		return catalog.Batch{}, 0, errors.Wrap(err, "decoding changes")
	}
	return batch, reply.Age, nil
}
