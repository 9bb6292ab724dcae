package router

import (
	"context"
	"errors"
	"io"
	"testing"

	"ashwood.example/ashwood/gateway"
)

// Move hands the answer over, as a stream of package platform does.
func (p *scriptedStream) Move(transfer func(gateway.Live) error) error {
	return transfer(gateway.Live{})
}

// An answer that is handed over to another process is counted only there; one whose handover
// failed stays and is counted here. An adopted answer has started, so EndUnanswered must not
// end it.
func TestHandover_CountedWhereAnswerEnds(t *testing.T) {
	first, second := newFakeFleet(), newFakeFleet()
	older, newer := startRouter(t, first, Config{LastKnownEngines: testEngines}), startRouter(t, second, Config{LastKnownEngines: testEngines})
	ctx := context.Background()
	serve := func(id string) gateway.Stream {
		reply, err := older.Serve(ctx, &gateway.Request{Call: newRequest(id, "order").Call})
		if err != nil || reply.Kind != gateway.Served {
			t.Fatal(reply, err)
		}
		return reply.Stream
	}
	var live gateway.Live
	moved := serve("gone")
	if err := moved.(gateway.Movable).Move(func(v gateway.Live) error { live = v; return nil }); err != nil {
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
	if err := kept.(gateway.Movable).Move(func(gateway.Live) error { return errNoTaker }); !errors.Is(err, errNoTaker) {
		t.Errorf("failed handover: error %v", err)
	}
	kept.Close() // before the end of the answer
	checkMetrics(t, older, map[string]string{"app.faulted.order": "1|c", "app.open_requests": "0|g"})
}
