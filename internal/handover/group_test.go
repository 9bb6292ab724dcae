package handover

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func joinGroup(t *testing.T, dir, name string, since float64) *Group {
	t.Helper()
	g, err := Join(dir, "127.0.0.1:7070", name, since)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func memberStates(t *testing.T, g *Group) string {
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

// Members returns the living processes, oldest first, with their states. Processes that have
// ended are left out, whether they removed their file or were killed, and so are stale files,
// foreign files and the processes of another address.
func TestGroup_LivingMembers(t *testing.T) {
	dir := t.TempDir()
	a, b := joinGroup(t, dir, "a", 10), joinGroup(t, dir, "b", 5)
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
	if got := memberStates(t, a); got != "b:serving a:starting" {
		t.Errorf("a sees %q", got)
	}
	if _, err := os.Stat(filepath.Join(a.dir, "stale.member")); !os.IsNotExist(err) {
		t.Errorf("the stale file was not removed: %v", err)
	}
	// A process whose file is corrupted still counts as living.
	if _, err := b.file.WriteAt([]byte("{{{"), 0); err != nil {
		t.Fatal(err)
	}
	if got := memberStates(t, a); got != "b:starting a:starting" && got != "a:starting b:starting" {
		t.Errorf("with a corrupted file a sees %q", got)
	}
	b.file.Close() // as the kernel does for a process that is killed
	if got := memberStates(t, a); got != "a:starting" {
		t.Errorf("after the other process's end a sees %q", got)
	}
}

// A new process can tell whether the others have noted it. An older process is superseded while
// a newer one serves, and only as long as that one lives.
func TestMakePlan_MembersChange(t *testing.T) {
	dir := t.TempDir()
	older, newer := joinGroup(t, dir, "old", 1), joinGroup(t, dir, "new", 2)
	defer older.Leave()
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
			t.Errorf("plan of %s: %+v, want %+v", g.Self().Name, got, p)
		}
	}
	members, _ := newer.Members()
	if NotedByAll("new", members) {
		t.Error("noted before the older process has read the members")
	}
	older.SetState(Serving)
	want(older, Plan{Processes: 2})
	if members, _ = newer.Members(); !NotedByAll("new", members) {
		t.Error("not noted although the older process has read the members")
	}
	want(newer, Plan{Processes: 2})
	newer.SetState(Serving)
	want(older, Plan{Processes: 2, Superseded: true})
	want(newer, Plan{Processes: 2}) // an older process that serves supersedes nobody
	third := joinGroup(t, dir, "third", 3)
	want(newer, Plan{Processes: 3})
	third.SetState(Serving)
	want(newer, Plan{Processes: 3, Superseded: true})
	members, _ = older.Members()
	if successor, ok := Successor("old", members); successor != "third" || !ok {
		t.Errorf("the oldest process's successor is %q, %v; want third", successor, ok)
	}
	if successor, ok := Successor("third", members); ok {
		t.Errorf("the newest process has the successor %q", successor)
	}
	if err := third.Leave(); err != nil {
		t.Fatal(err)
	}
	newer.SetState(Leaving)
	want(older, Plan{Processes: 2})
	newer.file.Close()
	want(older, Plan{Processes: 1})
}

// If the directory can't be made, the error names it.
func TestJoin_UnusableFolder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Join(file, "127.0.0.1:7070", "a", 1); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("%v", err)
	}
}
