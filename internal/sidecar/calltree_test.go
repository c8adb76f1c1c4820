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
	"slices"
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

// innerText is a listener that trusts call contexts.
const innerText = "\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\ninner = true\n"

// contextText is the section of an operator file that enables call contexts.
func contextText(id string, retries int, more string) string {
	return fmt.Sprintf("\n[context]\nid = %q\nretries = %d\n%s\n", id, retries, more)
}

// serverText is a server of an operator file.
func serverText(addr string) string { return fmt.Sprintf("[[pool.server]]\naddress = %q\n", addr) }

// newApp starts an app that makes calls to next for each request. With forwardsContext it passes call contexts on.
func newApp(t testing.TB, next string, calls int, forwardsContext bool, loseResponse func() bool) *fakeserver.App {
	t.Helper()
	o := fakeserver.AppOptions{Next: next, Calls: calls, LoseResponse: loseResponse, FinalHeaders: []string{outcomeHeader}, PassHeaders: []string{"X-Call", "Idempotency-Key"}}
	if forwardsContext {
		o.PassHeaders = append(o.PassHeaders, budget.Header)
	}
	a, err := fakeserver.NewApp(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// randomBools returns a function that returns true for a share of its calls.
func randomBools(seed uint64, share float64) func() bool {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 9))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < share
	}
}

// failShare makes a share of the requests to a server fail after they were executed.
func failShare(s *fakeserver.Server, seed uint64, share float64) {
	fails := randomBools(seed, share)
	s.SetFaultFunc(func(r *http.Request) fakeserver.Fault {
		if r != nil && fails() {
			return fakeserver.Error500
		}
		return fakeserver.NoFault
	})
}

// startTiers runs tiers of sidecars with an app between each two, in front of the servers of the last tier. It returns the address
// of the first tier.
func startTiers(t *testing.T, tiers, fan, retries int, withContexts bool, pool string, lose func() bool, last ...*fakeserver.Server) string {
	t.Helper()
	addr := ""
	plain := pool
	for tier := tiers; tier >= 1; tier-- {
		servers, pool := "", plain
		if tier == tiers {
			pool += "leaf = true\n"
			for _, s := range last {
				servers += serverText(s.Addr())
			}
		} else {
			for range 3 {
				servers += serverText(newApp(t, addr, fan, withContexts, lose).Addr())
			}
		}
		text, in := "", innerText
		if withContexts {
			text = contextText(fmt.Sprint("tier", tier), retries, "")
		} else {
			in = inText
		}
		if tier == 1 {
			in = inText
		}
		i, _ := runWithoutLeakCheck(t, parse(t, text, in, poolText("p", pool), servers, routeText("r", "/", "p", "read", "")))
		addr = i.Addresses()["in"]
	}
	return addr
}

// sendRootRequests sends requests from outside, three at a time, and returns how many were served.
func sendRootRequests(t *testing.T, addr string, count int) (served int) {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan int)
	for range 3 {
		all.Go(func() {
			for n := range next {
				r, _ := http.NewRequest("GET", "http://"+addr+"/x", nil)
				r.Header.Set("X-Call", fmt.Sprint(n))
				res, err := client.Do(r)
				if err != nil {
					t.Error(err)
					continue
				}
				res.Body.Close()
				mu.Lock()
				if res.StatusCode == http.StatusOK {
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

// countByRoot returns how many requests reached the last tier, in total and at most for one request from outside.
func countByRoot(servers []*fakeserver.Server) (total, most int) {
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

// unlimitedRetries is the part of a pool that lifts its own limits on retries.
const unlimitedRetries = "attempts = 4\nretry_window = \"1s\"\nretry_share = 1.0\nretry_free = 100000\n"

// With call contexts, no request from outside may cause more than (1+R)*F attempts at the last tier, even if servers fail, responses
// get lost and nothing else limits retries. Without contexts the same faults must exceed that bound.
func TestTreeRetryBound(t *testing.T) {
	for _, c := range []struct{ tiers, fan, retries, roots int }{{2, 1, 2, 100}, {2, 3, 3, 60}, {3, 2, 2, 40}} {
		t.Run(fmt.Sprintf("%d tiers, fan-out %d, R=%d", c.tiers, c.fan, c.retries), func(t *testing.T) {
			for _, withContexts := range []bool{true, false} {
				last := servers(t, "a", "b", "c", "d")
				for n, s := range last {
					failShare(s, uint64(n), 0.5)
				}
				addr := startTiers(t, c.tiers, c.fan, c.retries, withContexts, unlimitedRetries, randomBools(7, 0.2), last...)
				sendRootRequests(t, addr, c.roots)
				total, most := countByRoot(last)
				calls := 1
				for range c.tiers - 1 {
					calls *= c.fan
				}
				bound := (1 + c.retries) * calls
				t.Logf("contexts %v: %d attempts at the last tier, most for one root request %d, bound %d", withContexts, total, most, bound)
				if withContexts && most > bound {
					t.Errorf("%d attempts for one request, over %d", most, bound)
				}
				if !withContexts && most <= bound {
					t.Errorf("%d attempts without contexts: the faults did not exercise the bound", most)
				}
			}
		})
	}
}

// If the servers of the last tier fail every second attempt, retries with call contexts and the default retry budgets must cause less
// than 1.2 attempts for each request there, and less than unlimited retries without contexts.
func TestAttemptsAtLastTier(t *testing.T) {
	const roots = 300
	attempts := map[bool]float64{}
	for _, withContexts := range []bool{true, false} {
		last := servers(t, "a", "b", "c", "d")
		for n, s := range last {
			failShare(s, uint64(n), 0.5) // all alike, so that none is avoided
		}
		pool := "attempts = 4\n"
		if !withContexts {
			pool = unlimitedRetries
		}
		addr := startTiers(t, 2, 1, 2, withContexts, pool, func() bool { return false }, last...)
		served := sendRootRequests(t, addr, roots)
		total, _ := countByRoot(last)
		attempts[withContexts] = float64(total) / roots
		t.Logf("contexts %v: %.3f attempts at the last tier for each request, %d of %d served", withContexts, attempts[withContexts], served, roots)
	}
	if attempts[true] >= 1.2 || attempts[true] >= attempts[false] {
		t.Errorf("%v attempts for each request with contexts, %v without", attempts[true], attempts[false])
	}
}

// If two sidecars route calls to each other, the call must be rejected with the path of the loop.
func TestCallLoopIsRejected(t *testing.T) {
	for _, front := range []string{"http", "grpc"} {
		t.Run(front, func(t *testing.T) {
			addrs := []string{freeport.AddressForTest(t), freeport.AddressForTest(t)}
			for n := range 2 {
				in := strings.Replace(innerText, "127.0.0.1:0", addrs[n], 1) + fmt.Sprintf("front = %q\n", front)
				pool := poolText("p", fmt.Sprintf("protocol = %q\n", front))
				runWithoutLeakCheck(t, parse(t, contextText(fmt.Sprint("side-", n), 2, ""), in, pool, serverText(addrs[1-n]), routeText("circle", "/", "p", "read", "")))
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
				res, err := http.Get("http://" + addrs[0] + "/x")
				if err != nil {
					t.Fatal(err)
				}
				text, _ := io.ReadAll(res.Body)
				res.Body.Close()
				want := fmt.Sprintf("loop: %s > %s > %s (side-0), by route circle\n", hashHopID("side-0"), hashHopID("side-1"), hashHopID("side-0"))
				if res.StatusCode != http.StatusLoopDetected || string(text) != want {
					t.Fatalf("%d %q, want %q", res.StatusCode, text, want)
				}
			}
		})
	}
}

// A listener with inner = true must trust received contexts up to its limits and reject invalid ones. Any other listener must replace
// them, but still reject a call that has passed the sidecar before.
func TestContextsAreTrustedOnInnerListeners(t *testing.T) {
	s := servers(t, "a")[0]
	outer := strings.Replace(inText, "name = \"in\"", "name = \"out\"", 1)
	i, _ := runWithoutLeakCheck(t, parse(t, contextText("me", 2, ""), innerText, "max_worth = 20\n", outer, poolText("p", "", s), routeText("r", "/", "p", "read", "")))
	valid := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", PriorityWeight: 12, TimeLeft: 900 * time.Millisecond, Retries: 1, Path: []string{"aaaaaaaa"}}
	excessive := valid
	excessive.PriorityWeight, excessive.Retries, excessive.Attempt = 1e6, 99, "89abcdef"
	send := func(listener string, values ...string) (int, *budget.Context) {
		t.Helper()
		r, _ := http.NewRequest("GET", "http://"+i.Addresses()[listener]+"/x", nil)
		r.Header[budget.Header] = values
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		records := s.Records()
		if res.StatusCode != http.StatusOK {
			return res.StatusCode, nil
		}
		last := records[len(records)-1].Header[budget.Header]
		if len(last) != 1 {
			t.Fatalf("the server got %q", last)
		}
		c, err := budget.Parse(last[0])
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, c
	}
	if _, c := send("in", valid.String()); c.Root != valid.Root || c.Attempt == valid.Attempt || c.PriorityWeight != 12 || c.Retries != 1 ||
		c.TimeLeft > 900*time.Millisecond || c.TimeLeft < 500*time.Millisecond || fmt.Sprint(c.Path) != fmt.Sprint([]string{"aaaaaaaa", hashHopID("me")}) {
		t.Errorf("trusted: %+v", c)
	}
	if _, c := send("in", excessive.String()); c.PriorityWeight != 20 || c.Retries != 1 {
		t.Errorf("over the limits: %+v", c)
	}
	if _, c := send("out", valid.String()); c.Root == valid.Root || c.PriorityWeight != 1 || c.Retries != 1 || c.Hops() != 1 || c.TimeLeft < time.Second {
		t.Errorf("from outside: %+v", c)
	}
	reached := len(s.Records())
	for _, bad := range [][]string{{valid.String()[:30]}, {valid.String(), valid.String()}, {strings.Repeat("x", 8<<10)}, {""}, {"2" + valid.String()[1:]}} {
		if code, _ := send("in", bad...); code != http.StatusBadRequest {
			t.Errorf("%.60q: %d", bad, code)
		}
		if code, c := send("out", bad...); code != http.StatusOK || c.Hops() != 1 {
			t.Errorf("%.60q from outside: %d", bad, code)
		}
	}
	if n := len(s.Records()); n != reached+5 {
		t.Errorf("%d requests reached the server", n-reached)
	}
	if n := i.current.callTrees.invalidContexts.Load(); n != 5 {
		t.Errorf("%d invalid contexts are counted", n)
	}
	if code, _ := send("out", strings.Replace(valid.String(), "aaaaaaaa", hashHopID("me"), 1)); code != http.StatusLoopDetected {
		t.Errorf("%d for a call that has come back from outside", code)
	}
	full := valid
	full.Path = strings.Split(strings.Repeat("aaaaaaaa ", budget.MaxHops)[:budget.MaxHops*9-1], " ")
	if code, _ := send("in", full.String()); code != http.StatusLoopDetected {
		t.Errorf("%d after %d hops", code, budget.MaxHops)
	}
}

// If the next tier reports that a call was executed, or that its retries are used up, the call must not be retried.
func TestOutcomeOfNextTierIsFinal(t *testing.T) {
	for _, c := range []struct{ response, class string }{
		{"HTTP/1.1 502 Bad Gateway\r\nX-Call-Outcome: ran\r\nContent-Length: 0\r\n\r\n", "read"},
		{"HTTP/1.1 502 Bad Gateway\r\nX-Call-Outcome: spent\r\nContent-Length: 0\r\n\r\n", "read"},
		{"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Call-Outcome: spent\r\nContent-Length: 0\r\n\r\n", "pay"},
		{"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", ""}, // without an outcome it is retried
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
						_, _ = io.WriteString(conn, c.response)
					}
				})
			}
		})
		class, wantAttempts := c.class, 1
		if class == "" {
			class, wantAttempts = "read", 2 // one of the two retries is delegated to the next tier
		}
		i, stop := runWithoutLeakCheck(t, parse(t, contextText("me", 2, ""), innerText, poolText("p", ""), serverText(ln.Addr().String()), routeText("r", "/", "p", class, "")))
		res, err := http.Get("http://" + i.Addresses()["in"] + "/x")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		mu.Lock()
		if count != wantAttempts || res.StatusCode < 500 {
			t.Errorf("%q: %d attempts, status %d", c.response, count, res.StatusCode)
		}
		mu.Unlock()
		outcome, notRun := res.Header.Get(outcomeHeader), res.Header.Get("X-Not-Run")
		if class == "pay" && (outcome != "" || notRun != "1") || class == "read" && outcome != "ran" {
			t.Errorf("%q: the previous tier receives outcome %q, X-Not-Run %q", c.response, outcome, notRun)
		}
		stop()
		ln.Close()
		running.Wait()
	}
}

// If the previous tier retries a call that may have been executed, the call must be sent only if its class allows a second execution
// on any server.
func TestRetryOfPreviousTier(t *testing.T) {
	s := servers(t, "a")[0]
	pool := poolText("p", "", s) + "[[pool.class]]\nname = \"everywhere\"\naim = \"1s\"\ngive_up = \"2s\"\neffect = \"keyed\"\ngroup = \"all\"\nwindow = \"10s\"\n"
	text := ""
	for _, class := range []string{"read", "pay", "add", "everywhere"} {
		text += routeText(class, "/"+class, "p", class, "")
	}
	i, _ := runWithoutLeakCheck(t, parse(t, contextText("me", 2, ""), innerText, pool, text))
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
		k := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", PriorityWeight: 1, TimeLeft: 5 * time.Second, Path: []string{"aaaaaaaa"}, MayHaveExecuted: c.again, FirstSentAgo: c.since}
		r, _ := http.NewRequest("POST", "http://"+i.Addresses()["in"]+"/"+c.class, nil)
		r.Header.Set(budget.Header, k.String())
		r.Header.Set("Idempotency-Key", "7")
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		sent := len(s.Records()) > before
		if sent != c.sent || !sent && (res.StatusCode != statusFailed || res.Header.Get(outcomeHeader) != "ran") {
			t.Errorf("%+v: sent %v, status %d %v", c, sent, res.StatusCode, res.Header)
		}
		if sent {
			records := s.Records()
			got, err := budget.Parse(records[len(records)-1].Header.Get(budget.Header))
			if err != nil || got.MayHaveExecuted != c.again || got.FirstSentAgo < c.since || got.FirstSentAgo > c.since+time.Second {
				t.Errorf("%+v: the server received %+v, %v", c, got, err)
			}
		}
	}
}

// If the response of a middle tier is lost, the first tier retries the keyed call within its group. The unsafe calls that it causes
// must reach the last tier only once.
func TestLostResponseIsNotExecutedTwice(t *testing.T) {
	last := servers(t, "a")[0]
	back, _ := runWithoutLeakCheck(t, parse(t, contextText("back", 2, ""), innerText, poolText("p", "leaf = true\n", last), routeText("r", "/", "p", "pay", "")))
	first := true
	var mu sync.Mutex
	a := newApp(t, back.Addresses()["in"], 1, true, func() bool {
		mu.Lock()
		defer mu.Unlock()
		lost := first
		first = false
		return lost
	})
	front, _ := runWithoutLeakCheck(t, parse(t, contextText("front", 2, ""), inText, poolText("q", ""), serverText(a.Addr()), routeText("r", "/", "q", "add", "")))
	r, _ := http.NewRequest("GET", "http://"+front.Addresses()["in"]+"/x", nil)
	r.Header.Set("Idempotency-Key", "7")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if n := len(last.Records()); n != 1 || a.Requests() != 2 || res.StatusCode != statusFailed {
		t.Errorf("%d calls reached the last tier, %d the middle one; status %d", n, a.Requests(), res.StatusCode)
	}
}

// If a server does not respond, a call must end by the remaining time of the previous tier, not by the timeout of its class.
func TestTimeoutOfPreviousTier(t *testing.T) {
	s := servers(t, "a")[0]
	s.SetFault(fakeserver.NoResponse)
	i, _ := runWithoutLeakCheck(t, parse(t, contextText("me", 2, ""), innerText, poolText("p", "", s), routeText("r", "/", "p", "pay", "")))
	k := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", PriorityWeight: 1, TimeLeft: 300 * time.Millisecond, Path: []string{"aaaaaaaa"}}
	r, _ := http.NewRequest("GET", "http://"+i.Addresses()["in"]+"/x", nil)
	r.Header.Set(budget.Header, k.String())
	begun := time.Now()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if took := time.Since(begun); res.StatusCode != statusFailed || took > time.Second || took < 200*time.Millisecond {
		t.Errorf("%d after %v", res.StatusCode, took)
	}
}

// If the client of the first tier disconnects while the last one works, the attempts of both tiers must end.
func TestCancelReachesAllTiers(t *testing.T) {
	s := servers(t, "a")[0]
	s.SetFault(fakeserver.NoResponse)
	back, _ := runWithoutLeakCheck(t, parse(t, contextText("back", 2, ""), innerText, poolText("p", "leaf = true\n", s), routeText("r", "/", "p", "read", "")))
	a := newApp(t, back.Addresses()["in"], 1, true, nil)
	front, _ := runWithoutLeakCheck(t, parse(t, contextText("front", 2, ""), inText, poolText("q", ""), serverText(a.Addr()), routeText("r", "/", "q", "read", "")))
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+front.Addresses()["in"]+"/x", nil)
	left := make(chan struct{})
	go func() {
		defer close(left)
		if res, err := http.DefaultClient.Do(r); err == nil {
			res.Body.Close()
		}
	}()
	wait := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(callTimeout); !done(); time.Sleep(time.Millisecond) {
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
	if took := time.Since(begun); took > 500*time.Millisecond { // the timeout of the class is 2 s
		t.Errorf("the calls stayed open for %v", took)
	}
}

// A sidecar that does not support contexts, between two that do, must forward them.
func TestSidecarWithoutContextsBetweenTiers(t *testing.T) {
	s := servers(t, "a")[0]
	back, _ := runWithoutLeakCheck(t, parse(t, contextText("back", 2, ""), innerText, poolText("p", "", s), routeText("r", "/", "p", "read", "")))
	old, _ := runWithoutLeakCheck(t, parse(t, inText, poolText("p", ""), serverText(back.Addresses()["in"]), routeText("r", "/", "p", "read", "")))
	front, _ := runWithoutLeakCheck(t, parse(t, contextText("front", 2, ""), inText, poolText("p", ""), serverText(old.Addresses()["in"]), routeText("r", "/", "p", "read", "")))
	if n := sendRootRequests(t, front.Addresses()["in"], 3); n != 3 {
		t.Fatalf("%d served", n)
	}
	for _, r := range s.Records() {
		c, err := budget.Parse(r.Header.Get(budget.Header))
		if err != nil || fmt.Sprint(c.Path) != fmt.Sprint([]string{hashHopID("front"), hashHopID("back")}) {
			t.Error(c, err)
		}
	}
}

// A gRPC call must carry its context in metadata.
func TestRPCContext(t *testing.T) {
	s := newScript(t, false, func(p *fakeserver.FrameConn, id uint32, n int) { _ = p.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
	i, _ := runWithoutLeakCheck(t, parse(t, contextText("me", 1, ""), strings.Replace(rpcText, "max_body", "inner = true\nmax_body", 1), rpcPool("p", "attempts = 4\nleaf = true\n"), s.server(), rpcRoutes("p")))
	c := budget.Context{Root: "0123456789abcdef", Attempt: "01234567", PriorityWeight: 12, TimeLeft: time.Second, Retries: 1, Path: []string{"aaaaaaaa"}}
	cc := dialRPC(t, i.Addresses()["in"])
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), contextName, c.String()), callTimeout)
	defer cancel()
	in, out := []byte("x"), []byte(nil)
	if err := cc.Invoke(ctx, "/pay.S/M", &in, &out); status.Code(err) != codes.Unavailable {
		t.Error(err)
	}
	if s.count() != 2 { // the first one, and the only retry
		t.Errorf("%d attempts", s.count())
	}
	got, err := budget.Parse(fakeserver.FieldValue(s.heads[:1], s.heads[0].Stream, contextName))
	if err != nil || got.Root != c.Root || got.Hops() != 2 {
		t.Error(got, err)
	}
}

// The traces of two tiers must join to one tree.
func TestTraceJoinsTiers(t *testing.T) {
	s := servers(t, "a")[0]
	failShare(s, 3, 0.5)
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "front"), filepath.Join(dir, "back")}
	sampled := func(n int) string { return fmt.Sprintf("sample = 1.0\ntrace = %q\n", files[n]) }
	back, stopBack := runWithoutLeakCheck(t, parse(t, contextText("back", 3, sampled(1)), innerText, poolText("p", unlimitedRetries, s), routeText("r", "/", "p", "read", "")))
	a := newApp(t, back.Addresses()["in"], 2, true, func() bool { return false })
	front, stopFront := runWithoutLeakCheck(t, parse(t, contextText("front", 3, sampled(0)), inText, poolText("q", unlimitedRetries), serverText(a.Addr()), routeText("r", "/", "q", "read", "")))
	sendRootRequests(t, front.Addresses()["in"], 20)
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
	last, root := 0, "" // root is one whose request has reached the back: on a busy machine one may run out of its time before
	for _, a := range all {
		if !parents[a.Parent] || a.Hop != map[string]int{"front": 0, "back": 1}[a.Sidecar] {
			t.Errorf("%+v has no parent in the files", a)
		}
		if a.Sidecar == "back" && a.Outcome != "not-sent" {
			last++
			root = a.Root
		}
	}
	if root == "" {
		t.Fatal("no request has reached the back")
	}
	if reached := len(s.Records()); last != reached {
		t.Errorf("%d attempts in the traces, %d at the server", last, reached)
	}
	var out bytes.Buffer
	if err := trace.Print(&out, all, root); err != nil || !strings.Contains(out.String(), "\n  front q/read") || !strings.Contains(out.String(), "\n    back p/read") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// processSerially makes a server process one request after the other, each for the given time.
func processSerially(s *fakeserver.Server, each time.Duration) {
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

// weightedRequest is a request of a priority weight that is due at a time after the start of its schedule.
type weightedRequest struct {
	due    time.Duration
	weight float64
}

// weightedRequests returns a schedule of 900 requests, 300 a second, of priority weights 12 and 1.
func weightedRequests(seed int) []weightedRequest {
	r := rand.New(rand.NewPCG(uint64(seed), 5))
	requests := make([]weightedRequest, 900)
	due := time.Duration(0)
	for n := range requests {
		weight := 1.0
		if r.IntN(6) == 0 {
			weight = 12
		}
		due += time.Duration(r.ExpFloat64() * float64(time.Second/300))
		requests[n] = weightedRequest{due, weight}
	}
	return requests
}

// sendOnSchedule sends each request when it is due, however late those before it were, and returns the longest lateness once all have
// ended.
func sendOnSchedule(requests []weightedRequest, send func(n int)) time.Duration {
	lateness := make([]time.Duration, len(requests))
	var all sync.WaitGroup
	start := time.Now()
	for n, request := range requests {
		due := start.Add(request.due)
		<-time.After(time.Until(due))
		all.Go(func() {
			lateness[n] = time.Since(due)
			send(n)
		})
	}
	all.Wait()
	return slices.Max(lateness)
}

// startSlowTier starts an instance in front of two servers that serve 100 requests a second in total, and returns its address.
func startSlowTier(t *testing.T) (addr string, stop func()) {
	t.Helper()
	list := servers(t, "a", "b")
	for _, s := range list {
		processSerially(s, 20*time.Millisecond)
	}
	pool := poolText("p", "attempts = 1\n", list...)
	i, stop := runWithoutLeakCheck(t, parse(t, contextText("me", 0, ""), innerText, pool, routeText("r", "/", "p", "read", "")))
	return i.Addresses()["in"], stop
}

// servedWeight sends the requests to the address, with their weights in the call contexts or without. It returns the total weight that
// was served, and the longest lateness of a request.
func servedWeight(t *testing.T, addr string, requests []weightedRequest, carried bool) (served float64, lateness time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var mu sync.Mutex
	lateness = sendOnSchedule(requests, func(n int) {
		c := budget.Context{Root: fmt.Sprintf("%016x", n+1), Attempt: fmt.Sprintf("%08x", n), PriorityWeight: 1, TimeLeft: time.Second, Path: []string{"aaaaaaaa"}}
		if carried {
			c.PriorityWeight = requests[n].weight
		}
		q, _ := http.NewRequest("GET", "http://"+addr+"/x", nil)
		q.Header.Set(budget.Header, c.String())
		res, err := client.Do(q)
		if err != nil {
			t.Error(err)
			return
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			mu.Lock()
			served += requests[n].weight
			mu.Unlock()
		}
	})
	return served, lateness
}

// If the last tier is overloaded with calls that stem from requests of priority weights 12 and 1, it must serve a higher total weight
// with the weight in the call context than without, on each seed. A pair of runs is compared only if both kept their schedule: if one
// sent a request too late, the tier may not have been overloaded, and the pair is repeated whatever it served.
func TestPriorityWeightCrossesTiers(t *testing.T) {
	const (
		seeds       = 5
		maxTries    = 3                      // of a pair of runs
		maxLateness = 250 * time.Millisecond // a burst of 75 requests of 900, which leaves the tier overloaded
	)
	for seed := range seeds {
		requests := weightedRequests(seed)
		var served [2]float64 // without and with the weight in the context
		for try := 1; ; try++ {
			var lateness [2]time.Duration
			var pair sync.WaitGroup
			for carried := range 2 {
				addr, stop := startSlowTier(t)
				pair.Go(func() {
					defer stop()
					served[carried], lateness[carried] = servedWeight(t, addr, requests, carried == 1)
				})
			}
			pair.Wait()
			latest := max(lateness[0], lateness[1])
			t.Logf("seed %d, try %d: a request was sent up to %v late", seed, try, latest)
			if latest <= maxLateness {
				break
			}
			if try == maxTries {
				t.Fatalf("seed %d: requests were sent more than %v late on each of %d tries, so that nothing can be compared", seed, maxLateness, maxTries)
			}
		}
		t.Logf("seed %d: weight served %.0f without, %.0f with the weight in the context", seed, served[0], served[1])
		if served[1] <= served[0] {
			t.Errorf("seed %d: weight served %.0f without, %.0f with the weight in the context", seed, served[0], served[1])
		}
	}
}
