// Package operator serves the operators' gRPC interface.
package operator

import (
	"context"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/platform"
	"oriolevalve/pkg/flow"
	"oriolevalve/pkg/operatorpb"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// Committer runs operations to their result.
type Committer interface {
	Commit(context.Context, configuration.Operation) configuration.CommitResult
}

// Current returns the state in force on this host.
type Current interface {
	State() *configuration.State
}

// Fleet tells about hosts and targets as this host sees them.
type Fleet interface {
	// Sessions returns what the owner of a target reports about its open
	// sessions.
	Sessions(flow.TargetID) configuration.Sessions
	// Status returns the hosts and the statuses of the targets. The services
	// and names of the targets are filled in by the server.
	Status() FleetStatus
}

// FleetStatus is the fleet as one host sees it.
type FleetStatus struct {
	// Host is the identifier of this host.
	Host              string
	Hosts             []HostStatus
	Targets           []flow.TargetStatus
	PlatformReachable bool
}

// HostStatus is one member of the fleet. State is "alive", "suspect",
// "leaving" or "dead".
type HostStatus struct {
	ID         string
	DataCentre string
	State      string
	Revision   uint64
}

// Objects reads objects of the platform.
type Objects interface {
	Get(ctx context.Context, key string) (platform.Object, error)
}

// Server implements the Operator service.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	committer Committer
	current   Current
	fleet     Fleet
	objects   Objects
	clock     clock.Clock
	log       *zap.Logger
	recent    recentResults
}

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *zap.Logger) Option { return func(s *Server) { s.log = l } }

// WithClock sets the time source of dry runs.
func WithClock(c clock.Clock) Option { return func(s *Server) { s.clock = c } }

// NewServer returns a server.
func NewServer(committer Committer, current Current, fleet Fleet, objects Objects, options ...Option) *Server {
	s := &Server{
		committer: committer, current: current, fleet: fleet, objects: objects,
		clock: clock.System{}, log: zap.NewNop(),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Apply implements operatorpb.OperatorServer. The base versions are those of
// the declarations.
func (s *Server) Apply(ctx context.Context, r *operatorpb.ApplyRequest) (*operatorpb.ChangeResult, error) {
	if r.GetOperation().GetBaseVersion() != 0 {
		return nil, status.Error(codes.InvalidArgument, "operation.base_version: each declaration has its own base version")
	}
	change := configuration.Change{Kind: configuration.ChangeApply}
	for i, d := range r.GetDeclarations() {
		if d.GetService() == nil {
			return nil, status.Errorf(codes.InvalidArgument, "declarations[%d].service: is required", i)
		}
		change.Declarations = append(change.Declarations, declarationFromMessage(d))
	}
	if len(change.Declarations) == 0 {
		return nil, status.Error(codes.InvalidArgument, "declarations: at least one is required")
	}
	if r.GetDryRun() {
		return s.dryRun(r.GetOperation(), change), nil
	}
	return s.commit(ctx, r.GetOperation(), change)
}

// DeleteService implements operatorpb.OperatorServer.
func (s *Server) DeleteService(ctx context.Context, r *operatorpb.DeleteServiceRequest) (*operatorpb.ChangeResult, error) {
	return s.commit(ctx, r.GetOperation(), configuration.Change{
		Kind: configuration.ChangeDeleteService, Service: r.GetService(),
	})
}

// JoinTarget implements operatorpb.OperatorServer.
func (s *Server) JoinTarget(ctx context.Context, r *operatorpb.JoinTargetRequest) (*operatorpb.ChangeResult, error) {
	if r.GetTarget() == nil {
		return nil, status.Error(codes.InvalidArgument, "target: is required")
	}
	target := targetFromMessage(r.GetTarget())
	return s.commit(ctx, r.GetOperation(), configuration.Change{
		Kind: configuration.ChangeJoinTarget, Service: r.GetService(), Join: &target,
	})
}

// DrainTarget implements operatorpb.OperatorServer.
func (s *Server) DrainTarget(ctx context.Context, r *operatorpb.TargetRequest) (*operatorpb.ChangeResult, error) {
	return s.commit(ctx, r.GetOperation(), configuration.Change{
		Kind: configuration.ChangeDrainTarget, Service: r.GetService(), Target: r.GetTarget(),
	})
}

// LeaveTarget implements operatorpb.OperatorServer. The open sessions are those
// that the target's owner reports.
func (s *Server) LeaveTarget(ctx context.Context, r *operatorpb.TargetRequest) (*operatorpb.ChangeResult, error) {
	change := configuration.Change{
		Kind: configuration.ChangeLeaveTarget, Service: r.GetService(), Target: r.GetTarget(), Force: r.GetForce(),
	}
	if service, exists := s.current.State().Configuration().Service(r.GetService()); exists {
		if target, exists := service.Target(r.GetTarget()); exists {
			change.Sessions = s.fleet.Sessions(target.ID)
		}
	}
	return s.commit(ctx, r.GetOperation(), change)
}

// ListServices implements operatorpb.OperatorServer.
func (s *Server) ListServices(
	_ context.Context, r *operatorpb.ListServicesRequest,
) (*operatorpb.ListServicesResponse, error) {
	c := s.current.State().Configuration()
	response := &operatorpb.ListServicesResponse{Revision: c.Revision}
	for i := range c.Services {
		if r.GetName() == "" || r.GetName() == c.Services[i].Name {
			response.Services = append(response.Services, messageOfService(&c.Services[i]))
		}
	}
	return response, nil
}

// Status implements operatorpb.OperatorServer.
func (s *Server) Status(context.Context, *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	c := s.current.State().Configuration()
	fleet := s.fleet.Status()
	response := &operatorpb.StatusResponse{
		Host: fleet.Host, Revision: c.Revision, PlatformReachable: fleet.PlatformReachable,
	}
	if c.Revision > 0 {
		response.AcceptedAt = timestamppb.New(c.AcceptedAt)
	}
	for _, h := range fleet.Hosts {
		response.Hosts = append(response.Hosts, &operatorpb.HostStatus{
			Id: h.ID, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision,
		})
	}
	response.Targets = targetStatuses(c, fleet.Targets)
	return response, nil
}

// commit runs a change and remembers its result.
func (s *Server) commit(
	ctx context.Context, o *operatorpb.Operation, change configuration.Change,
) (*operatorpb.ChangeResult, error) {
	if o == nil {
		return nil, status.Error(codes.InvalidArgument, "operation: is required")
	}
	change.BaseVersion = o.GetBaseVersion()
	operation := configuration.Operation{Identity: o.GetIdentity(), Actor: o.GetActor(), Change: change}
	if problems := operation.Validate(); len(problems) > 0 {
		return nil, status.Error(codes.InvalidArgument, problems.Error())
	}
	result := s.committer.Commit(ctx, operation)
	s.recent.add(operation.Identity, result)
	s.log.Info(events[result.Status],
		zap.String("identity", operation.Identity), zap.String("actor", operation.Actor),
		zap.String("action", string(change.Kind)), zap.Strings("services", change.ServiceNames()),
		zap.Uint64("revision", result.Revision), zap.String("reason", result.Reason))
	return messageOfResult(operation.Identity, result), nil
}

// dryRun computes a change on the state in force on this host.
func (s *Server) dryRun(o *operatorpb.Operation, change configuration.Change) *operatorpb.ChangeResult {
	base := s.current.State().Configuration()
	_, differences, err := change.Apply(base, s.clock.Now())
	if err != nil {
		return messageOfResult(o.GetIdentity(), configuration.ResultFromError(err))
	}
	result := &operatorpb.ChangeResult{
		Identity: o.GetIdentity(), Status: operatorpb.ChangeStatus_CHANGE_STATUS_NOT_APPLIED,
		Revision: base.Revision, Reason: DryRunReason,
	}
	for _, d := range differences {
		result.Differences = append(result.Differences, d.String())
	}
	return result
}

// DryRunReason is the reason of a result that only shows the differences.
const DryRunReason = "dry run"
