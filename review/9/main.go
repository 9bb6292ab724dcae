// Command 9 plays clients that send several requests at once and leave before the first is answered.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/review/standin"
)

const (
	clients  = 20
	leaves   = 200 * time.Millisecond // after it has written all
	readTime = 600 * time.Millisecond
	limitMs  = 100 // after the close, the rule's bound
)

func main() { os.Exit(play(standin.NewRecord(os.Args[1]))) }

func play(record *standin.Record) int {
	var mu sync.Mutex
	closed := map[string]float64{} // when a request's client closed its connection, ms
	fleet := &standin.Fleet{
		Record: record, ReadTime: readTime, FirstToken: 30 * time.Millisecond, TokenGap: 20 * time.Millisecond, Events: 10,
		Arrived: func(engine, id string) {
			mu.Lock()
			at, gone := closed[id]
			mu.Unlock()
			if late := record.Now() - at; gone && late > limitMs {
				record.Broken("an attempt of %s (send-order) begins at %s %.0f ms after its client has closed its connection", id, engine, late)
			}
		},
	}
	var list []standin.Instance
	for i, reads := range []bool{true, true, false, false} {
		engine, err := fleet.StartEngine(fmt.Sprintf("box-%d", i+1), reads)
		if err != nil {
			return standin.NotRun(err)
		}
		list = append(list, engine.Instance())
	}
	discovery, err := standin.StartDiscovery(list)
	if err != nil {
		return standin.NotRun(err)
	}
	gateway, err := standin.StartGateway(standin.GatewayConfig{Discovery: discovery.Addr, MemoryMB: 192, Sockets: 1024, Settings: standin.Settings(1)})
	if err != nil {
		return standin.NotRun(err)
	}
	defer gateway.Stop()
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			ids, err := send(gateway.Listen, i, func(ids []string) {
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					closed[id] = record.Now()
				}
			})
			record.Log("client of %v left: %v", ids, err)
		})
		time.Sleep(400 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(3 * time.Second) // what is still begun shows
	if !fleet.AnyRead() {
		return standin.NotRun(errors.New("no request reached an engine"))
	}
	return record.Finish()
}

// send writes requests at once and leaves. Without the disruption, it leaves just so after a single request.
func send(addr string, client int, onClose func([]string)) (ids []string, err error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var text strings.Builder
	for k, fill := range []int{0, 255 << 10, 20 << 10} {
		if k > 0 && !standin.Trouble() {
			break
		}
		request := standin.Request{ID: fmt.Sprintf("%08x%04x%04x", 9, client, k), Class: "send-order", Remaining: 6 * time.Second, Prompt: 1500 + fill/4, Prefix: "5c0f6e1a2b3d4c59", Fill: fill}
		text.WriteString(request.Text())
		ids = append(ids, request.ID)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return ids, err
	}
	time.Sleep(leaves)
	left, err := unacknowledged(c)
	if err != nil || left > 0 {
		return ids, fmt.Errorf("%d bytes have not arrived: %w", left, err)
	}
	onClose(ids)
	return ids, c.Close()
}

// unacknowledged returns how many bytes that a client has written have not arrived at the gateway's machine.
func unacknowledged(c net.Conn) (n int, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, errors.Join(err, controlErr)
}
