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

// patience bounds each wait for a condition.
const patience = 30 * time.Second

// site is one gateway's address, folder and engines, for processes that follow one another.
type site struct {
	t      *testing.T
	tmp    string
	listen string
	list   string
	// sockets are what the configuration allows; 0 = 1,024
	sockets int
	// deadline is that of all classes in ms; 0 = as the settings have it
	deadline int

	mu    sync.Mutex
	sends map[string]int // attempts at the writer, by request
	freed map[string]int // releases, by request
	// readsOut are attempts at the reader, by request.
	readsOut map[string]int
	// silent has discovery answer nothing.
	silent bool
	// away ends discovery: its connections, and new ones.
	away  []func()
	step  chan struct{} // lets an answer's next piece go; closed = all
	reads chan struct{} // lets a read end; nil = at once
	fault engineFault   // of decode engines
	begun chan string   // ids of answers that have begun
}

// newSite reserves an address: a socket that is bound and does not listen gets nothing.
func newSite(t *testing.T) *site {
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
	s := &site{
		t: t, tmp: t.TempDir(), listen: fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port),
		sends: map[string]int{}, freed: map[string]int{}, readsOut: map[string]int{}, step: make(chan struct{}), begun: make(chan string, 9999),
	}
	reader := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			s.free(w, r)
			return
		}
		io.Copy(io.Discard, r.Body) // or its client's end would not be noticed
		s.mu.Lock()
		s.readsOut[r.Header.Get("X-Txn")]++
		s.mu.Unlock()
		if s.reads != nil {
			s.begun <- r.Header.Get("X-Txn")
			select {
			case <-s.reads:
			case <-r.Context().Done():
				return
			}
		}
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	})
	writer := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodDelete:
			s.free(w, r)
			return
		case strings.HasPrefix(r.URL.Path, "/bootstrap/"):
			w.WriteHeader(http.StatusConflict)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Txn")
		s.mu.Lock()
		s.sends[id]++
		s.mu.Unlock()
		if s.fault.answer(w, r) {
			return
		}
		for _, piece := range pieces {
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
			if piece == pieces[0] {
				s.begun <- id
			}
			if piece != pieces[len(pieces)-1] {
				select {
				case <-s.step:
				case <-r.Context().Done():
					return
				}
			}
		}
	})
	s.list = `{"generation":3,"reset":true,"instances":[` + instance("r", reader, "prefill") + "," + instance("w", writer, "decode") + `]}`
	return s
}

var pieces = []string{"data: one\n\n", "data: two\n\n", "data: three\n\n", "data: [DONE]\n\n"}

func (s *site) free(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.freed[filepath.Base(r.URL.Path)]++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// process is one of a site's.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	config string // the file
	listen string
	mgmt   string
	done   chan struct{} // closed when it has ended
	err    error         // then: how

	mu  sync.Mutex
	log bytes.Buffer
}

var deadlines = regexp.MustCompile(`"deadline":\d+`)

var adminLine = regexp.MustCompile(`msg=serving .* mgmt=(\S+)`)

// begin starts a process; ready waits until it says yes.
func (s *site) begin() *process {
	s.t.Helper()
	config := strings.Replace(configuration(s.discovery(), "null"), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"mgmt":"127.0.0.1:0"`, s.listen), 1)
	config = strings.Replace(config, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, cmp.Or(s.sockets, 1024)), 1)
	if s.deadline > 0 {
		config = deadlines.ReplaceAllString(config, fmt.Sprintf(`"deadline":%d`, s.deadline))
	}
	p := &process{t: s.t, cmd: exec.Command(program), listen: s.listen, config: write(s.t, "config.json", config), done: make(chan struct{})}
	p.cmd.Env = []string{"ROUTER_CONFIG=" + p.config, "TMPDIR=" + s.tmp, "ASHWOOD_LOG=debug"}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.done
		if s.t.Failed() {
			p.mu.Lock()
			s.t.Logf("process %d:\n%s", p.cmd.Process.Pid, p.log.String())
			p.mu.Unlock()
		}
	})
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.mu.Lock()
			fmt.Fprintln(&p.log, lines.Text())
			p.mu.Unlock()
		}
		p.err = p.cmd.Wait()
	}()
	return p
}

// discovery starts one for a process.
func (s *site) discovery() string {
	silent := s.silent
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent || r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, s.list)
	}))
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.away = append(s.away, func() {
		server.Listener.Close()
		server.CloseClientConnections()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// discoveryAway ends discovery for all processes.
func (s *site) discoveryAway() {
	for _, away := range s.away {
		away()
	}
}

func (p *process) logged(what string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), what)
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Since(begun) > patience {
			t.Fatalf("not seen: %s", what)
		}
	}
}

// ready waits for a process's yes.
func (p *process) ready() *process {
	p.t.Helper()
	until(p.t, "a line that it serves", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		m := adminLine.FindStringSubmatch(p.log.String())
		if m != nil {
			p.mgmt = m[1]
		}
		return m != nil
	})
	if got := p.ask("check"); got != "YES\n" {
		p.t.Fatalf("check: %q", got)
	}
	return p
}

func (p *process) ask(call string) string {
	p.t.Helper()
	c, err := net.Dial("tcp", p.mgmt)
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

// term has a process stop; ended waits for its end, with 0.
func (p *process) term() { p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *process) ended() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		p.t.Fatal("it has not ended")
	}
	if p.err != nil {
		p.t.Errorf("it ended with %v", p.err)
	}
}

// send sends an order on a client's connections and gives the answer once it has begun.
func (s *site) send(client *http.Client, id string) (*http.Response, error) {
	req, err := http.NewRequest("POST", "http://"+s.listen+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	for k, v := range map[string]string{"X-Txn": id, "X-Lane": "send-order", "X-Remaining": "25.0", "X-Labels": "prompt_len=64,max_out=9"} {
		req.Header.Set(k, v)
	}
	return client.Do(req)
}

// whole reads an answer to its end.
func (s *site) whole(r *http.Response) {
	s.t.Helper()
	body, err := io.ReadAll(r.Body)
	r.Body.Close()
	if r.StatusCode != 200 || string(body) != strings.Join(pieces, "") || err != nil {
		s.t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

// once checks that no order was sent twice, and that so many were.
func (s *site) once(orders int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.sends {
		if n != 1 {
			s.t.Errorf("order %s was sent %d times", id, n)
		}
	}
	if len(s.sends) != orders {
		s.t.Errorf("%d orders were sent, want %d", len(s.sends), orders)
	}
}

func client(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}, Timeout: patience}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}
