package target

import (
	"context"

	"oriolevalve/internal/target"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
)

// codec passes opaque bodies through and encodes the messages of the health
// service, which share the server.
type codec struct{ raw target.RawCodec }

func (codec) Name() string { return proto.Name }

func (c codec) Marshal(value any) (mem.BufferSlice, error) {
	if body, ok := value.(*[]byte); ok {
		return c.raw.Marshal(body)
	}
	return encoding.GetCodecV2(proto.Name).Marshal(value)
}

func (c codec) Unmarshal(data mem.BufferSlice, value any) error {
	if body, ok := value.(*[]byte); ok {
		return c.raw.Unmarshal(data, body)
	}
	return encoding.GetCodecV2(proto.Name).Unmarshal(data, value)
}

// healthServer answers grpc.health.v1 as the behaviour says.
type healthServer struct {
	grpc_health_v1.UnimplementedHealthServer
	server *Server
}

// Check implements grpc_health_v1.HealthServer.
func (h healthServer) Check(ctx context.Context, _ *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	if err := grpc.SetTrailer(ctx, metadata.Pairs(target.TrailerLoad, h.server.load())); err != nil {
		return nil, err
	}
	answer := &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_NOT_SERVING}
	if h.server.serving() {
		answer.Status = grpc_health_v1.HealthCheckResponse_SERVING
	}
	return answer, nil
}
