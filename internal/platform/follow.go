package platform

import (
	"context"
	"time"

	"oriolevalve/internal/clock"
)

// retryInterval is the wait after a failed watch.
const retryInterval = time.Second

// Follow watches an object from the given version on and passes each version
// that it sees to the handler, until the context ends. A watch that breaks or
// goes silent is replaced by a new one, which begins with the object as it is; the
// failure goes to the second handler.
func Follow(
	ctx context.Context, client Client, c clock.Clock, key string, version uint64,
	changed func(Object), failed func(error),
) {
	for ctx.Err() == nil {
		object, err := client.Watch(ctx, key, version)
		if err == nil {
			version = object.Version
			changed(object)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed(err)
		// A platform that came back from an older copy may give the version out again.
		version = 0
		select {
		case <-ctx.Done():
		case <-c.After(retryInterval):
		}
	}
}
