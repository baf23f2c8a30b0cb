package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The flags of a packet and the lengths of its parts.
const (
	flagSYN = 1
	flagACK = 8
	flagRST = 32
	flagFIN = 128

	headerLength   = 32
	envelopeLength = 8
)

// sumKey keys the sums of packets. Hosts do not know it.
const sumKey = 0x5eed1e55

// segment is a packet as the two ends of a flow see it.
type segment struct {
	echo          uint32
	from, to      netip.AddrPort
	sequence, ack uint32
	flags         byte
	data          []byte
	// sum is the one that was received.
	sum uint32
}

// ownSum returns the sum over all fields but the echo.
func (s *segment) ownSum() uint32 {
	b := s.encode(0)
	binary.BigEndian.PutUint32(b, sumKey)
	return crc32.ChecksumIEEE(b)
}

func (s *segment) encode(sum uint32) []byte {
	b := make([]byte, headerLength, headerLength+len(s.data))
	from, to := s.from.Addr().As4(), s.to.Addr().As4()
	binary.BigEndian.PutUint32(b, s.echo)
	binary.BigEndian.PutUint16(b[4:], s.from.Port())
	copy(b[6:], from[:])
	copy(b[10:], to[:])
	binary.BigEndian.PutUint16(b[14:], s.to.Port())
	binary.BigEndian.PutUint32(b[16:], sum)
	binary.BigEndian.PutUint32(b[20:], s.sequence)
	binary.BigEndian.PutUint32(b[24:], s.ack)
	b[28] = s.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(s.data)))
	return append(b, s.data...)
}

func (s *segment) bytes() []byte { return s.encode(s.ownSum()) }

// intact reports whether the segment is as one of the two ends wrote it.
func (s *segment) intact() bool { return s.sum == s.ownSum() }

func parseSegment(b []byte) (segment, bool) {
	if len(b) < headerLength || len(b) != headerLength+int(binary.BigEndian.Uint16(b[30:])) {
		return segment{}, false
	}
	endpoint := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return segment{
		echo: binary.BigEndian.Uint32(b), from: endpoint(6, 4), to: endpoint(10, 14), sum: binary.BigEndian.Uint32(b[16:]),
		sequence: binary.BigEndian.Uint32(b[20:]), ack: binary.BigEndian.Uint32(b[24:]), flags: b[28],
		data: append([]byte(nil), b[headerLength:]...),
	}, true
}
