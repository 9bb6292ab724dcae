package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
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

// TestMain builds the program, which the tests start and call over sockets.
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

// startHTTPServer starts an HTTP server and returns its address.
func startHTTPServer(t *testing.T, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func writeTempFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// servingLine matches the record that the program logs once it serves. It contains the
// addresses, because the program picks free ports itself.
var servingLine = regexp.MustCompile(`msg=serving name=n (?:grpc=(\S+) )?listen=(\S+)`)

// startProgram starts the program, waits until it serves, and returns its addresses.
func startProgram(t *testing.T, config, operator string) (cmd *exec.Cmd, listen, front string) {
	return startProgramWithLog(t, writeTempFile(t, "config.json", config), operator, io.Discard)
}

// startProgramWithLog is startProgram with a configuration file; the log goes to log from the
// time when the program serves.
func startProgramWithLog(t *testing.T, path, operator string, log io.Writer) (cmd *exec.Cmd, listen, front string) {
	t.Helper()
	cmd = exec.Command(program)
	cmd.Env = []string{"ROUTER_CONFIG=" + path}
	if operator != "" {
		cmd.Env = append(cmd.Env, "ASHWOOD_OPERATOR="+writeTempFile(t, "operator.toml", operator))
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
	t.Fatalf("the program exited before it served: %v", cmd.Wait())
	return nil, "", ""
}

// startDiscovery starts a discovery service that answers calls with the membership and never
// answers watches.
func startDiscovery(t *testing.T, membership string) string {
	return startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, membership)
	})
}

func instanceJSON(id, addr, kind string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":%q,"cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}`, id, addr, kind)
}

// startEngines starts a prefill and a decode engine and returns discovery's membership of them.
// The decode engine calls midway in the middle of each answer.
func startEngines(t *testing.T, midway func()) (membership string) {
	return startEnginesWith(t, func(*http.Request) {}, midway)
}

// startEnginesWith is startEngines; the prefill engine calls prefilling for each prompt.
func startEnginesWith(t *testing.T, prefilling func(*http.Request), midway func()) (membership string) {
	prefill := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		prefilling(r)
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	})
	decode := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/bootstrap/") {
			w.WriteHeader(http.StatusConflict)
			return
		}
		io.WriteString(w, "data: one\n\n")
		w.(http.Flusher).Flush()
		midway()
		io.WriteString(w, "data: [DONE]\n\n")
	})
	return `{"generation":3,"reset":true,"instances":[` + instanceJSON("r", prefill, "prefill") + "," + instanceJSON("w", decode, "decode") + `]}`
}

const fullAnswer = "data: one\n\ndata: [DONE]\n\n"

// sendOrder sends an order and returns once the answer has started.
func sendOrder(t *testing.T, listen string) *http.Response {
	t.Helper()
	return sendOrderWith(t, http.DefaultClient, listen)
}

func sendOrderWith(t *testing.T, client *http.Client, listen string) *http.Response {
	t.Helper()
	r, err := client.Do(newOrder(t, listen))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Body.Close() })
	return r
}

func newOrder(t *testing.T, listen string) *http.Request {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Txn": fmt.Sprintf("%x", rand.Uint64()), "X-Lane": "send-order", "X-Remaining": "15.0", "X-Labels": "prompt_len=64,max_out=9"} {
		req.Header.Set(k, v)
	}
	return req
}

func configJSON(discovery, known string) string {
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","known":%s,
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, discovery, known, settings)
}

// Discovery may be silent from the start; the configured membership must be enough to serve.
func TestServe_DiscoverySilent(t *testing.T) {
	silent := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, listen, _ := startProgram(t, configJSON(silent, startEngines(t, func() {})), "")
	response := sendOrder(t, listen)
	if body, err := io.ReadAll(response.Body); response.StatusCode != 200 || string(body) != fullAnswer || err != nil {
		t.Errorf("%s, %q, %v", response.Status, body, err)
	}
}

func TestShutdown_AnswerInProgress(t *testing.T) {
	writing, finish := make(chan struct{}), make(chan struct{})
	cmd, listen, _ := startProgram(t, configJSON(startDiscovery(t, startEngines(t, func() {
		close(writing)
		<-finish
	})), "null"), "")
	if r, err := http.Get("http://" + listen + "/-/ready"); err != nil || r.StatusCode != 200 {
		t.Fatalf("%v, %v", r, err)
	}
	response := sendOrder(t, listen)
	<-writing
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(finish)
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != 200 || string(body) != fullAnswer || err != nil {
		t.Errorf("%s, %q, %v", response.Status, body, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// An unhandled SIGHUP would end the program. A faulty file must be reported and change nothing;
// a valid one must change discovery's address while an answer continues.
func TestReload_FaultyThenValidFile(t *testing.T) {
	writing, finish := make(chan struct{}, 9), make(chan struct{})
	membership := startEngines(t, func() {
		writing <- struct{}{}
		<-finish
	})
	called := make(chan struct{}, 9)
	newDiscovery := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
		}
		io.WriteString(w, membership)
	})
	path := writeTempFile(t, "config.json", configJSON(startDiscovery(t, membership), "null"))
	logs, log := io.Pipe()
	cmd, listen, _ := startProgramWithLog(t, path, "", log)
	lines := bufio.NewScanner(logs)
	reloadWith := func(config, want string) {
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
		t.Fatalf("the program exited without logging %q", want)
	}
	response := sendOrder(t, listen)
	<-writing
	reloadWith(strings.Replace(configJSON(newDiscovery, "null"), `"seed":"`, `"seed":"x`, 1), "config: seed")
	if len(called) > 0 {
		t.Error("a faulty file changed discovery's address")
	}
	reloadWith(configJSON(newDiscovery, "null"), "discovery: moved")
	<-called
	go io.Copy(io.Discard, logs)
	close(finish)
	if body, err := io.ReadAll(response.Body); response.StatusCode != 200 || string(body) != fullAnswer || err != nil {
		t.Errorf("%s, %q, %v", response.Status, body, err)
	}
}

func TestStart_FaultyConfiguration(t *testing.T) {
	validConfig := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s}`, settings)
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
		cmd.Env = []string{"ROUTER_CONFIG=" + writeTempFile(t, "c", strings.Replace(validConfig, tt.old, tt.new, 1))}
		if tt.operator != "" {
			cmd.Env = append(cmd.Env, "ASHWOOD_OPERATOR="+writeTempFile(t, "o", tt.operator))
		}
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), tt.key) {
			t.Errorf("%s: %v, %s", tt.key, err, out)
		}
	}
}

// An operator's limits must apply to the platform's front: requests beyond them are refused at
// once, with a Retry-After.
func TestOperatorLimits_InFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	membership := startEngines(t, func() {
		close(started)
		<-finish
	})
	_, listen, _ := startProgram(t, `{"name":"n","listen":"127.0.0.1:0","discovery":"`+startDiscovery(t, membership)+`","known":`+membership+`,"settings":`+settings+`}`,
		"[limits]\nin_flight = 1\n")
	send := func(id string) *http.Response {
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
	first := send("a1")
	<-started
	second := send("a2")
	second.Body.Close()
	if second.StatusCode != http.StatusServiceUnavailable || second.Header.Get("Retry-After") == "" {
		t.Errorf("beyond the limit: %d, %v", second.StatusCode, second.Header)
	}
	close(finish)
	if body, err := io.ReadAll(first.Body); string(body) != fullAnswer || err != nil {
		t.Errorf("%q, %v", body, err)
	}
	first.Body.Close()
}
