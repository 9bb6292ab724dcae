// Command stand plays clients, engines and discovery against gateways that the calling script
// starts, and judges what it saw. It belongs to the review's cases and is not part of the gateway.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are the parameters of a case.
type options struct {
	dir      string // the case's temporary folder
	record   string // path of record.txt
	gateways int
	seconds  int
	rate     float64
	late     string // which short answers of readers come twice: "", "reads" or "probes"
	pause    time.Duration
	prompt   int
	behind   int    // bytes that some clients send behind a request before they go; 0 = there are none
	rule     string // "foreign", "overlap" or "cut"
}

func main() {
	var o options
	flag.StringVar(&o.dir, "dir", "", "temporary folder")
	flag.StringVar(&o.record, "record", "record.txt", "file for the record")
	flag.IntVar(&o.gateways, "gateways", 3, "number of gateways")
	flag.IntVar(&o.seconds, "seconds", 40, "length of the load")
	flag.Float64Var(&o.rate, "rate", 24, "requests per second")
	flag.StringVar(&o.late, "late", "", "readers' answers of which one in five comes twice: reads or probes")
	flag.DurationVar(&o.pause, "pause", 0, "silence of a writer within one event, in one of five answers")
	flag.IntVar(&o.prompt, "prompt", 1600, "mean prompt length in tokens")
	flag.IntVar(&o.behind, "behind", 0, "bytes that some clients send behind a request before they go")
	flag.StringVar(&o.rule, "rule", "", "rule to judge: foreign, overlap or cut")
	flag.Parse()
	code, err := play(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(exitNotRun)
	}
	os.Exit(code)
}

// play runs one case and returns its exit code.
func play(o options) (int, error) {
	rec, err := newRecord(o.record)
	if err != nil {
		return exitNotRun, err
	}
	defer rec.close()
	w := newWorld(rec, o)
	if err := w.startEngines(); err != nil {
		return exitNotRun, err
	}
	discovery, err := startDiscovery(w)
	if err != nil {
		return exitNotRun, err
	}
	listens, err := freeAddresses(o.gateways)
	if err != nil {
		return exitNotRun, err
	}
	for i, listen := range listens {
		path := filepath.Join(o.dir, fmt.Sprintf("gateway-%d.json", i))
		if err := os.WriteFile(path, []byte(configuration(i, o.gateways, listen, discovery, w)), 0o644); err != nil {
			return exitNotRun, err
		}
	}
	// The script starts the gateways once this file is there.
	if err := os.WriteFile(filepath.Join(o.dir, "configured"), nil, 0o644); err != nil {
		return exitNotRun, err
	}
	for _, listen := range listens {
		if err := waitReady(listen); err != nil {
			return exitNotRun, err
		}
	}
	if o.behind > 0 {
		go func() {
			for n := 0; ; n++ {
				time.Sleep(500 * time.Millisecond)
				go sendMuchAndGo(w, listens[n%len(listens)])
			}
		}()
	}
	runClients(w, listens)
	return w.judge(), nil
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// waitReady waits until a gateway takes clients.
func waitReady(listen string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + listen + "/-/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the gateway at %s is not ready after 20 s", listen)
}
