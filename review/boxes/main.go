// Command boxes plays gRPC clients and model boxes against a gateway that the calling script starts, and
// counts how often each payout was run. It belongs to the review's cases and is not part of the gateway.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"google.golang.org/grpc"

	"ashwood.example/ashwood/ashwoodpb"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	dir := flag.String("dir", "", "temporary folder")
	recordPath := flag.String("record", "record.txt", "file for the record")
	failing := flag.Bool("failing", false, "one of the writers fails half of its calls, after it has run them")
	bad := flag.Bool("bad", false, "1,600 calls are begun by clients that never finish them")
	payouts := flag.Int("payouts", 120, "number of payouts that clients ask for")
	flag.Parse()
	code, err := play(*dir, *recordPath, *failing, *bad, *payouts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "boxes:", err)
		os.Exit(exitNotRun)
	}
	os.Exit(code)
}

func play(dir, recordPath string, failing, bad bool, payouts int) (int, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return exitNotRun, err
	}
	defer rec.file.Close()
	w := &world{rec: rec, runs: map[string]int{}, states: map[string]bool{}, reading: map[string]bool{}}
	var boxes []string
	for i, kind := range []string{"reader", "reader", "reader", "writer", "writer", "writer", "writer", "writer"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return exitNotRun, err
		}
		id := fmt.Sprintf("box-%d", i+1)
		server := grpc.NewServer()
		ashwoodpb.RegisterBoxServer(server, &box{world: w, id: id, fails: failing && i == 7})
		go server.Serve(l)
		boxes = append(boxes, fmt.Sprintf("[[grpc.boxes]]\nid = %q\naddress = %q\nkind = %q\nzone = \"north\"\ncell = 0\n", id, l.Addr(), kind))
	}
	var free []net.Listener
	var ports [3]string // clients of the platform, gRPC clients, discovery
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return exitNotRun, err
		}
		ports[i] = l.Addr().String()
		if i < 2 {
			free = append(free, l)
			continue
		}
		go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("from") != "" {
				select {
				case <-time.After(2 * time.Second):
				case <-r.Context().Done():
				}
			}
			fmt.Fprint(rw, `{"generation":1,"reset":true,"instances":[]}`)
		}))
	}
	for _, l := range free {
		l.Close()
	}
	operator := fmt.Sprintf("[grpc]\nlisten = %q\n%s", ports[1], strings.Join(boxes, ""))
	for name, text := range map[string]string{"operator.toml": operator, "gateway-0.json": configuration(ports[0], ports[2])} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return exitNotRun, err
		}
	}
	return w.run(dir, ports[1], bad, payouts)
}

// configuration returns the gateway's configuration: one gateway, three classes, prefill and decode boxes.
func configuration(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"settings":{"siblings":1,"my_number":0,"locality":"north","localities":["north"],"kinds":["reader","writer"],"discovery":"automatic",
"lanes":[
{"name":"rate-check","aim":800,"deadline":4000,"worth":2,"effect":"pure"},
{"name":"case-chat","aim":3000,"deadline":15000,"worth":2,"effect":"pure"},
{"name":"send-order","aim":1200,"deadline":6000,"worth":5,"effect":"side_effect"}],
"family_info":{"early_pairing":true,"kind_role":["read","write"],"release":500,"tokens_by_kind":[280000,190000]},
"ceilings":{"attempts_cap":6,"cancel":true,"probes":true,"second_copies":false,"retry_after":true,"max_retry_after":500,
"connect_timeout":250,"conn_idle":15000},
"report":{"how":"inline","fields":["busy_reqs","pending","x0","x1"]}}}`, listen, discovery)
}

// net4 connects to an address.
func net4(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
