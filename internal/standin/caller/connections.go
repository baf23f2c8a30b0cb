package caller

import (
	"context"
	"sync"
	"time"

	"oriolevalve/internal/target"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// connectTimeout limits the time to connect to one host.
const connectTimeout = 2 * time.Second

// connections holds one connection per host.
type connections struct {
	mutex sync.Mutex
	open  map[string]*grpc.ClientConn
}

// ready returns a connected connection. An error means that nothing was sent:
// the connection is awaited first, because a failure during a call doesn't show
// whether the host got it.
func (c *connections) ready(ctx context.Context, address string) (*grpc.ClientConn, error) {
	connection, err := c.get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := connection.GetState()
		switch state {
		case connectivity.Ready:
			return connection, nil
		case connectivity.Idle:
			connection.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, errors.Newf("cannot connect to %s", address)
		}
		if !connection.WaitForStateChange(ctx, state) {
			return nil, errors.Newf("no connection to %s in time", address)
		}
	}
}

func (c *connections) get(address string) (*grpc.ClientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if connection := c.open[address]; connection != nil {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(target.RawCodec{})),
		// gRPC's own retries would hide outcomes from the caller model.
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}))
	if err != nil {
		return nil, errors.Wrapf(err, "host %s", address)
	}
	c.open[address] = connection
	return connection, nil
}

func (c *connections) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.open {
		_ = connection.Close()
	}
}
