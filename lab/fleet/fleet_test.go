package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func writeLogs(t *testing.T, files ...string) string {
	dir := t.TempDir()
	for i, text := range files {
		if err := os.WriteFile(filepath.Join(dir, string(rune('a'+i))+".log"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

const (
	at0  = "0.1 time=2026-01-01T00:00:00.000Z level=DEBUG "
	at1  = "time=2026-01-01T00:00:01.000Z level=DEBUG "
	at2  = "time=2026-01-01T00:00:02.000Z level=DEBUG "
	cold = "1767225600000" // the first line's time
)

// The logs of two gateways are summed up; truncated and foreign lines are counted as skipped.
func TestRead_CountsAllGateways(t *testing.T) {
	dir := writeLogs(t,
		at0+"msg=news engine=r1 kind=prefill zone=a cell=1 state=1 started="+cold+" address=h:1\n"+
			at1+"msg=attempt id=q1 class=c engine=r1 kind=prefill attempt=0 status=9 ms=500 err=<nil>\n"+
			at1+`msg=list from=0 ms=1 err="platform: discovery answered 503"`+"\n"+
			at1+"msg=connect address=h:1 ms=1 err=<nil>\n"+
			"time=2026-01-01T00:00:01.0", // truncated
		at0+"msg=news engine=r1 kind=prefill zone=a cell=1 state=1 started="+cold+" address=h:1\n"+
			at1+"msg=news engine=r1 kind=prefill zone=a cell=1 state=2 started="+cold+" address=h:1\n"+
			"goroutine 7 [running]:\n"+
			at2+"msg=attempt id=q2 class=c engine=r1 kind=prefill attempt=0 status=3 ms=250 err=full\n"+
			at2+"msg=attempt id=q2 class=c engine=r1\n"+ // truncated, with a complete message
			at2+"msg=answer id=q2 class=c kind=refused ms=260 why=no-room err=<nil>\n"+
			at2+"msg=place id=q2 engine=r1 answer=2\n"+
			at2+"msg=release id=q2 engine=r1 try=0 ms=300 err=timeout\n"+
			at2+"msg=release id=q2 engine=r1 try=1 ms=1 err=<nil>\n"+
			at2+`msg="release given up" id=q3 engine=r1 why="too old" ms=60000`+"\n"+
			at2+"msg=probe engine=r1 kind=prefill status=1 ms=2 report=map[]\n")
	f, err := Read(dir, 12*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := []Counts{
		{}, {"attempt read": 1, "cold send": 1, "list failed": 1, "connect ok": 1},
		{"attempt turned-away": 1, "cold send": 1, "refused no-room": 1, "place refused": 1, "probe served": 1,
			"release failed": 1, "release made": 1, "release repeated": 1, "release given up": 1},
	}
	if diff := cmp.Diff(want, f.Seconds); diff != "" {
		t.Error(diff)
	}
	e := f.Engines["r1"]
	if f.Gateways != 2 || f.Skipped != 3 || len(f.Engines) != 1 || e.MaxLateMs != 750 || e.Counts["connect ok"] != 1 {
		t.Errorf("%d gateways, %d lines skipped (%s), %d engines, %+v", f.Gateways, f.Skipped, f.FirstSkipped, len(f.Engines), e)
	}
	if e.PeakColdSends() != 1 || len(e.ColdSends) != 2 { // sent 1.25 s apart
		t.Errorf("%d sends while cold, %d within a second", len(e.ColdSends), e.PeakColdSends())
	}
	var out strings.Builder
	if err := f.Print(&out); err != nil || !strings.Contains(out.String(), "3 lines could not be read") || !strings.Contains(out.String(), "no-room") {
		t.Errorf("%v:\n%s", err, out.String())
	}
}

func TestRead_NothingToCount(t *testing.T) {
	for what, dir := range map[string]string{
		"holds no *.log": writeLogs(t), "ASHWOOD_LOG=debug": writeLogs(t, "time=2026-01-01T00:00:00Z level=INFO msg=serving\n"),
	} {
		if _, err := Read(dir, 0); !errors.Is(err, ErrEmpty) || !strings.Contains(err.Error(), what) {
			t.Errorf("%v, want %s", err, what)
		}
	}
	if _, err := Read(filepath.Join(writeLogs(t), "none"), 0); !errors.Is(err, ErrEmpty) {
		t.Error(err)
	}
}
