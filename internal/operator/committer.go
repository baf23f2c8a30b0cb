package operator

import (
	"context"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/platform"
)

// PlatformCommitter commits operations to the platform, one at a time, so that
// the operations of one host do not race each other for the head.
type PlatformCommitter struct {
	client  platform.Client
	clock   clock.Clock
	current func() *configuration.State
	// committed receives the state that a commit wrote.
	committed func(*configuration.State)
	turn      chan struct{}
}

// NewPlatformCommitter returns a committer. It takes the segments that need no
// reading from the current state, and passes the state of each commit on, so
// that this host has it in force without a fetch.
func NewPlatformCommitter(
	client platform.Client, c clock.Clock,
	current func() *configuration.State, committed func(*configuration.State),
) *PlatformCommitter {
	return &PlatformCommitter{
		client: client, clock: c, current: current, committed: committed, turn: make(chan struct{}, 1),
	}
}

// Commit runs an operation to its result. A caller that goes away does not
// interrupt an operation that has started.
func (p *PlatformCommitter) Commit(ctx context.Context, o configuration.Operation) configuration.CommitResult {
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return configuration.CommitResult{
			Status: configuration.CommitNotApplied, Reason: "the operation waited for another one until its deadline",
		}
	}
	defer func() { <-p.turn }()
	commit := configuration.NewCommit(o, p.current())
	result := platform.RunCommit(context.WithoutCancel(ctx), p.client, p.clock, commit)
	if result.State != nil {
		p.committed(result.State)
	}
	return result
}
