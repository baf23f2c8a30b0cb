package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// connectionSeed separates the keys of connections from those of sessions.
const connectionSeed = 1 << 32

// KeyOfSession returns the key of the session with the caller's session key.
func KeyOfSession(service ServiceID, session string) Key {
	return xxh3.HashString128Seed(session, uint64(service)).Bytes()
}

// KeyOfConnection returns the key of a TCP connection from caller to the
// service address. IPv4 addresses and their IPv6-mapped forms are equal.
func KeyOfConnection(service ServiceID, caller, address netip.AddrPort) Key {
	var data [36]byte
	from, to := caller.Addr().As16(), address.Addr().As16()
	copy(data[0:], from[:])
	copy(data[16:], to[:])
	binary.BigEndian.PutUint16(data[32:], caller.Port())
	binary.BigEndian.PutUint16(data[34:], address.Port())
	return xxh3.Hash128Seed(data[:], uint64(service)|connectionSeed).Bytes()
}

// mix combines two hashes into one whose bits all depend on both (the
// finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
