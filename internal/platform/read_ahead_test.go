package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// heldPrefill is a prefill engine that never answers an attempt. It reports how the gateway ended it.
func heldPrefill(t *testing.T, received chan<- struct{}, ended chan<- error) func(engineRequest) string {
	return func(r engineRequest) string {
		if r.Method == "DELETE" {
			return releasedResponse
		}
		received <- struct{}{}
		_, err := r.conn.Read(make([]byte, 1))
		ended <- err
		return "\x00"
	}
}

// An order went to an engine after its client had closed its connection behind more than the gateway reads ahead:
// the close was not seen. However much is sent ahead, and however the client leaves, the attempt is cancelled.
func TestWatchDisconnect_MuchSentAhead(t *testing.T) {
	leave := map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() },
		"resets": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
		"closes its side": func(c *net.TCPConn) { c.CloseWrite() },
	}
	for how, leave := range leave {
		for _, ahead := range []int{0, 1, 60_000, 290_000, 400_000, 1_000_000} {
			t.Run(fmt.Sprintf("%s behind %d bytes", how, ahead), func(t *testing.T) {
				t.Parallel()
				leaveBehind(t, ahead, 0, leave)
			})
		}
		t.Run(how+" where no memory is left to read ahead", func(t *testing.T) {
			t.Parallel()
			leaveBehind(t, 60_000, 1, leave)
		})
	}
}

// leaveBehind has a client send some bytes behind its order and leave while the order is at a prefill engine. The
// gateway has some memory for requests; 0 = without a limit.
func leaveBehind(t *testing.T, ahead int, memory int64, leave func(*net.TCPConn)) {
	const limit = 2 * time.Second // the gateway gives up an attempt without an answer only after 4 s
	received, ended := make(chan struct{}, 9), make(chan error, 9)
	s, addr := startServer(t, scriptedEngine(t, "r1", "reader", heldPrefill(t, received, ended)))
	c := dialClient(t, addr).(*net.TCPConn)
	io.WriteString(c, requestText("order", "", "{}"))
	<-received
	s.LimitMemory(memory)
	if _, err := io.WriteString(c, strings.Repeat("x", ahead)); err != nil {
		t.Fatal(err)
	}
	waitArrived(t, c)
	if len(ended) > 0 {
		t.Error("the attempt was given up before all that the client sent had arrived")
	}
	leave(c)
	select {
	case <-ended:
	case <-time.After(limit):
		t.Errorf("the attempt goes on %v after its client has left", limit)
	}
	shutdownServer(t, s)
}

// waitArrived waits until all that a client has written has arrived at the gateway's machine.
func waitArrived(t *testing.T, c *net.TCPConn) {
	t.Helper()
	waitFor(t, "all bytes have arrived", func() bool {
		left, err := unacknowledged(c)
		if err != nil {
			t.Fatal(err)
		}
		return left == 0
	})
}

// unacknowledged returns how many bytes that a client has written have not arrived at the gateway's machine.
func unacknowledged(c *net.TCPConn) (bytes int, err error) {
	err = sockcall.Do(c, func(fd int) (err error) {
		bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return bytes, err
}
