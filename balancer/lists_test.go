package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"milletmast/internal/namehash"
)

// TestListsFollowTheirChanges: the balancer updates its lists of servers incrementally. After each change they
// must equal lists computed from all entries.
func TestListsFollowTheirChanges(t *testing.T) {
	for seed := range uint64(30) {
		set, r := testSettings(), rand.New(rand.NewPCG(seed, 5))
		set.Replicas, set.Rank, set.Zone = 6, int(seed%6), int(seed%3)
		h := newHarness(t, set)
		entries, open := map[uint32]ServerEntry{}, map[uint32]uint32{}
		for step := range uint32(300) {
			h.now += 20
			ev := Event{Kind: EvServerList, List: ListDelta}
			if r.IntN(20) == 0 {
				ev.List = ListFull
				clear(entries)
			}
			for range r.IntN(1 + []int{4, 120}[r.IntN(2)]) {
				e := ServerEntry{ID: uint32(r.IntN(200)), Zone: uint8(r.IntN(3)), State: []ServerState{Ready, Ready, Draining, Removed}[r.IntN(4)]}
				entries[e.ID] = e
				ev.Servers = append(ev.Servers, e)
			}
			h.do(ev)
			checkLists(t, h.b, entries)
			for _, a := range h.request(step, 0) {
				if a.Kind == ActSend {
					open[a.Request] = a.Server
				}
			}
			for id, server := range open {
				if r.IntN(3) == 0 {
					h.do(Event{Kind: EvAttemptEnded, Request: id, Server: server, Outcome: OK, Elapsed: 20, RequestEnded: true})
					delete(open, id)
				}
			}
			if t.Failed() {
				t.Fatalf("seed %d, step %d", seed, step)
			}
		}
	}
}

// checkLists compares the balancer's lists with those computed from the last entries.
func checkLists(t *testing.T, b *Balancer, entries map[uint32]ServerEntry) {
	t.Helper()
	var usable, homes []uint32
	listed := 0
	for id, e := range entries {
		if e.State != Removed {
			listed++
		}
		if e.State == Ready {
			usable = append(usable, id)
			if int(e.Zone) == b.settings.Zone {
				homes = append(homes, id)
			}
		}
	}
	slices.Sort(usable)
	slices.SortFunc(homes, func(a, c uint32) int { return cmp.Compare(namehash.Mix(uint64(a)), namehash.Mix(uint64(c))) })
	var gotUsable, gotHomes []uint32
	gotListed, unlisted := 0, 0
	for _, s := range b.usable {
		gotUsable = append(gotUsable, s.ID)
	}
	slices.Sort(gotUsable)
	for _, s := range b.homes {
		gotHomes = append(gotHomes, s.ID)
	}
	for _, s := range b.servers {
		if !s.listed && s.inFlight == 0 {
			unlisted++
		}
		if s.listed {
			gotListed++
		}
	}
	if !slices.Equal(usable, gotUsable) || !slices.Equal(homes, gotHomes) {
		t.Errorf("usable %v, want %v; homes %v, want %v", gotUsable, usable, gotHomes, homes)
	}
	if gotListed != listed || unlisted > 0 {
		t.Errorf("%d servers listed, want %d; %d kept that are neither listed nor in use", gotListed, listed, unlisted)
	}
}
