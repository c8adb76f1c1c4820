package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"milletmast/internal/degradation"
	"milletmast/internal/fakeserver"
)

// levelText is the text of two levels, the first of them with the given lines.
func levelText(more string) string {
	return `
[[pool.level]]
name = "lean"
enter = [{ signal = "wait", over = 0.05 }]
for = "0s"
calm = "100ms"
least = "300ms"
off = "100ms"
ramp = "0s"
` + more + `
[[pool.level]]
name = "essential"
enter = [{ signal = "failed", over = 0.9 }]
attempts = 1
deadline = 0.2
[[pool.level.shed]]
class = "read"
body = "{\"later\":true}\n"
type = "application/json"
warning = "199 - \"reduced service\""
retry_after = "7s"
[[pool.level.shed]]
class = "add"
status = 200
body = "noted\n"
`
}

// halfOfReads makes a level shed half of the callers of class read.
const halfOfReads = "[[pool.level.shed]]\nclass = \"read\"\nshare = 0.5\n"

// levelOf returns the status of the levels of a pool.
func levelOf(t testing.TB, i *Instance, pool string) *degradation.Status {
	t.Helper()
	for _, p := range i.Status().Pools {
		if p.Name == pool && !p.Ending {
			return p.Level
		}
	}
	t.Fatalf("there is no pool %s", pool)
	return nil
}

// pin pins a level of the pool p.
func pin(t testing.TB, i *Instance, name string) {
	t.Helper()
	if err := i.Pin("p", name, time.Hour); err != nil {
		t.Fatal(err)
	}
}

// A request that a level sheds must get the response that the file sets, at once, and reach no server. A level with a share must shed
// the same callers each time. Other requests must have the attempts and the deadline of the level.
func TestShedByLevel(t *testing.T) {
	s := servers(t, "a", "b")
	i, _ := run(t, parse(t, inText, poolText("p", "level_caller = \"X-App\"", s...), levelText(halfOfReads),
		routeText("read", "/read", "p", "read", ""), routeText("pay", "/pay", "p", "pay", ""), routeText("add", "/add", "p", "add", "")))
	c := connect(t, i.Addresses()["in"])
	reached := func() int { return len(s[0].Records()) + len(s[1].Records()) }
	get := func(app int) int {
		res, _, err := c.ask("GET", fmt.Sprintf("GET /read HTTP/1.1\r\nHost: h\r\nX-App: %d\r\n\r\n", app))
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	pin(t, i, "lean")
	shed := map[int]bool{}
	for round := range 3 {
		before := reached()
		for app := range 60 {
			status := get(app)
			if status != 200 && status != 503 {
				t.Fatalf("status %d", status)
			}
			// A level sheds nothing if it would shed all requests: send requests that it keeps before the first update of the level.
			c.must(t, "POST", "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 200)
			if round == 0 {
				shed[app] = status == 503
			} else if shed[app] != (status == 503) {
				t.Errorf("round %d: caller %d gets status %d, another one than before", round, app, status)
			}
		}
		served := 0
		for _, out := range shed {
			if !out {
				served++
			}
		}
		// If the machine stalls, a read may be retried.
		if n := reached() - before - 60; served < 15 || served > 45 || n < served || n > served+5 {
			t.Errorf("%d of 60 callers are served, %d requests reached servers", served, n)
		}
	}
	pin(t, i, "essential")
	before := reached()
	began := time.Now()
	res, body, err := c.ask("GET", "GET /read HTTP/1.1\r\nHost: h\r\n\r\n")
	if err != nil || res.StatusCode != 503 || body != "{\"later\":true}\n" || res.Header.Get("Retry-After") != "7" ||
		res.Header.Get("Warning") != `199 - "reduced service"` || res.Header.Get("Content-Type") != "application/json" || time.Since(began) > time.Second {
		t.Errorf("%v, %v, %q after %v", err, res, body, time.Since(began))
	}
	if _, body := c.must(t, "POST", "POST /add HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n", 200); body != "noted\n" {
		t.Errorf("body %q", body)
	}
	if reached() != before {
		t.Error("a shed request reached a server")
	}
	c.must(t, "POST", "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 200)
	// The level allows one attempt, and 0.2 of the two seconds.
	s[0].SetFault(fakeserver.NotExecuted)
	s[1].SetFault(fakeserver.NotExecuted)
	before = reached()
	c.must(t, "POST", "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 503)
	if n := reached() - before; n != 1 {
		t.Errorf("%d attempts", n)
	}
	s[0].SetFault(fakeserver.NoResponse)
	s[1].SetFault(fakeserver.NoResponse)
	began = time.Now()
	c.must(t, "POST", "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 502)
	if took := time.Since(began); took > time.Second {
		t.Errorf("response after %v", took)
	}
	list := s[0].Records()
	if list = append(list, s[1].Records()...); len(list) == 0 {
		t.Fatal("no request reached a server")
	}
	for _, r := range list {
		left := 0.0
		if r.Fault == fakeserver.NoResponse {
			if _, _ = fmt.Sscan(r.Header.Get("X-Deadline"), &left); left <= 0 || left > 0.4 {
				t.Errorf("the server received X-Deadline %q", r.Header.Get("X-Deadline"))
			}
		}
	}
	if err := i.Unpin("p"); err != nil {
		t.Fatal(err)
	}
}

// A level must be entered when requests wait, with its reason in the status, and left when they no longer wait. The levels of another
// pool must not be affected.
func TestLevelsBySignals(t *testing.T) {
	s := servers(t, "a", "b")
	s[0].SetCores(1)
	s[0].SetWork(100 * time.Millisecond)
	i, _ := run(t, parse(t, inText, poolText("p", "level_window = \"300ms\"", s[0]), levelText(""), poolText("q", "", s[1]), levelText(""),
		routeText("p", "/p", "p", "read", ""), routeText("q", "/q", "q", "read", "")))
	addr := i.Addresses()["in"]
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { // more than the server can process, so that the decision module queues some
		defer close(done)
		var all []chan struct{}
		for {
			select {
			case <-stop:
				for _, c := range all {
					<-c
				}
				return
			case <-time.After(5 * time.Millisecond):
			}
			if len(all) > 200 {
				<-all[0]
				all = all[1:]
			}
			c := make(chan struct{})
			all = append(all, c)
			go func() {
				defer close(c)
				if res, err := http.Get("http://" + addr + "/p"); err == nil {
					res.Body.Close()
				}
			}()
		}
	}()
	until(t, "pool p is at a level", func() bool { return levelOf(t, i, "p").Level != degradation.Normal })
	st := levelOf(t, i, "p")
	if last := st.Changes[len(st.Changes)-1]; !strings.Contains(st.Reason, "wait >") && !strings.Contains(st.Reason, "failed >") ||
		st.By != degradation.BySignals ||
		last.To != st.Level {
		t.Errorf("%+v", st)
	}
	if st := levelOf(t, i, "q"); st.Level != degradation.Normal || st.ChangeCount != 0 {
		t.Errorf("the other pool: %+v", st)
	}
	close(stop)
	<-done
	http.DefaultClient.CloseIdleConnections()
	until(t, "pool p is back at the normal level", func() bool { return levelOf(t, i, "p").Level == degradation.Normal })
	if st := levelOf(t, i, "p"); st.ChangeCount < 2 || !st.EarliestLeave.IsZero() {
		t.Errorf("%+v", st)
	}
}

// A reload may rename, remove or keep the current level, also if it replaces the pool.
func TestLevelsOverReloads(t *testing.T) {
	s := servers(t, "a")
	file := func(more, levels string) string {
		return poolText("p", more, s...) + levels + routeText("read", "/", "p", "read", "")
	}
	i, _ := run(t, parse(t, inText, file("", levelText(""))))
	pin(t, i, "essential")
	load := func(text string) {
		t.Helper()
		if _, err := i.Reload(parse(t, inText, text)); err != nil {
			t.Fatal(err)
		}
	}
	is := func(want string) {
		t.Helper()
		until(t, "the level is "+want, func() bool {
			st := levelOf(t, i, "p")
			return want == "" && st == nil || st != nil && st.Level == want
		})
	}
	load(file("", strings.ReplaceAll(levelText(""), "essential", "only-paid")))
	is("only-paid")
	if st := levelOf(t, i, "p"); st.By != degradation.ByReload || !st.PinnedUntil.IsZero() {
		t.Errorf("%+v", st)
	}
	pin(t, i, "only-paid")
	load(file("attempts = 2", strings.ReplaceAll(levelText(""), "essential", "only-paid"))) // replaces the decision module
	is("only-paid")
	if st := levelOf(t, i, "p"); st.PinnedUntil.IsZero() {
		t.Errorf("the pin is lost: %+v", st)
	}
	only, _, _ := strings.Cut(levelText(""), "\n[[pool.level]]\nname = \"essential\"")
	load(file("attempts = 2", only))
	is("lean")
	load(file("attempts = 2", ""))
	is("")
	if err := i.Pin("p", "lean", time.Minute); !errors.Is(err, ErrNoLevels) {
		t.Errorf("%v", err)
	}
	load(file("attempts = 2", levelText("")))
	is(degradation.Normal)
	for want, err := range map[error]error{
		degradation.ErrUnknownLevel: i.Pin("p", "none", time.Minute), ErrUnknownPool: i.Unpin("none"),
	} {
		if !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	if err := i.Pin("p", "lean", 25*time.Hour); err == nil {
		t.Error("pinned for more than a day")
	}
}

// The signals must include the share of usable servers, which excludes draining ones, and the share of warm ones, which excludes a part
// of servers that have just started.
func TestServerStateSignals(t *testing.T) {
	s := servers(t, "a", "b", "c", "d")
	text := strings.Replace(poolText("p", "ramp = \"1h\"\ncold_from = 0.2", s...), "address = \""+s[0].Addr()+"\"",
		"address = \""+s[0].Addr()+"\"\nstate = \"draining\"", 1)
	text = strings.Replace(text, "address = \""+s[1].Addr()+"\"", "address = \""+s[1].Addr()+"\"\nstarted = \""+time.Now().UTC().Format(time.RFC3339)+"\"", 1)
	i, _ := run(t, parse(t, inText, text, levelText(""), routeText("read", "/", "p", "read", "")))
	until(t, "the status has the signals", func() bool {
		st := levelOf(t, i, "p")
		return st.Signals[degradation.UsableRatio] == 0.75 && st.Signals[degradation.WarmRatio] > 2.2/3-0.01 &&
			st.Signals[degradation.WarmRatio] < 2.2/3+0.01
	})
}

// A gRPC call that a level sheds must get UNAVAILABLE and reach no server.
func TestShedRPC(t *testing.T) {
	s := servers(t, "a")
	shed := "\n[[pool.level]]\nname = \"lean\"\nenter = [{ signal = \"wait\", over = 1 }]\n[[pool.level.shed]]\nclass = \"read\"\nretry_after = \"3s\"\n"
	i, _ := run(t, parse(t, rpcText, rpcPool("p", "", s...), shed, rpcRoutes("p")))
	cc := dialRPC(t, i.Addresses()["in"])
	if _, err := unary(cc, "/read.S/Get", "hi"); err != nil {
		t.Fatal(err)
	}
	pin(t, i, "lean")
	before, _, _, _ := s[0].Counts()
	_, err := unary(cc, "/read.S/Get", "hi")
	if status.Code(err) != codes.Unavailable {
		t.Errorf("%v", err)
	}
	if after, _, _, _ := s[0].Counts(); after != before {
		t.Error("a shed call reached a server")
	}
}
