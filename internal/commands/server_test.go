package commands_test

import (
	"net"
	"sync"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/operator"
	"oriolevalve/internal/standin/platform"
	"oriolevalve/pkg/flow"
	"oriolevalve/pkg/operatorpb"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/grpc"
)

// realHost is the part of a host that the operator server needs. Its targets
// report open sessions.
type realHost struct {
	mutex sync.Mutex
	state *configuration.State
}

func (h *realHost) State() *configuration.State {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state
}

func (h *realHost) adopt(s *configuration.State) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state = s
}

func (h *realHost) Sessions(flow.TargetID) configuration.Sessions {
	return configuration.Sessions{Open: 12, Complete: true}
}

func (h *realHost) Status() operator.FleetStatus {
	return operator.FleetStatus{Host: "host-1", PlatformReachable: true, Hosts: []operator.HostStatus{
		{ID: "host-1", DataCentre: "dc-1", State: "alive", Revision: h.State().Revision()},
	}}
}

// startRealHost serves the operator server on the platform stand-in and returns
// its address.
func startRealHost(env *testscript.Env) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	store := platform.New(clock.System{})
	h := &realHost{state: configuration.NewState()}
	server := grpc.NewServer()
	committer := operator.NewPlatformCommitter(store, clock.System{}, h.State, h.adopt)
	operatorpb.RegisterOperatorServer(server, operator.NewServer(committer, h, h, store))
	go func() { _ = server.Serve(listener) }()
	env.Defer(server.Stop)
	return listener.Addr().String(), nil
}
