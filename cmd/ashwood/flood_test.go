package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	floodTime    = 3 * time.Second
	floodClients = 12
	soundClients = 6
	soundWait    = 800 * time.Millisecond // for which a sound client waits for its first token
	answerSlack  = 500 * time.Millisecond // within which an answer after that counts as late and not as lost
	coreShare    = 0.25                   // of a core that the gateway gets
	sharePeriod  = 20 * time.Millisecond  // in which it gets that share in one piece
	maxBody      = 256 << 10              // of a request, in bytes
)

// floods are requests that one client sends on one connection at full speed, without waiting for their answers.
var floods = []struct {
	name    string
	request func(n int64) string
}{
	{"unknown classes", func(n int64) string {
		return postText(fmt.Sprint("u", n), fmt.Sprint("class-", n), "prompt_len=4", "{}")
	}},
	{"too long prompts", func(n int64) string { return postText(fmt.Sprint("l", n), "case-chat", "prompt_len=900000000", "{}") }},
	{"bodies that are no JSON", func(n int64) string { return postText(fmt.Sprint("j", n), "case-chat", "prompt_len=4", "{") }},
	{"bodies in chunks of a byte", func(n int64) string {
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\nX-Lane: case-chat\r\nX-Remaining: 5.000\r\nTransfer-Encoding: chunked\r\n\r\n"
		return fmt.Sprintf(head, n) + strings.Repeat("1\r\n \r\n", maxBody)
	}},
	{"zeros behind a request", func(n int64) string {
		return postText(fmt.Sprint("z", n), "case-chat", "prompt_len=4", "{}") + strings.Repeat("\x00", maxBody)
	}},
	{"readiness checks", func(int64) string { return "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n" }},
}

func postText(id, class, labels, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: e%s\r\nX-Remaining: 5.000\r\nX-Labels: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, class, id, labels, len(body), body)
}

// flood sends requests until stop is closed, on a new connection whenever the gateway closes one.
func flood(listen string, sent *atomic.Int64, request func(n int64) string, stop chan struct{}) {
	const batch = 20
	for {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			io.Copy(io.Discard, c)
		}()
		for err == nil {
			var text strings.Builder
			for range batch {
				text.WriteString(request(sent.Add(1)))
			}
			select {
			case <-stop:
				c.Close()
				<-ended
				return
			default:
				_, err = io.WriteString(c, text.String())
			}
		}
		c.Close()
		<-ended
	}
}

// shareCore gives a process a share of a core until stop is closed, as on a machine where others have the rest.
func shareCore(process *os.Process, share float64, stop chan struct{}) {
	running := time.Duration(share * float64(sharePeriod))
	for {
		process.Signal(syscall.SIGSTOP)
		time.Sleep(sharePeriod - running)
		process.Signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(running):
		}
	}
}

// fleetConfig is the configuration of one of four gateways that probe their engines.
func fleetConfig(t *testing.T, membership string) string {
	text := configJSON(startDiscovery(t, membership), "null")
	return strings.NewReplacer(`"siblings":1`, `"siblings":4`, `"cancel":true`, `"cancel":true,"probes":true`, `"cores":1`, fmt.Sprintf(`"cores":%v`, coreShare)).Replace(text)
}

// shortened returns the first of some cases with -short: the program is built without the race detector, so that its run with
// the detector repeats them.
func shortened[T any](cases []T) []T {
	if testing.Short() {
		return cases[:1]
	}
	return cases
}

// Guards against clients whose answers come late or never while others send small or unsound requests at full speed.
func TestFlood_OtherClientsAnsweredInTime(t *testing.T) {
	for _, tt := range shortened(floods) {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			askBesideFlood(t, fleetConfig(t, startEngines(t, func() {})), func(listen string, stop chan struct{}) { flood(listen, &sent, tt.request, stop) })
			t.Logf("%d requests of the flood", sent.Load())
		})
	}
}

// heldPrefix begins the ids of requests that startHoldingEngines holds.
const heldPrefix = "held"

// startHoldingEngines starts engines as startEngines does, whose prefills of some requests go on for as long as the test.
func startHoldingEngines(t *testing.T) (membership string) {
	done := make(chan struct{})
	membership = startEnginesWith(t, func(r *http.Request) {
		if !strings.HasPrefix(r.Header.Get("X-Txn"), heldPrefix) {
			return
		}
		io.Copy(io.Discard, r.Body) // otherwise the server would not notice that its client has closed
		select {
		case <-r.Context().Done():
		case <-done:
		}
	}, func() {})
	t.Cleanup(func() { close(done) })
	return membership
}

// Guards against clients whose answers come late or never while others send at full speed behind requests that run.
func TestFlood_BehindRunningRequests(t *testing.T) {
	var flooders atomic.Int64
	askBesideFlood(t, fleetConfig(t, startHoldingEngines(t)), func(listen string, stop chan struct{}) {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return
		}
		defer c.Close()
		go func() { // a write may be blocked
			<-stop
			c.Close()
		}()
		io.WriteString(c, postText(fmt.Sprint(heldPrefix, flooders.Add(1)), "case-chat", "prompt_len=4", "{}"))
		for err == nil {
			_, err = c.Write(make([]byte, 64<<10))
		}
	})
}

// askBesideFlood starts the program on a share of a core, has clients flood it, and checks that others are served in time.
func askBesideFlood(t *testing.T, config string, flood func(listen string, stop chan struct{})) {
	t.Helper()
	cmd, listen, _ := startProgram(t, config, "")
	stop := make(chan struct{})
	var flooding, sound sync.WaitGroup
	flooding.Go(func() { shareCore(cmd.Process, coreShare, stop) })
	var asked, wrong atomic.Int64
	for range floodClients {
		flooding.Go(func() { flood(listen, stop) })
	}
	for client := range soundClients {
		sound.Go(func() {
			httpClient := &http.Client{Transport: &http.Transport{}}
			defer httpClient.CloseIdleConnections()
			for started := time.Now(); time.Since(started) < floodTime; {
				n := asked.Add(1)
				begun := time.Now()
				status, err := askSound(httpClient, listen, fmt.Sprintf("s%d-%d", client, n))
				if waited := time.Since(begun); status != http.StatusOK || err != nil || waited > soundWait+answerSlack {
					wrong.Add(1)
					t.Logf("request %d: status %d, %v, after %v", n, status, err, waited)
				}
			}
		})
	}
	sound.Wait()
	close(stop)
	flooding.Wait()
	t.Logf("%d requests beside the flood", asked.Load())
	if wrong.Load() > 0 {
		t.Errorf("%d of %d requests were not served within %v", wrong.Load(), asked.Load(), soundWait+answerSlack)
	}
}

// askSound sends a sound request and reads its answer to the end.
func askSound(client *http.Client, listen, id string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	for name, value := range map[string]string{
		"X-Txn": id, "X-Lane": "case-chat", "X-Remaining": fmt.Sprintf("%.3f", soundWait.Seconds()), "X-Labels": "prompt_len=64,max_out=9",
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(body) != fullAnswer {
		err = fmt.Errorf("answered %q", body)
	}
	return response.StatusCode, err
}
