package gossip

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/clock"

	"github.com/cockroachdb/errors"
)

const (
	// serviceName is the name of the net/rpc service of a host.
	serviceName = "Catalog"
	// connectLimit is the time for a connection: several round trips between data
	// centres on a busy host.
	connectLimit = 500 * time.Millisecond
	// silenceLimit is the time without a byte of an answer after which a host that was
	// asked for changes counts as dead. One that is asked for a whole collection may
	// keep the asker waiting.
	silenceLimit      = time.Second
	queueSilenceLimit = QueueTimeout + 500*time.Millisecond
	// transferLimit bounds a transfer: 11,000 targets, 330 KB, take 0.6 s when two
	// share a link of 10 Mbit/s.
	transferLimit = 2 * time.Second
)

// Question asks for the changes of a collection after a revision.
type Question struct {
	Kind  uint8
	Since uint64
	// Epoch is that of Since. KnowsEpochs is set by hosts that know epochs; the
	// others count on the revision alone.
	Epoch       uint64
	KnowsEpochs bool
}

// Position returns the position after which the changes are wanted, for a host that
// answers in an epoch.
func (q Question) Position(epoch uint64) catalog.Position {
	if q.KnowsEpochs {
		epoch = q.Epoch
	}
	return catalog.Position{Epoch: epoch, Revision: q.Since}
}

// Reply is the answer to a Question.
type Reply struct {
	// Batch is a compressed catalog.Batch; empty if the host is busy. Age is the
	// time since its confirmation.
	Batch []byte
	Age   time.Duration
	// Redirect is the address of a host that is less busy, if one is known.
	Redirect string
}

// ChangeProvider answers the questions of other hosts. It is called from several
// goroutines.
type ChangeProvider interface {
	Changes(kind catalog.Kind, q Question) (batch catalog.Batch, age time.Duration, err error)
}

// Server answers the questions of other hosts.
type Server struct {
	answerer ChangeProvider
	clock    clock.Clock
	started  time.Time
	mutex    sync.Mutex
	// admissions decide who gets a whole collection.
	admissions [catalog.KindCount]Admission
	// encoded holds the last whole batch of each collection.
	encoded [catalog.KindCount]struct {
		position catalog.Position
		held     *catalog.Configuration
		data     []byte
	}
}

// NewServer returns a server for an answerer.
func NewServer(a ChangeProvider, c clock.Clock) *Server {
	return &Server{answerer: a, clock: c, started: c.Now()}
}

// SetReady notes that the answerer has a collection. Until then those who ask for all
// of it wait.
func (s *Server) SetReady(kind catalog.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.admissions[kind].SetReady()
}

// now returns the time since the start of the server.
func (s *Server) now() time.Duration { return s.clock.Now().Sub(s.started) }

// Serve answers on a listener until a function that is told of each error of it, and
// of each success with nil, says that the listener has ended, with the error returned.
func (s *Server) Serve(l net.Listener, ended func(err error) (bool, error)) error {
	for {
		connection, err := l.Accept()
		if over, err := ended(err); over {
			return err
		}
		if err != nil {
			continue
		}
		// A caller that was cut off never ends its connection.
		err = connection.SetDeadline(time.Now().Add(QueueTimeout + transferLimit))
		if err == nil {
			err = s.answer(connection)
		}
		if err == nil {
			continue
		}
		if over, err := ended(errors.CombineErrors(err, connection.Close())); over {
			return err
		}
	}
}

// answer starts to answer the question on a connection.
func (s *Server) answer(connection net.Conn) error {
	host, _, err := net.SplitHostPort(connection.RemoteAddr().String())
	if err != nil {
		return errors.Wrap(err, "address of a caller")
	}
	receiver := &Session{server: s, caller: host}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, receiver); err != nil {
		return errors.Wrap(err, "registering the service")
	}
	go func() {
		server.ServeConn(answerConnection{connection, receiver})
		receiver.close()
	}()
	return nil
}

// Session is the receiver of the net/rpc service for one connection, which asks
// one question.
type Session struct {
	server *Server
	caller string
	// admitted is the admission of which the session holds a slot, answered is set
	// once it got the collection.
	admitted *Admission
	answered bool
	// size is that of the collection, unsent what of it was not passed to the network yet.
	size, unsent int
	sent         bool
}

// answerConnection tells a session what was written.
type answerConnection struct {
	net.Conn
	session *Session
}

// Write writes a part of an answer.
func (c answerConnection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.session.wrote(n)
	return n, err
}

// Changes answers a question.
func (s *Session) Changes(q Question, r *Reply) error {
	if q.Kind >= uint8(catalog.KindCount) {
		return errors.Newf("unknown collection %d", q.Kind)
	}
	// Changes since a revision are small. A whole collection waits for a slot.
	if q.Since == 0 {
		admitted, redirect := s.enter(catalog.Kind(q.Kind))
		if r.Redirect = redirect; !admitted {
			return nil
		}
	}
	batch, age, err := s.server.answerer.Changes(catalog.Kind(q.Kind), q)
	if err != nil {
		return err
	}
	r.Age = age
	if r.Batch, err = s.server.encode(catalog.Kind(q.Kind), batch); err != nil {
		return err
	}
	s.answered, s.size, s.unsent = true, len(r.Batch), len(r.Batch)
	return nil
}

// wrote frees the slot for another transfer once the collection was passed to the network. It
// runs in the goroutine that answers the question.
func (s *Session) wrote(count int) {
	if s.admitted == nil || !s.answered || s.sent {
		return
	}
	if s.unsent -= count; s.unsent > 0 {
		return
	}
	s.server.mutex.Lock()
	defer s.server.mutex.Unlock()
	s.sent = true
	s.admitted.Sent(s.size)
}

// enter waits for the verdict of the admission.
func (s *Session) enter(kind catalog.Kind) (admitted bool, redirect string) {
	type outcome struct {
		verdict  Decision
		redirect string
	}
	v := s.server
	admission := &v.admissions[kind]
	outcomes := make(chan outcome, 1)
	v.mutex.Lock()
	admission.Enqueue(s.caller, v.now(), func(verdict Decision, redirect string) {
		if verdict == Send {
			s.admitted = admission
		}
		outcomes <- outcome{verdict, redirect}
	})
	v.mutex.Unlock()
	var o outcome
	select {
	case o = <-outcomes:
	case <-v.clock.After(QueueTimeout):
		v.mutex.Lock()
		admission.Expire(v.now())
		v.mutex.Unlock()
		o = <-outcomes
	}
	return o.verdict == Send, o.redirect
}

// close notes the end of the connection.
func (s *Session) close() {
	v := s.server
	v.mutex.Lock()
	defer v.mutex.Unlock()
	switch {
	case s.admitted == nil:
		return
	case s.sent:
		s.admitted.Confirm(s.caller, s.size, v.now())
	default:
		s.admitted.Release(s.caller, s.answered, v.now())
	}
	s.admitted = nil
}

// encode returns the bytes of a batch. Those of a whole collection serve all who
// ask for it until it changes.
func (s *Server) encode(kind catalog.Kind, b catalog.Batch) ([]byte, error) {
	// How long evacuations are held changes all the time.
	if !b.Whole || b.Since != 0 || len(b.HeldEvacuations) > 0 {
		return encode(b)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last, position := &s.encoded[kind], catalog.Position{Epoch: b.Epoch, Revision: b.Revision}
	if last.data != nil && last.position == position && last.held == b.Held {
		return last.data, nil
	}
	data, err := encode(b)
	if err != nil {
		return nil, err
	}
	last.position, last.held, last.data = position, b.Held, data
	return data, nil
}

// FetchResult is what a host answered.
type FetchResult struct {
	Batch catalog.Batch
	Age   time.Duration
	// Size is the number of bytes that the batch took on its way.
	Size int
	// Redirect is the address of a less busy host, if one is known.
	Redirect string
}

// ErrBusy means that a host sends its collection to others.
var ErrBusy = errors.New("the host is busy")

// patientConnection renews its deadline with each byte that arrives.
type patientConnection struct {
	net.Conn
	silence time.Duration
}

// Read reads within the limit on silence.
func (c patientConnection) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Fetch asks the host at an address for changes. Each call has a connection of
// its own: changes are rare, and an old connection may have gone silent. The
// error is ErrBusy if the host is busy.
func Fetch(ctx context.Context, address string, kind catalog.Kind, since catalog.Position) (FetchResult, error) {
	dialer := net.Dialer{Timeout: connectLimit}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return FetchResult{}, errors.Wrap(err, "connecting to a host")
	}
	silence := silenceLimit
	if since.Revision == 0 {
		silence = queueSilenceLimit
	}
	client := rpc.NewClient(patientConnection{connection, silence})
	question := Question{Kind: uint8(kind), Since: since.Revision, Epoch: since.Epoch, KnowsEpochs: true}
	var reply Reply
	err = client.Call(serviceName+".Changes", question, &reply)
	if closing := client.Close(); err == nil && closing != nil && !errors.Is(closing, rpc.ErrShutdown) {
		err = closing
	}
	if err != nil {
		return FetchResult{}, errors.Wrap(err, "fetching changes")
	}
	if len(reply.Batch) == 0 {
		return FetchResult{Redirect: reply.Redirect}, ErrBusy
	}
	batch, err := decode(reply.Batch)
	if err != nil {
		return FetchResult{}, err
	}
	return FetchResult{Batch: batch, Age: reply.Age, Size: len(reply.Batch)}, nil
}
