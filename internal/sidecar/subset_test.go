package sidecar

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/balancer"
	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
	"milletmast/internal/subset"
)

// slowServers starts n servers that work 5 ms on each request.
func slowServers(t *testing.T, n int) []*fakeserver.Server {
	t.Helper()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
	}
	list := servers(t, names...)
	for _, s := range list {
		s.SetWork(5 * time.Millisecond) // otherwise the server with an open connection would always be idle and get every request
	}
	return list
}

// sendConcurrently sends n requests, twelve at a time.
func sendConcurrently(t *testing.T, addr string, n int) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var all sync.WaitGroup
	slots := make(chan struct{}, 12)
	for range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			res, err := client.Get("http://" + addr + "/")
			if err != nil {
				t.Error(err)
				return
			}
			res.Body.Close()
			if res.StatusCode != 200 {
				t.Errorf("status %d, want 200", res.StatusCode)
			}
		})
	}
	all.Wait()
}

// requestCounts returns the number of requests of each server that got any, by name.
func requestCounts(list []*fakeserver.Server) (out map[string]int) {
	out = map[string]int{}
	for _, s := range list {
		if n, _, _, _ := s.Counts(); n > 0 {
			out[s.Name] = n
		}
	}
	return out
}

// The subsets of replicas that do not communicate cover all servers together, and each replica sends to its subset only.
func TestSubsetsCoverAllServers(t *testing.T) {
	s := slowServers(t, 20)
	parts := 0
	for rank := range 5 {
		before := requestCounts(s)
		i, _ := runWithoutLeakCheck(t, parse(t, inText, poolText("p", fmt.Sprintf("copies = 5\nrank = %d\nsubset = 4\nsubset_spare = 0", rank), s...), routeText("r", "/", "p", "read", "")))
		sendConcurrently(t, i.Addresses()["in"], 120)
		mine := 0
		for name, n := range requestCounts(s) {
			if n > before[name] {
				mine++
			}
		}
		if mine < 3 || mine > 5 {
			t.Errorf("replica %d sends to %d servers, want 3 to 5", rank, mine)
		}
		parts += mine
	}
	if all := requestCounts(s); len(all) != 20 {
		t.Errorf("%d of 20 servers got requests", len(all))
	}
}

// A server of the subset that drains or is removed from the list gets no more requests, and another server replaces it in the subset.
func TestSubsetWhenServersLeave(t *testing.T) {
	s := slowServers(t, 12)
	path := filepath.Join(t.TempDir(), "servers.toml")
	write := func(state map[string]string) {
		t.Helper()
		var b strings.Builder
		for _, one := range s {
			if st := state[one.Name]; st != "gone" {
				fmt.Fprintf(&b, "[[server]]\naddress = %q\n", one.Addr())
				if st != "" {
					fmt.Fprintf(&b, "state = %q\n", st)
				}
			}
		}
		if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(nil)
	text := poolText("p", "copies = 4\nrank = 1\nsubset = 3\nsubset_spare = 0") +
		fmt.Sprintf("[pool.source]\ntype = \"file\"\npath = %q\nevery = \"10ms\"\n", path)
	i, _ := run(t, parse(t, inText, text, routeText("r", "/", "p", "read", "")))
	last := map[string]int{}
	serversUsed := func() (out []string) {
		t.Helper()
		sendConcurrently(t, i.Addresses()["in"], 60)
		now := requestCounts(s)
		for name, n := range now {
			if n > last[name] {
				out = append(out, name)
			}
		}
		last = now
		slices.Sort(out)
		return out
	}
	mine := serversUsed()
	if len(mine) != 3 {
		t.Fatalf("requests went to %v, want 3 servers", mine)
	}
	state := map[string]string{}
	for step, newState := range []string{"draining", "gone", "draining"} {
		leaves := mine[0]
		state[leaves] = newState
		write(state)
		until(t, "the change of the list is applied", func() bool {
			applied := false
			p := i.current.pools["p"]
			p.loop.do(func() { applied = p.loop.subset.ring.Len() == 12-len(state) })
			return applied
		})
		until(t, "the subset has three servers, or four where its part of the ring is not an integer", func() bool {
			n := i.Status().Pools[0].Usable
			return n == 3 || n == 4
		})
		next := serversUsed()
		if slices.Contains(next, leaves) || len(next) < 3 || len(next) > 4 {
			t.Errorf("step %d: requests went to %v, want 3 or 4 servers without %s", step, next, leaves)
		}
		mine = next
	}
}

// A subset whose servers are all down but still listed grows until requests are served again.
func TestSubsetGrowsWhenServersAreDown(t *testing.T) {
	s := slowServers(t, 12)
	i, _ := run(t, parse(t, inText, poolText("p", "copies = 4\nrank = 1\nsubset = 3\nsubset_spare = 0\nattempts = 4", s...), routeText("r", "/", "p", "read", "")))
	sendConcurrently(t, i.Addresses()["in"], 60)
	c := connect(t, i.Addresses()["in"])
	for _, one := range s {
		if n, _, _, _ := one.Counts(); n > 0 {
			one.Close()
		}
	}
	until(t, "requests are served", func() bool {
		res, _, err := c.ask("GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode == 200
	})
}

// After any sequence of lists, the decision module has the subset of the ready servers, and of its earlier servers those that drain.
func TestSelectTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newServerSubset(&operator.Pool{Copies: 3, Rank: 1, Subset: rapid.IntRange(1, 6).Draw(t, "size")})
		module, list := map[string]string{}, map[string]string{} // state by uid
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var l List
			full := rapid.IntRange(0, 5).Draw(t, "full") == 0
			if full {
				clear(list)
			}
			for range rapid.IntRange(0, 6).Draw(t, "lines") {
				uid, state := fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "uid")), rapid.SampledFrom([]string{"Ready", "Ready", "Terminating", "Gone"}).Draw(t, "state")
				if slices.ContainsFunc(l.Targets, func(t Target) bool { return t.UID == uid }) || full && state == "Gone" {
					continue
				}
				l.Targets = append(l.Targets, Target{UID: uid, State: state})
				if list[uid] = state; state == "Gone" {
					delete(list, uid)
				}
			}
			before := maps.Clone(module)
			if full {
				clear(module)
			}
			for _, one := range p.selectTargets(l, full).Targets {
				if module[one.UID] = one.State; serverStates[one.State] == balancer.Removed {
					delete(module, one.UID)
				}
			}
			var ring subset.Ring
			for uid, state := range list {
				if state == "Ready" {
					ring.Add(uid, -1)
				}
			}
			want := map[string]string{}
			for uid := range ring.Select(p.sizer.Current(ring.Len())) {
				want[uid] = "Ready"
			}
			for uid, state := range list {
				if state != "Ready" && before[uid] != "" {
					want[uid] = state
				}
			}
			if !maps.Equal(module, want) {
				t.Fatalf("the module has %v, want %v of %v", module, want, list)
			}
		}
	})
}
