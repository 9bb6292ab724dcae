package reqlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

func TestWrite_FieldsPhaseAndBounds(t *testing.T) {
	var out bytes.Buffer
	phase := "serving"
	log := WithPhase(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})), func() string { return phase })
	phase = "stopping"
	Write(log, Change{ID: strings.Repeat("a", 500), Class: "order", State: Sent, Attempt: 2, Engine: "w", Remaining: 40, Reason: "retry"}, slog.Int("n", 7))
	for _, want := range []string{"msg=request", "id=" + strings.Repeat("a", maxField) + " ", "class=order", "state=sent",
		"attempt=2", "engine=w", "left_ms=40", "reason=retry", "n=7", "phase=stopping"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in %s", want, out.String())
		}
	}
	out.Reset()
	quiet := slog.New(slog.NewTextHandler(&out, nil))
	if Write(quiet, Change{ID: "a", State: Read}); out.Len() > 0 {
		t.Errorf("written with debug off: %s", out.String())
	}
}
