package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout bounds each wait for a condition.
const testTimeout = 30 * time.Second

// gatewayFixture holds the address, shared folder, engines and discovery of one gateway, for
// several processes of it.
type gatewayFixture struct {
	t          *testing.T
	tempDir    string
	listenAddr string
	membership string
	// sockets is the configured limit; 0 = 1,024
	sockets int
	// deadline of all classes in ms; 0 = as in the settings
	deadline int

	mu             sync.Mutex
	decodeAttempts map[string]int // attempts at the decode engine, by request
	releases       map[string]int // by request
	// prefillAttempts counts attempts at the prefill engine, by request.
	prefillAttempts map[string]int
	// silentDiscovery has discovery answer nothing.
	silentDiscovery bool
	// discoveryStops stop the discovery services: each closes a listener and its connections.
	discoveryStops []func()
	nextPiece      chan struct{} // lets the decode engine send one more piece; closed = all pieces without waiting
	finishPrefill  chan struct{} // lets one prefill finish; nil = prefill finishes immediately
	decodeFault    engineFault   // fault of the decode engine
	started        chan string   // ids of requests that reached prefill or whose answer has started
}

// newGatewayFixture reserves an address with a socket that is bound but does not listen, and so
// gets no connections.
func newGatewayFixture(t *testing.T) *gatewayFixture {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	f := &gatewayFixture{
		t: t, tempDir: t.TempDir(), listenAddr: fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port),
		decodeAttempts: map[string]int{}, releases: map[string]int{}, prefillAttempts: map[string]int{}, nextPiece: make(chan struct{}), started: make(chan string, 9999),
	}
	prefill := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			f.handleRelease(w, r)
			return
		}
		io.Copy(io.Discard, r.Body) // otherwise the server would not notice that its client has closed
		f.mu.Lock()
		f.prefillAttempts[r.Header.Get("X-Txn")]++
		f.mu.Unlock()
		if f.finishPrefill != nil {
			f.started <- r.Header.Get("X-Txn")
			select {
			case <-f.finishPrefill:
			case <-r.Context().Done():
				return
			}
		}
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	})
	decode := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodDelete:
			f.handleRelease(w, r)
			return
		case strings.HasPrefix(r.URL.Path, "/bootstrap/"):
			w.WriteHeader(http.StatusConflict)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Txn")
		f.mu.Lock()
		f.decodeAttempts[id]++
		f.mu.Unlock()
		if f.decodeFault.answer(w, r) {
			return
		}
		for _, piece := range answerPieces {
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
			if piece == answerPieces[0] {
				f.started <- id
			}
			if piece != answerPieces[len(answerPieces)-1] {
				select {
				case <-f.nextPiece:
				case <-r.Context().Done():
					return
				}
			}
		}
	})
	f.membership = `{"generation":3,"reset":true,"instances":[` + instanceJSON("r", prefill, "prefill") + "," + instanceJSON("w", decode, "decode") + `]}`
	return f
}

var answerPieces = []string{"data: one\n\n", "data: two\n\n", "data: three\n\n", "data: [DONE]\n\n"}

func (f *gatewayFixture) handleRelease(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.releases[filepath.Base(r.URL.Path)]++
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// process is one process of the gateway.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	configPath string
	listenAddr string
	adminAddr  string
	done       chan struct{} // closed when the process has exited
	exitErr    error         // set when done is closed

	mu  sync.Mutex
	log bytes.Buffer
}

var deadlineKey = regexp.MustCompile(`"deadline":\d+`)

var adminLine = regexp.MustCompile(`msg=serving .* mgmt=(\S+)`)

// startProcess starts a process; waitReady waits until it serves.
func (f *gatewayFixture) startProcess() *process {
	f.t.Helper()
	config := strings.Replace(configJSON(f.startDiscovery(), "null"), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"mgmt":"127.0.0.1:0"`, f.listenAddr), 1)
	config = strings.Replace(config, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, cmp.Or(f.sockets, 1024)), 1)
	if f.deadline > 0 {
		config = deadlineKey.ReplaceAllString(config, fmt.Sprintf(`"deadline":%d`, f.deadline))
	}
	proc := &process{t: f.t, cmd: exec.Command(program), listenAddr: f.listenAddr, configPath: writeTempFile(f.t, "config.json", config), done: make(chan struct{})}
	proc.cmd.Env = []string{"ROUTER_CONFIG=" + proc.configPath, "TMPDIR=" + f.tempDir, "ASHWOOD_LOG=debug"}
	out, err := proc.cmd.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := proc.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		proc.cmd.Process.Kill()
		<-proc.done
		if f.t.Failed() {
			proc.mu.Lock()
			f.t.Logf("process %d:\n%s", proc.cmd.Process.Pid, proc.log.String())
			proc.mu.Unlock()
		}
	})
	go func() {
		defer close(proc.done)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			proc.mu.Lock()
			fmt.Fprintln(&proc.log, lines.Text())
			proc.mu.Unlock()
		}
		proc.exitErr = proc.cmd.Wait()
	}()
	return proc
}

// startDiscovery starts a discovery service for one process.
func (f *gatewayFixture) startDiscovery() string {
	silent := f.silentDiscovery
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent || r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, f.membership)
	}))
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.discoveryStops = append(f.discoveryStops, func() {
		server.Listener.Close()
		server.CloseClientConnections()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// stopDiscovery stops discovery for all processes.
func (f *gatewayFixture) stopDiscovery() {
	for _, stop := range f.discoveryStops {
		stop()
	}
}

func (p *process) logContains(what string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), what)
}

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for startedAt := time.Now(); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Since(startedAt) > testTimeout {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// waitReady waits until the process serves and the admin server confirms it.
func (p *process) waitReady() *process {
	p.t.Helper()
	waitFor(p.t, "the log record msg=serving", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		m := adminLine.FindStringSubmatch(p.log.String())
		if m != nil {
			p.adminAddr = m[1]
		}
		return m != nil
	})
	if got := p.callAdmin("check"); got != "YES\n" {
		p.t.Fatalf("check: %q", got)
	}
	return p
}

func (p *process) callAdmin(call string) string {
	p.t.Helper()
	c, err := net.Dial("tcp", p.adminAddr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, call+"\n")
	reply, err := io.ReadAll(c)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(reply)
}

// sigterm sends SIGTERM; waitForExit waits for the process to exit with code 0.
func (p *process) sigterm() { p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *process) waitForExit() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(testTimeout):
		p.t.Fatal("the process has not exited")
	}
	if p.exitErr != nil {
		p.t.Errorf("the process exited with %v", p.exitErr)
	}
}

// sendOrder sends an order with a client and returns once the answer has started.
func (f *gatewayFixture) sendOrder(client *http.Client, id string) (*http.Response, error) {
	req, err := http.NewRequest("POST", "http://"+f.listenAddr+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	for k, v := range map[string]string{"X-Txn": id, "X-Lane": "send-order", "X-Remaining": "25.0", "X-Labels": "prompt_len=64,max_out=9"} {
		req.Header.Set(k, v)
	}
	return client.Do(req)
}

// checkAnswer reads an answer to its end and checks that it is complete.
func (f *gatewayFixture) checkAnswer(r *http.Response) {
	f.t.Helper()
	body, err := io.ReadAll(r.Body)
	r.Body.Close()
	if r.StatusCode != 200 || string(body) != strings.Join(answerPieces, "") || err != nil {
		f.t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

// checkSentOnce checks the number of orders sent to the decode engine, and that none was sent
// twice.
func (f *gatewayFixture) checkSentOnce(orders int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.decodeAttempts {
		if n != 1 {
			f.t.Errorf("order %s was sent %d times", id, n)
		}
	}
	if len(f.decodeAttempts) != orders {
		f.t.Errorf("%d orders were sent, want %d", len(f.decodeAttempts), orders)
	}
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}
