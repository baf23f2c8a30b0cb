//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
)

// The flags of a packet.
const (
	flagSYN     = 1
	flagACK     = 8
	flagRST     = 32
	flagBounced = 4
	flagFIN     = 128
)

const (
	headerLength   = 32
	envelopeLength = 8
	// resetWindow is the distance of a reset's sequence number from the client's last
	// acknowledgement at most.
	resetWindow = 76_800
)

// segment is a packet as the two ends of a flow see it.
type segment struct {
	echo          uint32
	from, to      netip.AddrPort
	sequence, ack uint32
	flags         byte
	sum           uint32
	data          []byte
}

func (s *segment) has(flag byte) bool { return s.flags&flag != 0 }

// checksumKey is known to clients and targets only.
const checksumKey = "review key"

// checksum is the keyed sum of all fields of a packet but echo, pad and BOUNCED.
func checksum(packet []byte) uint32 {
	covered := append([]byte(checksumKey), packet...)
	header := covered[len(checksumKey):]
	clear(header[0:4])
	clear(header[16:20])
	header[28] &^= flagBounced
	header[29] = 0
	return crc32.ChecksumIEEE(covered)
}

// bytes encodes a packet of an end. Its checksum is set.
func (s *segment) bytes() []byte {
	from, to := s.from.Addr().As4(), s.to.Addr().As4()
	b := make([]byte, headerLength, headerLength+len(s.data))
	binary.BigEndian.PutUint32(b, s.echo)
	binary.BigEndian.PutUint16(b[4:], s.from.Port())
	copy(b[6:], from[:])
	copy(b[10:], to[:])
	binary.BigEndian.PutUint16(b[14:], s.to.Port())
	binary.BigEndian.PutUint32(b[20:], s.sequence)
	binary.BigEndian.PutUint32(b[24:], s.ack)
	b[28] = s.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(s.data)))
	b = append(b, s.data...)
	binary.BigEndian.PutUint32(b[16:], checksum(b))
	return b
}

// parseSegment decodes a packet. It reports false if its length doesn't match.
func parseSegment(b []byte) (segment, bool) {
	if len(b) < headerLength || len(b) != headerLength+int(binary.BigEndian.Uint16(b[30:])) {
		return segment{}, false
	}
	endpoint := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return segment{
		echo: binary.BigEndian.Uint32(b), from: endpoint(6, 4), to: endpoint(10, 14),
		sequence: binary.BigEndian.Uint32(b[20:]), ack: binary.BigEndian.Uint32(b[24:]), flags: b[28],
		sum: binary.BigEndian.Uint32(b[16:]), data: append([]byte(nil), b[headerLength:]...),
	}, true
}

// intact reports whether a packet is as its sender wrote it.
func intact(packet []byte) bool { return binary.BigEndian.Uint32(packet[16:]) == checksum(packet) }

// near reports whether a sequence number is in the window of a reset.
func near(sequence, acknowledged uint32) bool {
	distance := int32(sequence - acknowledged)
	return distance <= resetWindow && distance >= -resetWindow
}

// listenUDP opens a socket with room for the packets of a busy second.
func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return socket, socket.SetReadBuffer(1 << 20)
}

// checksumOf is the seal of an answer.
func checksumOf(id string) uint32 { return crc32.ChecksumIEEE([]byte("seal " + id)) }
