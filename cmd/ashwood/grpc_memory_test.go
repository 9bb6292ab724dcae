package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"

	"ashwood.example/ashwood/ashwoodpb"
)

// callFrames are the preface and the headers of some calls with a number of short fields, without their requests.
func callFrames(calls, fields int) []byte {
	var header, frames bytes.Buffer
	encoder := hpack.NewEncoder(&header)
	write := func(name, value string) { // not in the table, so that the same bytes serve for each call
		encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true})
	}
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", ashwoodpb.Inference_Generate_FullMethodName}, {":authority", "a"},
		{"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		write(field[0], field[1])
	}
	for i := range fields {
		write(fmt.Sprint("x", i), "")
	}
	framer := http2.NewFramer(&frames, nil)
	frames.WriteString(http2.ClientPreface)
	framer.WriteSettings()
	for call := range calls {
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*call + 1), BlockFragment: header.Bytes(), EndHeaders: true})
	}
	return frames.Bytes()
}

// Guards against gRPC clients that take the gateway over its memory by calls with very many short metadata fields, begun,
// left and begun again.
func TestMemory_GRPCMetadataFields(t *testing.T) {
	const memory, sockets, connections, callsPerConnection, stay = 32, 256, 18, 250, time.Second
	for _, fields := range []int{0, 440} {
		t.Run(fmt.Sprint(fields, " fields"), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := grpc.NewServer()
			ashwoodpb.RegisterBoxServer(server, grpcEngine{})
			go server.Serve(listener)
			t.Cleanup(server.Stop)
			config := configJSON(startDiscovery(t, `{"generation":1,"reset":true,"instances":[]}`), "null")
			config = strings.Replace(config, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memory, sockets), 1)
			cmd, _, front := startProgram(t, config, fmt.Sprintf("[grpc]\nlisten = \"127.0.0.1:0\"\n[[grpc.boxes]]\nid = \"w\"\naddress = %q\nkind = \"decode\"\n", listener.Addr()))
			frames, started := callFrames(callsPerConnection, fields), time.Now()
			runCrowd(connections, connections, func() {
				for time.Since(started) < crowdTime {
					c, err := net.Dial("tcp", front)
					if err != nil {
						continue
					}
					c.SetDeadline(time.Now().Add(stay))
					go c.Write(frames) // fails where the gateway does not read
					io.Copy(io.Discard, c)
					c.Close()
				}
			})
			peak, _ := processUsage(t, cmd.Process.Pid)
			t.Logf("peak %d of %d MB", peak, memory)
			if peak >= memory {
				t.Errorf("%d of %d MB", peak, memory)
			}
		})
	}
}
