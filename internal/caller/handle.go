package caller

import (
	"context"
	"io"

	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// handle is the gRPC handler of every method. It sends the body, which is
// whole, in one message after the outcome is known; nothing is sent before.
func (s *Server) handle(_ any, stream grpc.ServerStream) error {
	start := s.clock.Now()
	e := &exchange{stream: stream}
	e.request.Method, _ = grpc.MethodFromServerStream(stream)
	reply := s.entry(stream.Context(), e)
	if reply.Outcome == target.OutcomeNotRun && e.invalid == "" {
		// The router decides for its own refusals; those of the filters are here.
		reply = e.request.Refusal(reply.Reason)
	}
	reply = s.checkReply(reply)
	s.observer.RequestDone(reply.Outcome, reply.Reason, s.clock.Now().Sub(start))
	trailer := metadata.Pairs(TrailerOutcome, reply.Outcome.String())
	if reply.Reason != target.ReasonNone {
		trailer.Set(TrailerReason, string(reply.Reason))
	}
	stream.SetTrailer(trailer)
	switch {
	case reply.Outcome == target.OutcomeNotRun && e.invalid != "":
		return status.Error(codes.InvalidArgument, e.invalid)
	case reply.Outcome == target.OutcomeNotRun:
		return status.Error(codes.Unavailable, "the request was not run: "+string(reply.Reason))
	case reply.Outcome == target.OutcomeUnknown:
		return status.Error(codes.Aborted, "it is unknown whether the request was run: "+string(reply.Reason))
	case reply.Code != uint32(codes.OK):
		return status.Error(codes.Code(reply.Code), reply.Message)
	}
	return stream.SendMsg(&reply.Body)
}

// checkReply turns a reply that can't be sent whole into an unknown outcome: the
// request ran, but the caller can't learn its result.
func (s *Server) checkReply(reply target.Reply) target.Reply {
	switch reply.Outcome {
	case target.OutcomeNotRun:
		return reply
	case target.OutcomeAnswered:
		if len(reply.Body) > s.messageSize {
			return unknown(target.ReasonTooLarge)
		}
		return reply
	default:
		return unknown(reply.Reason)
	}
}

// read reads the message and the end of the request. A request that is cut
// short, or that has no message or several, is refused as not run, because the
// router has not seen it. If the framing itself is faulty, gRPC has already sent
// its own error without the outcome, which a caller must take as unknown.
func (s *Server) read(ctx context.Context, e *exchange) (target.Reply, bool) {
	type result struct {
		body []byte
		err  error
	}
	received := make(chan result, 1)
	timeout := s.clock.After(e.request.NotAfter.Sub(s.clock.Now()))
	go func() {
		var r result
		if r.err = e.stream.RecvMsg(&r.body); r.err == nil {
			var extra []byte
			switch err := e.stream.RecvMsg(&extra); {
			case err == nil:
				r.err = errNotUnary
			case !errors.Is(err, io.EOF):
				r.err = err
			}
		}
		received <- r
	}()
	select {
	case r := <-received:
		switch {
		case r.err == nil && len(r.body) > s.messageSize, status.Code(r.err) == codes.ResourceExhausted:
			return notRun(target.ReasonTooLarge), false
		case errors.Is(r.err, io.EOF):
			e.invalid = "the request has no message"
			return notRun(target.ReasonNone), false
		case errors.Is(r.err, errNotUnary):
			e.invalid = r.err.Error()
			return notRun(target.ReasonNone), false
		case r.err != nil && ctx.Err() == nil && status.Code(r.err) != codes.Canceled:
			// For example an unsupported compression.
			e.invalid = "the request cannot be read: " + status.Convert(r.err).Message()
			return notRun(target.ReasonNone), false
		case r.err != nil:
			return notRun(target.ReasonCallerGone), false
		}
		e.request.Body = r.body
		return target.Reply{}, true
	case <-timeout:
		return notRun(target.ReasonDeadline), false
	case <-ctx.Done():
		return notRun(endReason(ctx)), false
	}
}

var errNotUnary = errors.New("only unary methods are served: the request has several messages")
