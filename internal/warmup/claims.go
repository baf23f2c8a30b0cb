package warmup

import "time"

// Operation is what a call to the store asks for.
type Operation uint8

// The operations.
const (
	// Create makes the claim unless one exists; the store carries out at most one.
	Create Operation = iota
	// Read asks whose the claim is, after an answer that was lost.
	Read
	// Delete removes the claim after the warm-up.
	Delete
	OperationCount
)

var operationNames = [OperationCount]string{"create", "read", "delete"}

// String returns the name of the operation in logs and metrics.
func (o Operation) String() string { return operationNames[o] }

// Call is a call to the store about the claim on a life's warm-up.
type Call struct {
	Operation Operation
	Life      Life
}

// Outcome is the result of a call.
type Outcome uint8

// The outcomes.
const (
	// Done means that the claim is this process's, or was deleted.
	Done Outcome = iota
	// Taken means that a claim exists. That it is another process's is certain after a Read, and
	// after a Create if none was lost before.
	Taken
	// Missing means that no claim exists.
	Missing
	// Refused means that the store did nothing.
	Refused
	// Lost means that the store may have carried out the call, or may do so later.
	Lost
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{"done", "taken", "missing", "refused", "lost"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// claim is a try of the host to hold a warm-up.
type claim struct {
	end time.Duration
	// next is the call that is due at the time due, unless one is running or the claim is settled.
	next             Operation
	due              time.Duration
	running, settled bool
	held             bool
	attempts         int
	// lost is set if a Create may have been carried out without an answer.
	lost bool
}

// Claims are the claims of a process. They are not safe for concurrent use.
type Claims struct {
	claims  map[Life]*claim
	running int
	// version grows with each change of what is held.
	version uint64
}

// NewClaims returns the claims of a process that holds none: what an earlier process of the host
// held stays with it.
func NewClaims() *Claims { return &Claims{claims: map[Life]*claim{}} }

// Want makes the host try to hold the warm-up of a life that ends at a time.
func (c *Claims) Want(life Life, end time.Duration) {
	if c.claims[life] == nil {
		c.claims[life] = &claim{end: end}
	}
}

// Holds reports whether the host holds the warm-up of a life, and no other one does.
func (c *Claims) Holds(life Life) bool {
	s := c.claims[life]
	return s != nil && s.held
}

// Held returns the number of warm-ups that the host holds.
func (c *Claims) Held() int {
	count := 0
	for _, s := range c.claims {
		if s.held {
			count++
		}
	}
	return count
}

// Version changes with what is held.
func (c *Claims) Version() uint64 { return c.version }

// Next returns a call that is due, if any.
func (c *Claims) Next(now time.Duration) (Call, bool) {
	for life, s := range c.claims {
		ended := now >= s.end
		switch {
		case s.running:
		case ended && s.held:
			s.held, s.next, s.settled = false, Delete, false
			c.version++
			return c.start(s, life), true
		case ended:
			delete(c.claims, life)
		case !s.settled && now >= s.due && c.running < callLimit:
			return c.start(s, life), true
		}
	}
	return Call{}, false
}

func (c *Claims) start(s *claim, life Life) Call {
	s.running = true
	s.attempts++
	c.running++
	return Call{Operation: s.next, Life: life}
}

// Done notes the outcome of a call.
func (c *Claims) Done(call Call, outcome Outcome, now time.Duration) {
	s := c.claims[call.Life]
	if s == nil {
		return
	}
	s.running = false
	c.running--
	if call.Operation == Delete {
		// What is left is removed with other leftovers.
		delete(c.claims, call.Life)
		return
	}
	s.due = now
	switch {
	case outcome == Done:
		s.held, s.settled = true, true
		c.version++
	case outcome == Taken && call.Operation == Create && s.lost:
		s.next = Read
	case outcome == Taken:
		s.settled = true
	case outcome == Missing:
		s.next = Create
	default:
		if call.Operation == Create && outcome == Lost {
			s.lost, s.next = true, Read
		}
		s.due += retryDelay
	}
	if !s.held && s.attempts >= attemptLimit {
		s.settled = true
	}
}
