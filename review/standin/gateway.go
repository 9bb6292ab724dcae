package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object map[string]any

// FreeAddress returns a loopback address whose port was free just now.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	defer l.Close()
	return l.Addr().String()
}

// Settings returns the settings of a small deployment, with the classes and figures of hobart-remit.
func Settings(gateways int) Object {
	class := func(name string, aim, deadline, worth float64, effect string) Object {
		return Object{"name": name, "aim": aim, "deadline": deadline, "worth": worth, "late_share": 0.2, "effect": effect, "group": "all", "memory_span": 5000, "stream": true}
	}
	return Object{
		"siblings": gateways, "my_number": 0, "locality": "glenorchy", "localities": []string{"cambridge", "glenorchy", "kingston"},
		"kinds": []string{"prefill", "decode-a"}, "discovery": "automatic",
		"lanes": []Object{
			class("rate-check", 800, 4000, 2, "pure"), class("case-chat", 3000, 15000, 2, "pure"), class("send-order", 1200, 6000, 5, "side_effect"),
		},
		"family_info": Object{
			"early_pairing": true, "kind_role": []string{"read", "write"}, "release": 500, "tokens_by_kind": []float64{250000, 180000},
			"aim_us_per_1000_prompt_tokens": []float64{60000, 40000, 40000}, "token_aim": []float64{50, 80, 60}, "resume": false, "writers_read": false,
		},
		"ceilings": Object{
			"attempts_cap": 6, "cancel": true, "probes": true, "retry_after": true, "max_retry_after": 500, "connect_timeout": 250, "conn_idle": 15000, "second_copies": false,
		},
		"obligations": Object{
			"answer_slack": 16, "ask_every": 10000, "drain_grace": 1000, "fall": 1000, "fall_multiple": 2.5, "start_capacity": 0.31, "warm_within": 12000,
		},
		"report": Object{"how": "inline", "fields": []string{"busy_reqs", "pending", "x0", "x1"}},
	}
}

// Gateway is a process of the project's program, started as the deploy file says.
type Gateway struct {
	Listen  string
	command *exec.Cmd
	dir     string
	exited  chan struct{}
}

// GatewayConfig is what a gateway is told.
type GatewayConfig struct {
	Discovery string
	MemoryMB  int
	Sockets   int
	Settings  Object
	Operator  string // the text of an operator's file; "" = none
}

// StartGateway starts a gateway and waits until it is ready.
func StartGateway(cfg GatewayConfig) (*Gateway, error) {
	dir, err := os.MkdirTemp("", "ashwood-review-")
	if err != nil {
		return nil, err
	}
	g := &Gateway{Listen: FreeAddress(), dir: dir, exited: make(chan struct{})}
	raw, err := json.Marshal(Object{
		"name": "n1", "listen": g.Listen, "discovery": cfg.Discovery, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets}, "settings": cfg.Settings,
	})
	if err != nil {
		return nil, err
	}
	config, private := filepath.Join(dir, "config.json"), filepath.Join(dir, "tmp")
	if err := errors.Join(os.WriteFile(config, raw, 0o600), os.Mkdir(private, 0o700)); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	g.command = exec.Command("/bin/sh", "-c", "exec bin/ashwood")
	g.command.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+private)
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		g.command.Env = append(g.command.Env, "ASHWOOD_LOG="+level)
	}
	if cfg.Operator != "" {
		operator := filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(operator, []byte(cfg.Operator), 0o600); err != nil {
			return nil, err
		}
		g.command.Env = append(g.command.Env, "ASHWOOD_OPERATOR="+operator)
	}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.command.Wait()
		log.Close()
		close(g.exited)
	}()
	go g.endEarly()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		if response, err := client.Get("http://" + g.Listen + "/-/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return g, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.Stop()
	return nil, errors.New("the gateway was not ready within 10 s")
}

// longest is how long a case may run.
const longest = 115 * time.Second

// endEarly ends the case, and the gateway with it, if the case is told to end or takes too long.
func (g *Gateway) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-g.exited:
		return
	case <-signals:
	case <-time.After(longest):
	}
	g.Kill()
	<-g.exited
	os.RemoveAll(g.dir)
	fmt.Println("the case was ended early")
	os.Exit(ExitNotRun)
}

// PID returns the gateway's process id.
func (g *Gateway) PID() int { return g.command.Process.Pid }

// Exited reports whether the process has ended.
func (g *Gateway) Exited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// Kill kills the gateway, as the platform does with one that is over its memory.
func (g *Gateway) Kill() { g.command.Process.Signal(syscall.SIGKILL) }

// Stop ends the gateway and removes its folder.
func (g *Gateway) Stop() {
	g.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.exited:
	case <-time.After(3 * time.Second):
		g.Kill()
		<-g.exited
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		os.RemoveAll(g.dir)
	}
}
