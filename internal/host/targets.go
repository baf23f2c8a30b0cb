package host

import (
	"sync"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/target"
)

// targetPool keeps one client for each target address that this host uses.
type targetPool struct {
	clock   clock.Clock
	mutex   sync.Mutex
	clients map[string]*target.Client
}

func newTargetPool(c clock.Clock) *targetPool {
	return &targetPool{clock: c, clients: make(map[string]*target.Client)}
}

func (p *targetPool) get(address string) (*target.Client, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c := p.clients[address]; c != nil {
		return c, nil
	}
	c, err := target.NewClient(address, p.clock)
	if err != nil {
		return nil, err
	}
	p.clients[address] = c
	return c, nil
}

// keep closes the clients of all other addresses.
func (p *targetPool) keep(addresses map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			_ = c.Close()
			delete(p.clients, address)
		}
	}
}
