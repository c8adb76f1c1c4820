package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"milletmast/internal/namehash"
)

// TestListsFollowTheirChanges: what is kept of the list is updated by its changes; after each it equals what
// is computed from all servers.
func TestListsFollowTheirChanges(t *testing.T) {
	for seed := range uint64(30) {
		set, r := plain(), rand.New(rand.NewPCG(seed, 5))
		set.Replicas, set.Rank, set.Zone = 6, int(seed%6), int(seed%3)
		h := start(t, set)
		told, open := map[uint32]ServerEntry{}, map[uint32]uint32{}
		for step := range uint32(300) {
			h.now += 20
			ev := Event{Kind: EvServerList, List: ListDelta}
			if r.IntN(20) == 0 {
				ev.List = ListFull
				clear(told)
			}
			for range r.IntN(1 + []int{4, 120}[r.IntN(2)]) {
				e := ServerEntry{ID: uint32(r.IntN(200)), Zone: uint8(r.IntN(3)), State: []ServerState{Ready, Ready, Draining, Removed}[r.IntN(4)]}
				told[e.ID] = e
				ev.Servers = append(ev.Servers, e)
			}
			h.do(ev)
			checkLists(t, h.b, told)
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

// checkLists compares what the balancer keeps with the entries that it was told last.
func checkLists(t *testing.T, b *Balancer, told map[uint32]ServerEntry) {
	t.Helper()
	var live, homes []uint32
	listed := 0
	for id, e := range told {
		if e.State != Removed {
			listed++
		}
		if e.State == Ready {
			live = append(live, id)
			if int(e.Zone) == b.settings.Zone {
				homes = append(homes, id)
			}
		}
	}
	slices.Sort(live)
	slices.SortFunc(homes, func(a, c uint32) int { return cmp.Compare(namehash.Mix(uint64(a)), namehash.Mix(uint64(c))) })
	var gotLive, gotHomes []uint32
	out, kept := 0, 0
	for _, s := range b.usable {
		gotLive = append(gotLive, s.ID)
	}
	slices.Sort(gotLive)
	for _, s := range b.homes {
		gotHomes = append(gotHomes, s.ID)
	}
	for _, s := range b.servers {
		if !s.listed && s.inFlight == 0 {
			kept++
		}
		if s.listed {
			out++
		}
	}
	if !slices.Equal(live, gotLive) || !slices.Equal(homes, gotHomes) {
		t.Errorf("live %v, want %v; homes %v, want %v", gotLive, live, gotHomes, homes)
	}
	if out != listed || kept > 0 {
		t.Errorf("%d servers listed, want %d; %d kept that are gone", out, listed, kept)
	}
}
