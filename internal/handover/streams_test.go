package handover

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against losing a message to a process that was stopped between its accept and its first read: its deadline had passed
// when it ran again, and the message, with a client's answer, stayed unread.
func TestReadMessage_DeadlinePassedWhileStopped(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*net.UnixConn
	for i, fd := range pair {
		file := os.NewFile(uintptr(fd), "end")
		c, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ends[i] = c.(*net.UnixConn)
	}
	if _, err := ends[0].Write([]byte("an answer")); err != nil {
		t.Fatal(err)
	}
	ends[1].SetReadDeadline(time.Now().Add(-time.Second))
	raw := make([]byte, maxMessageBytes)
	if n, _, _, err := readMessage(ends[1], raw, nil); string(raw[:n]) != "an answer" || err != nil {
		t.Errorf("got %q, %v", raw[:n], err)
	}
	ends[1].SetReadDeadline(time.Now().Add(-time.Second))
	if _, _, _, err := readMessage(ends[1], raw, nil); err == nil {
		t.Error("read a message that was never sent")
	}
}
