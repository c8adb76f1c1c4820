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

// cuts is how many servers of the pool p the module has cut.
func cuts(i *Instance) (n int) {
	i.mu.Lock()
	p := i.current.pools["p"]
	i.mu.Unlock()
	p.loop.do(func() { n = p.loop.balancer.EjectedServers() })
	return n
}

// teach asks until the pool has cut the server that fails.
func teach(t *testing.T, i *Instance) {
	t.Helper()
	c := connect(t, i.Addresses()["in"])
	until(t, "the failing server is cut", func() bool {
		_, _, _ = c.ask("GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return cuts(i) == 1
	})
}

// withFailing are servers of which the first resets each connection.
func withFailing(t *testing.T) []*fakeserver.Server {
	s := servers(t, "a", "b", "c", "d")
	s[0].SetFault(fakeserver.ResetConnection)
	return s
}

func reading(more string, s []*fakeserver.Server) string {
	return inText + poolText("p", more, s...) + routeText("r", "/", "p", "read", "")
}

// A pool that a reload makes anew begins with what the one before it has learned, unless that was of other classes.
func TestReloadKeepsWhatWasLearned(t *testing.T) {
	s := withFailing(t)
	i, _ := run(t, parse(t, reading("", s)))
	teach(t, i)
	if _, err := i.Reload(parse(t, reading("attempts = 2", s))); err != nil {
		t.Fatal(err)
	}
	if n := cuts(i); n != 1 {
		t.Errorf("%d servers are cut after a reload", n)
	}
	if _, err := i.Reload(parse(t, reading("copies = 3", s))); err != nil {
		t.Fatal(err)
	}
	if n := cuts(i); n != 0 {
		t.Errorf("%d servers are cut for one of three copies, by what one alone has seen", n)
	}
}

// keeping starts an instance that keeps its state in a folder, until stop.
func keeping(t *testing.T, dir string, cfg *operator.Config) (i *Instance, stop func()) {
	t.Helper()
	store, had, aside, err := state.Open(dir, "one")
	if err != nil || aside != nil {
		t.Fatal(err, aside)
	}
	if i, err = NewPersistentInstance(cfg, nil, &Persistence{Store: store, Loaded: had, Interval: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = i.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); <-ended })
	t.Cleanup(stop)
	return i, stop
}

// An instance that starts again knows the server that it had cut, its pins and the file that was in force; once its servers have started
// anew it knows nothing of them.
func TestRestartKeepsWhatWasLearned(t *testing.T) {
	s := withFailing(t)
	dir := filepath.Join(t.TempDir(), "state")
	leveled := reading("", s)[:len(inText)] + poolText("p", "", s...) + levelText("") + routeText("r", "/", "p", "read", "")
	i, stop := keeping(t, dir, parse(t, leveled))
	if st := i.Status(); st.StartKind != StartCold {
		t.Errorf("the first start is %s", st.StartKind)
	}
	teach(t, i)
	if err := i.Pin("p", "lean", time.Hour); err != nil {
		t.Fatal(err)
	}
	if c, _, err := state.Inspect(dir); err != nil || c.Pins["p"].Level != "lean" || c.LastGood == nil || string(c.LastGood.Text) != leveled {
		t.Errorf("kept while it runs: %+v, %v", c, err)
	}
	stop()

	i, stop = keeping(t, dir, parse(t, leveled))
	if st := i.Status(); st.StartKind != StartWarm || st.LearnedAge <= 0 || st.LearnedAge > time.Minute {
		t.Errorf("started %s, age %v", st.StartKind, st.LearnedAge)
	}
	if n := cuts(i); n != 1 {
		t.Errorf("%d servers are cut after a restart", n)
	}
	if st := i.Status().Pools[0].Level; st == nil || st.Level != "lean" {
		t.Errorf("level %+v", st)
	}
	if err := i.Unpin("p"); err != nil {
		t.Fatal(err)
	}
	stop()

	began := fmt.Sprintf("started = %q\n", time.Now().UTC().Format(time.RFC3339))
	text := inText + poolText("p", "ramp = \"1ms\"")
	for _, v := range s {
		text += fmt.Sprintf("[[pool.server]]\naddress = %q\n%s", v.Addr(), began)
	}
	i, _ = keeping(t, dir, parse(t, text+routeText("r", "/", "p", "read", "")))
	if n := cuts(i); n != 0 {
		t.Errorf("%d servers are cut that have started anew", n)
	}
}

// A reload may add a pool of which an earlier process had learned something, while a status is asked for.
func TestReloadAddsAWarmPool(t *testing.T) {
	s := withFailing(t)
	dir := filepath.Join(t.TempDir(), "state")
	other := poolText("q", "", s[1])
	i, stop := keeping(t, dir, parse(t, reading("", s), other))
	teach(t, i)
	stop()
	store, had, _, err := state.Open(dir, "one")
	if err != nil {
		t.Fatal(err)
	}
	had.Pools["q"] = had.Pools["p"] // of the same classes
	delete(had.Pools, "p")
	if i, err = NewPersistentInstance(parse(t, reading("", s)), nil, &Persistence{Store: store, Loaded: had, Interval: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended, asked := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); _ = i.Run(ctx) }()
	go func() {
		defer close(asked)
		for i.Status().StartKind == StartCold && ctx.Err() == nil {
		}
	}()
	if _, err := i.Reload(parse(t, reading("", s), other)); err != nil {
		t.Error(err)
	}
	<-asked
	if st := i.Status(); st.StartKind != StartWarm || st.LearnedAge <= 0 {
		t.Errorf("started %s, age %v", st.StartKind, st.LearnedAge)
	}
	cancel()
	<-ended
}

// The hash of a pool's settings is on disk beside what the pool has learned. These were computed before the fields were renamed.
func TestSettingsHashKeepsItsForm(t *testing.T) {
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
