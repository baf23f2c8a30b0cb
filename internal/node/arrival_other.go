//go:build !linux

package node

import "time"

// datagramReader holds nothing.
type datagramReader struct{}

func stampArrivals(uintptr) {}

// receive reads a datagram and returns its length. A reader that ran for resumeSpan has found the
// socket empty meanwhile.
func (s *packetSocket) receive(buffer []byte) (int, time.Time, error) {
	length, _, err := s.ReadFromUDPAddrPort(buffer)
	s.emptied = max(s.emptied, s.now()-resumeSpan)
	return length, time.Time{}, err
}
