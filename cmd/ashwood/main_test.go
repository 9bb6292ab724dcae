package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

var program string

// TestMain builds the program, which the tests start and speak to over sockets.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ashwood")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ashwood")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const settings = `{"siblings":1,"my_number":0,"locality":"a","kinds":["prefill","decode"],"discovery":"automatic",
	"lanes":[{"name":"case-chat","aim":3000,"deadline":15000,"worth":2,"effect":"pure"},
	{"name":"send-order","aim":1200,"deadline":6000,"worth":5,"effect":"side_effect"}],
	"family_info":{"early_pairing":true,"kind_role":["read","write"],"release":500,"tokens_by_kind":[200000,200000]},
	"ceilings":{"attempts_cap":6,"cancel":true,"retry_after":true,"max_retry_after":500,"connect_timeout":2000,"conn_idle":15000},
	"report":{"how":"inline","fields":["busy_reqs","pending","x0","x1"]}}`

// serve starts an HTTP peer and gives its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// serving is what the program logs once it listens; it takes free ports itself.
var servingLine = regexp.MustCompile(`msg=serving name=n (?:grpc=(\S+) )?listen=(\S+)`)

// start runs the program until it serves, and tells where.
func start(t *testing.T, config, operator string) (cmd *exec.Cmd, listen, front string) {
	return startWith(t, write(t, "config.json", config), operator, io.Discard)
}

// startWith has the program read its configuration from a file and copies what
// it logs once it serves.
func startWith(t *testing.T, path, operator string, log io.Writer) (cmd *exec.Cmd, listen, front string) {
	t.Helper()
	cmd = exec.Command(program)
	cmd.Env = []string{"ROUTER_CONFIG=" + path}
	if operator != "" {
		cmd.Env = append(cmd.Env, "ASHWOOD_OPERATOR="+write(t, "operator.toml", operator))
	}
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
			go io.Copy(log, out)
			return cmd, m[2], m[1]
		}
	}
	t.Fatalf("it ended without serving: %v", cmd.Wait())
	return nil, "", ""
}

// discovery answers each call with the list, and watches with silence.
func discovery(t *testing.T, list string) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
	})
}

func instance(id, addr, kind string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":%q,"cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}`, id, addr, kind)
}

// engines starts a reader and a writer, which calls half in the middle of each
// answer, and gives discovery's list of them.
func engines(t *testing.T, half func()) (list string) {
	reader := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	})
	writer := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/bootstrap/") {
			w.WriteHeader(http.StatusConflict)
			return
		}
		io.WriteString(w, "data: one\n\n")
		w.(http.Flusher).Flush()
		half()
		io.WriteString(w, "data: [DONE]\n\n")
	})
	return `{"generation":3,"reset":true,"instances":[` + instance("r", reader, "prefill") + "," + instance("w", writer, "decode") + `]}`
}

const answer = "data: one\n\ndata: [DONE]\n\n"

// order sends one; its answer has begun.
func order(t *testing.T, listen string) *http.Response {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Txn": "9b1f", "X-Lane": "send-order", "X-Remaining": "15.0", "X-Labels": "prompt_len=64,max_out=9"} {
		req.Header.Set(k, v)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Body.Close() })
	return r
}

func configuration(discovery, known string) string {
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","known":%s,
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, discovery, known, settings)
}

// Discovery may be silent from the start on: the list in hand has to do.
func TestServesFromTheKnownListWhileDiscoveryIsSilent(t *testing.T) {
	silent := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, listen, _ := start(t, configuration(silent, engines(t, func() {})), "")
	r := order(t, listen)
	if body, err := io.ReadAll(r.Body); r.StatusCode != 200 || string(body) != answer || err != nil {
		t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

func TestServesAndFinishesAfterSIGTERM(t *testing.T) {
	writing, finish := make(chan struct{}), make(chan struct{})
	cmd, listen, _ := start(t, configuration(discovery(t, engines(t, func() {
		close(writing)
		<-finish
	})), "null"), "")
	if r, err := http.Get("http://" + listen + "/-/ready"); err != nil || r.StatusCode != 200 {
		t.Fatalf("%v, %v", r, err)
	}
	r := order(t, listen)
	<-writing
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(finish)
	body, err := io.ReadAll(r.Body)
	if r.StatusCode != 200 || string(body) != answer || err != nil {
		t.Errorf("%s, %q, %v", r.Status, body, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// SIGHUP would end a program that does not expect it. A faulty file is named
// and changes nothing; a good one moves discovery while an answer runs on.
func TestReloadsOnSIGHUP(t *testing.T) {
	writing, finish := make(chan struct{}, 9), make(chan struct{})
	list := engines(t, func() {
		writing <- struct{}{}
		<-finish
	})
	asked := make(chan struct{}, 9)
	moved := serve(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
		}
		io.WriteString(w, list)
	})
	path := write(t, "config.json", configuration(discovery(t, list), "null"))
	logs, log := io.Pipe()
	cmd, listen, _ := startWith(t, path, "", log)
	lines := bufio.NewScanner(logs)
	hup := func(config, want string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for lines.Scan() {
			if strings.Contains(lines.Text(), want) {
				return
			}
		}
		t.Fatalf("it ended without a word of %q", want)
	}
	r := order(t, listen)
	<-writing
	hup(strings.Replace(configuration(moved, "null"), `"seed":"`, `"seed":"x`, 1), "config: seed")
	if len(asked) > 0 {
		t.Error("a faulty file moved discovery")
	}
	hup(configuration(moved, "null"), "discovery: moved")
	<-asked
	go io.Copy(io.Discard, logs)
	close(finish)
	if body, err := io.ReadAll(r.Body); r.StatusCode != 200 || string(body) != answer || err != nil {
		t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

func TestBadConfigurationEndsItNamingTheKey(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s}`, settings)
	tests := []struct{ old, new, operator, key string }{
		{`"effect":"pure"`, `"effect":"odd"`, "", "lanes[0].effect"},
		{`"name":"n"`, `"limits":{"sockets":3},"name":"n"`, "", "limits.sockets"},
		{`"name":"n"`, `"mgmt":"nowhere","name":"n"`, "", "mgmt"},
		{"", "", "[grpc]\nlisten = 7", "grpc.listen"},
		{"", "", "[grpc]\nlisten = \"127.0.0.1:0\"\n", "grpc.boxes"},
		{"", "", "[grpc]\nlistn = \"127.0.0.1:0\"\n", "grpc.listn"},
	}
	for _, tt := range tests {
		cmd := exec.Command(program)
		cmd.Env = []string{"ROUTER_CONFIG=" + write(t, "c", strings.Replace(good, tt.old, tt.new, 1))}
		if tt.operator != "" {
			cmd.Env = append(cmd.Env, "ASHWOOD_OPERATOR="+write(t, "o", tt.operator))
		}
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), tt.key) {
			t.Errorf("%s: %v, %s", tt.key, err, out)
		}
	}
}

// An operator's limits hold at the platform's front: of what is beyond them,
// clients hear at once, with a time to return.
func TestOperatorsLimits(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	list := engines(t, func() {
		close(begun)
		<-end
	})
	_, listen, _ := start(t, `{"name":"n","listen":"127.0.0.1:0","discovery":"`+discovery(t, list)+`","known":`+list+`,"settings":`+settings+`}`,
		"[limits]\nin_flight = 1\n")
	ask := func(id string) *http.Response {
		req, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range map[string]string{"X-Txn": id, "X-Lane": "case-chat", "X-Remaining": "9.000", "X-Labels": "prompt_len=64"} {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	first := ask("a1")
	<-begun
	second := ask("a2")
	second.Body.Close()
	if second.StatusCode != http.StatusServiceUnavailable || second.Header.Get("Retry-After") == "" {
		t.Errorf("beyond the limit: %d, %v", second.StatusCode, second.Header)
	}
	close(end)
	if body, err := io.ReadAll(first.Body); string(body) != answer || err != nil {
		t.Errorf("%q, %v", body, err)
	}
	first.Body.Close()
}
