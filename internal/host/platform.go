package host

import (
	"context"

	"github.com/cockroachdb/errors"

	"oriolevalve/internal/platform"
)

// countedPlatform counts the calls to the platform that fail. An object that
// does not exist, or that has another version, is an answer.
type countedPlatform struct {
	platform.Client
	failed func(call string)
}

func (c countedPlatform) count(ctx context.Context, call string, err error) {
	// A call that this host has given up is no failure; one without an answer in
	// time is.
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if kind := platform.KindOf(err); kind != platform.KindNotFound && kind != platform.KindConflict {
		c.failed(call)
	}
}

// Get implements platform.Client.
func (c countedPlatform) Get(ctx context.Context, key string) (platform.Object, error) {
	object, err := c.Client.Get(ctx, key)
	c.count(ctx, platform.CallGet, err)
	return object, err
}

// Create implements platform.Client.
func (c countedPlatform) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	version, err := c.Client.Create(ctx, key, value)
	c.count(ctx, platform.CallCreate, err)
	return version, err
}

// UpdateIfVersion implements platform.Client.
func (c countedPlatform) UpdateIfVersion(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	next, err := c.Client.UpdateIfVersion(ctx, key, version, value)
	c.count(ctx, platform.CallUpdate, err)
	return next, err
}

// Delete implements platform.Client.
func (c countedPlatform) Delete(ctx context.Context, key string) error {
	err := c.Client.Delete(ctx, key)
	c.count(ctx, platform.CallDelete, err)
	return err
}

// Watch implements platform.Client.
func (c countedPlatform) Watch(ctx context.Context, key string, version uint64) (platform.Object, error) {
	object, err := c.Client.Watch(ctx, key, version)
	c.count(ctx, platform.CallWatch, err)
	return object, err
}

// HostList implements platform.Client.
func (c countedPlatform) HostList(ctx context.Context) ([]platform.Host, error) {
	list, err := c.Client.HostList(ctx)
	c.count(ctx, platform.CallHostList, err)
	return list, err
}
