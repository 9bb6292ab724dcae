// Command 7 plays a crowd of clients that connect, send nearly all of a request and never finish it.
package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"ashwood.example/ashwood/review/standin"
)

const (
	seed      = 7
	memoryMB  = 192 // the limits of a scored day
	sockets   = 1024
	length    = 40 * time.Second
	crowd     = 6000 // connections in all, evenly over 30 s
	crowdTime = 30 * time.Second
	bodyBytes = 256 << 10 // the largest body; the last chunk, which ends it, is never sent
	chunk     = 4096
	stay      = 4 * time.Second // for which a client of the crowd waits for an answer
	perSec    = 10              // sound clients
)

func main() { os.Exit(play(standin.NewRecord(os.Args[1]))) }

// rssKB returns the memory that a process holds now.
func rssKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb
}

// platform kills the gateway once it holds more memory than it may.
func platform(record *standin.Record, gateway *standin.Gateway, ended <-chan struct{}) {
	peak := 0
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			record.Log("peak of the gateway's memory: %d kB of %d kB", peak, memoryMB<<10)
			return
		case <-ticker.C:
		}
		kb := rssKB(gateway.PID())
		peak = max(peak, kb)
		if kb > memoryMB<<10 {
			record.Broken("the gateway holds %d kB of %d kB: the platform kills it", kb, memoryMB<<10)
			gateway.Kill()
			return
		}
	}
}

// member is a client of the crowd.
func member(addr string, i int) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(stay))
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: c0%014x\r\nX-Lane: rate-check\r\nX-Remaining: 4.000\r\n"+
		"X-Labels: prompt_len=60000,max_out=40\r\nTransfer-Encoding: chunked\r\n\r\n", i)
	piece := append(fmt.Appendf(nil, "%x\r\n", chunk), append(bytes.Repeat([]byte("a"), chunk), "\r\n"...)...)
	for range bodyBytes / chunk {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
	c.Read(make([]byte, 512)) // the error, the close or the end of its patience
}

func play(record *standin.Record) int {
	fleet := &standin.Fleet{Record: record, ReadTime: 40 * time.Millisecond, FirstToken: 30 * time.Millisecond, TokenGap: 50 * time.Millisecond, Events: 20}
	var list []standin.Instance
	for i, reads := range []bool{true, false} {
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
	gateway, err := standin.StartGateway(standin.GatewayConfig{Discovery: discovery.Addr, MemoryMB: memoryMB, Sockets: sockets, Settings: standin.Settings(1)})
	if err != nil {
		return standin.NotRun(err)
	}
	defer gateway.Stop()
	ended := make(chan struct{})
	var others, clients sync.WaitGroup
	others.Go(func() { platform(record, gateway, ended) })
	begun := time.Now()
	if standin.Trouble() {
		others.Go(func() {
			for i := 0; i < crowd && !gateway.Exited(); i++ {
				others.Go(func() { member(gateway.Listen, i) })
				time.Sleep(time.Until(begun.Add(crowdTime / crowd * time.Duration(i+1))))
			}
		})
	}
	random := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	whole := 0
	for i := 0; time.Since(begun) < length && !gateway.Exited(); i++ {
		request := standin.Request{ID: fmt.Sprintf("%08x%08x", seed, i), Class: "send-order", Remaining: 6 * time.Second, Prompt: 1500, Prefix: "5c0f6e1a2b3d4c59"}
		clients.Go(func() {
			answer := standin.Send(gateway.Listen, request, 12*time.Second)
			record.Log("client %s (%s): %d, whole %v, %d bytes, %v", request.ID, request.Class, answer.Status, answer.Whole, len(answer.Body), answer.Err)
			mu.Lock()
			defer mu.Unlock()
			if answer.Status == 200 && answer.Whole {
				whole++
			}
		})
		time.Sleep(time.Duration(random.Float64() * 2 * float64(time.Second) / perSec))
	}
	clients.Wait()
	close(ended)
	others.Wait()
	record.Log("%d whole answers", whole)
	if whole == 0 {
		return standin.NotRun(fmt.Errorf("no request was answered"))
	}
	return record.Finish()
}
