// Command 6 plays a model box that fails orders over gRPC after it has begun to run them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/review/standin"
)

const (
	orders  = 60
	perSec  = 5
	retries = 2 // of a client
	patient = 6 * time.Second
)

func main() { os.Exit(play(standin.NewRecord(os.Args[1]))) }

// errMemory is the error of a box whose memory has run out under a call that runs.
func errMemory() error {
	st, err := status.New(codes.ResourceExhausted, "out of memory").WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(200 * time.Millisecond)})
	if err != nil {
		return err
	}
	return st.Err()
}

func play(record *standin.Record) int {
	var mu sync.Mutex
	ran := map[string][]string{} // the ids under which an order has run, by order
	runs := func(box string, fails bool) func(id string) error {
		return func(id string) error {
			order := id[:8]
			mu.Lock()
			ran[order] = append(ran[order], id)
			all := ran[order]
			mu.Unlock()
			record.Log("%s runs order %s as %s", box, order, id)
			if len(all) > 1 {
				record.Broken("send-order %s has run %d times: %v", order, len(all), all)
			}
			if fails && standin.Trouble() {
				record.Log("%s fails %s: out of memory; it has not said that it turned it away", box, id)
				return errMemory()
			}
			return nil
		}
	}
	states, listen := &standin.BoxStates{}, standin.FreeAddress()
	operator := fmt.Sprintf("[grpc]\nlisten = %q\n", listen)
	for i := range 8 { // of which one fails
		id, kind := fmt.Sprintf("box-%d", i+1), "decode-a"
		cfg := standin.BoxConfig{ID: id, AtOnce: 60, More: 10, Gap: 30 * time.Millisecond, Tokens: 20, Fail: runs(id, i == 7)}
		if i < 3 {
			cfg, kind = standin.BoxConfig{ID: id, AtOnce: 8, More: 20, ReadTime: 80 * time.Millisecond}, "prefill"
		}
		cfg.Arrived = func(method, request string) { record.Log("%s got %s %s", id, method, request) }
		box, err := standin.StartBox(cfg, states)
		if err != nil {
			return standin.NotRun(err)
		}
		operator += fmt.Sprintf("[[grpc.boxes]]\nid = %q\naddress = %q\nkind = %q\nzone = \"glenorchy\"\n", id, box.Addr, kind)
	}
	discovery, err := standin.StartDiscovery(nil)
	if err != nil {
		return standin.NotRun(err)
	}
	gateway, err := standin.StartGateway(standin.GatewayConfig{
		Discovery: discovery.Addr, MemoryMB: 192, Sockets: 1024, Settings: standin.Settings(1), Operator: operator,
	})
	if err != nil {
		return standin.NotRun(err)
	}
	defer gateway.Stop()
	cc, err := grpc.NewClient("passthrough:///"+listen, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return standin.NotRun(err)
	}
	defer cc.Close()
	var clients sync.WaitGroup
	whole, begun := 0, time.Now()
	for i := range orders {
		clients.Go(func() {
			if order(record, ashwoodpb.NewInferenceClient(cc), fmt.Sprintf("%08x", 0x6000+i)) {
				mu.Lock()
				defer mu.Unlock()
				whole++
			}
		})
		time.Sleep(time.Until(begun.Add(time.Second / perSec * time.Duration(i+1))))
	}
	clients.Wait()
	record.Log("%d whole answers", whole)
	if whole == 0 {
		return standin.NotRun(errors.New("no request was answered"))
	}
	return record.Finish()
}

// order sends an order, and again while it is refused: only then does that no harm.
func order(record *standin.Record, client ashwoodpb.InferenceClient, name string) bool {
	for try := range retries + 1 {
		id := fmt.Sprintf("%s%08x", name, try)
		tokens, err := generate(client, id)
		record.Log("client %s: %d tokens, %v", id, tokens, err)
		wait, refused := refusal(err)
		if tokens > 0 || !refused {
			return err == nil
		}
		record.Log("client %s: refused, again after %v", id, wait)
		time.Sleep(wait)
	}
	return false
}

// refusal reports whether an error says, in the words of ashwood.proto, that trying again does no harm: the codes
// RESOURCE_EXHAUSTED or UNAVAILABLE and google.rpc.RetryInfo.
func refusal(err error) (wait time.Duration, refused bool) {
	st := status.Convert(err)
	if st.Code() != codes.ResourceExhausted && st.Code() != codes.Unavailable {
		return 0, false
	}
	for _, detail := range st.Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			return info.GetRetryDelay().AsDuration(), true
		}
	}
	return 0, false
}

// generate makes a call and returns how many tokens came.
func generate(client ashwoodpb.InferenceClient, id string) (tokens int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patient)
	defer cancel()
	answer, err := client.Generate(ctx, &ashwoodpb.GenerateRequest{
		RequestId: id, Class: "send-order", Session: "s" + id[:8], Prefix: "p1", PromptTokens: 1500, PrefixTokens: 1000, MaxTokens: 60,
		FirstTokenMs: uint32(patient.Milliseconds()), Prompt: []byte("text"),
	})
	for err == nil {
		if _, err = answer.Recv(); err == nil {
			tokens++
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return tokens, err
}
