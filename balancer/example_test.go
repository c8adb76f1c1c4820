package balancer_test

import (
	"fmt"

	"milletmast/balancer"
)

// A sidecar has the clock, the sockets and one Balancer. It passes events to the
// Balancer and carries out the resulting actions, in order.
func Example() {
	settings := balancer.Settings{
		Replicas: 1,
		Classes:  []balancer.Class{{Name: "read", PriorityWeight: 1, LatencyTarget: 300, Timeout: 1000, Effect: balancer.Safe}},
		Limits:   balancer.Limits{MaxAttempts: 3},
		Safety:   balancer.Safety{ResponseSlack: 20, DrainGrace: 1000, SlowStartShare: 0.2, SlowStartTime: 10000, ListInterval: 10000},
	}
	now := 0.0 // milliseconds; a real sidecar reads its monotonic clock
	b, err := balancer.New(settings, 42, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []balancer.Action // reused: Handle appends to it
	actions = b.Handle(now, &balancer.Event{
		Kind: balancer.EvServerList, List: balancer.ListFull,
		Servers: []balancer.ServerEntry{{ID: 1, Weight: 1}},
	}, actions[:0])

	actions = b.Handle(now, &balancer.Event{Kind: balancer.EvRequest, Request: 7, Deadline: 900}, actions[:0])
	for _, a := range actions {
		if a.Kind == balancer.ActSend {
			fmt.Printf("send request %d to server %d, give up at %.0f ms\n", a.Request, a.Server, a.Deadline)
		}
	}
	now = 25
	actions = b.Handle(now, &balancer.Event{
		Kind: balancer.EvAttemptEnded, Request: 7, Server: 1, Outcome: balancer.Error, Elapsed: 25,
	}, actions[:0])
	for _, a := range actions {
		if a.Kind == balancer.ActSend {
			fmt.Printf("the class is safe: send request %d once more\n", a.Request)
		}
	}
	// Output:
	// send request 7 to server 1, give up at 900 ms
	// the class is safe: send request 7 once more
}
