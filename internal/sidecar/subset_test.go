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

func fleet(t *testing.T, n int) []*fakeserver.Server {
	t.Helper()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
	}
	list := servers(t, names...)
	for _, s := range list {
		s.SetWork(5 * time.Millisecond) // so that a server with a connection is not always the idle one
	}
	return list
}

// flood asks for n pages, twelve at a time.
func flood(t *testing.T, addr string, n int) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var all sync.WaitGroup
	places := make(chan struct{}, 12)
	for range n {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			res, err := client.Get("http://" + addr + "/")
			if err != nil {
				t.Error(err)
				return
			}
			res.Body.Close()
			if res.StatusCode != 200 {
				t.Errorf("status %d", res.StatusCode)
			}
		})
	}
	all.Wait()
}

func reachedBy(list []*fakeserver.Server) (out map[string]int) {
	out = map[string]int{}
	for _, s := range list {
		if n, _, _, _ := s.Counts(); n > 0 {
			out[s.Name] = n
		}
	}
	return out
}

// Copies that know nothing of each other send to all servers together, each to its part only.
func TestSubsetsCoverTheFleet(t *testing.T) {
	s := fleet(t, 20)
	parts := 0
	for rank := range 5 {
		before := reachedBy(s)
		i, _ := launch(t, parse(t, inText, poolText("p", fmt.Sprintf("copies = 5\nrank = %d\nsubset = 4\nsubset_spare = 0", rank), s...), routeText("r", "/", "p", "read", "")))
		flood(t, i.Addresses()["in"], 120)
		mine := 0
		for name, n := range reachedBy(s) {
			if n > before[name] {
				mine++
			}
		}
		if mine < 3 || mine > 5 {
			t.Errorf("copy %d sends to %d servers", rank, mine)
		}
		parts += mine
	}
	if all := reachedBy(s); len(all) != 20 {
		t.Errorf("%d of 20 servers are sent to", len(all))
	}
}

// A server of the subset that drains gets nothing new, and another takes its place; one that the list forgets likewise.
func TestSubsetWhenServersLeave(t *testing.T) {
	s := fleet(t, 12)
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
	ask := func() (out []string) {
		t.Helper()
		flood(t, i.Addresses()["in"], 60)
		now := reachedBy(s)
		for name, n := range now {
			if n > last[name] {
				out = append(out, name)
			}
		}
		last = now
		slices.Sort(out)
		return out
	}
	mine := ask()
	if len(mine) != 3 {
		t.Fatalf("it sends to %v", mine)
	}
	state := map[string]string{}
	for step, how := range []string{"draining", "gone", "draining"} {
		leaves := mine[0]
		state[leaves] = how
		write(state)
		until(t, "the change is heard", func() bool {
			known := false
			p := i.current.pools["p"]
			p.loop.do(func() { known = p.loop.subset.ring.Len() == 12-len(state) })
			return known
		})
		until(t, "it has three again, or one more where its part of the ring is no whole number", func() bool {
			n := i.Status().Pools[0].Usable
			return n == 3 || n == 4
		})
		next := ask()
		if slices.Contains(next, leaves) || len(next) < 3 || len(next) > 4 {
			t.Errorf("step %d: it sends to %v without %s", step, next, leaves)
		}
		mine = next
	}
}

// A subset whose servers are all dead, though listed, grows until requests are served again.
func TestSubsetOfTheDead(t *testing.T) {
	s := fleet(t, 12)
	i, _ := run(t, parse(t, inText, poolText("p", "copies = 4\nrank = 1\nsubset = 3\nsubset_spare = 0\nattempts = 4", s...), routeText("r", "/", "p", "read", "")))
	flood(t, i.Addresses()["in"], 60)
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

// Whatever the list says, in whatever steps: the module knows just the subset of what is ready, and what drains of what it had.
func TestNarrowedLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newServerSubset(&operator.Pool{Copies: 3, Rank: 1, Subset: rapid.IntRange(1, 6).Draw(t, "size")})
		module, list := map[string]string{}, map[string]string{} // state by uid
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var l List
			whole := rapid.IntRange(0, 5).Draw(t, "whole") == 0
			if whole {
				clear(list)
			}
			for range rapid.IntRange(0, 6).Draw(t, "lines") {
				uid, state := fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "uid")), rapid.SampledFrom([]string{"Ready", "Ready", "Terminating", "Gone"}).Draw(t, "state")
				if slices.ContainsFunc(l.Targets, func(t Target) bool { return t.UID == uid }) || whole && state == "Gone" {
					continue
				}
				l.Targets = append(l.Targets, Target{UID: uid, State: state})
				if list[uid] = state; state == "Gone" {
					delete(list, uid)
				}
			}
			had := maps.Clone(module)
			if whole {
				clear(module)
			}
			for _, one := range p.selectTargets(l, whole).Targets {
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
				if state != "Ready" && had[uid] != "" {
					want[uid] = state
				}
			}
			if !maps.Equal(module, want) {
				t.Fatalf("the module knows %v, want %v of %v", module, want, list)
			}
		}
	})
}
