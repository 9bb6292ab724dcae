package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"ashwood.example/ashwood/ashwoodpb"
)

// slowLink forwards connections to an address and reads what is sent there at some 20 KB a second.
func slowLink(t *testing.T, to string) (addr string) {
	t.Helper()
	const receiveBuffer, piece, pause = 4096, 1024, 50 * time.Millisecond
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	forward := func(caller net.Conn) {
		defer caller.Close()
		engine, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer engine.Close()
		go io.Copy(caller, engine)
		for err == nil {
			_, err = io.CopyN(engine, caller, piece)
			<-time.After(pause)
		}
	}
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			go forward(caller)
		}
	}()
	return l.Addr().String()
}

// slowReaderWait is how long clients wait where engines read slowly.
const slowReaderWait = 2 * time.Second

// Guards against a final answer that comes after its time where engines read a large request slowly.
func TestSlowReader_FinalAnswerInTime(t *testing.T) {
	slowAddress := regexp.MustCompile(`"hostPort":"([^"]*)"`)
	membership := slowAddress.ReplaceAllStringFunc(startEngines(t, func() {}), func(field string) string {
		return fmt.Sprintf(`"hostPort":%q`, slowLink(t, slowAddress.FindStringSubmatch(field)[1]))
	})
	_, listen, _ := startProgram(t, configJSON(startDiscovery(t, membership), "null"), "")
	var all sync.WaitGroup
	for n := range slowReaderCalls {
		all.Go(func() {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			body := `"` + strings.Repeat("x", 100<<10) + `"`
			begun := time.Now()
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: q%d\r\nX-Lane: %s\r\nX-Remaining: %.3f\r\nX-Labels: prompt_len=5000,max_out=9\r\nContent-Length: %d\r\n\r\n%s",
				n, slowReaderClass(n), slowReaderWait.Seconds(), len(body), body)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if waited := time.Since(begun); err != nil || waited > slowReaderWait+answerSlack {
				t.Errorf("request %d: %v, %v after %v of %v", n, response, err, waited, slowReaderWait)
			}
		})
	}
	all.Wait()
}

const slowReaderCalls = 6

func slowReaderClass(n int) string { return []string{"case-chat", "send-order"}[n%2] }

// The same over gRPC.
func TestSlowReader_FinalGRPCAnswerInTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	ashwoodpb.RegisterBoxServer(server, grpcEngine{})
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	_, _, front := startProgram(t, configJSON(startDiscovery(t, `{"generation":1,"reset":true,"instances":[]}`), "null"), fmt.Sprintf(`
[grpc]
listen = "127.0.0.1:0"
[[grpc.boxes]]
id = "r"
address = %q
kind = "prefill"
[[grpc.boxes]]
id = "w"
address = %q
kind = "decode"
`, slowLink(t, listener.Addr().String()), slowLink(t, listener.Addr().String())))
	conn, err := grpc.NewClient("passthrough:///"+front, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var all sync.WaitGroup
	for n := range slowReaderCalls {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			begun := time.Now()
			_, err := generate(ctx, conn, &ashwoodpb.GenerateRequest{RequestId: fmt.Sprint("q", n), Class: slowReaderClass(n),
				PromptTokens: 5000, FirstTokenMs: uint32(slowReaderWait.Milliseconds()), Prompt: bytes.Repeat([]byte("x"), 100<<10)})
			if waited := time.Since(begun); waited > slowReaderWait+answerSlack {
				t.Errorf("call %d: %v after %v of %v", n, err, waited, slowReaderWait)
			}
		})
	}
	all.Wait()
}
