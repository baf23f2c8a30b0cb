package caller

import (
	"context"
	"net"
	"strconv"
	"time"

	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
)

// The metadata keys of requests.
const (
	keySession    = "oriolevalve-session"
	keySequence   = "oriolevalve-sequence"
	keyRequestID  = "oriolevalve-request-id"
	keyIdempotent = "oriolevalve-idempotent"
	keyAttempt    = "oriolevalve-attempt"
	keyAttemptAge = "oriolevalve-attempt-age"
	keyCaller     = "oriolevalve-caller"
	keySessionEnd = "oriolevalve-session-end"
)

// The trailer keys of results.
const (
	// TrailerOutcome holds "answered", "not_run" or "unknown".
	TrailerOutcome = "oriolevalve-outcome"
	// TrailerReason holds a target.Reason unless the request was answered.
	TrailerReason = "oriolevalve-reason"
)

// maximumIdentity bounds the identity of a request, in bytes.
const maximumIdentity = 64

// maximumName bounds the session key and the caller's name, in bytes, because
// both travel with the request between hosts.
const maximumName = 256

// readMetadata fills the request from the metadata and returns the session key
// and the authority. The age of a repeat, in milliseconds since its first
// attempt, needs no common clock. A malformed value is an error rather than a
// default: a default could run a request twice or in the wrong session.
func readMetadata(ctx context.Context, request *target.Request, now time.Time) (session, authority string, err error) {
	values, _ := metadata.FromIncomingContext(ctx)
	read := func(key string, limit int) string {
		list := values.Get(key)
		if len(list) == 0 {
			return ""
		}
		if len(list) > 1 && err == nil {
			err = errors.Newf("%s is given %d times", key, len(list))
		}
		if len(list[0]) > limit && err == nil {
			err = errors.Newf("%s is longer than %d bytes", key, limit)
		}
		return list[0]
	}
	flag := func(key string) bool {
		text := read(key, len("false"))
		if text != "" && text != "true" && text != "false" && err == nil {
			err = errors.Newf("%s is neither true nor false", key)
		}
		return text == "true"
	}
	number := func(key string, bits int) uint64 {
		text := read(key, 20)
		if text == "" {
			return 0
		}
		value, parseError := strconv.ParseUint(text, 10, bits)
		if parseError != nil && err == nil {
			err = errors.Newf("%s is not a whole number of at most %d bits", key, bits)
		}
		return value
	}
	if list := values.Get(":authority"); len(list) > 0 {
		authority = list[0]
	}
	session = read(keySession, maximumName)
	sequence := number(keySequence, 64)
	request.HasSession = session != ""
	request.Session, request.Sequence = session, sequence
	request.First = !request.HasSession || sequence == 0
	request.SessionEnd = flag(keySessionEnd)
	request.Identity = read(keyRequestID, maximumIdentity)
	request.Idempotent = flag(keyIdempotent)
	request.Attempt = uint32(number(keyAttempt, 32))
	request.HasAttempt = len(values.Get(keyAttempt)) > 0
	if age := number(keyAttemptAge, 32); len(values.Get(keyAttemptAge)) > 0 {
		request.FirstAttemptAt = now.Add(-time.Duration(age) * time.Millisecond)
	}
	request.Caller = read(keyCaller, maximumName)
	if request.Caller == "" {
		request.Caller = peerHost(ctx)
	}
	if err == nil && request.HasSession && len(values.Get(keySequence)) == 0 {
		err = errors.Newf("%s is required with %s", keySequence, keySession)
	}
	if err == nil && request.Attempt > 0 && request.Identity == "" {
		err = errors.Newf("%s is required with %s above 0", keyRequestID, keyAttempt)
	}
	return session, authority, err
}

// peerHost returns the caller's address without the port, because each
// connection of one caller has another port.
func peerHost(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	host, _, err := net.SplitHostPort(p.Addr.String())
	if err != nil {
		return p.Addr.String()
	}
	return host
}
