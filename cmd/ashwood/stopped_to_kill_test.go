package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
)

// Clients of a gateway that is told to end, stopped (SIGSTOP) and killed. All of them write once that counts by the rules.
const (
	idleClient   = "idle"   // on a connection that has brought an answer before SIGTERM
	silentClient = "silent" // on one that came up before SIGTERM and has brought nothing
	lateClient   = "late"   // on one that is opened then
)

// stopToKill is one such end: how many requests of each kind of client were left without an answer or a clean end.
type stopToKill struct {
	stop     time.Duration // from SIGTERM
	handOver bool
	left     map[string]int
}

func (s *stopToKill) String() string {
	return fmt.Sprintf("stopped %4v behind SIGTERM, a newer process: %-5v: unanswered idle %2d of %d, silent %d of %d, late %d of %d",
		s.stop.Milliseconds(), s.handOver, s.left[idleClient], stoppedClients, s.left[silentClient], stoppedClients, s.left[lateClient], stoppedClients)
}

const (
	stoppedClients  = 12                      // of each kind
	stoppedDeadline = 1200                    // ms, of all classes
	stoppedLife     = 1900 * time.Millisecond // from SIGTERM to SIGKILL, by that deadline
	firstWrite      = exemptFor + 50*time.Millisecond
	writeEvery      = 50 * time.Millisecond
)

// play has one process end so.
func (s *stopToKill) play(t *testing.T) {
	site := newSite(t)
	site.deadline = stoppedDeadline
	close(site.step)
	p := site.begin().ready()
	before := map[string][]*raw{}
	for i := range stoppedClients {
		idle := site.raw()
		idle.write(orderText(fmt.Sprint("before-", i)))
		if o := idle.result(time.Now()); o.status != http.StatusOK {
			t.Fatalf("before SIGTERM: %+v", o)
		}
		before[idleClient] = append(before[idleClient], idle)
		before[silentClient] = append(before[silentClient], site.raw())
	}
	if s.handOver {
		site.begin().ready()
		until(t, "the older process yields", func() bool { return p.logged("newer_one_serves=true") })
	}
	if s.stop < 0 {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		<-time.After(-s.stop)
	}
	d := p.stop()
	d.life = stoppedLife
	if s.stop >= 0 {
		time.AfterFunc(time.Until(d.told.Add(s.stop)), func() { p.cmd.Process.Signal(syscall.SIGSTOP) })
	}
	for i := range stoppedClients {
		after := firstWrite + time.Duration(i)*writeEvery
		for kind, list := range before {
			id := fmt.Sprint(kind, "-", i)
			d.at(after, id, list[i], orderText(id))
		}
		d.dialAt(after, fmt.Sprint(lateClient, "-", i))
	}
	s.left = map[string]int{}
	for id, o := range d.kill() {
		if !o.settled() {
			kind, _, _ := strings.Cut(id, "-")
			s.left[kind]++
		}
	}
}

// dialAt has a client connect at a time after SIGTERM and ask at once. One that can't connect has sent nothing.
func (d *shutdown) dialAt(after time.Duration, id string) {
	d.clients.Go(func() {
		<-time.After(time.Until(d.told.Add(after)))
		c, err := net.DialTimeout("tcp", d.process.listen, exemptFor)
		if err != nil {
			d.note(id, outcome{err: err})
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		r := &raw{c.(*net.TCPConn), d.t, bufio.NewReader(c)}
		r.write(orderText(id))
		d.note(id, r.result(time.Now()))
	})
}

// A gateway that is stopped to its kill leaves unanswered what reaches it on whatever it has left open: its listener for longer
// than clients come, and idle connections (soak of silences, seed 905). What is not asserted is logged.
func TestShutdown_StoppedToTheKill(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		for _, ms := range []int{-100, 0, 100, 200, 300, 400, 450, 550} {
			s := &stopToKill{stop: time.Duration(ms) * time.Millisecond, handOver: handOver}
			t.Run(fmt.Sprintf("at %d ms, a newer process %v", ms, handOver), func(t *testing.T) {
				t.Parallel()
				s.play(t)
				t.Log(s)
				if ms >= 200 && s.left[idleClient] > 0 {
					t.Error("idle connections were open")
				}
				if ms >= 450 && s.left[lateClient] > 0 {
					t.Error("the listener was open")
				}
				if ms >= 550 && s.left[silentClient] > 0 {
					t.Error("connections that had brought nothing were open")
				}
			})
		}
	}
}

// The same over gRPC: a call on a channel that is idle.
func TestShutdown_GRPCStoppedToTheKill(t *testing.T) {
	for _, ms := range []int{-100, 0, 100, 200, 300, 400, 450, 550} {
		t.Run(fmt.Sprintf("at %d ms", ms), func(t *testing.T) {
			t.Parallel()
			box := &hangingBox{seen: map[string]int{}, came: make(chan string, 9)}
			cmd, cc := openFront(t, box, "", insecure.NewCredentials())
			cc.Connect()
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			for state := cc.GetState(); state.String() != "READY"; state = cc.GetState() {
				if !cc.WaitForStateChange(ctx, state) {
					t.Fatal("the channel does not come up")
				}
			}
			stop := time.Duration(ms) * time.Millisecond
			if ms < 0 {
				cmd.Process.Signal(syscall.SIGSTOP)
				<-time.After(-stop)
			}
			told := time.Now()
			cmd.Process.Signal(syscall.SIGTERM)
			defer time.AfterFunc(killAfter, func() { cmd.Process.Kill() }).Stop()
			if ms >= 0 {
				time.AfterFunc(time.Until(told.Add(stop)), func() { cmd.Process.Signal(syscall.SIGSTOP) })
			}
			<-time.After(time.Until(told.Add(firstWrite)))
			err := askOverGRPC(ctx, cc)
			neverSent := strings.Contains(status.Convert(err).Message(), "connect")
			t.Logf("stopped %v behind SIGTERM: %v", stop, err)
			if ms >= 450 && !neverSent {
				t.Error("the channel was open")
			}
		})
	}
}

func askOverGRPC(ctx context.Context, cc *grpc.ClientConn) error {
	s, err := cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, ashwoodpb.Inference_Generate_FullMethodName)
	if err != nil {
		return err
	}
	if err := s.SendMsg(&ashwoodpb.GenerateRequest{RequestId: "late", Class: "send-order", PromptTokens: 64}); err != nil {
		return err
	}
	return s.RecvMsg(&ashwoodpb.Token{})
}
