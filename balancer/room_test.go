package balancer

import "testing"

// With a least room, a copy lets so many calls out for each server that serves, however small its room became; without one it
// keeps to that.
func TestLeastRoom(t *testing.T) {
	sent := func(least float64) int {
		b, err := New(Settings{
			Classes: []Class{{Name: "c", Worth: 1, Aim: 1000, GiveUp: 5000}},
			Limits:  Limits{LeastRoom: least, Streams: 100},
		}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		var acts []Action
		now, id := 0.0, uint32(0)
		list := func(n int) {
			ev := Event{Kind: EvList, List: ListFull}
			for s := range n {
				ev.Servers = append(ev.Servers, ServerEntry{Server: uint32(s + 1)})
			}
			acts = b.Handle(now, &ev, acts[:0])
		}
		list(1)
		for range 60 { // overloaded: each answer is late
			now += 100
			id++
			acts = b.Handle(now, &Event{Kind: EvRequest, Request: id, Due: now + 5000}, acts[:0])
			for _, a := range acts {
				if a.Kind == ActSend {
					acts = b.Handle(now+2000, &Event{Kind: EvOutcome, Request: a.Request, Server: a.Server, Outcome: OK, Took: 2000}, nil)
					break
				}
			}
		}
		now += 2000
		list(4)
		n := 0
		for range 40 {
			id++
			acts = b.Handle(now, &Event{Kind: EvRequest, Request: id, Due: now + 5000}, acts[:0])
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
