package faultdrill

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"milletmast/internal/emulate"
	"milletmast/internal/testcluster"
)

const roleRogue = "rogue"

func TestMain(m *testing.M) {
	testcluster.Main(map[string]func() error{roleRogue: rogueMain})
	code := m.Run()
	if dir, err := build(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// build compiles the sidecar once for all tests of the package.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "milletmast/cmd/milletmast").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// short is a drill of some seconds over a few processes.
const short = `
name = "short"
for = "3s"
warmup = "500ms"
[pool]
zones = ["a", "b"]
attempts = 3
[[pool.class]]
name = "browse"
aim = "250ms"
give_up = "500ms"
effect = "safe"
[[pool.class]]
name = "save"
aim = "500ms"
give_up = "800ms"
worth = 12
effect = "unsafe"
[[pool.class]]
name = "add"
aim = "400ms"
give_up = "800ms"
effect = "keyed"
group = "zone"
window = "10s"
[copies]
count = 2
[servers]
count = 4
cores = 2
ramp = "3s"
[demand]
rate = 120
[[work]]
class = "browse"
part = 0.5
mean = "10ms"
[[work]]
class = "save"
part = 0.3
mean = "10ms"
[[work]]
class = "add"
part = 0.2
mean = "10ms"
`

const failing = `
[[fault]]
kind = "failing"
at = "500ms"
for = "2s"
count = 2
part = 0.5
`

const replacing = `
[[fault]]
kind = "replace"
at = "300ms"
count = 2
drain = "2s"
`

const cold = `
[[fault]]
kind = "replace"
at = "300ms"
count = 1
drain = "200ms"
`

// behind is a tier behind short's servers.
const behind = `
[inner]
calls = ["look"]
[inner.pool]
[[inner.pool.class]]
name = "look"
aim = "250ms"
give_up = "500ms"
effect = "unsafe"
[inner.servers]
count = 2
[[inner.work]]
class = "look"
mean = "5ms"
`

// slots bound the drills that run side by side: each is a dozen processes, and what is tested is not how they bear a busy machine.
var slots = make(chan struct{}, 2)

func play(t *testing.T, text, program string, env ...string) *Result {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	sc, err := emulate.ParseDrill("short.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), sc, 1, Options{Program: program, Env: env})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A sidecar that does one thing wrong is found by what is seen from outside, and one that does all right is not blamed.
func TestPlantedBreaksAreFound(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ wrong, faults, want string }{
		{rogueNone, failing, ""},
		{rogueTwice, "", "rule 1: a second final answer"},
		{rogueDrain, replacing, "rule 2: after the word that the server takes nothing new"},
		{rogueRepeat, failing, "rule 4: unsafe request"},
		{rogueGone, "", "rule 1: an attempt of a request that is over"},
		{rogueCold, cold, "rule 3: times what the cold server can do"},
		{rogueSilent, "", "rule 1: has no answer"},
		{rogueKey, "", "rule 4: has a second effect"},
		{rogueBeside, "", "rule 4: a second attempt beside one that is out"},
		{rogueCrash, "", "has ended by itself"},
	} {
		t.Run(c.wrong, func(t *testing.T) {
			t.Parallel()
			text := short
			if c.wrong == rogueCold {
				text = strings.Replace(text, "rate = 120", "rate = 300", 1)
			}
			r := play(t, text+c.faults, self, "MILLETMAST_RIG_ROLE="+roleRogue, rogueVariable+"="+c.wrong)
			if c.want == "" {
				if r.ViolationCount != 0 || r.Asked < 200 {
					t.Errorf("%d asked, breaks %v", r.Asked, r.Violations)
				}
				return
			}
			rule, text, _ := strings.Cut(c.want, ": ")
			if text == "" {
				rule, text = "", rule
			}
			for _, b := range r.Violations {
				if strings.Contains(b, rule) && strings.Contains(b, text) {
					return
				}
			}
			t.Errorf("%d breaks %v, want %s", r.ViolationCount, r.Violations, c.want)
		})
	}
}

// The real sidecar keeps the rules while processes and links fail, and serves what can be served.
func TestShortDrills(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	const load = "\n[[fault]]\nat = \"800ms\"\n"
	for _, c := range []struct {
		name, faults string
		least        float64 // served worth
	}{
		{"calm", "", 0.97},
		{"copies killed", load + "kind = \"restart\"\nkill = true\ncount = 1\ndown = \"500ms\"\n", 0.8},
		{"copies restarted", "[[fault]]\nat = \"300ms\"\nkind = \"restart\"\nfor = \"4s\"\nsteps = 2\nshare = 1.0\ndown = \"100ms\"\n", 0.8},
		{"copies stopped", load + "kind = \"stall\"\nfor = \"1s\"\ncount = 1\n", 0.6},
		{"servers replaced", replacing, 0.9},
		{"servers killed", load + "kind = \"crash\"\nfor = \"800ms\"\ncount = 1\n", 0.8},
		{"a link cut one way", load + "kind = \"link-cut\"\nway = \"back\"\nfor = \"1s\"\ncopies = 1\ncount = 1\n", 0.6},
		{"a machine of each tier stands", behind + load + "kind = \"silent\"\nfor = \"1s\"\ncount = 1\n[[fault]]\nat = \"800ms\"\nkind = \"silent\"\ninner = true\nfor = \"1s\"\ncount = 1\n", 0.5},
		{"servers replaced over a tier behind", behind + replacing, 0.8},
		{"links reset", load + "kind = \"link-reset\"\nshare = 1.0\n", 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := play(t, short+c.faults, filepath.Join(bin, "milletmast"))
			if r.ViolationCount != 0 {
				t.Errorf("breaks %v\n%s", r.Violations, r.Logs)
			}
			if r.Share < c.least {
				t.Errorf("served %.3f of the worth, want %.2f at least", r.Share, c.least)
			}
			var page bytes.Buffer
			if err := Report(&page, []*Result{r}); err != nil || strings.Count(page.String(), "<svg") != 2 {
				t.Errorf("a report of %d bytes, %v", page.Len(), err)
			}
			t.Logf("served %.3f, %d asked, load late by %v", r.Share, r.Asked, r.MaxDelay)
		})
	}
}

// A copy that restarts with another program is found by what it does, and the copies beside it that run the drill's are not blamed.
func TestOldBesideNew(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	// The other program: a shell that has the tests' own sidecar repeat what may not be.
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "other")
	script := fmt.Sprintf("#!/bin/sh\nMILLETMAST_RIG_ROLE=%s %s='%s' exec %q \"$@\"\n", roleRogue, rogueVariable, rogueRepeat, self)
	if err := os.WriteFile(other, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	fault := fmt.Sprintf("\n[[fault]]\nkind = \"restart\"\nat = \"100ms\"\ncount = 1\nkill = true\ndown = \"10ms\"\nprogram = %q\n", other)
	r := play(t, short+fault+failing, filepath.Join(bin, "milletmast"))
	by := map[string]int{}
	for _, b := range r.Violations {
		for _, c := range []string{"c0.1", "c0.2", "c1.1", "c1.2"} {
			if strings.Contains(b, c) {
				by[c]++
			}
		}
	}
	if r.ViolationCount == 0 || by["c0.1"]+by["c1.1"] > 0 || by["c0.2"]+by["c1.2"] == 0 {
		t.Errorf("breaks by copy %v: %v", by, r.Violations)
	}
}

// What a drill cannot play is told with file, line and field before anything starts.
func TestDrillsThatCannotBePlayed(t *testing.T) {
	for _, c := range []struct{ text, want string }{ // line 47 is the kind of the fault
		{short + "[[fault]]\nkind = \"hold\"\ncount = 1\n", "bad.toml:47: fault[0].kind: \"hold\": only the emulator can play this"},
		{short + "[[fault]]\nkind = \"link-cut\"\ncount = 1\nway = \"up\"\n", "fault[0].way: \"up\" is unknown"},
		{short + "[[fault]]\nkind = \"stall\"\ninner = true\ncount = 1\n", "fault[0].inner: there is no tier behind"},
		{short + "[[fault]]\nkind = \"link-cut\"\ncopies = 5\ncount = 1\n", "fault[0].copies: 5 is not within"},
		{short + "[[fault]]\nkind = \"stall\"\nat = \"4s\"\ncount = 1\n", "fault[0].at: 4s is an impossible time"},
		{strings.Replace(short, "rate = 120", "rate = 6000", 1), "demand.rate: 6000 requests a second"},
		{strings.Replace(short, "count = 2", "count = 300", 1), "copies.count: 304 processes"},
		{strings.Replace(short, "[copies]", "[copies]\nkeep = \"1s\"", 1), "copies.keep: only the emulator"},
		{short + "[[fault]]\nkind = \"stall\"\nspede = 1\n", "spede"},
		{short + "[[fault]]\nkind = \"stall\"\ncount = 1\nprogram = \"/bin/sh\"\n", "fault[0].program: a fault \"stall\" starts no copy"},
		{short + "[[fault]]\nkind = \"restart\"\ncount = 1\nprogram = \"/none/there\"\n", "fault[0].program: \"/none/there\" is no program"},
	} {
		_, err := emulate.ParseDrill("bad.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "bad.toml:") {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	if _, err := emulate.Parse("bad.toml", []byte(short+"[[fault]]\nkind = \"starve\"\ncount = 1\n")); err == nil || !strings.Contains(err.Error(), "only processes can play this") {
		t.Errorf("the emulator takes what only processes can play: %v", err)
	}
}

// What all copies of both tiers send beyond each request's first attempt stays within the budget that their files state, while servers
// of both refuse more than half of it.
func TestRepeatsOfAllStayInTheBudget(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("rate = 120", "rate = 300", "mean = \"10ms\"", "mean = \"60ms\"", "cores = 2", "cores = 2\nqueue = 1",
		"attempts = 3", "attempts = 4\nretry_share = 0.1\nretry_free = 2\nretry_window = \"1s\"",
		"[inner.pool]", "[inner.pool]\nattempts = 4\nretry_share = 0.1\nretry_free = 2\nretry_window = \"1s\"",
		"[inner.servers]\ncount = 2", "[inner.servers]\ncount = 2\ncores = 1\nqueue = 1").Replace(short + behind)
	res := play(t, text, bin+"/milletmast")
	if res.ViolationCount > 0 {
		t.Errorf("%d rules broken", res.ViolationCount)
	}
	for _, v := range res.Verdicts {
		const free = 2 * 4 * 4 // in each second at each of up to four copies
		if most := 1.1*float64(v.Requests) + free; v.Requests == 0 || float64(v.Attempts) > most {
			t.Errorf("%s: %d attempts for %d requests, %.0f at most", v.Tier, v.Attempts, v.Requests, most)
		}
		t.Logf("%s: %d attempts for %d requests", v.Tier, v.Attempts, v.Requests)
	}
}

// At twice the capacity, with what is worth most entering by one of four copies, copies that know each other serve far more of the worth than
// copies that see their own alone, side by side on one machine.
func TestCopiesShedTogether(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "drills", "apart.toml"))
	if err != nil {
		t.Fatal(err)
	}
	alone := strings.NewReplacer("for = \"30s\"", "for = \"14s\"", "count = 12", "count = 4", "doors = 3", "doors = 1", "count = 8", "count = 2", "rate = 1600", "rate = 300",
		"mean = \"20ms\"", "mean = \"27ms\"", "allot = true", "allot = false").Replace(string(text))
	together := strings.Replace(alone, "allot = false", "allot = true", 1)
	shares := map[string]float64{}
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, spec := range []string{alone, together} {
		all.Go(func() {
			r := play(t, spec, bin+"/milletmast")
			mu.Lock()
			defer mu.Unlock()
			shares[spec] = r.Share
		})
	}
	all.Wait()
	t.Logf("served %.3f of the worth alone, %.3f together", shares[alone], shares[together])
	if shares[together] < shares[alone]+0.1 {
		t.Errorf("served %.3f of the worth alone, %.3f together", shares[alone], shares[together])
	}
}

// A request that waited long at a copy that is killed is over when its connection is found to have ended, not when it came: what the copy sent
// for it meanwhile was right. Of a copy that was not killed it is lost.
func TestWaitedAtAKilledCopy(t *testing.T) {
	sc, err := emulate.ParseDrill("short.toml", []byte(short))
	if err != nil {
		t.Fatal(err)
	}
	at := func(ms int64) int64 { return ms * 1e6 }
	facts := []testcluster.Fact{
		{At: at(1), Kind: testcluster.FactStarted, Server: "s0", By: "s0"},
		{At: at(100), Kind: testcluster.FactConnClosed, Copy: "c0.1", Request: "r1", Class: "browse", Due: at(600)},
		{At: at(400), Kind: testcluster.FactSent, Copy: "c0.1", Server: "s0", Request: "r1", Conn: 1},
		{At: at(450), Kind: testcluster.FactKilled, Copy: "c0.1"},
		{At: at(451), Kind: testcluster.FactConnEnded, Copy: "c0.1", Request: "r1"},
		{At: at(452), Kind: testcluster.FactAttemptEnded, Copy: "c0.1", Server: "s0", Request: "r1", Conn: 1},
	}
	for killed, want := range map[bool]int{true: 0, false: 1} {
		all := slices.DeleteFunc(slices.Clone(facts), func(f testcluster.Fact) bool { return f.Kind == testcluster.FactKilled && !killed })
		v := checkHistory("outer", &sc.Pool, &sc.Servers, map[string]ServerPlace{"s0": {}}, all, startOf(all), 0)
		if v.ViolationCount != want {
			t.Errorf("killed %v: %d breaks, want %d: %v", killed, v.ViolationCount, want, v.Violations)
		}
	}
}
