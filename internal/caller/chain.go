package caller

import (
	"context"
	"time"

	"oriolevalve/internal/target"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// handler handles one request up to its result.
type handler func(ctx context.Context, e *exchange) target.Reply

// filter passes a request on to the next handler or refuses it.
type filter func(next handler) handler

// exchange is one request on its way through the chain.
type exchange struct {
	stream  grpc.ServerStream
	request target.Request
	// session and authority are the texts of the metadata.
	session   string
	authority string
	service   Service
	// invalid says why the request is malformed; it becomes the status message.
	invalid string
}

// chain returns the filters in the order in which a request passes them. The
// router steers and relays.
func (s *Server) chain() handler {
	filters := []filter{
		s.stopFilter,
		s.identityFilter,
		s.sizeFilter,
		s.serviceFilter,
		s.permitFilter,
		s.rateFilter,
		s.inFlightFilter,
	}
	h := s.route
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// notRun is a refusal by a filter. It is always true, because the router comes
// after all filters.
func notRun(reason target.Reason) target.Reply {
	return target.Reply{Outcome: target.OutcomeNotRun, Reason: reason}
}

func unknown(reason target.Reason) target.Reply {
	return target.Reply{Outcome: target.OutcomeUnknown, Reason: reason}
}

func (s *Server) stopFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		if !s.accept() {
			return notRun(target.ReasonStopping)
		}
		defer s.release()
		return next(ctx, e)
	}
}

// identityFilter reads the metadata and sets the identity and the deadline. A
// non-idempotent request without an identity gets a fresh one.
func (s *Server) identityFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		allowed := target.MaxRequestTime
		if deadline, ok := ctx.Deadline(); ok {
			// gRPC derives its deadline from the system clock.
			allowed = min(allowed, time.Until(deadline))
		}
		e.request.NotAfter = s.clock.Now().Add(allowed)
		var err error
		if e.session, e.authority, err = readMetadata(ctx, &e.request, s.clock.Now()); err != nil {
			e.invalid = err.Error()
			return notRun(target.ReasonNone)
		}
		if !e.request.Idempotent && e.request.Identity == "" {
			e.request.Identity = s.newIdentity()
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		return next(ctx, e)
	}
}

// sizeFilter reads the one message of the request. Requests that are being
// read have their own limit, equal to the in-flight limit, because their bodies
// already use memory.
func (s *Server) sizeFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		if s.reading.Add(1) > s.inFlightLimit {
			s.reading.Add(-1)
			return notRun(target.ReasonHostLimit)
		}
		reply, complete := s.read(ctx, e)
		s.reading.Add(-1)
		if !complete {
			return reply
		}
		return next(ctx, e)
	}
}

// serviceFilter finds the service by the authority.
func (s *Server) serviceFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		service, ok := s.directory.Service(e.authority)
		if !ok {
			return notRun(target.ReasonUnknownService)
		}
		e.service = service
		e.request.Service = service.ID
		session := e.session
		if !e.request.HasSession {
			// A session of its own. The identity names it, so that a repeat has
			// the same key and reaches the owner that knows the identity.
			if session = e.request.Identity; session == "" {
				session = s.newIdentity()
			}
		}
		e.request.Key = s.directory.SessionKey(service.ID, session)
		return next(ctx, e)
	}
}

func (s *Server) permitFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		if !s.directory.Permitted(e.request.First, s.clock.Now()) {
			return notRun(target.ReasonPermitExpired)
		}
		return next(ctx, e)
	}
}

// rateFilter limits the new flows of each caller. Later messages of a session
// pass, because refusing them would break the session.
func (s *Server) rateFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		limit := e.service.CallerRate
		if limit == 0 {
			limit = s.callerRate
		}
		if limit > 0 && e.request.First {
			if !s.rates.allow(rateKey{e.service.ID, e.request.Caller}, limit, s.clock.Now()) {
				return notRun(target.ReasonCallerRate)
			}
		}
		return next(ctx, e)
	}
}

// inFlightFilter takes a place that is freed when the router returns, which
// may be after the caller has got its result.
func (s *Server) inFlightFilter(next handler) handler {
	return func(ctx context.Context, e *exchange) target.Reply {
		if s.routed.Add(1) > s.inFlightLimit {
			s.routed.Add(-1)
			return notRun(target.ReasonHostLimit)
		}
		return next(ctx, e)
	}
}

// route passes the request to the router and waits for the first of reply,
// deadline and caller gone. A reply that comes later is dropped.
func (s *Server) route(ctx context.Context, e *exchange) target.Reply {
	remaining := e.request.NotAfter.Sub(s.clock.Now())
	if remaining <= 0 {
		s.routed.Add(-1)
		return notRun(target.ReasonDeadline)
	}
	result := make(chan target.Reply, 1)
	timeout := s.clock.After(remaining)
	s.hold()
	go func() {
		defer s.release()
		defer s.routed.Add(-1)
		result <- s.router.Route(ctx, e.request)
	}()
	select {
	case reply := <-result:
		return reply
	case <-timeout:
		return unknown(target.ReasonDeadline)
	case <-ctx.Done():
		return unknown(endReason(ctx))
	}
}

func endReason(ctx context.Context) target.Reason {
	if status.FromContextError(ctx.Err()).Code() == codes.DeadlineExceeded {
		return target.ReasonDeadline
	}
	return target.ReasonCallerGone
}
