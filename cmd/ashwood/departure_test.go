package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	departurePrefillEngines = 12
	departuresPerCase       = 48
	departuresAtOnce        = 6  // where there is no crowd
	departureCrowd          = 40 // clients at once
	minHold, maxHold        = 350 * time.Millisecond, 430 * time.Millisecond
	minStay, maxStay        = 60 * time.Millisecond, 360 * time.Millisecond // from the request to the client's close
	pauseLength             = 400 * time.Millisecond                        // for which a process is stopped at a time
	runBetweenPauses        = 100 * time.Millisecond
	// latestAttempt is how long behind a close an attempt may begin: 0.1 s, and the 50 ms that every limit is longer on sockets.
	latestAttempt = 150 * time.Millisecond
)

// refusingFleet are engines that hold the first attempt of each request, turn it away and break off all further ones.
type refusingFleet struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time // of attempts, by request
}

func (f *refusingFleet) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete || r.URL.Path != "/v1/chat/completions" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	arrivedAt := time.Now()
	io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	id := r.Header.Get("X-Txn")
	f.arrivals[id] = append(f.arrivals[id], arrivedAt)
	first := len(f.arrivals[id]) == 1
	f.mu.Unlock()
	if !first {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(minHold + rand.N(maxHold-minHold)):
	case <-r.Context().Done():
	}
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// start starts the engines and returns discovery's membership of them.
func (f *refusingFleet) start(t *testing.T) (membership string) {
	var instances []string
	for i := range departurePrefillEngines {
		instances = append(instances, instanceJSON(fmt.Sprint("r", i), startHTTPServer(t, f.serve), "prefill"))
	}
	instances = append(instances, instanceJSON("w", startHTTPServer(t, f.serve), "decode"))
	return `{"generation":3,"reset":true,"instances":[` + strings.Join(instances, ",") + `]}`
}

// attemptsBehind returns how long behind a client's close each of its request's attempts arrived.
func (f *refusingFleet) attemptsBehind(id string, leftAt time.Time) (behind []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.arrivals[id] {
		if at.After(leftAt) {
			behind = append(behind, at.Sub(leftAt))
		}
	}
	return behind
}

// sendsUntil writes to a connection until a time, at which its client leaves.
type sendsUntil func(c net.Conn, leavesAt time.Time)

func sendNothing(net.Conn, time.Time) {}

// sendAtFullSpeed repeats a text without a pause.
func sendAtFullSpeed(text string) sendsUntil {
	batch := []byte(strings.Repeat(text, max(64<<10/len(text), 1)))
	return func(c net.Conn, leavesAt time.Time) {
		c.SetWriteDeadline(leavesAt)
		for {
			if _, err := c.Write(batch); err != nil {
				return
			}
		}
	}
}

// sendAtLast sends some bytes just before the client leaves.
func sendAtLast(bytes int) sendsUntil {
	return func(c net.Conn, leavesAt time.Time) {
		<-time.After(time.Until(leavesAt) - 10*time.Millisecond)
		c.SetWriteDeadline(leavesAt)
		c.Write(make([]byte, bytes))
	}
}

// sendPaced sends 64 KiB each 2 ms.
func sendPaced(c net.Conn, leavesAt time.Time) {
	c.SetWriteDeadline(leavesAt)
	for tick := time.NewTicker(2 * time.Millisecond); time.Now().Before(leavesAt); <-tick.C {
		c.Write(make([]byte, 64<<10))
	}
}

// depart sends a request, stays for a while and leaves, one time in four by a reset. It returns when it left.
func depart(listen, id, class string, send sendsUntil) (leftAt time.Time, err error) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		return time.Time{}, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, postText(id, class, "prompt_len=64,max_out=9", "{}")); err != nil {
		return time.Time{}, err
	}
	leavesAt := time.Now().Add(minStay + rand.N(maxStay-minStay))
	send(c, leavesAt)
	<-time.After(time.Until(leavesAt))
	if rand.N(4) == 0 {
		c.(*net.TCPConn).SetLinger(0)
	}
	leftAt = time.Now()
	return leftAt, c.Close()
}

// pauseRepeatedly stops a process for a while at a time until stop is closed.
func pauseRepeatedly(process *os.Process, stop chan struct{}) {
	for {
		process.Signal(syscall.SIGSTOP)
		<-time.After(pauseLength)
		process.Signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(runBetweenPauses):
		}
	}
}

func departuresShareCore(process *os.Process, stop chan struct{}) {
	shareCore(process, coreShare, stop)
}

// departureCase is one way in which clients leave.
type departureCase struct {
	name    string
	send    sendsUntil
	disturb func(process *os.Process, stop chan struct{}) // of the gateway; nil = not at all
	atOnce  int
}

// Guards against attempts for clients whose close stands behind bytes that the gateway has not read.
func TestLeave_MuchSentUntilClose(t *testing.T) {
	wholeRequests := sendAtFullSpeed(postText("ahead", "case-chat", "prompt_len=64,max_out=9", "{}"))
	playDepartures(t, []departureCase{
		{"zeros at full speed", sendAtFullSpeed("\x00"), nil, departuresAtOnce},
		{"zeros at full speed, on a part of a core", sendAtFullSpeed("\x00"), departuresShareCore, departuresAtOnce},
		{"zeros at full speed, crowd", sendAtFullSpeed("\x00"), nil, departureCrowd},
		{"whole requests at full speed", wholeRequests, nil, departuresAtOnce},
		{"8 MiB at last", sendAtLast(8 << 20), nil, departuresAtOnce},
		{"8 MiB at last, crowd", sendAtLast(8 << 20), nil, departureCrowd},
		{"64 KiB each 2 ms, crowd", sendPaced, nil, departureCrowd},
	})
}

// Guards against attempts for clients whose close waits beside an engine's answer, as the process was held up.
func TestLeave_CloseWhileProcessStopped(t *testing.T) {
	playDepartures(t, []departureCase{
		{"nothing", sendNothing, pauseRepeatedly, departuresAtOnce},
		{"nothing, crowd", sendNothing, pauseRepeatedly, departureCrowd},
		{"zeros at full speed", sendAtFullSpeed("\x00"), pauseRepeatedly, departuresAtOnce},
		{"zeros at full speed, crowd", sendAtFullSpeed("\x00"), pauseRepeatedly, departureCrowd},
	})
}

func playDepartures(t *testing.T, cases []departureCase) {
	t.Helper()
	for _, tt := range shortened(cases) {
		t.Run(tt.name, func(t *testing.T) {
			fleet := &refusingFleet{arrivals: map[string][]time.Time{}}
			cmd, listen, _ := startProgram(t, configJSON(startDiscovery(t, fleet.start(t)), "null"), "")
			stop := make(chan struct{})
			var disturbing sync.WaitGroup
			if tt.disturb != nil {
				disturbing.Go(func() { tt.disturb(cmd.Process, stop) })
			}
			leftAt := departAll(t, listen, tt)
			<-time.After(maxHold + pauseLength + latestAttempt) // in which further attempts would begin
			close(stop)
			disturbing.Wait()
			fleet.checkDepartures(t, leftAt)
		})
	}
}

// departAll plays the clients of a case and returns when each left, by request.
func departAll(t *testing.T, listen string, tt departureCase) map[string]time.Time {
	var clients sync.WaitGroup
	var mu sync.Mutex
	leftAt := map[string]time.Time{}
	for client := range tt.atOnce {
		clients.Go(func() {
			for n := client; n < departuresPerCase; n += tt.atOnce {
				id, class := fmt.Sprint("d", n), []string{"case-chat", "send-order"}[n%2]
				at, err := depart(listen, id, class, tt.send)
				if err != nil {
					t.Logf("%s: %v", id, err)
					continue
				}
				mu.Lock()
				leftAt[id] = at
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return leftAt
}

// checkDepartures checks that no attempt began too long behind its client's close.
func (f *refusingFleet) checkDepartures(t *testing.T, leftAt map[string]time.Time) {
	t.Helper()
	var behind, late int
	var latest time.Duration
	for id, at := range leftAt {
		for _, d := range f.attemptsBehind(id, at) {
			behind++
			latest = max(latest, d)
			if d > latestAttempt {
				late++
			}
		}
	}
	t.Logf("%d clients left; %d attempts behind their close, %d of them late, the latest %v", len(leftAt), behind, late, latest.Round(time.Millisecond))
	if late > 0 || len(leftAt) < departuresPerCase/2 {
		t.Errorf("%d clients left, %d attempts began over %v behind a close, the latest %v", len(leftAt), late, latestAttempt, latest)
	}
}
