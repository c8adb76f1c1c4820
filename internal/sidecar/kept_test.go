package sidecar

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"whinknot/internal/operator"
	"whinknot/internal/standin"
	"whinknot/internal/state"
)

// cuts is how many servers of a pool the module has cut.
func cuts(i *Instance, pool string) (n int) {
	i.mu.Lock()
	p := i.current.pools[pool]
	i.mu.Unlock()
	p.loop.ask(func() { n = p.loop.balancer.Cuts() })
	return n
}

// teach asks until the pool has cut the server that fails.
func teach(t *testing.T, i *Instance) {
	t.Helper()
	c := connect(t, i.Addresses()["in"])
	until(t, "the failing server is cut", func() bool {
		c.ask("GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return cuts(i, "p") == 1
	})
}

// withFailing are servers of which the first resets each connection.
func withFailing(t *testing.T) []*standin.Server {
	s := servers(t, "a", "b", "c", "d")
	s[0].Fault(standin.RefuseConn)
	return s
}

func reading(more string, s []*standin.Server) string {
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
	if n := cuts(i, "p"); n != 1 {
		t.Errorf("%d servers are cut after a reload", n)
	}
	if _, err := i.Reload(parse(t, reading("copies = 3", s))); err != nil {
		t.Fatal(err)
	}
	if n := cuts(i, "p"); n != 0 {
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
	if i, err = NewKeptInstance(cfg, nil, &Keeping{Store: store, Had: had, Every: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); i.Run(ctx) }()
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
	if st := i.Status(); st.Start != StartCold {
		t.Errorf("the first start is %s", st.Start)
	}
	teach(t, i)
	if err := i.Pin("p", "lean", time.Hour); err != nil {
		t.Fatal(err)
	}
	if c, _, err := state.Peek(dir); err != nil || c.Pins["p"].Level != "lean" || c.Good == nil || string(c.Good.Text) != leveled {
		t.Errorf("kept while it runs: %+v, %v", c, err)
	}
	stop()

	i, stop = keeping(t, dir, parse(t, leveled))
	if st := i.Status(); st.Start != StartWarm || st.Age <= 0 || st.Age > time.Minute {
		t.Errorf("started %s, age %v", st.Start, st.Age)
	}
	if n := cuts(i, "p"); n != 1 {
		t.Errorf("%d servers are cut after a restart", n)
	}
	if st := i.Status().Pools[0].Level; st == nil || st.Level != "lean" {
		t.Errorf("level %+v", st)
	}
	if err := i.Release("p"); err != nil {
		t.Fatal(err)
	}
	stop()

	began := fmt.Sprintf("started = %q\n", time.Now().UTC().Format(time.RFC3339))
	text := inText + poolText("p", "ramp = \"1ms\"")
	for _, v := range s {
		text += fmt.Sprintf("[[pool.server]]\naddress = %q\n%s", v.Addr(), began)
	}
	i, _ = keeping(t, dir, parse(t, text+routeText("r", "/", "p", "read", "")))
	if n := cuts(i, "p"); n != 0 {
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
	if i, err = NewKeptInstance(parse(t, reading("", s)), nil, &Keeping{Store: store, Had: had, Every: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended, asked := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); i.Run(ctx) }()
	go func() {
		defer close(asked)
		for i.Status().Start == StartCold && ctx.Err() == nil {
		}
	}()
	if _, err := i.Reload(parse(t, reading("", s), other)); err != nil {
		t.Error(err)
	}
	<-asked
	if st := i.Status(); st.Start != StartWarm || st.Age <= 0 {
		t.Errorf("started %s, age %v", st.Start, st.Age)
	}
	cancel()
	<-ended
}
