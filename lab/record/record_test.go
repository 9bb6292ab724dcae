package record

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func testRecording(shift float64, refused int) *Recording {
	b := NewBuilder()
	for i := range 1000 {
		b.AddAnswer("case-chat", float64(i)*20, Served, float64(i)+1+shift)
		b.AddEnd("case-chat", float64(i)*20, 2000)
	}
	for i := range refused {
		b.AddAnswer("case-chat", float64(i), Refused, 0)
	}
	return b.Recording("day", "test")
}

func TestCompare_Distance(t *testing.T) {
	for _, c := range []struct {
		b              *Recording
		first, refused float64
	}{
		{testRecording(0, 0), 0, 0}, {testRecording(250, 0), 0.25, 0}, {testRecording(5000, 0), 1, 0}, {testRecording(0, 1000), 0, 0.5},
	} {
		d := Compare(testRecording(0, 0), c.b)
		got := d.Classes[0]
		if math.Abs(got.First-c.first) > 0.02 || math.Abs(got.Refused-c.refused) > 1e-9 || got.Total != 0 {
			t.Errorf("%+v, want first %v, refused %v", got, c.first, c.refused)
		}
		if reverse := Compare(c.b, testRecording(0, 0)); math.Abs(reverse.Max-d.Max) > 1e-9 {
			t.Errorf("distance %v, in reverse %v", d.Max, reverse.Max)
		}
	}
	if d := Compare(testRecording(0, 0), NewBuilder().Recording("", "")); d.Max != 1 {
		t.Errorf("a class missing in one recording: %+v, want distance 1", d)
	}
}

func TestRead_RoundTripAndErrors(t *testing.T) {
	want := testRecording(3, 7)
	var text bytes.Buffer
	if err := want.Write(&text); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, c := range []struct {
		text string
		want error
	}{
		{"{", ErrFormat}, {`{"version":1,"odd":2}`, ErrFormat}, {`{"version":9}`, ErrVersion},
		{`{"version":1,"classes":[{"name":"x","first_ms":{"n":3,"at":[1]},"total_ms":{"n":0}}]}`, ErrFormat},
	} {
		if _, err := Read(strings.NewReader(c.text)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

func TestFromLogs(t *testing.T) {
	line := func(s, rest string) string {
		return fmt.Sprintf("[0.3] time=2026-12-01T17:18:%sZ level=DEBUG %s\n", s, rest)
	}
	a := line("05.050", "msg=answer id=x class=case-chat kind=served ms=50 err=<nil>") + line("06.000", "msg=end id=x class=case-chat status=1 ms=1000") +
		"something else\n" + line("07.000", "msg=answer id=y class=send-order kind=refused ms=4 err=<nil>")
	b := line("12.000", "msg=answer id=z class=case-chat kind=served ms=100 err=<nil>") + line("13.000", "msg=end id=z class=case-chat status=6 ms=1100")
	r, err := FromLogs("day", "test", strings.NewReader(a), strings.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	chat := r.Classes[0]
	if len(chat.Windows) != 2 || chat.Windows[0].Served != 1 || chat.Windows[1].Failed != 1 || chat.Windows[1].Offered != 1 {
		t.Errorf("%+v", chat.Windows)
	}
	if chat.First.N != 2 || chat.Total.N != 1 || math.Abs(chat.Total.At[50]-1000) > 1 || r.Classes[1].Windows[0].Refused != 1 {
		t.Errorf("%+v", r.Classes)
	}
	if _, err := FromLogs("day", "test", strings.NewReader("nothing\n")); !errors.Is(err, ErrFormat) {
		t.Error(err)
	}
}
