package target

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/mem"
)

// RawCodec passes message bodies through unchanged, as *[]byte. Neither the load
// balancer nor a simulated target needs the protobuf schema of a service.
type RawCodec struct{}

// Name returns the name of gRPC's default codec. Targets then receive the content
// type "application/grpc+proto". Callers send this type or none.
func (RawCodec) Name() string { return "proto" }

// Marshal implements encoding.CodecV2.
func (RawCodec) Marshal(value any) (mem.BufferSlice, error) {
	body, ok := value.(*[]byte)
	if !ok {
		return nil, errors.Newf("cannot marshal %T", value)
	}
	return mem.BufferSlice{mem.SliceBuffer(*body)}, nil
}

// Unmarshal implements encoding.CodecV2. It copies the body, because gRPC reuses its
// buffers while a queued request or a cached answer still needs the bytes.
func (RawCodec) Unmarshal(data mem.BufferSlice, value any) error {
	body, ok := value.(*[]byte)
	if !ok {
		return errors.Newf("cannot unmarshal into %T", value)
	}
	*body = data.Materialize()
	return nil
}
