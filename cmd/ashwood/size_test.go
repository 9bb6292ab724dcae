package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
)

// processUsage returns a process's peak memory in MB and its number of open file descriptors.
func processUsage(t *testing.T, pid int) (mb, descriptors int) {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Skipf("no /proc here: %v", err)
	}
	_, peak, _ := strings.Cut(string(raw), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(peak)[0])
	if err != nil {
		t.Fatal(err)
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10, len(fds)
}

// The program starts with 1,024 engines and the settings of 350 or 1,024 gateways, applies a
// delta that replaces six in ten engines, and must serve within small memory and socket limits.
func TestServe_ManyEnginesWithinLimits(t *testing.T) {
	const engineCount, replaced, sockets, memory = 1024, 614, 256, 32
	for _, gateways := range []int{350, 1024} {
		membership := startEngines(t, func() {})
		_, prefillAddr, _ := strings.Cut(membership, `"hostPort":"`)
		prefillAddr, _, _ = strings.Cut(prefillAddr, `"`)
		_, decodeAddr, _ := strings.Cut(membership, `"w","hostPort":"`)
		decodeAddr, _, _ = strings.Cut(decodeAddr, `"`)
		entry := func(i int, id, lifecycle string) string {
			addr, kind := prefillAddr, "prefill"
			if i%2 == 1 {
				addr, kind = decodeAddr, "decode"
			}
			return strings.Replace(instanceJSON(id, addr, kind), `"up"`, fmt.Sprintf("%q", lifecycle), 1)
		}
		var known, patch []string
		for i := range engineCount {
			known = append(known, entry(i, fmt.Sprint("old", i), "up"))
			if i < replaced {
				patch = append(patch, entry(i, fmt.Sprint("old", i), "removed"), entry(i, fmt.Sprint("new", i), "up"))
			}
		}
		received := make(chan struct{})
		discoveryAddr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Query().Get("from") {
			case "1":
				io.WriteString(w, `{"generation":2,"reset":false,"instances":[`+strings.Join(patch, ",")+`]}`)
			case "2": // asked only after the delta was received
				select {
				case <-received:
				default:
					close(received)
				}
				fallthrough
			default:
				<-r.Context().Done()
			}
		})
		text := configJSON(discoveryAddr, `{"generation":1,"reset":true,"instances":[`+strings.Join(known, ",")+`]}`)
		text = strings.Replace(text, `"siblings":1,"my_number":0`, fmt.Sprintf(`"siblings":%d,"my_number":%d`, gateways, gateways-1), 1)
		text = strings.Replace(text, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memory, sockets), 1)
		cmd, listen, _ := startProgram(t, text, "")
		<-received
		for range 50 {
			response := sendOrder(t, listen)
			if body, err := io.ReadAll(response.Body); response.StatusCode != 200 || string(body) != fullAnswer || err != nil {
				t.Fatalf("%d gateways: %s, %q, %v", gateways, response.Status, body, err)
			}
		}
		if mb, n := processUsage(t, cmd.Process.Pid); mb > memory || n > sockets {
			t.Errorf("%d gateways: %d of %d MB, %d of %d descriptors", gateways, mb, memory, n, sockets)
		} else {
			t.Logf("%d gateways, %d engines: %d MB, %d descriptors", gateways, engineCount, mb, n)
		}
	}
}

// All engines of the configured membership may be gone. The program must serve with the
// membership that discovery sends; requests before that get an answer that allows a retry.
func TestServe_KnownEnginesAllGone(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	var known []string
	for i := range 60 {
		known = append(known, instanceJSON(fmt.Sprint("gone", i), addr, []string{"prefill", "decode"}[i%2]))
	}
	sendMembership, received := make(chan struct{}), make(chan struct{}, 9)
	membership := startEngines(t, func() {})
	discoveryAddr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "3" { // asked only after the new membership was received
			received <- struct{}{}
			<-r.Context().Done()
		}
		<-sendMembership
		io.WriteString(w, membership)
	})
	_, listen, _ := startProgram(t, configJSON(discoveryAddr, `{"generation":1,"reset":true,"instances":[`+strings.Join(known, ",")+`]}`), "")
	if r := sendOrder(t, listen); r.StatusCode != 503 && r.StatusCode != 429 || r.Header.Get("Retry-After") == "" {
		t.Errorf("before the new membership: %s, %v", r.Status, r.Header)
	}
	close(sendMembership)
	<-received
	response := sendOrder(t, listen)
	if body, err := io.ReadAll(response.Body); response.StatusCode != 200 || string(body) != fullAnswer || err != nil {
		t.Errorf("with the new membership: %s, %q, %v", response.Status, body, err)
	}
}
