package handover

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func join(t *testing.T, dir, name string, since float64) *Group {
	t.Helper()
	g, err := Join(dir, "127.0.0.1:7070", name, since)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func names(t *testing.T, g *Group) string {
	t.Helper()
	members, err := g.Members()
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, m := range members {
		list = append(list, m.Name+":"+string(m.State))
	}
	return strings.Join(list, " ")
}

// Those that live are seen, oldest first, with how far each has come; a process that has
// ended is not, whether it took its file away or was killed, and neither is what lies
// about: stale files, foreign ones, another address's.
func TestMembersAreThoseThatLive(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir, "a", 10), join(t, dir, "b", 5)
	defer a.Leave()
	other, err := Join(dir, "127.0.0.1:7071", "c", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Leave()
	if err := b.SetState(Serving); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"stale.member": `{"name":"stale","state":"serving"}`, "new-123": "", "x": "y"} {
		if err := os.WriteFile(filepath.Join(a.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if got := names(t, a); got != "b:serving a:starting" {
		t.Errorf("a sees %q", got)
	}
	if _, err := os.Stat(filepath.Join(a.dir, "stale.member")); !os.IsNotExist(err) {
		t.Errorf("the stale file stays: %v", err)
	}
	// One whose file has been spoilt lives all the same.
	if _, err := b.file.WriteAt([]byte("{{{"), 0); err != nil {
		t.Fatal(err)
	}
	if got := names(t, a); got != "b:starting a:starting" && got != "a:starting b:starting" {
		t.Errorf("a sees %q of a spoilt file", got)
	}
	b.file.Close() // as the kernel does for a process that is killed
	if got := names(t, a); got != "a:starting" {
		t.Errorf("after the other's end a sees %q", got)
	}
}

// A new process knows that the others have taken note of it; an older one yields while a
// newer one serves, and no longer than that one lives.
func TestPlanFollowsTheMembers(t *testing.T) {
	dir := t.TempDir()
	old, fresh := join(t, dir, "old", 1), join(t, dir, "new", 2)
	defer old.Leave()
	plan := func(g *Group) Plan {
		members, err := g.Members()
		if err != nil {
			t.Fatal(err)
		}
		if err := g.NoteMembers(members); err != nil {
			t.Fatal(err)
		}
		return MakePlan(g.Self().Name, members)
	}
	want := func(g *Group, p Plan) {
		t.Helper()
		if got := plan(g); got != p {
			t.Errorf("%s does %+v, want %+v", g.Self().Name, got, p)
		}
	}
	members, _ := fresh.Members()
	if NotedByAll("new", members) {
		t.Error("noted before the other has looked")
	}
	old.SetState(Serving)
	want(old, Plan{Processes: 2})
	if members, _ = fresh.Members(); !NotedByAll("new", members) {
		t.Error("the other has looked, and it is not noted")
	}
	want(fresh, Plan{Processes: 2})
	fresh.SetState(Serving)
	want(old, Plan{Processes: 2, Superseded: true})
	want(fresh, Plan{Processes: 2}) // an older one that serves is nobody to yield to
	third := join(t, dir, "third", 3)
	want(fresh, Plan{Processes: 3})
	third.SetState(Serving)
	want(fresh, Plan{Processes: 3, Superseded: true})
	members, _ = old.Members()
	if heir, ok := Successor("old", members); heir != "third" || !ok {
		t.Errorf("the oldest's heir is %q, %v", heir, ok)
	}
	if heir, ok := Successor("third", members); ok {
		t.Errorf("the newest's heir is %q", heir)
	}
	if err := third.Leave(); err != nil {
		t.Fatal(err)
	}
	fresh.SetState(Leaving)
	want(old, Plan{Processes: 2})
	fresh.file.Close()
	want(old, Plan{Processes: 1})
}

// A folder that is not to be had is said, with its name, and nothing is left open.
func TestNoFolderIsSaid(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Join(file, "127.0.0.1:7070", "a", 1); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("%v", err)
	}
}
