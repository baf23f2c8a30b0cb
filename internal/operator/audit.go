package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/platform"
	"oriolevalve/pkg/operatorpb"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// Limits of ListAudit.
const (
	DefaultAuditLimit = 100
	MaxAuditLimit     = 10000
)

// ListAudit implements operatorpb.OperatorServer. A change of several services
// has one entry for each of them, with the same revision and identity.
func (s *Server) ListAudit(ctx context.Context, r *operatorpb.ListAuditRequest) (*operatorpb.ListAuditResponse, error) {
	limit := int(r.GetLimit())
	if limit == 0 {
		limit = DefaultAuditLimit
	}
	if limit < 0 || limit > MaxAuditLimit {
		return nil, status.Errorf(codes.InvalidArgument, "limit: %d is not allowed: 1 to %d", limit, MaxAuditLimit)
	}
	response := &operatorpb.ListAuditResponse{}
	_, err := s.readAudit(ctx, func(e configuration.AuditEntry) bool {
		if r.GetSince() != nil && e.Time.Before(r.GetSince().AsTime()) {
			return false
		}
		if r.GetActor() == "" || r.GetActor() == e.Actor {
			for _, m := range messagesOfEntry(e, r.GetService()) {
				if len(response.Entries) < limit {
					response.Entries = append(response.Entries, m)
				}
			}
		}
		return len(response.Entries) < limit
	})
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "the audit trail cannot be read: %v", err)
	}
	return response, nil
}

// messagesOfEntry returns the entry once for each service, or for one of them.
func messagesOfEntry(e configuration.AuditEntry, service string) []*operatorpb.AuditEntry {
	var list []*operatorpb.AuditEntry
	for _, v := range e.Services {
		if service != "" && service != v.Name {
			continue
		}
		m := &operatorpb.AuditEntry{
			Revision: e.Revision, Time: timestamppb.New(e.Time), Actor: e.Actor, Identity: e.Identity,
			Action: string(e.Action), Service: v.Name, VersionBefore: v.Before, VersionAfter: v.After,
		}
		for _, line := range e.Lines() {
			if !strings.HasPrefix(line, "services[") || strings.HasPrefix(line, "services["+v.Name+"]") {
				m.Differences = append(m.Differences, line)
			}
		}
		list = append(list, m)
	}
	return list
}

// readAudit passes the entries to a function, newest first, until it returns
// false. It returns the version of the head.
func (s *Server) readAudit(ctx context.Context, visit func(configuration.AuditEntry) bool) (uint64, error) {
	object, err := s.objects.Get(ctx, configuration.HeadKey)
	if err != nil {
		if platform.KindOf(err) == platform.KindNotFound {
			return 0, nil
		}
		return 0, err
	}
	head, err := configuration.DecodeHead(object.Value)
	if err != nil {
		return 0, err
	}
	for _, e := range slices.Backward(head.Audit) {
		if !visit(e) {
			return object.Version, nil
		}
	}
	for _, r := range slices.Backward(head.AuditChunks) {
		chunk, err := s.objects.Get(ctx, r.Key())
		if err != nil {
			return 0, err
		}
		entries, err := configuration.DecodeAuditChunk(chunk.Value, r)
		if err != nil {
			return 0, err
		}
		for _, e := range slices.Backward(entries) {
			if !visit(e) {
				return object.Version, nil
			}
		}
	}
	return object.Version, nil
}

// ShowOperation implements operatorpb.OperatorServer. The audit trail proves
// that an operation took effect. That it did not is only certain if this host
// ran it; otherwise a conditional update may still be on its way.
func (s *Server) ShowOperation(
	ctx context.Context, r *operatorpb.ShowOperationRequest,
) (*operatorpb.ChangeResult, error) {
	if r.GetIdentity() == "" {
		return nil, status.Error(codes.InvalidArgument, "identity: is required")
	}
	var found *configuration.AuditEntry
	version, err := s.readAudit(ctx, func(e configuration.AuditEntry) bool {
		if e.Identity == r.GetIdentity() {
			found = &e
		}
		return found == nil
	})
	unknown := func(format string, arguments ...any) (*operatorpb.ChangeResult, error) {
		return messageOfResult(r.GetIdentity(), configuration.CommitResult{
			Status: configuration.CommitUnknown, Reason: fmt.Sprintf(format, arguments...),
		}), nil
	}
	recent, ran := s.recent.get(r.GetIdentity())
	switch {
	case err != nil && ran && recent.Status != configuration.CommitUnknown:
		return messageOfResult(r.GetIdentity(), recent), nil
	case err != nil:
		return unknown("the audit trail cannot be read: %v", err)
	case found != nil:
		return messageOfResult(r.GetIdentity(), configuration.CommitResult{
			Status: configuration.CommitApplied, Revision: found.Revision, Differences: found.Lines(),
		}), nil
	case !ran:
		return unknown("no change with this identity is recorded and this host did not run it; " +
			"sending the operation again with this identity settles it")
	case recent.Status != configuration.CommitUnknown:
		return messageOfResult(r.GetIdentity(), recent), nil
	case version != recent.HeadVersion:
		return messageOfResult(r.GetIdentity(), configuration.CommitResult{
			Status: configuration.CommitNotApplied, Reason: "another change was accepted in its place",
		}), nil
	default:
		return unknown("the change may still take effect; sending the operation again with this identity settles it")
	}
}

// recentLimit is the number of results that a host remembers for ShowOperation.
const recentLimit = 256

// recentResults remembers the results of the latest operations of this host.
type recentResults struct {
	mutex   sync.Mutex
	results map[string]configuration.CommitResult
	order   []string
}

func (r *recentResults) add(identity string, result configuration.CommitResult) {
	// The state would keep an old revision in memory.
	result.State = nil
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.results == nil {
		r.results = map[string]configuration.CommitResult{}
	}
	if _, known := r.results[identity]; !known {
		r.order = append(r.order, identity)
	}
	r.results[identity] = result
	if len(r.order) > recentLimit {
		delete(r.results, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *recentResults) get(identity string) (configuration.CommitResult, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result, known := r.results[identity]
	return result, known
}
