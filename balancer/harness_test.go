package balancer

import (
	"testing"
)

// testSettings returns settings with a class of each effect, for one replica of the first tier.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyTarget: 500, Timeout: 1000, Effect: Safe},
			{Name: "keyed", PriorityWeight: 2, LatencyTarget: 500, Timeout: 1000, Effect: Keyed, DedupGroup: DedupCell, DedupWindow: 300},
			{Name: "book", PriorityWeight: 5, LatencyTarget: 500, Timeout: 1000, Effect: Unsafe},
		},
		Limits: Limits{MaxAttempts: 3},
		Safety: Safety{SlowStartShare: 0.2, SlowStartTime: 20000, OverloadMultiple: 3, OverloadTime: 1500, ListInterval: 10000},
	}
}

// harness drives a balancer with simulated time.
type harness struct {
	t   *testing.T
	b   *Balancer
	now float64
}

// newHarness returns a harness whose balancer has the given servers.
func newHarness(t *testing.T, set Settings, servers ...ServerEntry) *harness {
	t.Helper()
	b, err := New(set, 7, 1000)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: 1000}
	h.do(Event{Kind: EvServerList, List: ListCached, Servers: servers})
	return h
}

// do handles an event and returns the resulting actions except timers and logs.
func (h *harness) do(ev Event) []Action {
	var kept []Action
	for _, a := range h.b.Handle(h.now, &ev, nil) {
		if a.Kind != ActTimer && a.Kind != ActLog {
			kept = append(kept, a)
		}
	}
	return kept
}

// request handles a new request with a deadline in 1000 ms.
func (h *harness) request(id uint32, class uint16) []Action {
	return h.do(Event{Kind: EvRequest, Request: id, Class: class, Deadline: h.now + 1000})
}

// serverEntries returns n servers in zone 0, with two servers in each cell.
func serverEntries(n int) []ServerEntry {
	out := make([]ServerEntry, n)
	for i := range out {
		out[i] = ServerEntry{ID: uint32(firstID + i), Cell: uint16(i / 2), Weight: 1}
	}
	return out
}
