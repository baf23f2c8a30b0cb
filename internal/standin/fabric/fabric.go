// Package fabric is the stand-in for the fabric in front of the hosts on the
// request plane: it delivers each message to any host, whatever its session.
package fabric

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Sprayer chooses a host address for each message. It is safe for concurrent
// use; the sequence of choices depends only on the seed and the addresses.
type Sprayer struct {
	mutex     sync.Mutex
	random    *rand.Rand
	addresses []string
}

// NewSprayer returns a sprayer over the addresses.
func NewSprayer(seed uint64, addresses []string) *Sprayer {
	return &Sprayer{random: rand.New(rand.NewPCG(seed, 0)), addresses: slices.Clone(addresses)}
}

// Next returns an address, or "" if there is none. An address in the list of
// excluded ones is only chosen if there is no other.
func (s *Sprayer) Next(excluded ...string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]string, 0, len(s.addresses))
	for _, address := range s.addresses {
		if !slices.Contains(excluded, address) {
			list = append(list, address)
		}
	}
	if len(list) == 0 {
		list = s.addresses
	}
	if len(list) == 0 {
		return ""
	}
	return list[s.random.IntN(len(list))]
}

// SetAddresses replaces the addresses when hosts join or leave.
func (s *Sprayer) SetAddresses(addresses []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.addresses = slices.Clone(addresses)
}
