package router

import (
	"context"
	"errors"
	"io"
	"testing"

	"ashwood.example/ashwood/gateway"
)

// Move hands a scripted answer over, as the platform's do.
func (p *pieces) HandOver(give func(gateway.HandoverState) error) error {
	return give(gateway.HandoverState{})
}

// An answer that another process goes on with is counted where it ends, and there alone; one
// that could not be handed over stays and counts here. Once taken over it has begun: what
// ends requests that wait does not end it.
func TestAMovedAnswerCountsWhereItEnds(t *testing.T) {
	first, second := newFleet(), newFleet()
	old, young := start(t, first, Config{LastKnownEngines: boxes}), start(t, second, Config{LastKnownEngines: boxes})
	ctx := context.Background()
	serve := func(id string) gateway.Stream {
		reply, err := old.Serve(ctx, &gateway.Request{RequestInfo: request(id, "order").RequestInfo})
		if err != nil || reply.Kind != gateway.Served {
			t.Fatal(reply, err)
		}
		return reply.Stream
	}
	var live gateway.HandoverState
	gone := serve("gone")
	if err := gone.(gateway.HandoverStream).HandOver(func(v gateway.HandoverState) error { live = v; return nil }); err != nil {
		t.Fatal(err)
	}
	gone.Close()
	wantVars(t, old, map[string]string{"app.fulfilled.order": "0|c", "app.faulted.order": "0|c", "app.open_requests": "0|g"})

	s, err := young.Adopt(ctx, live, func(ctx context.Context, _ gateway.Transport) (gateway.Stream, error) {
		return &pieces{second.pieces, ctx}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	wantVars(t, young, map[string]string{"app.fulfilled.order": "0|c", "app.open_requests": "1|g"})
	young.EndUnanswered()
	second.pieces <- "data: one\n\n"
	close(second.pieces)
	if piece, err := s.Next(); string(piece) != "data: one\n\n" || err != nil {
		t.Errorf("%q, %v", piece, err)
	}
	if _, err := s.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("its end: %v", err)
	}
	s.Close()
	wantVars(t, young, map[string]string{"app.fulfilled.order": "1|c", "app.relayed.order": "0|c", "app.open_requests": "0|g"})

	stays, full := serve("stays"), errors.New("nobody takes it")
	if err := stays.(gateway.HandoverStream).HandOver(func(gateway.HandoverState) error { return full }); !errors.Is(err, full) {
		t.Errorf("a move that failed: %v", err)
	}
	stays.Close() // before its end
	wantVars(t, old, map[string]string{"app.faulted.order": "1|c", "app.open_requests": "0|g"})
}
