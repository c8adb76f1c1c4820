package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"milletmast/internal/budget"
	"milletmast/internal/fakeserver"
	"milletmast/internal/freeport"
	"milletmast/internal/trace"
)

const innerText = "\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\ninner = true\n"

// contextText is the part of a file that has calls carry a context.
func contextText(id string, retries int, more string) string {
	return fmt.Sprintf("\n[context]\nid = %q\nretries = %d\n%s\n", id, retries, more)
}

// at is the text of a server at an address.
func at(addr string) string { return fmt.Sprintf("[[pool.server]]\naddress = %q\n", addr) }

func newApp(t testing.TB, next string, fan int, passes bool, lose func() bool) *fakeserver.App {
	t.Helper()
	o := fakeserver.AppOptions{Next: next, Calls: fan, LoseResponse: lose, FinalHeaders: []string{outcomeHeader}, PassHeaders: []string{"X-Call", "Idempotency-Key"}}
	if passes {
		o.PassHeaders = append(o.PassHeaders, budget.Header)
	}
	a, err := fakeserver.NewApp(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// seeded gives true for a share of the draws.
func seeded(seed uint64, share float64) func() bool {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 9))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < share
	}
}

// failing has a share of what a server is sent fail after it has run.
func failing(s *fakeserver.Server, seed uint64, share float64) {
	draw := seeded(seed, share)
	s.SetFaultFunc(func(r *http.Request) fakeserver.Fault {
		if r != nil && draw() {
			return fakeserver.Error500
		}
		return fakeserver.NoFault
	})
}

// chain runs tiers of sidecars, with an app between each two, over servers of the last tier; it gives the first's address.
func chain(t *testing.T, tiers, fan, retries int, passes bool, pool string, lose func() bool, last ...*fakeserver.Server) string {
	t.Helper()
	addr := ""
	plain := pool
	for tier := tiers; tier >= 1; tier-- {
		servers, pool := "", plain
		if tier == tiers {
			pool += "leaf = true\n"
			for _, s := range last {
				servers += at(s.Addr())
			}
		} else {
			for range 3 {
				servers += at(newApp(t, addr, fan, passes, lose).Addr())
			}
		}
		text, in := "", innerText
		if passes {
			text = contextText(fmt.Sprint("tier", tier), retries, "")
		} else {
			in = inText
		}
		if tier == 1 {
			in = inText
		}
		i, _ := launch(t, parse(t, text, in, poolText("p", pool), servers, routeText("r", "/", "p", "read", "")))
		addr = i.Addresses()["in"]
	}
	return addr
}

// play makes requests, a few at a time, and gives how many were served.
func playRoots(t *testing.T, addr string, count int) (served int) {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: patience}
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan int)
	for range 3 {
		all.Go(func() {
			for n := range next {
				r, _ := http.NewRequest("GET", "http://"+addr+"/x", nil)
				r.Header.Set("X-Call", fmt.Sprint(n))
				answer, err := client.Do(r)
				if err != nil {
					t.Error(err)
					continue
				}
				answer.Body.Close()
				mu.Lock()
				if answer.StatusCode == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	for n := range count {
		next <- n
	}
	close(next)
	all.Wait()
	return served
}

// byRoot counts what reached the last tier for each request of the outside.
func byRoot(servers []*fakeserver.Server) (total, most int) {
	count := map[string]int{}
	for _, s := range servers {
		for _, r := range s.Records() {
			count[r.Header.Get("X-Call")]++
			total++
		}
	}
	for _, n := range count {
		most = max(most, n)
	}
	return total, most
}

const unthrottled = "attempts = 4\nretry_window = \"1s\"\nretry_share = 1.0\nretry_free = 100000\n"

// TestTreeStaysWithinItsBound lets servers fail and answers get lost, with nothing else to hold retries back: no request of the
// outside may cause more than (1+R)*F attempts at the last tier. Without contexts the same does.
func TestTreeStaysWithinItsBound(t *testing.T) {
	for _, c := range []struct{ tiers, fan, retries, roots int }{{2, 1, 2, 100}, {2, 3, 3, 60}, {3, 2, 2, 40}} {
		t.Run(fmt.Sprintf("%d tiers, fan-out %d, R=%d", c.tiers, c.fan, c.retries), func(t *testing.T) {
			for _, passes := range []bool{true, false} {
				last := servers(t, "a", "b", "c", "d")
				for n, s := range last {
					failing(s, uint64(n), 0.5)
				}
				addr := chain(t, c.tiers, c.fan, c.retries, passes, unthrottled, seeded(7, 0.2), last...)
				playRoots(t, addr, c.roots)
				total, most := byRoot(last)
				calls := 1
				for range c.tiers - 1 {
					calls *= c.fan
				}
				bound := (1 + c.retries) * calls
				t.Logf("contexts %v: %d attempts at the last tier, most for a root %d, bound %d", passes, total, most, bound)
				if passes && most > bound {
					t.Errorf("%d attempts for one request, over %d", most, bound)
				}
				if !passes && most <= bound {
					t.Errorf("%d attempts without contexts: the bound was not tried", most)
				}
			}
		})
	}
}

// TestWorkAtTheLastTier has its servers fail every second attempt, with the retry budgets as they come.
func TestWorkAtTheLastTier(t *testing.T) {
	const roots = 300
	work := map[bool]float64{}
	for _, passes := range []bool{true, false} {
		last := servers(t, "a", "b", "c", "d")
		for n, s := range last {
			failing(s, uint64(n), 0.5) // each alike: none can be left out
		}
		pool := "attempts = 4\n"
		if !passes {
			pool = unthrottled
		}
		addr := chain(t, 2, 1, 2, passes, pool, func() bool { return false }, last...)
		served := playRoots(t, addr, roots)
		total, _ := byRoot(last)
		work[passes] = float64(total) / roots
		t.Logf("contexts %v: %.3f attempts at the last tier for each request, %d of %d served", passes, work[passes], served, roots)
	}
	if work[true] >= 1.2 || work[true] >= work[false] {
		t.Errorf("work %v with contexts, %v without", work[true], work[false])
	}
}

// TestLoopIsCaught leads two sidecars to each other.
func TestLoopIsCaught(t *testing.T) {
	for _, front := range []string{"http", "grpc"} {
		t.Run(front, func(t *testing.T) {
			addrs := []string{freeport.AddressForTest(t), freeport.AddressForTest(t)}
			for n := range 2 {
				in := strings.Replace(innerText, "127.0.0.1:0", addrs[n], 1) + fmt.Sprintf("front = %q\n", front)
				pool := poolText("p", fmt.Sprintf("protocol = %q\n", front))
				launch(t, parse(t, contextText(fmt.Sprint("side-", n), 2, ""), in, pool, at(addrs[1-n]), routeText("circle", "/", "p", "read", "")))
			}
			if front == "grpc" {
				cc := dialRPC(t, addrs[0])
				for range 100 {
					_, err := unary(cc, "/a.B/C", "x")
					want := fmt.Sprintf("loop: %s > %s > %s (side-0), by route circle", hashHopID("side-0"), hashHopID("side-1"), hashHopID("side-0"))
					if st := status.Convert(err); st.Code() != codes.Unknown || st.Message() != want {
						t.Fatal(err)
					}
				}
				return
			}
			for range 100 {
				answer, err := http.Get("http://" + addrs[0] + "/x")
				if err != nil {
					t.Fatal(err)
				}
				text, _ := io.ReadAll(answer.Body)
				answer.Body.Close()
				want := fmt.Sprintf("loop: %s > %s > %s (side-0), by route circle\n", hashHopID("side-0"), hashHopID("side-1"), hashHopID("side-0"))
				if answer.StatusCode != http.StatusLoopDetected || string(text) != want {
					t.Fatalf("%d %q, want %q", answer.StatusCode, text, want)
				}
			}
		})
	}
}

// TestContextsAreBelievedInside sends contexts to an outer and an inner listener, and looks at what the server gets.
func TestContextsAreBelievedInside(t *testing.T) {
	s := servers(t, "a")[0]
	outer := strings.Replace(inText, "name = \"in\"", "name = \"out\"", 1)
	i, _ := launch(t, parse(t, contextText("me", 2, ""), innerText, "max_worth = 20\n", outer, poolText("p", "", s), routeText("r", "/", "p", "read", "")))
	sound := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", Worth: 12, TimeLeft: 900 * time.Millisecond, Retries: 1, Path: []string{"aaaaaaaa"}}
	greedy := sound
	greedy.Worth, greedy.Retries, greedy.Attempt = 1e6, 99, "89abcdef"
	ask := func(listener string, values ...string) (int, *budget.Context) {
		t.Helper()
		r, _ := http.NewRequest("GET", "http://"+i.Addresses()[listener]+"/x", nil)
		r.Header[budget.Header] = values
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		records := s.Records()
		if answer.StatusCode != http.StatusOK {
			return answer.StatusCode, nil
		}
		last := records[len(records)-1].Header[budget.Header]
		if len(last) != 1 {
			t.Fatalf("the server got %q", last)
		}
		c, err := budget.Parse(last[0])
		if err != nil {
			t.Fatal(err)
		}
		return answer.StatusCode, c
	}
	if _, c := ask("in", sound.String()); c.Root != sound.Root || c.Attempt == sound.Attempt || c.Worth != 12 || c.Retries != 1 ||
		c.TimeLeft > 900*time.Millisecond || c.TimeLeft < 500*time.Millisecond || fmt.Sprint(c.Path) != fmt.Sprint([]string{"aaaaaaaa", hashHopID("me")}) {
		t.Errorf("believed: %+v", c)
	}
	if _, c := ask("in", greedy.String()); c.Worth != 20 || c.Retries != 1 {
		t.Errorf("over what is allowed: %+v", c)
	}
	if _, c := ask("out", sound.String()); c.Root == sound.Root || c.Worth != 1 || c.Retries != 1 || c.Hops() != 1 || c.TimeLeft < time.Second {
		t.Errorf("from outside: %+v", c)
	}
	reached := len(s.Records())
	for _, bad := range [][]string{{sound.String()[:30]}, {sound.String(), sound.String()}, {strings.Repeat("x", 8<<10)}, {""}, {"2" + sound.String()[1:]}} {
		if code, _ := ask("in", bad...); code != http.StatusBadRequest {
			t.Errorf("%.60q: %d", bad, code)
		}
		if code, c := ask("out", bad...); code != http.StatusOK || c.Hops() != 1 {
			t.Errorf("%.60q from outside: %d", bad, code)
		}
	}
	if n := len(s.Records()); n != reached+5 {
		t.Errorf("%d requests reached the server", n-reached)
	}
	if n := i.current.callTrees.invalidContexts.Load(); n != 5 {
		t.Errorf("%d bad contexts are counted", n)
	}
	if code, _ := ask("out", strings.Replace(sound.String(), "aaaaaaaa", hashHopID("me"), 1)); code != http.StatusLoopDetected {
		t.Errorf("%d for a call that has come back from outside", code)
	}
	full := sound
	full.Path = strings.Split(strings.Repeat("aaaaaaaa ", budget.MaxHops)[:budget.MaxHops*9-1], " ")
	if code, _ := ask("in", full.String()); code != http.StatusLoopDetected {
		t.Errorf("%d after %d hops", code, budget.MaxHops)
	}
}

// TestTierBehindHasTheLastWord has the tier behind say that a call ran, or that its retries are spent: it is not sent again.
func TestTierBehindHasTheLastWord(t *testing.T) {
	for _, c := range []struct{ answer, class string }{
		{"HTTP/1.1 502 Bad Gateway\r\nX-Call-Outcome: ran\r\nContent-Length: 0\r\n\r\n", "read"},
		{"HTTP/1.1 502 Bad Gateway\r\nX-Call-Outcome: spent\r\nContent-Length: 0\r\n\r\n", "read"},
		{"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Call-Outcome: spent\r\nContent-Length: 0\r\n\r\n", "pay"},
		{"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", ""}, // one that says nothing is tried again
	} {
		var mu sync.Mutex
		count := 0
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var running sync.WaitGroup
		running.Go(func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				running.Go(func() {
					defer conn.Close()
					head := make([]byte, 4096)
					for {
						if n, err := conn.Read(head); err != nil || !bytes.Contains(head[:n], []byte("X-Call-Context: 1;")) {
							return
						}
						mu.Lock()
						count++
						mu.Unlock()
						_, _ = io.WriteString(conn, c.answer)
					}
				})
			}
		})
		class, want := c.class, 1
		if class == "" {
			class, want = "read", 2 // of two retries one was handed down
		}
		i, stop := launch(t, parse(t, contextText("me", 2, ""), innerText, poolText("p", ""), at(ln.Addr().String()), routeText("r", "/", "p", class, "")))
		answer, err := http.Get("http://" + i.Addresses()["in"] + "/x")
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		mu.Lock()
		if count != want || answer.StatusCode < 500 {
			t.Errorf("%q: %d attempts, answered %d", c.answer, count, answer.StatusCode)
		}
		mu.Unlock()
		word, notRun := answer.Header.Get(outcomeHeader), answer.Header.Get("X-Not-Run")
		if class == "pay" && (word != "" || notRun != "1") || class == "read" && word != "ran" {
			t.Errorf("%q: the tier before is told %q, not run %q", c.answer, word, notRun)
		}
		stop()
		ln.Close()
		running.Wait()
	}
}

// TestNothingRunsTwiceBehind has the tier before send calls again that may have run: those that must not run twice are not sent,
// whatever this tier remembers.
func TestNothingRunsTwiceBehind(t *testing.T) {
	s := servers(t, "a")[0]
	pool := poolText("p", "", s) + "[[pool.class]]\nname = \"everywhere\"\naim = \"1s\"\ngive_up = \"2s\"\neffect = \"keyed\"\ngroup = \"all\"\nwindow = \"10s\"\n"
	text := ""
	for _, class := range []string{"read", "pay", "add", "everywhere"} {
		text += routeText(class, "/"+class, "p", class, "")
	}
	i, _ := launch(t, parse(t, contextText("me", 2, ""), innerText, pool, text))
	for _, c := range []struct {
		class string
		again bool
		since time.Duration
		sent  bool
	}{
		{"read", true, time.Hour, true}, {"pay", false, 0, true}, {"pay", true, 0, false}, {"add", false, 0, true}, {"add", true, 0, false},
		{"everywhere", true, 9 * time.Second, true}, {"everywhere", true, 10 * time.Second, false}, {"everywhere", false, 0, true},
	} {
		before := len(s.Records())
		k := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", Worth: 1, TimeLeft: 5 * time.Second, Path: []string{"aaaaaaaa"}, MayHaveExecuted: c.again, FirstSentAgo: c.since}
		r, _ := http.NewRequest("POST", "http://"+i.Addresses()["in"]+"/"+c.class, nil)
		r.Header.Set(budget.Header, k.String())
		r.Header.Set("Idempotency-Key", "7")
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		sent := len(s.Records()) > before
		if sent != c.sent || !sent && (answer.StatusCode != statusFailed || answer.Header.Get(outcomeHeader) != "ran") {
			t.Errorf("%+v: sent %v, answered %d %v", c, sent, answer.StatusCode, answer.Header)
		}
		if sent {
			records := s.Records()
			got, err := budget.Parse(records[len(records)-1].Header.Get(budget.Header))
			if err != nil || got.MayHaveExecuted != c.again || got.FirstSentAgo < c.since || got.FirstSentAgo > c.since+time.Second {
				t.Errorf("%+v: it goes on as %+v, %v", c, got, err)
			}
		}
	}
}

// TestLostAnswerDoesNotRunTwice loses the answer of a middle tier: the front sends the keyed call again within its group, and
// the calls that it makes behind, which may not run twice, reach the last tier once.
func TestLostAnswerDoesNotRunTwice(t *testing.T) {
	last := servers(t, "a")[0]
	back, _ := launch(t, parse(t, contextText("back", 2, ""), innerText, poolText("p", "leaf = true\n", last), routeText("r", "/", "p", "pay", "")))
	first := true
	var mu sync.Mutex
	a := newApp(t, back.Addresses()["in"], 1, true, func() bool {
		mu.Lock()
		defer mu.Unlock()
		lost := first
		first = false
		return lost
	})
	front, _ := launch(t, parse(t, contextText("front", 2, ""), inText, poolText("q", ""), at(a.Addr()), routeText("r", "/", "q", "add", "")))
	r, _ := http.NewRequest("GET", "http://"+front.Addresses()["in"]+"/x", nil)
	r.Header.Set("Idempotency-Key", "7")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if n := len(last.Records()); n != 1 || a.Requests() != 2 || answer.StatusCode != statusFailed {
		t.Errorf("%d calls reached the last tier, %d the middle; answered %d", n, a.Requests(), answer.StatusCode)
	}
}

// TestTimeOfTheTierBefore has a server hang: the call ends by the time that the tier before has, not by its class's.
func TestTimeOfTheTierBefore(t *testing.T) {
	s := servers(t, "a")[0]
	s.SetFault(fakeserver.NoResponse)
	i, _ := launch(t, parse(t, contextText("me", 2, ""), innerText, poolText("p", "", s), routeText("r", "/", "p", "pay", "")))
	k := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", Worth: 1, TimeLeft: 300 * time.Millisecond, Path: []string{"aaaaaaaa"}}
	r, _ := http.NewRequest("GET", "http://"+i.Addresses()["in"]+"/x", nil)
	r.Header.Set(budget.Header, k.String())
	begun := time.Now()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if took := time.Since(begun); answer.StatusCode != statusFailed || took > time.Second || took < 200*time.Millisecond {
		t.Errorf("%d after %v", answer.StatusCode, took)
	}
}

// TestCancelGoesDown has the caller of the first tier leave while the last one works: the attempts of both tiers end.
func TestCancelGoesDown(t *testing.T) {
	s := servers(t, "a")[0]
	s.SetFault(fakeserver.NoResponse)
	back, _ := launch(t, parse(t, contextText("back", 2, ""), innerText, poolText("p", "leaf = true\n", s), routeText("r", "/", "p", "read", "")))
	a := newApp(t, back.Addresses()["in"], 1, true, nil)
	front, _ := launch(t, parse(t, contextText("front", 2, ""), inText, poolText("q", ""), at(a.Addr()), routeText("r", "/", "q", "read", "")))
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+front.Addresses()["in"]+"/x", nil)
	left := make(chan struct{})
	go func() {
		defer close(left)
		if answer, err := http.DefaultClient.Do(r); err == nil {
			answer.Body.Close()
		}
	}()
	wait := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	wait("the last tier is not reached", func() bool { return len(s.Records()) > 0 })
	cancel()
	<-left
	begun := time.Now()
	wait("a call stays open", func() bool { return front.Status().Pools[0].Open+back.Status().Pools[0].Open == 0 })
	if took := time.Since(begun); took > 500*time.Millisecond { // the class would give up after 2 s
		t.Errorf("open for %v more", took)
	}
}

// TestOldSidecarBetween has one between two that knows no contexts: it passes them on.
func TestOldSidecarBetween(t *testing.T) {
	s := servers(t, "a")[0]
	back, _ := launch(t, parse(t, contextText("back", 2, ""), innerText, poolText("p", "", s), routeText("r", "/", "p", "read", "")))
	old, _ := launch(t, parse(t, inText, poolText("p", ""), at(back.Addresses()["in"]), routeText("r", "/", "p", "read", "")))
	front, _ := launch(t, parse(t, contextText("front", 2, ""), inText, poolText("p", ""), at(old.Addresses()["in"]), routeText("r", "/", "p", "read", "")))
	if n := playRoots(t, front.Addresses()["in"], 3); n != 3 {
		t.Fatalf("%d served", n)
	}
	for _, r := range s.Records() {
		c, err := budget.Parse(r.Header.Get(budget.Header))
		if err != nil || fmt.Sprint(c.Path) != fmt.Sprint([]string{hashHopID("front"), hashHopID("back")}) {
			t.Error(c, err)
		}
	}
}

// TestRPCContext carries a context in metadata.
func TestRPCContext(t *testing.T) {
	s := newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) { _ = p.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
	i, _ := launch(t, parse(t, contextText("me", 1, ""), strings.Replace(rpcText, "max_body", "inner = true\nmax_body", 1), rpcPool("p", "attempts = 4\nleaf = true\n"), s.server(), rpcRoutes("p")))
	c := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", Worth: 12, TimeLeft: time.Second, Retries: 1, Path: []string{"aaaaaaaa"}}
	cc := dialRPC(t, i.Addresses()["in"])
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), contextName, c.String()), patience)
	defer cancel()
	in, out := []byte("x"), []byte(nil)
	if err := cc.Invoke(ctx, "/pay.S/M", &in, &out); status.Code(err) != codes.Unavailable {
		t.Error(err)
	}
	if s.count() != 2 { // one, and one for the only retry
		t.Errorf("%d attempts", s.count())
	}
	got, err := budget.Parse(fakeserver.FieldValue(s.heads[:1], s.heads[0].Stream, contextName))
	if err != nil || got.Root != c.Root || got.Hops() != 2 {
		t.Error(got, err)
	}
}

// TestTraceJoinsTiers reads the traces of two tiers as one tree.
func TestTraceJoinsTiers(t *testing.T) {
	s := servers(t, "a")[0]
	failing(s, 3, 0.5)
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "front"), filepath.Join(dir, "back")}
	sampled := func(n int) string { return fmt.Sprintf("sample = 1.0\ntrace = %q\n", files[n]) }
	back, stopBack := launch(t, parse(t, contextText("back", 3, sampled(1)), innerText, poolText("p", unthrottled, s), routeText("r", "/", "p", "read", "")))
	a := newApp(t, back.Addresses()["in"], 2, true, func() bool { return false })
	front, stopFront := launch(t, parse(t, contextText("front", 3, sampled(0)), inText, poolText("q", unthrottled), at(a.Addr()), routeText("r", "/", "q", "read", "")))
	playRoots(t, front.Addresses()["in"], 20)
	stopFront()
	stopBack()
	var all []trace.Attempt
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		list, err := trace.Read(path, bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, list...)
	}
	parents := map[string]bool{"00000000": true}
	for _, a := range all {
		parents[a.ID] = true
	}
	last := 0
	for _, a := range all {
		if !parents[a.Parent] || a.Hop != map[string]int{"front": 0, "back": 1}[a.Sidecar] {
			t.Errorf("%+v has no parent in the files", a)
		}
		if a.Sidecar == "back" && a.Outcome != "not-sent" {
			last++
		}
	}
	if reached := len(s.Records()); last != reached {
		t.Errorf("%d attempts in the traces, %d at the server", last, reached)
	}
	var out bytes.Buffer
	if err := trace.Print(&out, all, all[0].Root); err != nil || !strings.Contains(out.String(), "\n  front q/read") || !strings.Contains(out.String(), "\n    back p/read") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// narrow has a server work on one request after the other, and tell what it will take at its arrival.
func narrow(s *fakeserver.Server, each time.Duration) {
	var mu sync.Mutex
	var free time.Time
	s.SetWorkFunc(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if free.Before(now) {
			free = now
		}
		free = free.Add(each)
		return free.Sub(now)
	})
}

// TestWorthIsProtectedBehind overloads a last tier with calls of one class that stem from requests worth 12 and 1. With the
// worth carried it serves more worth than without, on each seed.
func TestWorthIsProtectedBehind(t *testing.T) {
	const seeds = 5
	worth := [seeds][2]float64{}
	var all sync.WaitGroup
	var mu sync.Mutex
	for seed := range seeds {
		for carried := range 2 {
			list := servers(t, "a", "b")
			for _, s := range list {
				narrow(s, 20*time.Millisecond) // 100 a second together
			}
			i, _ := launch(t, parse(t, contextText("me", 0, ""), innerText, poolText("p", "attempts = 1\n", list...), routeText("r", "/", "p", "read", "")))
			all.Go(func() {
				transport := &http.Transport{MaxIdleConnsPerHost: 100}
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport}
				r := rand.New(rand.NewPCG(uint64(seed), 5))
				var calls sync.WaitGroup
				for n := range 900 { // 300 a second
					w := 1.0
					if r.IntN(6) == 0 {
						w = 12
					}
					time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second/300)))
					calls.Go(func() {
						c := budget.Context{Root: fmt.Sprintf("%016x", n+1), Attempt: fmt.Sprintf("%08x", n), Worth: 1, TimeLeft: time.Second, Path: []string{"aaaaaaaa"}}
						if carried == 1 {
							c.Worth = w
						}
						q, _ := http.NewRequest("GET", "http://"+i.Addresses()["in"]+"/x", nil)
						q.Header.Set(budget.Header, c.String())
						answer, err := client.Do(q)
						if err != nil {
							t.Error(err)
							return
						}
						answer.Body.Close()
						if answer.StatusCode == http.StatusOK {
							mu.Lock()
							worth[seed][carried] += w
							mu.Unlock()
						}
					})
				}
				calls.Wait()
			})
		}
	}
	all.Wait()
	for seed, w := range worth {
		t.Logf("seed %d: worth served %.0f without, %.0f with worth carried", seed, w[0], w[1])
		if w[1] <= w[0] {
			t.Errorf("seed %d: worth %.0f without, %.0f with", seed, w[0], w[1])
		}
	}
}
