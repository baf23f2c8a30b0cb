package operator

import (
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/logs"
	"oriolevalve/pkg/flow"
	"oriolevalve/pkg/operatorpb"

	"google.golang.org/protobuf/types/known/durationpb"
)

func declarationFromMessage(d *operatorpb.ServiceDeclaration) configuration.ServiceDeclaration {
	s := d.GetService()
	declaration := configuration.ServiceDeclaration{
		Name: s.GetName(), Address: s.GetAddress(), Protocol: configuration.Protocol(s.GetProtocol()),
		ReplaceTargets: d.GetReplaceTargets(), BaseVersion: d.GetBaseVersion(),
		Policy: policyFromMessage(s.GetPolicy()),
	}
	for _, t := range s.GetTargets() {
		declaration.Targets = append(declaration.Targets, targetFromMessage(t))
	}
	return declaration
}

// policyFromMessage gives unset fields their defaults. Zero counts as unset; it
// is not allowed where the default differs from it, except for durations, which
// are messages of their own.
func policyFromMessage(p *operatorpb.Policy) *configuration.Policy {
	if p == nil {
		return nil
	}
	policy := configuration.DefaultPolicy()
	setDuration(&policy.IdleTimeout, p.GetIdleTimeout())
	setDuration(&policy.DrainTimeout, p.GetDrainTimeout())
	setDuration(&policy.WarmUp, p.GetWarmUp())
	if p.GetBalanceBound() != 0 {
		policy.BalanceBound = p.GetBalanceBound()
	}
	if p.GetQueueLimit() != 0 {
		policy.QueueLimit = int(p.GetQueueLimit())
	}
	if p.GetEjectFloor() != 0 {
		policy.EjectFloor = p.GetEjectFloor()
	}
	policy.CallerRate = p.GetCallerRate()
	return &policy
}

func setDuration(d *duration.Duration, message *durationpb.Duration) {
	if message != nil {
		*d = duration.Duration(message.AsDuration())
	}
}

func targetFromMessage(t *operatorpb.Target) configuration.TargetDeclaration {
	return configuration.TargetDeclaration{
		Name: t.GetName(), Address: t.GetAddress(), DataCentre: t.GetDataCentre(),
		Slots: int(t.GetSlots()), Connections: int(t.GetConnections()), Weight: t.GetWeight(),
		State: configuration.TargetState(t.GetState()),
	}
}

func messageOfService(s *configuration.Service) *operatorpb.Service {
	message := &operatorpb.Service{
		Id: uint32(s.ID), Name: s.Name, Address: s.Address, Protocol: string(s.Protocol), Version: s.Version,
		Policy: &operatorpb.Policy{
			BalanceBound: s.Policy.BalanceBound,
			IdleTimeout:  durationpb.New(s.Policy.IdleTimeout.Std()),
			DrainTimeout: durationpb.New(s.Policy.DrainTimeout.Std()),
			WarmUp:       durationpb.New(s.Policy.WarmUp.Std()),
			QueueLimit:   int32(s.Policy.QueueLimit),
			CallerRate:   s.Policy.CallerRate,
			EjectFloor:   s.Policy.EjectFloor,
		},
	}
	for _, t := range s.Targets {
		message.Targets = append(message.Targets, &operatorpb.Target{
			Id: uint32(t.ID), Name: t.Name, Address: t.Address, DataCentre: t.DataCentre, State: string(t.State),
			Slots: int32(t.Slots), Connections: int32(t.Connections), Weight: t.Weight,
		})
	}
	return message
}

// targetStatuses lists every configured target. One without a status has no
// owner.
func targetStatuses(c *configuration.Configuration, statuses []flow.TargetStatus) []*operatorpb.TargetStatus {
	known := make(map[flow.TargetID]flow.TargetStatus, len(statuses))
	for _, t := range statuses {
		known[t.Target] = t
	}
	var list []*operatorpb.TargetStatus
	for _, s := range c.Services {
		for _, t := range s.Targets {
			k := known[t.ID]
			list = append(list, &operatorpb.TargetStatus{
				Id: uint32(t.ID), Service: s.Name, Name: t.Name, Owner: k.Owner, Healthy: k.Healthy,
				Sessions: k.Sessions, InProgress: k.InProgress, Queued: k.Queued,
			})
		}
	}
	return list
}

var statuses = map[configuration.CommitStatus]operatorpb.ChangeStatus{
	configuration.CommitApplied:    operatorpb.ChangeStatus_CHANGE_STATUS_APPLIED,
	configuration.CommitNotApplied: operatorpb.ChangeStatus_CHANGE_STATUS_NOT_APPLIED,
	configuration.CommitConflict:   operatorpb.ChangeStatus_CHANGE_STATUS_CONFLICT,
	configuration.CommitUnknown:    operatorpb.ChangeStatus_CHANGE_STATUS_UNKNOWN,
}

// events names the log event of each outcome.
var events = map[configuration.CommitStatus]string{
	configuration.CommitApplied:    logs.ChangeApplied,
	configuration.CommitNotApplied: logs.ChangeNotApplied,
	configuration.CommitConflict:   logs.ChangeConflict,
	configuration.CommitUnknown:    logs.ChangeUnknown,
}

func messageOfResult(identity string, r configuration.CommitResult) *operatorpb.ChangeResult {
	return &operatorpb.ChangeResult{
		Identity: identity, Status: statuses[r.Status], Revision: r.Revision,
		CurrentVersion: r.CurrentVersion, Reason: r.Reason, Differences: r.Differences,
	}
}
