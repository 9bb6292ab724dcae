package ashwood_test

import (
	"fmt"
	"time"

	"ashwood.example/ashwood"
)

// A node is told the server list and a request, and asks for what is to be done.
func Example() {
	s, err := ashwood.New(ashwood.Settings{
		Nodes:   1,
		Kinds:   []ashwood.Kind{{Name: "prefill", Role: ashwood.RoleRead}, {Name: "decode", Role: ashwood.RoleWrite}},
		Classes: []ashwood.Class{{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.Pure}},
	}, 1)
	if err != nil {
		panic(err)
	}
	now := time.Duration(0)
	s.Handle(now, ashwood.MembershipUpdate{Form: ashwood.MembershipSnapshot, Entries: []ashwood.Server{
		{ID: "reader-1", Kind: "prefill", State: ashwood.StateActive},
		{ID: "writer-1", Kind: "decode", State: ashwood.StateActive},
	}}, nil)
	show := func(out []ashwood.Action) {
		for _, a := range out {
			if a, ok := a.(ashwood.Send); ok {
				fmt.Println("send", a.ID, "to", a.Server)
			}
		}
	}
	show(s.Handle(now, ashwood.Request{
		ID: "a", Class: "chat", Session: 7, PromptTokens: 900, TimeLeft: 5 * time.Second,
	}, nil))
	now += 80 * time.Millisecond
	show(s.Handle(now, ashwood.Outcome{ID: "a", Server: "reader-1", Status: ashwood.StatusPrefilled}, nil))
	// Output:
	// send a to reader-1
	// send a to writer-1
}
