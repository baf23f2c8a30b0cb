package peer

import (
	"time"

	"oriolevalve/internal/peer/peerpb"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Each message type has a function to its protobuf form and one back. A
// function back returns an error for values that no host sends.

func memberToProto(m Member) *peerpb.Member {
	return &peerpb.Member{
		Id: m.ID, DataCentre: m.DataCentre, Address: m.Address, State: uint32(m.State),
		Incarnation: m.Incarnation, Revision: m.Revision,
	}
}

func memberFromProto(p *peerpb.Member) (Member, error) {
	if p.GetState() > uint32(Dead) {
		return Member{}, errors.Newf("member %q has the invalid state %d", p.GetId(), p.GetState())
	}
	return Member{
		ID: p.GetId(), DataCentre: p.GetDataCentre(), Address: p.GetAddress(), State: State(p.GetState()),
		Incarnation: p.GetIncarnation(), Revision: p.GetRevision(),
	}, nil
}

const (
	statusHealthy = 1 << iota
	statusRelay
	statusPartial
)

func bit(set bool, value uint32) uint32 {
	if set {
		return value
	}
	return 0
}

func statusToProto(s flow.TargetStatus, sender string) *peerpb.Status {
	p := &peerpb.Status{
		Target: uint32(s.Target), Owner: s.Owner, Version: s.Version,
		Sessions: s.Sessions, InProgress: s.InProgress, Queued: s.Queued,
	}
	if s.Owner == sender {
		p.Owner = ""
	}
	p.Flags = bit(s.Healthy, statusHealthy) | bit(s.Relay, statusRelay) | bit(s.Partial, statusPartial)
	return p
}

func statusFromProto(p *peerpb.Status, sender string) flow.TargetStatus {
	s := flow.TargetStatus{
		Target: flow.TargetID(p.GetTarget()), Owner: p.GetOwner(), Version: p.GetVersion(),
		Healthy: p.GetFlags()&statusHealthy != 0, Relay: p.GetFlags()&statusRelay != 0, Partial: p.GetFlags()&statusPartial != 0,
		Sessions: p.GetSessions(), InProgress: p.GetInProgress(), Queued: p.GetQueued(),
	}
	if s.Owner == "" {
		s.Owner = sender
	}
	return s
}

func messageToProto(m Message) *peerpb.Ping {
	p := &peerpb.Ping{Sender: memberToProto(m.Sender), WantAll: m.WantAll, All: m.All}
	for _, u := range m.Updates {
		if u.Member != nil {
			p.Members = append(p.Members, memberToProto(*u.Member))
		} else if u.Status != nil {
			p.Statuses = append(p.Statuses, statusToProto(*u.Status, m.Sender.ID))
		}
	}
	return p
}

func messageFromProto(p *peerpb.Ping) (Message, error) {
	sender, err := memberFromProto(p.GetSender())
	if err != nil {
		return Message{}, err
	}
	m := Message{Sender: sender, WantAll: p.GetWantAll(), All: p.GetAll()}
	for _, u := range p.GetMembers() {
		member, err := memberFromProto(u)
		if err != nil {
			return Message{}, err
		}
		m.Updates = append(m.Updates, Update{Member: &member})
	}
	for _, u := range p.GetStatuses() {
		status := statusFromProto(u, sender.ID)
		m.Updates = append(m.Updates, Update{Status: &status})
	}
	return m, nil
}

func pingRequestToProto(r PingRequest) *peerpb.PingRequest {
	return &peerpb.PingRequest{Target: memberToProto(r.Target), Ping: messageToProto(r.Message)}
}

func pingRequestFromProto(p *peerpb.PingRequest) (PingRequest, error) {
	member, err := memberFromProto(p.GetTarget())
	if err != nil {
		return PingRequest{}, err
	}
	message, err := messageFromProto(p.GetPing())
	return PingRequest{Target: member, Message: message}, err
}

const (
	requestHasSession = 1 << iota
	requestFirst
	requestSessionEnd
	requestPlaced
	requestIdempotent
	requestMarked
	requestAssumed
)

func keyFromBytes(b []byte) (flow.Key, error) {
	var key flow.Key
	if len(b) != len(key) {
		return key, errors.Newf("flow key has %d bytes instead of %d", len(b), len(key))
	}
	copy(key[:], b)
	return key, nil
}

func timeToProto(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	return proto.Int64(t.UnixNano())
}

func timeFromProto(nanoseconds *int64) time.Time {
	if nanoseconds == nil {
		return time.Time{}
	}
	return time.Unix(0, *nanoseconds)
}

func requestToProto(r target.Request) *peerpb.Request {
	p := &peerpb.Request{
		Service: uint32(r.Service), Key: r.Key[:], Target: uint32(r.Target), Base: uint32(r.BaseTarget),
		Identity: []byte(r.Identity), Attempt: r.Attempt, Caller: []byte(r.Caller), Method: []byte(r.Method), Body: r.Body,
		Hops: uint32(r.Hops), Revision: r.Revision, PlacedBy: r.PlacedBy, Previous: uint32(r.PreviousTarget),
		NotAfter: timeToProto(r.NotAfter), AcceptedAt: timeToProto(r.AcceptedAt), FirstAt: timeToProto(r.FirstAttemptAt),
		Session: []byte(r.Session), Sequence: r.Sequence,
	}
	p.Flags = bit(r.HasSession, requestHasSession) | bit(r.First, requestFirst) |
		bit(r.SessionEnd, requestSessionEnd) | bit(r.Placed, requestPlaced) | bit(r.Idempotent, requestIdempotent) |
		bit(r.HasAttempt, requestMarked) | bit(r.Assumed, requestAssumed)
	return p
}

func requestFromProto(p *peerpb.Request) (target.Request, error) {
	key, err := keyFromBytes(p.GetKey())
	if err != nil {
		return target.Request{}, err
	}
	if p.GetHops() > 255 {
		return target.Request{}, errors.Newf("request has passed %d hosts", p.GetHops())
	}
	r := target.Request{
		Service: flow.ServiceID(p.GetService()), Key: key,
		HasSession: p.GetFlags()&requestHasSession != 0, First: p.GetFlags()&requestFirst != 0,
		SessionEnd: p.GetFlags()&requestSessionEnd != 0, Placed: p.GetFlags()&requestPlaced != 0,
		Idempotent: p.GetFlags()&requestIdempotent != 0, HasAttempt: p.GetFlags()&requestMarked != 0,
		Assumed: p.GetFlags()&requestAssumed != 0, PlacedBy: p.GetPlacedBy(), Session: string(p.GetSession()), Sequence: p.GetSequence(),
		PreviousTarget: flow.TargetID(p.GetPrevious()), NotAfter: timeFromProto(p.NotAfter),
		AcceptedAt: timeFromProto(p.AcceptedAt), FirstAttemptAt: timeFromProto(p.FirstAt),
		Target: flow.TargetID(p.GetTarget()), BaseTarget: flow.TargetID(p.GetBase()),
		Identity: string(p.GetIdentity()), Attempt: p.GetAttempt(), Caller: string(p.GetCaller()), Method: string(p.GetMethod()),
		Body: p.GetBody(), Hops: uint8(p.GetHops()), Revision: p.GetRevision(),
	}
	return r, nil
}

func replyToProto(r target.Reply) *peerpb.Reply {
	return &peerpb.Reply{
		Outcome: uint32(r.Outcome), Reason: []byte(r.Reason), Code: r.Code, Message: []byte(r.Message), Body: r.Body,
	}
}

func replyFromProto(p *peerpb.Reply) (target.Reply, error) {
	if p.GetOutcome() > uint32(target.OutcomeNotRun) {
		return target.Reply{}, errors.Newf("reply has the invalid outcome %d", p.GetOutcome())
	}
	return target.Reply{
		Outcome: target.Outcome(p.GetOutcome()), Reason: target.Reason(p.GetReason()), Code: p.GetCode(),
		Message: string(p.GetMessage()), Body: p.GetBody(),
	}, nil
}

func handoverToProto(h target.Handover) *peerpb.Handover {
	p := &peerpb.Handover{
		Target: uint32(h.Target), From: h.From, Complete: h.Complete, Copy: h.Copy, SessionsKnown: h.SessionsKnown,
	}
	for _, identity := range h.Identities {
		p.Identities = append(p.Identities, []byte(identity))
	}
	for _, key := range h.Sessions {
		p.Sessions = append(p.Sessions, key[:]...)
	}
	p.Exceptions, p.ExceptionTargets = recordsToProto(h.Exceptions)
	p.Assumed, p.AssumedTargets = recordsToProto(h.Assumed)
	return p
}

func recordsToProto(records []flow.Record) (keys []byte, targets []uint32) {
	for _, record := range records {
		keys = append(keys, record.Key[:]...)
		targets = append(targets, uint32(record.Target))
	}
	return keys, targets
}

func recordsFromProto(keys []byte, targets []uint32) ([]flow.Record, error) {
	const size = len(flow.Key{})
	if len(keys) != size*len(targets) {
		return nil, errors.New("handover has incomplete records")
	}
	var records []flow.Record
	for i, id := range targets {
		records = append(records, flow.Record{Key: flow.Key(keys[i*size : (i+1)*size]), Target: flow.TargetID(id)})
	}
	return records, nil
}

func handoverFromProto(p *peerpb.Handover) (target.Handover, error) {
	const size = len(flow.Key{})
	if len(p.GetSessions())%size != 0 {
		return target.Handover{}, errors.New("handover has incomplete records")
	}
	h := target.Handover{
		Target: flow.TargetID(p.GetTarget()), From: p.GetFrom(),
		Complete: p.GetComplete(), Copy: p.GetCopy(), SessionsKnown: p.GetSessionsKnown(),
	}
	for _, identity := range p.GetIdentities() {
		h.Identities = append(h.Identities, string(identity))
	}
	for i := 0; i < len(p.GetSessions()); i += size {
		h.Sessions = append(h.Sessions, flow.Key(p.GetSessions()[i:i+size]))
	}
	var err error
	if h.Exceptions, err = recordsFromProto(p.GetExceptions(), p.GetExceptionTargets()); err != nil {
		return target.Handover{}, err
	}
	if h.Assumed, err = recordsFromProto(p.GetAssumed(), p.GetAssumedTargets()); err != nil {
		return target.Handover{}, err
	}
	return h, nil
}

func consultRequestToProto(r target.ConsultRequest) *peerpb.ConsultRequest {
	return &peerpb.ConsultRequest{
		Target: uint32(r.Target), Key: r.Key[:], Identity: []byte(r.Identity), From: r.From, Claim: r.Claim,
		FirstAccepted: timeToProto(r.FirstAccepted), Term: r.Term,
	}
}

func consultRequestFromProto(p *peerpb.ConsultRequest) (target.ConsultRequest, error) {
	key, err := keyFromBytes(p.GetKey())
	return target.ConsultRequest{
		Target: flow.TargetID(p.GetTarget()), Key: key, Identity: string(p.GetIdentity()), From: p.GetFrom(), Claim: p.GetClaim(),
		FirstAccepted: timeFromProto(p.FirstAccepted), Term: p.GetTerm(),
	}, err
}

func consultReplyToProto(r target.ConsultReply) *peerpb.ConsultReply {
	return &peerpb.ConsultReply{
		KnownSession: r.KnownSession, KnownIdentity: r.KnownIdentity, Complete: r.Authoritative, Exception: uint32(r.Exception),
		Assumed: r.Assumed,
	}
}

func consultReplyFromProto(p *peerpb.ConsultReply) target.ConsultReply {
	return target.ConsultReply{
		KnownSession: p.GetKnownSession(), KnownIdentity: p.GetKnownIdentity(), Authoritative: p.GetComplete(),
		Exception: flow.TargetID(p.GetException()), Assumed: p.GetAssumed(),
	}
}
