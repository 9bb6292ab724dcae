// Package grpcfront is the gateway's gRPC front: a server for clients and a
// transport to model boxes, both with token streams.
package grpcfront

import (
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
)

// frame is a message that passes through as the bytes that came.
type frame struct{ raw []byte }

// codec takes frames as they are and leaves all else to protobuf.
type codec struct{ encoding.CodecV2 }

func newCodec() codec { return codec{encoding.GetCodecV2(proto.Name)} }

// Marshal gives a frame's bytes.
func (c codec) Marshal(v any) (mem.BufferSlice, error) {
	if f, ok := v.(*frame); ok {
		return mem.BufferSlice{mem.SliceBuffer(f.raw)}, nil
	}
	return c.CodecV2.Marshal(v)
}

// Unmarshal fills a frame with the bytes that came.
func (c codec) Unmarshal(data mem.BufferSlice, v any) error {
	if f, ok := v.(*frame); ok {
		f.raw = data.Materialize()
		return nil
	}
	return c.CodecV2.Unmarshal(data, v)
}
