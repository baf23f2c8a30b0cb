package platform_test

import (
	"context"
	"testing"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/platform"

	"github.com/stretchr/testify/require"
)

// brokenWatches is a client whose watches all end with an error.
type brokenWatches struct {
	platform.Client
	versions chan uint64
}

func (c brokenWatches) Watch(ctx context.Context, _ string, version uint64) (platform.Object, error) {
	select {
	case c.versions <- version:
	case <-ctx.Done():
	}
	return platform.Object{}, context.DeadlineExceeded
}

// Guards against a watch that misses the head of a platform which came back from an older
// copy, because another head had the same version.
func TestBrokenWatchBeginsAnew(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	client, fake := brokenWatches{versions: make(chan uint64)}, clock.NewFake(time.Unix(1000, 0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		platform.Follow(ctx, client, fake, "head", 7, func(platform.Object) {}, func(error) {})
	}()
	require.Equal(t, uint64(7), <-client.versions)
	for {
		fake.Advance(time.Second)
		select {
		case version := <-client.versions:
			require.Zero(t, version)
			cancel()
			<-done
			return
		default:
		}
	}
}
