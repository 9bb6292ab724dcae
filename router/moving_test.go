package router

import (
	"context"
	"errors"
	"io"
	"testing"

	"ashwood.example/ashwood/gateway"
)

// Move hands the answer over, as a stream of package platform does.
func (p *scriptedStream) HandOver(transfer func(gateway.HandoverState) error) error {
	return transfer(gateway.HandoverState{})
}

// An answer that is handed over to another process is counted only there; one whose handover
// failed stays and is counted here. An adopted answer has started, so EndUnanswered must not
// end it.
func TestHandover_CountedWhereAnswerEnds(t *testing.T) {
	first, second := newFakeFleet(), newFakeFleet()
	older, newer := startRouter(t, first, Config{LastKnownEngines: testEngines}), startRouter(t, second, Config{LastKnownEngines: testEngines})
	ctx := context.Background()
	serve := func(id string) gateway.Stream {
		reply, err := older.Serve(ctx, &gateway.Request{RequestInfo: newRequest(id, "order").RequestInfo})
		if err != nil || reply.Kind != gateway.Served {
			t.Fatal(reply, err)
		}
		return reply.Stream
	}
	var live gateway.HandoverState
	moved := serve("gone")
	if err := moved.(gateway.HandoverStream).HandOver(func(v gateway.HandoverState) error { live = v; return nil }); err != nil {
		t.Fatal(err)
	}
	moved.Close()
	checkMetrics(t, older, map[string]string{"app.fulfilled.order": "0|c", "app.faulted.order": "0|c", "app.open_requests": "0|g"})

	adopted, err := newer.Adopt(ctx, live, func(ctx context.Context, _ gateway.Transport) (gateway.Stream, error) {
		return &scriptedStream{second.pieces, ctx}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	checkMetrics(t, newer, map[string]string{"app.fulfilled.order": "0|c", "app.open_requests": "1|g"})
	newer.EndUnanswered()
	second.pieces <- "data: one\n\n"
	close(second.pieces)
	if piece, err := adopted.Next(); string(piece) != "data: one\n\n" || err != nil {
		t.Errorf("adopted answer: piece %q, error %v", piece, err)
	}
	if _, err := adopted.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of the adopted answer: error %v", err)
	}
	adopted.Close()
	checkMetrics(t, newer, map[string]string{"app.fulfilled.order": "1|c", "app.relayed.order": "0|c", "app.open_requests": "0|g"})

	kept, errNoTaker := serve("stays"), errors.New("no process takes it")
	if err := kept.(gateway.HandoverStream).HandOver(func(gateway.HandoverState) error { return errNoTaker }); !errors.Is(err, errNoTaker) {
		t.Errorf("failed handover: error %v", err)
	}
	kept.Close() // before the end of the answer
	checkMetrics(t, older, map[string]string{"app.faulted.order": "1|c", "app.open_requests": "0|g"})
}
