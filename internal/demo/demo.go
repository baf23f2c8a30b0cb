// Package demo runs a small fleet in one process: the platform's stand-in in
// memory, three hosts, one service of four targets, and callers, with a planned
// stop of a host and the drain of a target in the middle.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/host"
	"oriolevalve/internal/settings"
	"oriolevalve/internal/standin/caller"
	"oriolevalve/internal/standin/fabric"
	"oriolevalve/internal/standin/platform"
	"oriolevalve/internal/standin/record"
	"oriolevalve/internal/standin/target"
	"oriolevalve/pkg/operatorpb"
)

const (
	hostCount   = 3
	targetCount = 4
	// settleTime lets the membership agree before the service is created, so
	// that its targets count as new.
	settleTime = 4 * time.Second
	loadTime   = 6 * time.Second
	// pollInterval is the time between two looks at the fleet.
	pollInterval = 100 * time.Millisecond
	startTimeout = 15 * time.Second
	serviceName  = "dispatch"
)

// Summary is the result of a demo.
type Summary struct {
	Requests    int     `json:"requests"`
	Answered    int     `json:"answered"`
	NotRun      int     `json:"not_run"`
	Unknown     int     `json:"unknown"`
	BrokenFlows int     `json:"broken_flows"`
	Doubled     int     `json:"doubled"`
	Lost        int     `json:"lost"`
	Misrouted   int     `json:"misrouted"`
	Imbalance   float64 `json:"imbalance"`
}

// Good reports whether nothing was broken, doubled, lost or misrouted.
func (s Summary) Good() bool {
	return s.Answered > 0 && s.BrokenFlows == 0 && s.Doubled == 0 && s.Lost == 0 && s.Misrouted == 0
}

type runningHost struct {
	settings settings.Host
	stop     context.CancelFunc
	result   chan error
}

type fleet struct {
	out     io.Writer
	clock   clock.Clock
	store   *platform.Store
	hosts   []*runningHost
	targets []*target.Server
	sprayer *fabric.Sprayer
}

// Run runs the demo and writes its progress to out.
func Run(ctx context.Context, out io.Writer, seed uint64) (Summary, error) {
	f := &fleet{out: out, clock: clock.System{}}
	defer f.close()
	if err := f.start(ctx, seed); err != nil {
		return Summary{}, err
	}
	if err := f.createService(ctx); err != nil {
		return Summary{}, err
	}
	type outcome struct {
		report *caller.Report
		err    error
	}
	finished := make(chan outcome, 1)
	f.say("callers: 40 sessions, half of the messages must run at most once")
	go func() {
		r, err := caller.Run(ctx, f.load(seed))
		finished <- outcome{r, err}
	}()
	if err := f.change(ctx); err != nil {
		return Summary{}, err
	}
	o := <-finished
	if o.err != nil {
		return Summary{}, o.err
	}
	r := o.report
	return Summary{
		Requests: r.Requests, Answered: r.Answered, NotRun: r.NotRun + r.NotSent, Unknown: r.Unknown,
		BrokenFlows: r.BrokenFlows, Doubled: r.Doubled, Lost: r.Lost, Misrouted: r.Misrouted,
		Imbalance: r.ImbalanceSessions,
	}, nil
}

func (f *fleet) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(f.out, format+"\n", arguments...)
}

// freeAddress reserves a loopback port by opening and closing it.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "finding a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// start starts the platform, the targets and the hosts, and waits until all
// hosts know each other.
func (f *fleet) start(ctx context.Context, seed uint64) error {
	f.store = platform.New(f.clock)
	for i := range targetCount {
		t, err := target.Start(target.Options{
			Name: fmt.Sprintf("%s-%d", serviceName, i+1), Service: serviceName, Address: "127.0.0.1:0",
			Slots: 2, Connections: 2000, Clock: f.clock,
			Behaviour: target.Behaviour{ServiceTime: duration.Duration(5 * time.Millisecond)},
		})
		if err != nil {
			return err
		}
		f.targets = append(f.targets, t)
	}
	var callers, peers []string
	for i := range hostCount {
		s := settings.DefaultHost()
		s.HostID, s.DataCentre = fmt.Sprintf("host-%d", i+1), "dc-1"
		addresses := make([]string, 4)
		for j := range addresses {
			var err error
			if addresses[j], err = freeAddress(); err != nil {
				return err
			}
		}
		s.Listen = settings.Listen{Callers: addresses[:1], Peer: addresses[1], Operator: addresses[2], Metrics: addresses[3]}
		s.Advertise = settings.Advertise{Peer: s.Listen.Peer, Operator: s.Listen.Operator}
		callers, peers = append(callers, addresses[0]), append(peers, s.Listen.Peer)
		f.hosts = append(f.hosts, &runningHost{settings: s, result: make(chan error, 1)})
	}
	for _, h := range f.hosts {
		h.settings.Seeds = peers
		f.run(h)
	}
	f.sprayer = fabric.NewSprayer(seed, callers)
	f.say("started %d hosts and %d targets", hostCount, targetCount)
	if err := f.until(ctx, "the hosts know each other", func(s *operatorpb.StatusResponse) bool {
		alive := 0
		for _, h := range s.GetHosts() {
			if h.GetState() == "alive" {
				alive++
			}
		}
		return alive == hostCount
	}); err != nil {
		return err
	}
	return f.sleep(ctx, settleTime)
}

func (f *fleet) run(h *runningHost) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.result <- host.Run(ctx, context.Background(), h.settings, host.WithPlatform(f.store)) }()
}

func (f *fleet) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-f.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withOperator calls the operators' interface of a host.
func (f *fleet) withOperator(h *runningHost, call func(operatorpb.OperatorClient) error) error {
	connection, err := grpc.NewClient(h.settings.Listen.Operator, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	return call(operatorpb.NewOperatorClient(connection))
}

// until waits until the condition holds on every running host.
func (f *fleet) until(ctx context.Context, what string, holds func(*operatorpb.StatusResponse) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range f.hosts {
		for {
			good := false
			if err := f.withOperator(h, func(c operatorpb.OperatorClient) error {
				s, err := c.Status(ctx, &operatorpb.StatusRequest{})
				good = err == nil && holds(s)
				return nil
			}); err != nil {
				return err
			}
			if good {
				break
			}
			if err := f.sleep(ctx, pollInterval); err != nil {
				return errors.Wrapf(err, "waiting until %s", what)
			}
		}
	}
	return nil
}

func newOperation(base uint64) *operatorpb.Operation {
	return &operatorpb.Operation{Identity: uuid.NewString(), Actor: "demo", BaseVersion: base}
}

func applied(r *operatorpb.ChangeResult, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	if r.GetStatus() != operatorpb.ChangeStatus_CHANGE_STATUS_APPLIED {
		return 0, errors.Newf("the change was not applied: %s", r.GetReason())
	}
	return r.GetRevision(), nil
}

func (f *fleet) createService(ctx context.Context) error {
	s := &operatorpb.Service{Name: serviceName, Address: "10.0.0.1:443", Protocol: "grpc"}
	for i, t := range f.targets {
		s.Targets = append(s.Targets, &operatorpb.Target{
			Name: fmt.Sprintf("%s-%d", serviceName, i+1), Address: t.Address(), DataCentre: "dc-1",
			State: "joined", Slots: 2, Connections: 2000, Weight: 1,
		})
	}
	return f.withOperator(f.hosts[0], func(c operatorpb.OperatorClient) error {
		revision, err := applied(c.Apply(ctx, &operatorpb.ApplyRequest{
			Operation:    newOperation(0),
			Declarations: []*operatorpb.ServiceDeclaration{{Service: s, ReplaceTargets: true}},
		}))
		if err != nil {
			return err
		}
		return f.inForce(ctx, "service created", revision)
	})
}

func (f *fleet) inForce(ctx context.Context, what string, revision uint64) error {
	start := f.clock.Now()
	if err := f.until(ctx, what, func(s *operatorpb.StatusResponse) bool { return s.GetRevision() >= revision }); err != nil {
		return err
	}
	f.say("%s: revision %d in force on %d hosts after %s", what, revision, len(f.hosts),
		f.clock.Now().Sub(start).Round(time.Millisecond))
	return nil
}

func (f *fleet) load(seed uint64) caller.Options {
	return caller.Options{
		Seed: seed, Sprayer: f.sprayer, Service: serviceName, Method: "/dispatch.Desk/Send", Name: "van",
		Sessions: 40, Messages: 8, Duration: loadTime, Think: 100 * time.Millisecond,
		IdempotentShare: 0.5, BodySize: 256, Repeats: 8, RepeatPause: 100 * time.Millisecond,
		Timeout: 5 * time.Second, Clock: f.clock,
		Records: func(context.Context) ([]record.Record, error) {
			var all []record.Record
			for _, t := range f.targets {
				all = append(all, t.Records()...)
			}
			return all, nil
		},
	}
}

// change drains a target and stops a host while callers send.
func (f *fleet) change(ctx context.Context) error {
	if err := f.sleep(ctx, loadTime/4); err != nil {
		return err
	}
	if err := f.withOperator(f.hosts[1], func(c operatorpb.OperatorClient) error {
		services, err := c.ListServices(ctx, &operatorpb.ListServicesRequest{Name: serviceName})
		if err != nil {
			return err
		}
		revision, err := applied(c.DrainTarget(ctx, &operatorpb.TargetRequest{
			Operation: newOperation(services.GetServices()[0].GetVersion()), Service: serviceName, Target: serviceName + "-2",
		}))
		if err != nil {
			return err
		}
		return f.inForce(ctx, "target "+serviceName+"-2 drains", revision)
	}); err != nil {
		return err
	}
	if err := f.sleep(ctx, loadTime/4); err != nil {
		return err
	}
	h := f.hosts[hostCount-1]
	f.say("stopping %s", h.settings.HostID)
	start := f.clock.Now()
	h.stop()
	// The fabric learns of a leaving host from the platform's list.
	f.sprayer.SetAddresses([]string{f.hosts[0].settings.Listen.Callers[0], f.hosts[1].settings.Listen.Callers[0]})
	f.hosts = f.hosts[:hostCount-1]
	if err := <-h.result; err != nil {
		return errors.Wrap(err, "stopping a host")
	}
	f.say("%s stopped after %s", h.settings.HostID, f.clock.Now().Sub(start).Round(time.Millisecond))
	return nil
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.stop != nil {
			h.stop()
		}
	}
	for _, h := range f.hosts {
		if h.stop != nil {
			if err := <-h.result; err != nil {
				f.say("host %s: %v", h.settings.HostID, err)
			}
		}
	}
	for _, t := range f.targets {
		_ = t.Stop()
	}
}
