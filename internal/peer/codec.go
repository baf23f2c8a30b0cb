package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// A frame is its length (4 bytes, big-endian, without itself), the method
// (1 byte), the sequence (varint) and the body. In an answer the length of an
// error text (varint) and the text stand before the body.

// MaxMessageSize is the highest size of a frame in bytes.
const MaxMessageSize = 4 << 20

// maxSkippedSize is the highest length that is skipped as an oversized frame.
// A higher one means that the stream is not of this protocol.
const maxSkippedSize = 64 << 20

const (
	frameLengthSize = 4
	// writeChunk and writeTimeout detect a peer that takes no more data: each
	// chunk must leave within the timeout.
	writeChunk   = 64 << 10
	writeTimeout = time.Second
	// readBuffer is small, since a host of a large fleet keeps a connection to
	// every other host.
	readBuffer = 512
)

// methods lists the calls between hosts. The position is the method byte.
var methods = []string{
	"Peer.Echo", "Peer.Ping", "Peer.PingRequest", "Peer.Relay", "Peer.Handover", "Peer.Consult",
	"Peer.ConfigurationGet",
}

// ErrTooLarge is the error of a message above MaxMessageSize.
var ErrTooLarge = errors.Newf("message is larger than %d bytes", MaxMessageSize)

// methodRelay is the method byte of relayed requests and their answers.
var methodRelay = byte(slices.Index(methods, "Peer.Relay"))

// ByteCounter counts the bytes of control frames: all frames but those of
// relayed requests, without the overhead of TLS and TCP. It is called
// concurrently.
type ByteCounter interface {
	AddControlBytes(sent, received int)
}

type uncounted struct{}

func (uncounted) AddControlBytes(int, int) {}

// frames reads and writes the frames of one connection.
type frames struct {
	conn   net.Conn
	reader *bufio.Reader
	// rest is the unread part of the current frame.
	rest int
	// oversize is set while the current frame is above the limit.
	oversize bool
	// reads counts the frames that arrived.
	reads atomic.Uint64
	// failed is set once the connection is of no more use.
	failed atomic.Bool
	bytes  ByteCounter
}

func newFrames(conn net.Conn, bytes ByteCounter) *frames {
	return &frames{conn: conn, bytes: bytes, reader: bufio.NewReaderSize(conn, readBuffer)}
}

// frame returns a new frame with space for a body of the given size.
func frame(method byte, sequence uint64, size int) []byte {
	data := make([]byte, frameLengthSize, frameLengthSize+1+2*binary.MaxVarintLen64+size)
	data = append(data, method)
	return binary.AppendUvarint(data, sequence)
}

// write sends a frame and reports whether all of it was given to the network.
// A peer never acts on a part of a frame, and after an error the rest is never
// sent.
func (f *frames) write(data []byte) (complete bool, err error) {
	if f.failed.Load() {
		return false, net.ErrClosed
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-frameLengthSize))
	size, relayed := len(data), len(data) > frameLengthSize && data[frameLengthSize] == methodRelay
	for len(data) > 0 {
		if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return false, f.fail(err)
		}
		n, err := f.conn.Write(data[:min(len(data), writeChunk)])
		data = data[n:]
		if err != nil {
			return len(data) == 0, f.fail(err)
		}
	}
	if !relayed {
		f.bytes.AddControlBytes(size, 0)
	}
	return true, nil
}

func (f *frames) fail(err error) error {
	f.close()
	return errors.Wrap(err, "write to peer")
}

// close ends the connection. Outstanding calls on it get an error.
func (f *frames) close() {
	if !f.failed.Swap(true) {
		_ = f.conn.Close()
	}
}

// next reads the start of the next frame that has a valid one.
func (f *frames) next() (method byte, sequence uint64, err error) {
	for {
		if err := f.skip(); err != nil {
			return 0, 0, err
		}
		var length [frameLengthSize]byte
		if _, err := io.ReadFull(f.reader, length[:]); err != nil {
			return 0, 0, err
		}
		size := binary.BigEndian.Uint32(length[:])
		if size > maxSkippedSize {
			return 0, 0, errors.Newf("frame of %d bytes is not of this protocol", size)
		}
		f.rest = int(size)
		f.oversize = size > MaxMessageSize
		method, err := f.readByte()
		if err == nil {
			sequence, err = f.readUvarint()
		}
		f.reads.Add(1)
		if err == nil {
			if method != methodRelay {
				f.bytes.AddControlBytes(0, frameLengthSize+int(size))
			}
			return method, sequence, nil
		}
		// Without a sequence there is nobody to tell; the next frame is intact.
		if !errors.Is(err, errMalformed) {
			return 0, 0, err
		}
	}
}

var errMalformed = errors.New("frame is malformed")

// readUvarint reads a varint of the current frame.
func (f *frames) readUvarint() (uint64, error) {
	var value uint64
	for shift := uint(0); shift < 64; shift += 7 {
		b, err := f.readByte()
		if err != nil {
			return 0, err
		}
		value |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return value, nil
		}
	}
	return 0, errMalformed
}

func (f *frames) readByte() (byte, error) {
	if f.rest == 0 {
		return 0, errMalformed
	}
	b, err := f.reader.ReadByte()
	if err == nil {
		f.rest--
	}
	return b, err
}

// skip discards the rest of the current frame.
func (f *frames) skip() error {
	n, err := io.CopyN(io.Discard, f.reader, int64(f.rest))
	f.rest -= int(n)
	return err
}

// body decodes the rest of the current frame.
func (f *frames) body(into proto.Message) error {
	if f.oversize {
		if err := f.skip(); err != nil {
			return err
		}
		return ErrTooLarge
	}
	data := make([]byte, f.rest)
	if _, err := io.ReadFull(f.reader, data); err != nil {
		return err
	}
	f.rest = 0
	if err := proto.Unmarshal(data, into); err != nil {
		return markedError{errMalformed, err}
	}
	return nil
}

// outgoing is the argument of a call. The caller learns from it whether the
// request may have reached the peer.
type outgoing struct {
	message proto.Message
	written bool
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *frames }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	size := proto.Size(out.message)
	data := frame(byte(slices.Index(methods, r.ServiceMethod)), r.Seq, size)
	if len(data)+size-frameLengthSize > MaxMessageSize {
		return ErrTooLarge
	}
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, out.message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	out.written, err = c.write(data)
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	method, sequence, err := c.next()
	if err != nil {
		c.close()
		return err
	}
	size, err := c.readUvarint()
	if err != nil && !errors.Is(err, errMalformed) {
		c.close()
		return err
	}
	if err != nil || size > min(uint64(c.rest), maxErrorText) || int(method) >= len(methods) {
		r.Seq, r.Error = sequence, errMalformed.Error()
		return nil
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(c.reader, text); err != nil {
		return err
	}
	c.rest -= len(text)
	r.ServiceMethod, r.Seq, r.Error = methods[method], sequence, string(text)
	return nil
}

// maxErrorText limits the error texts of answers in bytes.
const maxErrorText = 1 << 10

// incoming receives the answer of a call. An answer that cannot be decoded is
// kept as an error here, since an error of the codec ends the connection.
type incoming struct {
	message proto.Message
	err     error
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error {
	in, ok := body.(*incoming)
	if !ok {
		return c.skip()
	}
	err := c.body(in.message)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, errMalformed) {
		in.err = err
		return nil
	}
	if err != nil {
		c.close()
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error {
	c.close()
	return nil
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *frames }

// ReadRequestHeader implements rpc.ServerCodec.
func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	method, sequence, err := s.next()
	if err != nil {
		return err
	}
	r.Seq = sequence
	r.ServiceMethod = "Peer.Unknown"
	if int(method) < len(methods) {
		r.ServiceMethod = methods[method]
	}
	return nil
}

// notRun starts the text of an error that is sent before a request is handled.
const notRun = "not run: "

// ReadRequestBody implements rpc.ServerCodec.
func (s serverCodec) ReadRequestBody(body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		return s.skip()
	}
	if err := s.body(message); err != nil {
		return errors.Newf("%s%s", notRun, err)
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	text := r.Error
	var message proto.Message
	if answer, ok := body.(*Answer); ok {
		message = answer.message
		if answer.written != nil {
			defer answer.written()
		}
	}
	size := 0
	if text == "" && message != nil {
		if size = proto.Size(message); size > MaxMessageSize-64 {
			text, size = "answer: "+ErrTooLarge.Error(), 0
		}
	}
	text = text[:min(len(text), maxErrorText)]
	data := frame(byte(max(0, slices.Index(methods, r.ServiceMethod))), r.Seq, size+len(text)+2)
	data = binary.AppendUvarint(data, uint64(len(text)))
	data = append(data, text...)
	if text == "" && message != nil {
		var err error
		if data, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(data, message); err != nil {
			return errors.Wrap(err, "encode answer")
		}
	}
	_, err := s.write(data)
	return err
}

// Close implements rpc.ServerCodec.
func (s serverCodec) Close() error {
	s.close()
	return nil
}
