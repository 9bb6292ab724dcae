package ashwood_test

import (
	"fmt"
	"time"

	"ashwood.example/ashwood"
)

// A gateway passes the decision module the membership and a request, then carries out the actions that it gets back.
func Example() {
	scheduler, err := ashwood.New(ashwood.Settings{
		Nodes:   1,
		Kinds:   []ashwood.Kind{{Name: "prefill", Role: ashwood.RolePrefill}, {Name: "decode", Role: ashwood.RoleDecode}},
		Classes: []ashwood.Class{{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.Pure}},
	}, 1)
	if err != nil {
		panic(err)
	}
	now := time.Duration(0)
	scheduler.Handle(now, ashwood.MembershipUpdate{Form: ashwood.MembershipSnapshot, Entries: []ashwood.Server{
		{ID: "prefill-1", Kind: "prefill", State: ashwood.StateActive},
		{ID: "decode-1", Kind: "decode", State: ashwood.StateActive},
	}}, nil)
	printAttempts := func(actions []ashwood.Action) {
		for _, a := range actions {
			if a, ok := a.(ashwood.Send); ok {
				fmt.Println("send", a.ID, "to", a.Server)
			}
		}
	}
	printAttempts(scheduler.Handle(now, ashwood.Request{
		ID: "a", Class: "chat", Session: 7, PromptTokens: 900, TimeLeft: 5 * time.Second,
	}, nil))
	now += 80 * time.Millisecond
	printAttempts(scheduler.Handle(now, ashwood.Outcome{ID: "a", Server: "prefill-1", Status: ashwood.StatusPrefilled}, nil))
	// Output:
	// send a to prefill-1
	// send a to decode-1
}
