package sidecar

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"milletmast/balancer"
	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
	"milletmast/internal/state"
)

// ejectedServers returns the number of servers of the pool p that the decision module has ejected.
func ejectedServers(i *Instance) (n int) {
	i.mu.Lock()
	p := i.current.pools["p"]
	i.mu.Unlock()
	p.loop.do(func() { n = p.loop.balancer.EjectedServers() })
	return n
}

// awaitEjection sends requests until the pool has ejected the failing server.
func awaitEjection(t *testing.T, i *Instance) {
	t.Helper()
	c := connect(t, i.Addresses()["in"])
	until(t, "the failing server is ejected", func() bool {
		_, _, _ = c.ask("GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return ejectedServers(i) == 1
	})
}

// serversWithOneFailing starts four servers, of which the first resets each connection.
func serversWithOneFailing(t *testing.T) []*fakeserver.Server {
	s := servers(t, "a", "b", "c", "d")
	s[0].SetFault(fakeserver.ResetConnection)
	return s
}

// readConfig returns the text of a file with one listener and the pool p, to which all requests are routed in the class read.
func readConfig(more string, s []*fakeserver.Server) string {
	return inText + poolText("p", more, s...) + routeText("r", "/", "p", "read", "")
}

// A pool that a reload replaces passes its learned state on, unless the settings that the state depends on differ.
func TestReloadKeepsLearnedState(t *testing.T) {
	s := serversWithOneFailing(t)
	i, _ := run(t, parse(t, readConfig("", s)))
	awaitEjection(t, i)
	if _, err := i.Reload(parse(t, readConfig("attempts = 2", s))); err != nil {
		t.Fatal(err)
	}
	if n := ejectedServers(i); n != 1 {
		t.Errorf("%d servers are ejected after a reload, want 1", n)
	}
	if _, err := i.Reload(parse(t, readConfig("copies = 3", s))); err != nil {
		t.Fatal(err)
	}
	if n := ejectedServers(i); n != 0 {
		t.Errorf("%d servers are ejected after a change of the number of replicas, want 0", n)
	}
}

// runPersistent starts an instance that keeps its state in a folder, until stop.
func runPersistent(t *testing.T, dir string, cfg *operator.Config) (i *Instance, stop func()) {
	t.Helper()
	store, loaded, setAside, err := state.Open(dir, "one")
	if err != nil || setAside != nil {
		t.Fatal(err, setAside)
	}
	if i, err = NewPersistentInstance(cfg, nil, &Persistence{Store: store, Loaded: loaded, Interval: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = i.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); <-ended })
	t.Cleanup(stop)
	return i, stop
}

// A restarted instance restores the ejected server, its pins and the last good file. The state of servers that have restarted
// themselves is not restored.
func TestRestartKeepsLearnedState(t *testing.T) {
	s := serversWithOneFailing(t)
	dir := filepath.Join(t.TempDir(), "state")
	leveled := readConfig("", s)[:len(inText)] + poolText("p", "", s...) + levelText("") + routeText("r", "/", "p", "read", "")
	i, stop := runPersistent(t, dir, parse(t, leveled))
	if st := i.Status(); st.StartKind != StartCold {
		t.Errorf("the first start is %s, want %s", st.StartKind, StartCold)
	}
	awaitEjection(t, i)
	if err := i.Pin("p", "lean", time.Hour); err != nil {
		t.Fatal(err)
	}
	if c, _, err := state.Inspect(dir); err != nil || c.Pins["p"].Level != "lean" || c.LastGood == nil || string(c.LastGood.Text) != leveled {
		t.Errorf("stored while the instance runs: %+v, %v", c, err)
	}
	stop()

	i, stop = runPersistent(t, dir, parse(t, leveled))
	if st := i.Status(); st.StartKind != StartWarm || st.LearnedAge <= 0 || st.LearnedAge > time.Minute {
		t.Errorf("started %s with state of age %v, want %s and under a minute", st.StartKind, st.LearnedAge, StartWarm)
	}
	if n := ejectedServers(i); n != 1 {
		t.Errorf("%d servers are ejected after a restart, want 1", n)
	}
	if st := i.Status().Pools[0].Level; st == nil || st.Level != "lean" {
		t.Errorf("level %+v, want the pinned level lean", st)
	}
	if err := i.Unpin("p"); err != nil {
		t.Fatal(err)
	}
	stop()

	started := fmt.Sprintf("started = %q\n", time.Now().UTC().Format(time.RFC3339))
	text := inText + poolText("p", "ramp = \"1ms\"")
	for _, v := range s {
		text += fmt.Sprintf("[[pool.server]]\naddress = %q\n%s", v.Addr(), started)
	}
	i, _ = runPersistent(t, dir, parse(t, text+routeText("r", "/", "p", "read", "")))
	if n := ejectedServers(i); n != 0 {
		t.Errorf("%d restarted servers are ejected, want 0", n)
	}
}

// A reload may add a pool with learned state of an earlier process while another goroutine reads the status: both use the start kind.
func TestReloadAddsAWarmPool(t *testing.T) {
	s := serversWithOneFailing(t)
	dir := filepath.Join(t.TempDir(), "state")
	other := poolText("q", "", s[1])
	i, stop := runPersistent(t, dir, parse(t, readConfig("", s), other))
	awaitEjection(t, i)
	stop()
	store, loaded, _, err := state.Open(dir, "one")
	if err != nil {
		t.Fatal(err)
	}
	loaded.Pools["q"] = loaded.Pools["p"] // its classes are the same
	delete(loaded.Pools, "p")
	if i, err = NewPersistentInstance(parse(t, readConfig("", s)), nil, &Persistence{Store: store, Loaded: loaded, Interval: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended, polled := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); _ = i.Run(ctx) }()
	go func() {
		defer close(polled)
		for i.Status().StartKind == StartCold && ctx.Err() == nil {
		}
	}()
	if _, err := i.Reload(parse(t, readConfig("", s), other)); err != nil {
		t.Error(err)
	}
	<-polled
	if st := i.Status(); st.StartKind != StartWarm || st.LearnedAge <= 0 {
		t.Errorf("started %s with state of age %v, want %s and a positive age", st.StartKind, st.LearnedAge, StartWarm)
	}
	cancel()
	<-ended
}

// The hash of a pool's settings is stored with the learned state. The expected values predate a change of the field names: renaming a
// field must not change the hash.
func TestSettingsHashIsStable(t *testing.T) {
	for _, c := range []struct {
		settings balancer.Settings
		want     string
	}{
		{balancer.Settings{Replicas: 3, Classes: []balancer.Class{
			{Name: "look", PriorityWeight: 2, LateShare: 0.5, LatencyTarget: 80, TargetPerWork: 1.5, Timeout: 200, Effect: balancer.Keyed, DedupGroup: balancer.DedupCell, DedupWindow: 5000},
			{Name: "watch", PriorityWeight: 1, LatencyTarget: 400, Timeout: 1000, Effect: balancer.Unsafe, Streaming: true},
		}}, "7cb67bd5049978ca"},
		{balancer.Settings{Classes: []balancer.Class{{Name: "look", LatencyTarget: 80, Timeout: 200}}}, "c4831b003733f9a3"},
	} {
		if got := settingsHash(&c.settings); got != c.want {
			t.Errorf("hash %s of %v, want %s", got, c.settings, c.want)
		}
	}
}
