package main

// This file plays clients that begin calls and never finish them.

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// messageBytes is what a call announces; sentBytes, less than that, is what it sends of it.
const (
	messageBytes = 250000
	sentBytes    = messageBytes - 1000
)

// badClient is one connection with several calls.
type badClient struct {
	conn   net.Conn
	framer *http2.Framer
	total  *atomic.Int64 // bytes sent by all clients
	ended  *atomic.Int64 // calls that the gateway has ended

	mu         sync.Mutex
	changed    *sync.Cond
	connWindow int64
	initial    int64
	windows    map[uint32]int64
	over       map[uint32]bool
	closed     bool
}

// Numbers of connections and calls of clients that never finish, and how long they stay.
const (
	badClients   = 40
	callsPerConn = 40
	badStay      = 8 * time.Second
)

// playBad plays all of them, and records how many of their calls the gateway has ended.
func (w *world) playBad(address string) {
	var total, ended atomic.Int64
	var all sync.WaitGroup
	for range badClients {
		all.Go(func() {
			if err := runBad(address, &total, &ended); err != nil {
				w.rec.printf("bad client: %v", err)
			}
		})
	}
	over := make(chan struct{})
	go func() {
		all.Wait()
		close(over)
	}()
	for {
		select {
		case <-over:
			return
		case <-time.After(500 * time.Millisecond):
			w.rec.printf("bad clients: connections %d, calls on each %d, bytes sent %d, calls ended by the gateway %d", badClients, callsPerConn, total.Load(), ended.Load())
		}
	}
}

// runBad is one connection with its calls.
func runBad(address string, total, ended *atomic.Int64) error {
	nc, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	c := &badClient{
		conn: nc, framer: http2.NewFramer(nc, nc), total: total, ended: ended,
		connWindow: 65535, initial: 65535, windows: map[uint32]int64{}, over: map[uint32]bool{},
	}
	c.changed = sync.NewCond(&c.mu)
	if _, err := io.WriteString(nc, http2.ClientPreface); err != nil {
		return err
	}
	if err := c.framer.WriteSettings(); err != nil {
		return err
	}
	go c.read()
	var headers bytes.Buffer
	encoder := hpack.NewEncoder(&headers)
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", "/ashwood.v1.Inference/Generate"}, {":authority", "service.internal"},
		{"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	block := bytes.Clone(headers.Bytes())
	for n := range callsPerConn {
		stream := uint32(2*n + 1)
		c.mu.Lock()
		c.windows[stream] = c.initial
		err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block, EndHeaders: true})
		c.mu.Unlock()
		if err != nil {
			return err
		}
		// Indexed fields would need the dynamic table; each block is encoded anew.
		headers.Reset()
		for _, field := range [][2]string{
			{":method", "POST"}, {":scheme", "http"}, {":path", "/ashwood.v1.Inference/Generate"}, {":authority", "service.internal"},
			{"content-type", "application/grpc"}, {"te", "trailers"},
		} {
			encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
		}
		block = bytes.Clone(headers.Bytes())
		if !c.send(stream) {
			break
		}
	}
	time.Sleep(badStay)
	return nil
}

// send sends the part of a message within the windows that the gateway grants, and reports whether the
// connection is still open.
func (c *badClient) send(stream uint32) bool {
	message := make([]byte, 5+sentBytes)
	binary.BigEndian.PutUint32(message[1:5], messageBytes)
	for len(message) > 0 {
		c.mu.Lock()
		for !c.closed && !c.over[stream] && (c.connWindow <= 0 || c.windows[stream] <= 0) {
			c.changed.Wait()
		}
		if c.closed || c.over[stream] {
			open := !c.closed
			c.mu.Unlock()
			return open
		}
		n := min(int64(len(message)), 16384, c.connWindow, c.windows[stream])
		c.connWindow -= n
		c.windows[stream] -= n
		err := c.framer.WriteData(stream, false, message[:n])
		c.mu.Unlock()
		if err != nil {
			return false
		}
		c.total.Add(n)
		message = message[n:]
	}
	return true
}

// read follows the gateway's windows and settings.
func (c *badClient) read() {
	for {
		frame, err := c.framer.ReadFrame()
		c.mu.Lock()
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
					for id := range c.windows {
						c.windows[id] += int64(v) - c.initial
					}
					c.initial = int64(v)
				}
				c.framer.WriteSettingsAck()
			}
		case *http2.WindowUpdateFrame:
			if f.StreamID == 0 {
				c.connWindow += int64(f.Increment)
			} else {
				c.windows[f.StreamID] += int64(f.Increment)
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				c.framer.WritePing(true, f.Data)
			}
		case *http2.RSTStreamFrame:
			c.over[f.StreamID] = true
			c.ended.Add(1)
		case *http2.HeadersFrame: // the status of a call that the gateway ended
			if f.StreamEnded() {
				c.over[f.StreamID] = true
				c.ended.Add(1)
			}
		}
		c.closed = c.closed || err != nil
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}
