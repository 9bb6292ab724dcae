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

// resident is a process's memory in MB at its highest, and its descriptors now.
func resident(t *testing.T, pid int) (mb, descriptors int) {
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

// The program starts with 1,024 engines and the settings of 350 or 1,024 gateways,
// takes a patch that replaces six in ten, serves by it, and keeps to the smaller limits.
func TestServesAThousandEnginesWithinItsLimits(t *testing.T) {
	const engineCount, replaced, sockets, memory = 1024, 614, 256, 32
	for _, gateways := range []int{350, 1024} {
		list := engines(t, func() {})
		_, reader, _ := strings.Cut(list, `"hostPort":"`)
		reader, _, _ = strings.Cut(reader, `"`)
		_, writer, _ := strings.Cut(list, `"w","hostPort":"`)
		writer, _, _ = strings.Cut(writer, `"`)
		entry := func(i int, id, lifecycle string) string {
			addr, kind := reader, "prefill"
			if i%2 == 1 {
				addr, kind = writer, "decode"
			}
			return strings.Replace(instance(id, addr, kind), `"up"`, fmt.Sprintf("%q", lifecycle), 1)
		}
		var known, patch []string
		for i := range engineCount {
			known = append(known, entry(i, fmt.Sprint("old", i), "up"))
			if i < replaced {
				patch = append(patch, entry(i, fmt.Sprint("old", i), "removed"), entry(i, fmt.Sprint("new", i), "up"))
			}
		}
		taken := make(chan struct{})
		lists := serve(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Query().Get("from") {
			case "1":
				io.WriteString(w, `{"generation":2,"reset":false,"instances":[`+strings.Join(patch, ",")+`]}`)
			case "2": // asked only with the patch in hand
				select {
				case <-taken:
				default:
					close(taken)
				}
				fallthrough
			default:
				<-r.Context().Done()
			}
		})
		text := configuration(lists, `{"generation":1,"reset":true,"instances":[`+strings.Join(known, ",")+`]}`)
		text = strings.Replace(text, `"siblings":1,"my_number":0`, fmt.Sprintf(`"siblings":%d,"my_number":%d`, gateways, gateways-1), 1)
		text = strings.Replace(text, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memory, sockets), 1)
		cmd, listen, _ := start(t, text, "")
		<-taken
		for range 50 {
			r := order(t, listen)
			if body, err := io.ReadAll(r.Body); r.StatusCode != 200 || string(body) != answer || err != nil {
				t.Fatalf("%d gateways: %s, %q, %v", gateways, r.Status, body, err)
			}
		}
		if mb, n := resident(t, cmd.Process.Pid); mb > memory || n > sockets {
			t.Errorf("%d gateways: %d of %d MB, %d of %d descriptors", gateways, mb, memory, n, sockets)
		} else {
			t.Logf("%d gateways, %d engines: %d MB, %d descriptors", gateways, engineCount, mb, n)
		}
	}
}

// The list in the configuration may be of engines that are all gone. The program serves
// by what discovery tells, and what came before it gets an answer that allows another try.
func TestKnownEnginesAreAllGone(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	var known []string
	for i := range 60 {
		known = append(known, instance(fmt.Sprint("gone", i), addr, []string{"prefill", "decode"}[i%2]))
	}
	told, taken := make(chan struct{}), make(chan struct{}, 9)
	list := engines(t, func() {})
	lists := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "3" { // asked only with the new list in hand
			taken <- struct{}{}
			<-r.Context().Done()
		}
		<-told
		io.WriteString(w, list)
	})
	_, listen, _ := start(t, configuration(lists, `{"generation":1,"reset":true,"instances":[`+strings.Join(known, ",")+`]}`), "")
	if r := order(t, listen); r.StatusCode != 503 && r.StatusCode != 429 || r.Header.Get("Retry-After") == "" {
		t.Errorf("before the list: %s, %v", r.Status, r.Header)
	}
	close(told)
	<-taken
	r := order(t, listen)
	if body, err := io.ReadAll(r.Body); r.StatusCode != 200 || string(body) != answer || err != nil {
		t.Errorf("with the list: %s, %q, %v", r.Status, body, err)
	}
}
