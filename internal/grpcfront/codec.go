// Package grpcfront translates the gRPC protocols: it has a server for clients and a
// transport to engines, both with token streams. It makes no routing decisions; those
// belong to the gateway behind Handler.
package grpcfront

import (
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
)

// rawMessage is a message that is passed through as the bytes received.
type rawMessage struct{ bytes []byte }

// passthroughCodec passes raw messages through and leaves all others to protobuf.
type passthroughCodec struct{ encoding.CodecV2 }

func newPassthroughCodec() passthroughCodec { return passthroughCodec{encoding.GetCodecV2(proto.Name)} }

// Marshal returns the bytes of a raw message, or encodes any other message.
func (c passthroughCodec) Marshal(v any) (mem.BufferSlice, error) {
	if f, ok := v.(*rawMessage); ok {
		return mem.BufferSlice{mem.SliceBuffer(f.bytes)}, nil
	}
	return c.CodecV2.Marshal(v)
}

// Unmarshal stores the received bytes in a raw message, or decodes any other message.
func (c passthroughCodec) Unmarshal(data mem.BufferSlice, v any) error {
	if f, ok := v.(*rawMessage); ok {
		f.bytes = data.Materialize()
		return nil
	}
	return c.CodecV2.Unmarshal(data, v)
}
