package node

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// controlLength is the room for the control message with the time of arrival.
const controlLength = 64

// datagramReader holds what one read leaves for its caller.
type datagramReader struct {
	control               [controlLength]byte
	length, controlLength int
	failure               error
}

// stampArrivals asks the kernel for the time of arrival of each datagram.
func stampArrivals(descriptor uintptr) {
	// Without it the pauses of the process still tell how long datagrams may have waited.
	_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
}

// receive reads a datagram and returns its length and the time of day at which it arrived, zero
// if the kernel does not tell.
func (s *packetSocket) receive(buffer []byte) (int, time.Time, error) {
	if err := s.raw.Read(func(descriptor uintptr) bool { return s.look(int(descriptor), buffer) }); err != nil {
		return 0, time.Time{}, err
	}
	if s.failure != nil {
		return 0, time.Time{}, s.failure
	}
	return s.length, arrivalTime(s.control[:s.controlLength]), nil
}

// look reads a datagram if there is one, and reports whether there is or reading fails.
func (s *packetSocket) look(descriptor int, buffer []byte) bool {
	for {
		looked := s.now()
		s.length, s.controlLength, _, _, s.failure = unix.Recvmsg(descriptor, buffer, s.control[:], unix.MSG_DONTWAIT)
		switch {
		case errors.Is(s.failure, unix.EINTR):
		case errors.Is(s.failure, unix.EAGAIN):
			s.emptied = looked
			return false
		default:
			return true
		}
	}
}

// arrivalTime returns the time in control messages; zero if there is none.
func arrivalTime(control []byte) time.Time {
	for len(control) > 0 {
		header, data, rest, err := unix.ParseOneSocketControlMessage(control)
		if err != nil {
			return time.Time{}
		}
		if header.Level == unix.SOL_SOCKET && header.Type == unix.SCM_TIMESTAMPNS && len(data) >= 16 {
			return time.Unix(int64(binary.NativeEndian.Uint64(data)), int64(binary.NativeEndian.Uint64(data[8:])))
		}
		control = rest
	}
	return time.Time{}
}
