package host

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"oriolevalve/internal/caller"
	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/metrics"
	"oriolevalve/internal/operator"
	"oriolevalve/internal/peer"
	"oriolevalve/internal/platform"
	"oriolevalve/internal/settings"
	"oriolevalve/pkg/operatorpb"
)

// Option changes a default of Run.
type Option func(*Process)

// WithClock sets the time source.
func WithClock(c clock.Clock) Option { return func(p *Process) { p.clock = c } }

// WithPlatform sets the client of the object API. The default speaks HTTP to
// the platform URL of the settings.
func WithPlatform(c platform.Client) Option { return func(p *Process) { p.platform = c } }

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *zap.Logger) Option { return func(p *Process) { p.log = l } }

// WithDroppedLines counts the lines that the logger drops in the metrics.
func WithDroppedLines(d *logs.Dropped) Option { return func(p *Process) { p.droppedLines = d } }

// Run runs a host until the context ends, and then stops it gracefully. The
// second context ends a graceful stop at once; its error says so.
func Run(ctx, abort context.Context, s settings.Host, options ...Option) error {
	p := &Process{
		settings: s, clock: clock.NewBootTime(), log: zap.NewNop(),
		registry: prometheus.NewRegistry(),
		drains:   drains{}, ownerLog: ownerLog{},
		events: make(chan ControlEvent, eventBuffer), network: make(chan peer.Event, eventBuffer),
	}
	for _, option := range options {
		option(p)
	}
	if p.platform == nil {
		client, err := platform.NewHTTPClient(s.PlatformURL, platform.WithClock(p.clock), platform.WithMalformedEntries(func(reason error) {
			p.log.Warn(logs.ObjectUndecodable, logs.Text("reason", reason.Error()))
		}))
		if err != nil {
			return err
		}
		p.platform = client
		p.calls = append(p.calls, client.Calls())
	}
	var err error
	if p.metrics, err = metrics.New(p.registry, p.clock, p.calls...); err != nil {
		return err
	}
	if p.droppedLines != nil {
		p.droppedLines.Bind(p.metrics.LogLineDropped)
	}
	p.platform = countedPlatform{Client: p.platform, failed: p.metrics.PlatformFailed}
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return p.run(ctx, abort)
}

// seedOf derives a seed from the host's name, so that hosts differ.
func seedOf(hostID string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(hostID))
	return h.Sum64()
}

func (p *Process) run(ctx, abort context.Context) error {
	s := p.settings
	seed := seedOf(s.HostID)
	p.random = rand.New(rand.NewPCG(seed, uint64(p.clock.Now().UnixNano())))
	self := peer.Member{
		ID: s.HostID, DataCentre: s.DataCentre, Address: s.Advertise.Peer,
		Incarnation: uint64(p.clock.Now().Unix()),
	}
	var seeds []peer.Member
	for _, address := range s.Seeds {
		if address != s.Advertise.Peer {
			// The identifier of a seed is learned from its answer.
			seeds = append(seeds, peer.Member{ID: "seed-" + address, Address: address})
		}
	}
	p.control = NewControl(self, peer.WithSeed(seed), peer.WithSeeds(seeds...))
	p.traffic = NewTraffic(s.HostID, seed)
	p.targets = newTargetPool(p.clock)
	p.handovers = newHandoverQueue(p.log, p.handover)
	p.state.Store(configuration.NewState())
	p.platformOK.Store(true)

	clientOptions := []peer.ClientOption{peer.WithClientByteCounter(p.metrics)}
	serverOptions := []peer.ServerOption{peer.WithServerByteCounter(p.metrics)}
	if certificate, key, authority, on := s.PeerTLS.PEM(); on {
		own, err := peer.NewCredentials(certificate, key, authority)
		if err != nil {
			return err
		}
		clientOptions = append(clientOptions, peer.WithCredentials(own))
		serverOptions = append(serverOptions, peer.WithServerTLS(own.ServerConfig()))
	}
	client := peer.NewClient(p.clock, clientOptions...)
	defer client.Close()
	gossip := peer.NewGossip(client, p.network)
	p.peers, p.gossip = client, gossip
	p.publish()

	servers, err := p.listen(gossip, serverOptions)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	servers.serve(p)
	go p.loop(life)
	p.log.Info(logs.HostStarted, zap.String("data_centre", s.DataCentre), zap.String("peer_address", s.Advertise.Peer))

	select {
	case <-ctx.Done():
	case err := <-servers.failed:
		return err
	}
	return p.stop(abort, servers)
}

// servers are the listeners of a host.
type servers struct {
	callers  *caller.Server
	peers    *peer.Server
	operator *grpc.Server
	metrics  *http.Server

	callerListeners  []net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	metricsListener  net.Listener
	failed           chan error
}

// peerHandler joins the membership's and the traffic's answers to peers.
type peerHandler struct {
	*peer.Gossip
	*Process
}

func (p *Process) listen(gossip *peer.Gossip, serverOptions []peer.ServerOption) (*servers, error) {
	s := p.settings
	v := &servers{failed: make(chan error, 8)}
	open := func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		return l, errors.Wrapf(err, "opening the listener %s", address)
	}
	var err error
	for _, address := range s.Listen.Callers {
		var l net.Listener
		if l, err = open(address); err != nil {
			return nil, err
		}
		v.callerListeners = append(v.callerListeners, l)
	}
	if v.peerListener, err = open(s.Listen.Peer); err != nil {
		return nil, err
	}
	if v.operatorListener, err = open(s.Listen.Operator); err != nil {
		return nil, err
	}
	if v.metricsListener, err = open(s.Listen.Metrics); err != nil {
		return nil, err
	}
	v.callers = caller.NewServer(p, directory{p},
		caller.WithClock(p.clock), caller.WithObserver(p.metrics), caller.WithInFlightLimit(s.Limits.InFlight),
		caller.WithMessageSize(s.Limits.MessageSize), caller.WithCallerRate(s.Limits.CallerRate, s.Limits.Callers))
	v.peers = peer.NewServer(peerHandler{gossip, p}, serverOptions...)
	v.operator = p.operatorServer()
	v.metrics = &http.Server{
		Handler:           metrics.Handler(p.registry, p.ready, func() error { return nil }),
		ReadHeaderTimeout: 5 * time.Second,
	}
	return v, nil
}

func (p *Process) operatorServer() *grpc.Server {
	options := []grpc.ServerOption{grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second})}
	if config := p.settings.OperatorTLS.Config(); config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	server := grpc.NewServer(options...)
	committer := operator.NewPlatformCommitter(p.platform, p.clock, p.state.Load, func(s *configuration.State) {
		p.post(context.Background(), ConfigurationEvent{Event: configuration.SyncEvent{
			Kind: configuration.SyncCommitted, State: s,
		}})
	})
	operatorpb.RegisterOperatorServer(server, operator.NewServer(
		committer, currentState{p}, fleet{p}, p.platform, operator.WithLogger(p.log), operator.WithClock(p.clock)))
	return server
}

// serve starts all servers. A server that fails ends the process.
func (v *servers) serve(p *Process) {
	run := func(name string, l net.Listener, serve func(net.Listener) error) {
		p.log.Info(logs.ListenerOpened, zap.String("listener", name), zap.String("address", l.Addr().String()))
		go func() {
			if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
				p.log.Error(logs.ListenerFailed, zap.String("listener", name), zap.Error(err))
				v.failed <- errors.Wrapf(err, "listener %s", name)
			}
		}()
	}
	for _, l := range v.callerListeners {
		run("callers", l, v.callers.Serve)
	}
	run("peer", v.peerListener, v.peers.Serve)
	run("operator", v.operatorListener, v.operator.Serve)
	run("metrics", v.metricsListener, v.metrics.Serve)
}

// ready reports why the host does not serve.
func (p *Process) ready() error {
	s := p.status.Load()
	switch {
	case !s.view:
		return errors.New("the host has not asked for the configuration yet")
	case !s.permitted:
		return errors.New("the host does not know whether its configuration is current")
	default:
		return nil
	}
}

// stop leaves the fleet: other hosts take the targets over while this one still
// passes requests on; then requests in progress finish, and the process ends.
func (p *Process) stop(abort context.Context, v *servers) error {
	p.log.Info(logs.HostStopping)
	limit := p.drainLimit()
	limited, cancel := context.WithTimeout(abort, limit)
	defer cancel()
	p.post(limited, Leave{})
	select {
	case <-p.clock.After(LeaveTime):
	case <-limited.Done():
	}
	err := v.callers.Stop(limited)
	err = errors.CombineErrors(err, p.drain(limited))
	err = errors.CombineErrors(err, v.peers.Shutdown(limited))
	v.operator.Stop()
	err = errors.CombineErrors(err, v.metrics.Close())
	p.targets.keep(nil)
	if err != nil {
		p.log.Warn(logs.HostStopInterrupted, zap.Error(err))
		return errors.Wrap(err, "the stop was not complete")
	}
	p.log.Info(logs.HostStopped)
	return nil
}

// drainLimit returns how long requests in progress may take.
func (p *Process) drainLimit() time.Duration {
	limit := p.settings.DrainTimeout.Std()
	for _, s := range p.state.Load().Configuration().Services {
		limit = max(limit, s.Policy.DrainTimeout.Std())
	}
	return limit
}

// drain waits until no request and no handover is in progress.
func (p *Process) drain(ctx context.Context) error {
	for p.traffic.Open() > 0 || !p.handovers.idle() {
		select {
		case <-p.clock.After(TickInterval):
		case <-ctx.Done():
			return errors.Newf("%d requests were in progress at the end of the drain timeout", p.traffic.Open())
		}
	}
	return nil
}
