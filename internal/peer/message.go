package peer

import "oriolevalve/pkg/flow"

// Message is the content of pings and acks.
type Message struct {
	// Sender is the member that wrote the message, with its own revision.
	Sender Member
	// WantAll asks the receiver to answer with its whole view.
	WantAll bool
	// All marks an ack that carries the whole view.
	All     bool
	Updates []Update
}

// Update is one piece of news. Exactly one field is set.
type Update struct {
	Member *Member
	Status *flow.TargetStatus
}

// PingRequest asks a member to ping another one for the sender.
type PingRequest struct {
	// Target is the member to ping, with the state and incarnation that the
	// sender knows.
	Target  Member
	Message Message
}
