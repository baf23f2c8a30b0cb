package node

import (
	"net"
	"syscall"
	"time"
)

// packetSocket reads datagrams and tells for how long each waited to be read. It has one reader.
type packetSocket struct {
	*net.UDPConn
	raw       syscall.RawConn
	now       func() time.Duration
	timeOfDay func() time.Time
	datagramReader
	// emptied is the time of the last look that found no datagram: later ones arrived after it.
	emptied time.Duration
	// paused is the start of a pause of the process, resumed the time by which it had ended. What
	// came meanwhile is read before a look finds no datagram.
	paused, resumed time.Duration
}

// arrival says when a datagram came.
type arrival struct {
	read time.Duration
	// waited is the time for which the datagram waited. Where the kernel does not tell, it is the
	// time since a pause of the process began, and zero if there was none.
	waited time.Duration
	// afterPause is set if the process may have been paused while the datagram waited.
	afterPause bool
}

// newPacketSocket returns the reader of a socket. The clock is that of the pause watch.
func newPacketSocket(c *net.UDPConn, now func() time.Duration) (*packetSocket, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &packetSocket{UDPConn: c, raw: raw, now: now, timeOfDay: time.Now, emptied: now()}
	return s, s.raw.Control(stampArrivals)
}

// read reads a datagram and returns its length.
func (s *packetSocket) read(buffer []byte, pauses *pauseWatch) (int, arrival, error) {
	length, stamp, err := s.receive(buffer)
	if err != nil {
		return 0, arrival{}, err
	}
	now := s.now()
	s.notePause(pauses.last(now))
	a := arrival{read: now, afterPause: s.resumed > s.emptied}
	switch {
	case !stamp.IsZero():
		// The bounds hold even if the time of day was set meanwhile.
		a.waited = min(max(s.timeOfDay().Sub(stamp), 0), now-s.emptied)
	case a.afterPause:
		a.waited = now - max(s.paused, s.emptied)
	}
	return length, a, nil
}

// notePause notes the last pause of the process. If no look has found the socket empty since the
// pause before, what came in that one may still wait.
func (s *packetSocket) notePause(paused, resumed time.Duration) {
	if resumed <= s.resumed {
		return
	}
	if s.resumed <= s.emptied {
		s.paused = paused
	}
	s.resumed = resumed
}
