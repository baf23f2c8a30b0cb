package platform

import (
	"context"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
)

// tickInterval is the time between the ticks of a running commit.
const tickInterval = 500 * time.Millisecond

// RunCommit performs a commit against the platform and returns its result. It
// returns within a few seconds even if the platform is silent. The end of the
// context counts as silence, so the result is never "not applied" for a change
// that may take effect.
func RunCommit(
	ctx context.Context, client Client, c clock.Clock, commit *configuration.Commit,
) configuration.CommitResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// One answer can be outstanding beside one that is no longer awaited.
	answers := make(chan configuration.CommitEvent, 16)
	event := configuration.CommitEvent{Kind: configuration.CommitStart}
	tick := c.After(tickInterval)
	for {
		event.Now = c.Now()
		actions := commit.Handle(event)
		for i, a := range actions {
			if a.Kind == configuration.CommitReport {
				removeOrphans(ctx, client, actions[i+1:])
				return a.Result
			}
			go func() {
				answer := perform(ctx, client, a)
				select {
				case answers <- answer:
				case <-ctx.Done():
				}
			}()
		}
		select {
		case event = <-answers:
		case <-tick:
			event = configuration.CommitEvent{Kind: configuration.CommitTick}
			tick = c.After(tickInterval)
		}
	}
}

// removeOrphans deletes what failed attempts left behind. It stops at the first
// failure, because the objects only take space.
func removeOrphans(ctx context.Context, client Client, deletes []configuration.CommitAction) {
	for _, a := range deletes {
		if err := client.Delete(ctx, a.Key); err != nil && KindOf(err) != KindNotFound {
			return
		}
	}
}

// perform executes one action and returns the event that answers it.
func perform(ctx context.Context, client Client, a configuration.CommitAction) configuration.CommitEvent {
	e := configuration.CommitEvent{Kind: configuration.CommitDone, Sequence: a.Sequence}
	var err error
	switch a.Kind {
	case configuration.CommitReadObject:
		var object Object
		object, err = client.Get(ctx, a.Key)
		e.Kind, e.Version, e.Value = configuration.CommitRead, object.Version, object.Value
	case configuration.CommitCreateObject:
		e.Version, err = client.Create(ctx, a.Key, a.Value)
	case configuration.CommitUpdateObject:
		e.Version, err = client.UpdateIfVersion(ctx, a.Key, a.Version, a.Value)
	case configuration.CommitDeleteObject:
		if err = client.Delete(ctx, a.Key); err != nil && KindOf(err) == KindNotFound {
			err = nil
		}
	}
	if err != nil {
		e.Kind, e.Reason = eventOf(KindOf(err)), err.Error()
	}
	return e
}

func eventOf(kind Kind) configuration.CommitEventKind {
	switch kind {
	case KindNotSent:
		return configuration.CommitNotSent
	case KindRefused:
		return configuration.CommitRefused
	case KindConflict:
		return configuration.CommitPreconditionFailed
	case KindNotFound:
		return configuration.CommitNotFound
	default:
		return configuration.CommitResponseLost
	}
}
