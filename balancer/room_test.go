package balancer

import "testing"

// With a least room, a copy lets so many calls out for each server that serves, however small its room became; without one it
// keeps to that.
func TestLeastRoom(t *testing.T) {
	sent := func(least float64) int {
		b, err := New(Settings{
			Classes: []Class{{Name: "c", PriorityWeight: 1, LatencyTarget: 1000, Timeout: 5000}},
			Limits:  Limits{MinConcurrencyPerServer: least, StreamsPerConn: 100},
		}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		var acts []Action
		now, id := 0.0, uint32(0)
		list := func(n int) {
			ev := Event{Kind: EvServerList, List: ListFull}
			for s := range n {
				ev.Servers = append(ev.Servers, ServerEntry{ID: uint32(s + 1)})
			}
			acts = b.Handle(now, &ev, acts[:0])
		}
		list(1)
		for range 60 { // overloaded: each answer is late
			now += 100
			id++
			acts = b.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 5000}, acts[:0])
			for _, a := range acts {
				if a.Kind == ActSend {
					acts = b.Handle(now+2000, &Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 2000}, nil)
					break
				}
			}
		}
		now += 2000
		list(4)
		n := 0
		for range 40 {
			id++
			acts = b.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 5000}, acts[:0])
			for _, a := range acts {
				if a.Kind == ActSend {
					n++
				}
			}
		}
		return n
	}
	if with, without := sent(9), sent(0); with < 27 || without > 21 { // the overloaded server is cut, and has none
		t.Fatalf("%d calls go out with a least room of 9 for each of 3 servers, %d without", with, without)
	}
}
