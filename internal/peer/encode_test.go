package peer

import (
	"flag"
	"os"
	"testing"
	"time"

	"oriolevalve/internal/peer/peerpb"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// A fixed seed makes every run of the property tests equal.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// travel encodes and decodes a protobuf message.
func travel(t *rapid.T, in, out proto.Message) {
	data, err := proto.Marshal(in)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(data, out))
}

func randomMessage(t *rapid.T) Message {
	member := rapid.Custom(func(t *rapid.T) Member {
		m := rapid.Make[Member]().Draw(t, "member")
		m.State %= Dead + 1
		return m
	})
	m := Message{Sender: member.Draw(t, "sender"), WantAll: rapid.Bool().Draw(t, "want"), All: rapid.Bool().Draw(t, "all")}
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		u := member.Draw(t, "update")
		m.Updates = append(m.Updates, Update{Member: &u})
	}
	for range rapid.IntRange(0, 3).Draw(t, "statuses") {
		u := rapid.Make[flow.TargetStatus]().Draw(t, "status")
		if u.Owner == "" {
			u.Owner = m.Sender.ID
		}
		m.Updates = append(m.Updates, Update{Status: &u})
	}
	return m
}

// Guards against a field that the encoding forgets or swaps.
func TestEncodingKeepsEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := randomMessage(t)
		request := PingRequest{Target: message.Sender, Message: message}
		wirePingRequest := &peerpb.PingRequest{}
		travel(t, pingRequestToProto(request), wirePingRequest)
		gotRequest, err := pingRequestFromProto(wirePingRequest)
		require.NoError(t, err)
		require.Equal(t, request, gotRequest)

		relay := target.Request{
			Service: rapid.Make[flow.ServiceID]().Draw(t, "service"), Key: rapid.Make[flow.Key]().Draw(t, "key"),
			HasSession: rapid.Bool().Draw(t, "has"), First: rapid.Bool().Draw(t, "first"),
			SessionEnd: rapid.Bool().Draw(t, "end"), Placed: rapid.Bool().Draw(t, "placed"),
			Target: rapid.Make[flow.TargetID]().Draw(t, "target"), BaseTarget: rapid.Make[flow.TargetID]().Draw(t, "base"),
			// Callers may send texts that are not UTF-8.
			Identity:   string(rapid.SliceOf(rapid.Byte()).Draw(t, "identity")),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Attempt: rapid.Uint32().Draw(t, "attempt"),
			NotAfter: time.Unix(0, rapid.Int64().Draw(t, "not after")), Caller: rapid.String().Draw(t, "caller"),
			Method: rapid.String().Draw(t, "method"), Body: rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "body"),
			PlacedBy: rapid.String().Draw(t, "placed by"), Hops: rapid.Uint8().Draw(t, "hops"), Revision: rapid.Uint64().Draw(t, "revision"),
			PreviousTarget: rapid.Make[flow.TargetID]().Draw(t, "previous"), HasAttempt: rapid.Bool().Draw(t, "marked"),
			Assumed: rapid.Bool().Draw(t, "assumed"), Session: string(rapid.SliceOf(rapid.Byte()).Draw(t, "session")),
			Sequence: rapid.Uint64().Draw(t, "sequence"), AcceptedAt: time.Unix(0, rapid.Int64().Draw(t, "accepted at")),
			FirstAttemptAt: time.Unix(0, rapid.Int64().Draw(t, "first at")),
		}
		if rapid.Bool().Draw(t, "no limit") {
			relay.NotAfter, relay.AcceptedAt, relay.FirstAttemptAt = time.Time{}, time.Time{}, time.Time{}
		}
		wireRequest := &peerpb.Request{}
		travel(t, requestToProto(relay), wireRequest)
		gotRelay, err := requestFromProto(wireRequest)
		require.NoError(t, err)
		require.Equal(t, relay, gotRelay)

		reply := rapid.Make[target.Reply]().Draw(t, "reply")
		reply.Outcome %= target.OutcomeNotRun + 1
		reply.Body = append(reply.Body, 1)
		wireReply := &peerpb.Reply{}
		travel(t, replyToProto(reply), wireReply)
		gotReply, err := replyFromProto(wireReply)
		require.NoError(t, err)
		require.Equal(t, reply, gotReply)

		handover := rapid.Make[target.Handover]().Draw(t, "handover")
		handover.Sessions = append(handover.Sessions, relay.Key)
		handover.Exceptions = append(handover.Exceptions, flow.Record{Key: relay.Key, Target: relay.Target})
		handover.Assumed = append(handover.Assumed, flow.Record{Key: relay.Key, Target: relay.BaseTarget})
		handover.Identities = append(handover.Identities, relay.Identity)
		wireHandover := &peerpb.Handover{}
		travel(t, handoverToProto(handover), wireHandover)
		gotHandover, err := handoverFromProto(wireHandover)
		require.NoError(t, err)
		require.Equal(t, handover, gotHandover)

		consult := rapid.Make[target.ConsultRequest]().Draw(t, "consult")
		wireConsultRequest := &peerpb.ConsultRequest{}
		travel(t, consultRequestToProto(consult), wireConsultRequest)
		gotConsult, err := consultRequestFromProto(wireConsultRequest)
		require.NoError(t, err)
		require.Equal(t, consult, gotConsult)
		known := rapid.Make[target.ConsultReply]().Draw(t, "known")
		wireConsultReply := &peerpb.ConsultReply{}
		travel(t, consultReplyToProto(known), wireConsultReply)
		require.Equal(t, known, consultReplyFromProto(wireConsultReply))
	})
}
