package grpcfront

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/health/grpc_health_v1"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/internal/clock"
)

// badClientLimit is the time within which a client that stops in the middle of a request is owed an error or a close
// (STANDING, What production adds).
const badClientLimit = 3 * time.Second

// rawClient is a client's connection that writes frames as it likes.
type rawClient struct {
	t       *testing.T
	framer  *http2.Framer
	headers bytes.Buffer
	encoder *hpack.Encoder
	calls   uint32
	granted chan uint32 // gets a call when the server, which reads its message, grants it a larger window

	mu     sync.Mutex // also guards writes
	ended  map[uint32]string
	change chan struct{} // gets a value when a call has ended
}

func dialRaw(t *testing.T, addr net.Addr) *rawClient {
	t.Helper()
	nc, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c := &rawClient{t: t, framer: http2.NewFramer(nc, nc), granted: make(chan uint32, 9999), ended: map[uint32]string{}, change: make(chan struct{}, 9999)}
	c.encoder = hpack.NewEncoder(&c.headers)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(nc, http2.ClientPreface)
	c.framer.WriteSettings()
	go c.read()
	return c
}

// read collects the status of each call that the server ends.
func (c *rawClient) read() {
	for {
		frame, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		c.mu.Lock()
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				c.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				c.framer.WritePing(true, f.Data)
			}
		case *http2.WindowUpdateFrame:
			if f.StreamID > 0 {
				c.granted <- f.StreamID
			}
		case *http2.MetaHeadersFrame:
			if f.StreamEnded() {
				for _, field := range f.Fields {
					if field.Name == "grpc-status" {
						c.ended[f.StreamID] = field.Value
					}
				}
				c.change <- struct{}{}
			}
		}
		c.mu.Unlock()
	}
}

// begin begins a call with some bytes of its body, and returns its number.
func (c *rawClient) begin(method string, body []byte) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := 2*c.calls + 1
	c.calls++
	c.headers.Reset()
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "service.internal"}, {"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		c.encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headers.Bytes(), EndHeaders: true})
	const maxFrame = 16 << 10
	for len(body) > 0 {
		n := min(len(body), maxFrame)
		c.framer.WriteData(id, false, body[:n])
		body = body[n:]
	}
	return id
}

// countEnded returns the number of calls that the server has ended, by status.
func (c *rawClient) countEnded() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	byStatus := map[string]int{}
	for _, status := range c.ended {
		byStatus[status]++
	}
	return byStatus
}

// unfinishedMessage is the first n bytes of a message of 250,000.
func unfinishedMessage(n int) []byte {
	message := make([]byte, n)
	binary.BigEndian.PutUint32(message[1:5], 250_000)
	return message
}

// Guards against a gateway that is killed for memory by clients that begin calls and never finish them: what it keeps of
// unfinished calls stays within its limit, the others are refused, and a sound client is served meanwhile.
func TestUnfinishedCalls_Memory(t *testing.T) {
	const sentPerCall, calls = 60_000, 200 // within the window that each call has from the start
	client, fleet, _ := startGateway(t)
	began := time.Now()
	clients := []*rawClient{dialRaw(t, fleet.addr), dialRaw(t, fleet.addr), dialRaw(t, fleet.addr)}
	for _, c := range clients {
		for range calls {
			c.begin(ashwoodpb.Inference_Generate_FullMethodName, unfinishedMessage(sentPerCall))
		}
	}
	kept := func() (bytes int) {
		for _, c := range clients {
			bytes += (calls - c.countEnded()["8"]) * sentPerCall // RESOURCE_EXHAUSTED
		}
		return bytes
	}
	for kept() > testMemory {
		select {
		case <-clients[0].change:
		case <-clients[1].change:
		case <-clients[2].change:
		case <-time.After(time.Until(began.Add(badClientLimit))):
			t.Fatalf("%d bytes of unfinished calls are kept, the limit is %d", kept(), testMemory)
		}
	}
	if got, _ := fleet.callAndCount(client, "sound", "send-order", ""); got != (callSummary{Tokens: 3, Prefills: 1, Decodes: 1}) {
		t.Errorf("the sound client beside them: %+v", got)
	}
}

// Guards against clients that stop in the middle of a request and stay, of any service and at any point: they get an error
// or a close in time.
func TestUnfinishedCalls_Time(t *testing.T) {
	_, fleet, _ := startGateway(t)
	whole := []byte{0, 0, 0, 0, 0}
	began := time.Now()
	silent, err := net.Dial("tcp", fleet.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	c := dialRaw(t, fleet.addr)
	calls := 0
	for _, method := range []string{ashwoodpb.Inference_Generate_FullMethodName, grpc_health_v1.Health_Check_FullMethodName, grpc_health_v1.Health_Watch_FullMethodName} {
		for _, body := range [][]byte{nil, whole[:3], unfinishedMessage(100), whole} {
			c.begin(method, body)
			calls++
		}
	}
	for range calls {
		select {
		case <-c.change:
		case <-time.After(time.Until(began.Add(badClientLimit))):
			t.Fatalf("calls ended, by status: %v, want all %d", c.countEnded(), calls)
		}
	}
	silent.SetReadDeadline(began.Add(badClientLimit))
	if _, err := io.Copy(io.Discard, silent); err != nil {
		t.Errorf("a connection that has sent nothing: %v", err)
	}
}

// Guards against a process that is kept alive, once it is told to end, by one call that is never finished.
func TestUnfinishedCalls_Shutdown(t *testing.T) {
	const answerBy = 300 * time.Millisecond // the process's time for its last answers
	_, fleet, _ := startGateway(t)
	c := dialRaw(t, fleet.addr)
	c.begin(ashwoodpb.Inference_Generate_FullMethodName, unfinishedMessage(100))
	<-c.granted
	toldAt := time.Now()
	fleet.front.ExpireReadsAfter(answerBy)
	ended := make(chan struct{})
	go func() {
		fleet.front.Shutdown()
		close(ended)
	}()
	select {
	case <-c.change:
	case <-time.After(clock.Duration(readTimeout) / 2):
		t.Fatalf("%v after the front was told to end within %v, the call has not ended", time.Since(toldAt), answerBy)
	}
	if got := c.countEnded(); got["3"] != 1 { // INVALID_ARGUMENT
		t.Errorf("calls ended, by status: %v", got)
	}
	<-ended
}
