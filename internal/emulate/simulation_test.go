package emulate

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"milletmast/balancer"
	"milletmast/internal/rules"
)

// scenarioPaths returns the paths of the scenarios in deploy/scenarios.
func scenarioPaths(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("../../deploy/scenarios/*.toml")
	if err != nil || len(paths) < 7 {
		t.Fatal(paths, err)
	}
	return paths
}

func load(t *testing.T, path string, overrides ...string) *Scenario {
	t.Helper()
	sc, err := Load(path, overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func runScenario(t *testing.T, sc *Scenario, seed uint64) *Result {
	t.Helper()
	r, err := Run(sc, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Every scenario of deploy/scenarios must run without a broken rule, count each request once and obey Little's law.
func TestScenariosKeepTheRules(t *testing.T) {
	for _, path := range scenarioPaths(t) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, load(t, path, "for=22s", "demand.rate=1000"), 1)
			if r.ViolationCount > 0 || r.Overloads > 0 {
				t.Errorf("%d cold servers failed from overload, violations: %v", r.Overloads, r.Violations)
			}
			sum := 0
			for _, c := range r.Classes {
				sum += c.InTime + c.Late + c.Refused + c.Failed + c.GaveUp
			}
			if r.Asked == 0 || sum != r.Asked {
				t.Errorf("%d requests, %d of them with an outcome", r.Asked, sum)
			}
			if off := r.Little.Inside/r.Little.RateBy - 1; off > 1e-9 || off < -1e-9 {
				t.Errorf("Little's law: %v inside, %v by rate and time", r.Little.Inside, r.Little.RateBy)
			}
			if r.Share < 0.7 {
				t.Errorf("share %.3f", r.Share)
			}
		})
	}
}

// The same scenario and seed must give the same facts, with any number of processors and with other runs at the same time; another
// seed must give others.
func TestSameSeedSameFacts(t *testing.T) {
	for _, path := range scenarioPaths(t) {
		sc := load(t, path, "for=11s", "warmup=1s", "demand.rate=600")
		before := runtime.GOMAXPROCS(1)
		one := runScenario(t, sc, 7)
		runtime.GOMAXPROCS(before)
		again := make(chan *Result)
		for range 2 {
			go func() {
				r, _ := Run(sc, 7)
				again <- r
			}()
		}
		for range 2 {
			if r := <-again; r.Hash != one.Hash || r.Events != one.Events || r.Share != one.Share {
				t.Errorf("%s: %s, %d events and share %v, then %s, %d and %v", sc.Name, one.Hash, one.Events, one.Share, r.Hash, r.Events, r.Share)
			}
		}
		if other := runScenario(t, sc, 8); other.Hash == one.Hash {
			t.Errorf("%s: two seeds give the same facts", sc.Name)
		}
	}
}

// A single replica out of twelve that receives all of the traffic must be able to use the capacity of all servers within five seconds,
// also when the traffic moves to another replica, and must release it when the others receive traffic: its share of the capacity is an
// initial value and no limit.
func TestOneFrontendReachesTheCapacity(t *testing.T) {
	sc := load(t, "../../deploy/drills/moving-door.toml")
	for seed := range uint64(3) {
		r := runScenario(t, sc, seed+1)
		if r.ViolationCount > 0 {
			t.Errorf("seed %d: %v", seed+1, r.Violations)
		}
		for _, from := range []int{5, 17, 24} { // five seconds after each move; with all replicas at once
			asked, earned := 0.0, 0.0
			for _, s := range r.Seconds[from : from+6] {
				asked += s.Worth
				earned += s.Earned
			}
			if earned < 0.97*asked {
				t.Errorf("seed %d: from %d s on %.3f of the priority weight is earned", seed+1, from, earned/asked)
			}
		}
	}
}

// Two variants must receive the same requests with the same work, although their sidecars decide differently.
func TestVariantsSeeTheSameRequests(t *testing.T) {
	type arrival struct {
		at   float64
		work float64
	}
	requests := func(overrides ...string) map[uint64]arrival {
		sc := load(t, "../../deploy/scenarios/slow.toml", append(overrides, "for=11s", "demand.rate=1000")...)
		w := newSimulation(sc, 3)
		out := map[uint64]arrival{}
		w.wrapModule = func(h *sidecar, d module) module {
			return wrappedModule{d, func(ev *balancer.Event) {
				if c := h.calls[ev.Request]; ev.Kind == balancer.EvRequest && c.try.number == 1 {
					out[c.try.Number] = arrival{c.try.at, c.try.Work}
				}
			}, nil}
		}
		w.run()
		return out
	}
	a, b := requests(), requests("copies.count=7", "pool.attempts=1", "servers.queue=3")
	if len(a) < 9_000 || len(a) != len(b) {
		t.Fatalf("%d and %d requests", len(a), len(b))
	}
	for n, one := range a {
		if b[n] != one {
			t.Fatalf("request %d: %v and %v", n, one, b[n])
		}
	}
}

// wrappedModule is a module whose events are observed or whose actions are replaced.
type wrappedModule struct {
	module
	onEvent func(*balancer.Event)
	replace func(ev *balancer.Event, actions []balancer.Action) []balancer.Action
}

func (m wrappedModule) Handle(now float64, ev *balancer.Event, actions []balancer.Action) []balancer.Action {
	if m.onEvent != nil {
		m.onEvent(ev)
	}
	actions = m.module.Handle(now, ev, actions)
	if m.replace != nil {
		actions = m.replace(ev, actions)
	}
	return actions
}

// The checker must report a module that breaks a rule, for each of the rules.
func TestViolationsAreDetected(t *testing.T) {
	send := func(q, server uint32, until float64) balancer.Action {
		return balancer.Action{Kind: balancer.ActSend, Request: q, Server: server, Deadline: until}
	}
	for _, c := range []struct {
		name     string
		scenario string
		rule     int
		text     string
		replace  func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action
	}{
		{"two attempts at once", "calm", 4, "beside one that is out", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			return func(_ *balancer.Event, list []balancer.Action) []balancer.Action {
				for _, a := range list {
					if a.Kind == balancer.ActSend && a.Request%50 == 0 {
						return append(list, send(a.Request, 1+a.Server%12, a.Deadline))
					}
				}
				return list
			}
		}},
		{"retry of an unsafe request", "short", 4, "unsafe request", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			return func(ev *balancer.Event, list []balancer.Action) []balancer.Action {
				c := h.calls[ev.Request]
				if ev.Kind == balancer.EvRequest && c.try.Class == 1 { // canceled, and then retried
					return append(list, balancer.Action{Kind: balancer.ActCancel, Request: ev.Request})
				}
				if ev.Kind == balancer.EvAttemptEnded && ev.Outcome == balancer.Canceled && c != nil {
					return []balancer.Action{send(ev.Request, 1, h.sim.now()+500)}
				}
				return list
			}
		}},
		{"rejected although it may run", "calm", 4, "may have run", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			return func(_ *balancer.Event, list []balancer.Action) []balancer.Action {
				for _, a := range list {
					if c := h.calls[a.Request]; a.Kind == balancer.ActSend && c != nil && c.try.Class == 1 {
						return append(list, balancer.Action{Kind: balancer.ActReject, Request: a.Request})
					}
				}
				return list
			}
		}},
		{"attempt after the response", "calm", 1, "after the final answer", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			return func(_ *balancer.Event, list []balancer.Action) []balancer.Action {
				for _, a := range list {
					if c := h.calls[a.Request]; a.Kind == balancer.ActSend && c != nil && c.try.Class == 0 {
						return append(list, balancer.Action{Kind: balancer.ActFail, Request: a.Request}, send(a.Request, a.Server, a.Deadline))
					}
				}
				return list
			}
		}},
		{"request to a draining server", "replace", 2, "takes nothing new", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			draining := uint32(0)
			return func(ev *balancer.Event, list []balancer.Action) []balancer.Action {
				for _, e := range ev.Servers {
					if e.State == balancer.Draining {
						draining = e.ID
					}
				}
				for i := range list {
					if list[i].Kind == balancer.ActSend && draining != 0 {
						list[i].Server = draining
					}
				}
				return list
			}
		}},
		{"all requests to a cold server", "replace", 3, "the cold server", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			cold := uint32(0)
			return func(ev *balancer.Event, list []balancer.Action) []balancer.Action {
				for _, e := range ev.Servers {
					if e.StartedAt > 0 && cold == 0 {
						cold = e.ID
					}
				}
				for i := range list {
					if list[i].Kind == balancer.ActSend && cold != 0 {
						list[i].Server = cold
					}
				}
				return list
			}
		}},
		{"too many attempts", "calm", 4, "attempt 4 of 3", func(h *sidecar) func(*balancer.Event, []balancer.Action) []balancer.Action {
			return func(ev *balancer.Event, list []balancer.Action) []balancer.Action {
				c := h.calls[ev.Request]
				if c == nil || c.try.Class != 0 || c.ended || len(c.attempts) > 4 {
					return list
				}
				cancel := balancer.Action{Kind: balancer.ActCancel, Request: ev.Request, Attempt: uint16(len(c.attempts))}
				if ev.Kind == balancer.EvAttemptEnded {
					return []balancer.Action{send(ev.Request, 1, h.sim.now()+500), cancel}
				}
				return append(list, cancel)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(load(t, "../../deploy/scenarios/"+c.scenario+".toml", "for=20s"), 5)
			w.wrapModule = func(h *sidecar, d module) module { return wrappedModule{d, nil, c.replace(h)} }
			w.run()
			found := false
			for _, b := range w.checker.Violations {
				found = found || b.Rule == c.rule && strings.Contains(b.Text, c.text)
			}
			if !found {
				t.Errorf("%d violations, none of rule %d that contains %q: %v", w.checker.ViolationCount, c.rule, c.text, w.result.Violations[:min(3, len(w.result.Violations))])
			}
			if len(w.result.Violations) > 0 && !strings.Contains(w.result.Violations[0], "request ") {
				t.Errorf("%q names no request", w.result.Violations[0])
			}
		})
	}
}

// A module without timers, rejections and failures leaves calls without a decision: the sidecar must respond to them in time, without
// breaking a rule.
func TestModuleWithoutTimers(t *testing.T) {
	w := newSimulation(load(t, "../../deploy/scenarios/calm.toml", "for=12s", "demand.rate=2500"), 5)
	w.wrapModule = func(h *sidecar, d module) module {
		return wrappedModule{d, nil, func(_ *balancer.Event, list []balancer.Action) (kept []balancer.Action) {
			for _, a := range list {
				if a.Kind != balancer.ActTimer && a.Kind != balancer.ActReject && a.Kind != balancer.ActFail {
					kept = append(kept, a)
				}
			}
			return kept
		}}
	}
	w.run()
	if w.result.Backstops == 0 || w.result.ViolationCount > 0 {
		t.Errorf("%d responses without a decision, violations: %v", w.result.Backstops, w.result.Violations)
	}
	if w.pendingTries != 0 {
		t.Errorf("%d tries have not ended", w.pendingTries)
	}
}

// A server that restarts while it is still cold must begin its ramp again, and sidecars must treat it so.
func TestColdRampTwice(t *testing.T) {
	sc := load(t, "../../deploy/scenarios/calm.toml", "for=14s", "servers.ramp=6s", "pool.ramp=6s", "discovery.detect=100ms",
		`fault=[{kind="crash", at="2s", for="1s", count=4}, {kind="crash", at="5s", for="1s", share=1.0}]`)
	w := newSimulation(sc, 2)
	var at []float64
	w.clock.schedule(epoch+5900, func() {
		for _, s := range w.servers {
			if s.state != down {
				t.Errorf("server %d is not down", s.id)
			}
		}
	})
	for _, ms := range []float64{4500, 6100} {
		w.clock.schedule(epoch+ms, func() {
			cold := 0
			for _, s := range w.servers {
				if s.isCold() {
					cold++
					at = append(at, s.warmth())
				}
			}
			if want := map[float64]int{4500: 4, 6100: 12}[ms]; cold != want {
				t.Errorf("%v ms: %d servers are cold, want %d", ms, cold, want)
			}
		})
	}
	w.run()
	if len(at) != 16 || at[0] < 0.4 || at[15] > 0.35 {
		t.Errorf("shares of the full speed %v", at)
	}
	if w.result.ViolationCount > 0 {
		t.Error(w.result.Violations)
	}
}

// With subsets, every server must be in the subset of a sidecar, also if the servers are not distributed evenly over the zones.
func TestSubsetsReachAllServers(t *testing.T) {
	sc := load(t, "../../deploy/scenarios/calm.toml", "for=12s", "servers.count=31", "copies.count=20", "pool.subset=5", "demand.rate=600")
	w := newSimulation(sc, 1)
	known := map[uint32]int{}
	w.wrapModule = func(h *sidecar, d module) module {
		return wrappedModule{d, func(ev *balancer.Event) {
			for _, e := range ev.Servers {
				known[e.ID]++
			}
		}, nil}
	}
	w.run()
	if len(known) != 31 || w.result.Share < 0.95 {
		t.Errorf("%d of 31 servers are known, share %v", len(known), w.result.Share)
	}
	for _, h := range w.sidecars {
		if len(h.known) >= 31 || len(h.known) < 5 {
			t.Errorf("replica %d knows %d servers", h.rank, len(h.known))
		}
	}
	if w.result.ViolationCount > 0 {
		t.Error(w.result.Violations)
	}
}

// With a retry budget a request must not have more attempts than it allows, also if the pool's own limit is higher.
func TestBudgetBoundsAttempts(t *testing.T) {
	for retries, most := range map[int]int{0: 4, 1: 2, 2: 3} {
		sc := load(t, "../../deploy/scenarios/failing.toml", "for=14s", "demand.rate=500", "pool.attempts=4", fmt.Sprintf("copies.retries=%d", retries),
			`fault=[{kind="failing", at="1s", for="13s", share=0.8}]`)
		w := newSimulation(sc, 1)
		sent, seen := map[uint64]int{}, 0
		w.onFact = func(f *rules.Fact) {
			if f.Kind == rules.AttemptSent {
				sent[f.Request]++
				seen = max(seen, sent[f.Request])
			}
		}
		w.run()
		if seen != most || w.result.ViolationCount > 0 {
			t.Errorf("%d retries: up to %d attempts, want %d; violations %v", retries, seen, most, w.result.Violations)
		}
	}
}

// Sidecars that save their learned state must serve more after restarts, and must break no rule if it is outdated because all servers
// were replaced meanwhile.
func TestLearnedStateAfterRestart(t *testing.T) {
	jobs := func(more ...string) (list []Job) {
		sc := load(t, "../../deploy/scenarios/storm.toml", append(more, "for=20s", "demand.rate=900", "copies.count=15")...)
		for seed := range uint64(4) {
			list = append(list, Job{sc, "", seed})
		}
		return list
	}
	replaced := `fault=[{kind="restart", at="10s", share=1.0, kill=true, down="3s"}, {kind="crash", at="10s", for="1s", share=1.0}]`
	var shares [4]float64
	for i, more := range [][]string{nil, {"copies.keep=2s"}, {replaced}, {replaced, "copies.keep=2s"}} {
		results, err := RunAll(t.Context(), jobs(more...), 4, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range results {
			shares[i] += r.Share / 4
			if r.ViolationCount > 0 || r.Overloads > 0 {
				t.Errorf("%v: %d cold servers failed from overload, %v", more, r.Overloads, r.Violations)
			}
		}
	}
	if shares[1] <= shares[0] || shares[3] < shares[2]-0.01 {
		t.Errorf("earned share cold %.4f, warm %.4f; with all servers replaced cold %.4f, warm %.4f", shares[0], shares[1], shares[2], shares[3])
	}
}

// Faults that no scenario of deploy/scenarios has must not lead to a broken rule either, also with a degradation level.
func TestOtherFaultsKeepTheRules(t *testing.T) {
	for i, fault := range []string{
		`{kind="silent", at="5s", for="3s", share=0.25}`,
		`{kind="cut", at="5s", for="3s", zone="a"}`,
		`{kind="stall", at="5s", for="300ms", share=0.5}`,
		`{kind="list-late", at="4s", for="5s", share=0.5}, {kind="replace", at="4500ms", for="1s", share=0.3, drain="1s"}`,
		`{kind="hold", at="5s", for="4s", count=3}`,
		`{kind="crash", at="5s", for="2s", zone="b"}`,
		`{kind="zone", at="5s", for="2s", zone="a"}, {kind="zone", at="6s", for="2s", zone="a"}, {kind="replace", at="5500ms", for="2s", share=1.0, drain="500ms"}`,
		`{kind="restart", at="5s", for="2s", share=1.0, steps=5, down="200ms"}, {kind="restart", at="6s", for="1s", share=1.0, steps=3, kill=true, down="10ms"}`,
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			sc := load(t, "../../deploy/scenarios/calm.toml", "for=14s", "fault=["+fault+"]",
				`pool.level=[{name="lean", enter=[{signal="wait", over=0.05}], shed=[{class="browse"}]}]`, "callers.0.leave=0.02")
			for seed := range uint64(2) {
				r := runScenario(t, sc, seed)
				if r.ViolationCount > 0 {
					t.Errorf("seed %d: %v", seed, r.Violations[:min(len(r.Violations), 3)])
				}
				if r.Earned == 0 {
					t.Error("nothing was served")
				}
			}
		})
	}
}

// Sidecars that exchange load summaries must earn at twice the capacity about as much as a single one with all of the load would, also
// if the requests with the highest priority weight enter at only some of them; two runs with one seed must be equal.
func TestFleetSheddingSharesLoad(t *testing.T) {
	text, err := os.ReadFile("../../deploy/drills/apart.toml")
	if err != nil {
		t.Fatal(err)
	}
	runWith := func(allot string) *Result {
		sc, err := Parse("apart.toml", []byte(strings.Replace(string(text), "allot = true", "allot = "+allot, 1)))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(sc, 1)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	alone, together, again := runWith("false"), runWith("true"), runWith("true")
	if together.Share < 0.84 || together.Share < alone.Share+0.25 || together.ViolationCount > 0 {
		t.Errorf("earned %.3f of the priority weight, %.3f without summaries; %d violations", together.Share, alone.Share, together.ViolationCount)
	}
	if together.Hash != again.Hash {
		t.Errorf("two runs of one seed: %s and %s", together.Hash, again.Hash)
	}
}
