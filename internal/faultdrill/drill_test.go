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

const roleFaultySidecar = "faulty-sidecar"

func TestMain(m *testing.M) {
	testcluster.Main(map[string]func() error{roleFaultySidecar: faultySidecarMain})
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

// shortDrill is a scenario of a few seconds with few processes.
const shortDrill = `
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

// failingServers makes half of the servers fail half of their requests.
const failingServers = `
[[fault]]
kind = "failing"
at = "500ms"
for = "2s"
count = 2
part = 0.5
`

// replacedServers replaces half of the servers with a long drain.
const replacedServers = `
[[fault]]
kind = "replace"
at = "300ms"
count = 2
drain = "2s"
`

// coldServer replaces a server by a cold one.
const coldServer = `
[[fault]]
kind = "replace"
at = "300ms"
count = 1
drain = "200ms"
`

// innerTier adds a tier behind the servers of shortDrill.
const innerTier = `
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

// drillSlots bounds the drills that run at the same time, as each has a dozen processes and a busy machine would distort the results.
var drillSlots = make(chan struct{}, 2)

func runDrill(t *testing.T, text, program string, env ...string) *Result {
	t.Helper()
	drillSlots <- struct{}{}
	defer func() { <-drillSlots }()
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

// TestPlantedViolationsAreFound runs drills with a faulty sidecar. Each fault must be reported as a violation, and a sidecar without a
// fault must have none.
func TestPlantedViolationsAreFound(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ sidecarFault, faults, want string }{
		{faultNone, failingServers, ""},
		{faultSecondAnswer, "", "rule 1: a second final answer"},
		{faultSendAfterDrain, replacedServers, "rule 2: after the server list reported that the server takes nothing new"},
		{faultRepeatUnsafe, failingServers, "rule 4: unsafe request"},
		{faultSendAfterClientLeft, "", "rule 1: an attempt of a request that is over"},
		{faultOverloadCold, coldServer, "rule 3: times the capacity of the cold server"},
		{faultNoAnswer, "", "rule 1: has no answer"},
		{faultSecondKeyedEffect, "", "rule 4: has a second effect"},
		{faultParallelAttempt, "", "rule 4: a second attempt beside one that is out"},
		{faultExit, "", "exited unexpectedly"},
	} {
		t.Run(c.sidecarFault, func(t *testing.T) {
			t.Parallel()
			text := shortDrill
			if c.sidecarFault == faultOverloadCold {
				text = strings.Replace(text, "rate = 120", "rate = 300", 1)
			}
			r := runDrill(t, text+c.faults, self, "MILLETMAST_RIG_ROLE="+roleFaultySidecar, faultVariable+"="+c.sidecarFault)
			if c.want == "" {
				if r.ViolationCount != 0 || r.Asked < 200 {
					t.Errorf("%d requests, want 200 at least; violations %v, want none", r.Asked, r.Violations)
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
			t.Errorf("%d violations %v, want %s", r.ViolationCount, r.Violations, c.want)
		})
	}
}

// TestShortDrills runs the real sidecar with faults of processes and links. It must violate no rule and serve a minimal share of the
// priority weight.
func TestShortDrills(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	const faultDuringLoad = "\n[[fault]]\nat = \"800ms\"\n"
	for _, c := range []struct {
		name, faults string
		minShare     float64 // of the priority weight that is served
	}{
		{"no faults", "", 0.97},
		{"replicas killed", faultDuringLoad + "kind = \"restart\"\nkill = true\ncount = 1\ndown = \"500ms\"\n", 0.8},
		{"replicas restarted", "[[fault]]\nat = \"300ms\"\nkind = \"restart\"\nfor = \"4s\"\nsteps = 2\nshare = 1.0\ndown = \"100ms\"\n", 0.8},
		{"replicas suspended", faultDuringLoad + "kind = \"stall\"\nfor = \"1s\"\ncount = 1\n", 0.6},
		{"servers replaced", replacedServers, 0.9},
		{"servers killed", faultDuringLoad + "kind = \"crash\"\nfor = \"800ms\"\ncount = 1\n", 0.8},
		{"a link blocked in one direction", faultDuringLoad + "kind = \"link-cut\"\nway = \"back\"\nfor = \"1s\"\ncopies = 1\ncount = 1\n", 0.6},
		{"a machine of each tier suspended", innerTier + faultDuringLoad + "kind = \"silent\"\nfor = \"1s\"\ncount = 1\n[[fault]]\nat = \"800ms\"\nkind = \"silent\"\ninner = true\nfor = \"1s\"\ncount = 1\n", 0.5},
		{"servers replaced with an inner tier", innerTier + replacedServers, 0.8},
		{"links reset", faultDuringLoad + "kind = \"link-reset\"\nshare = 1.0\n", 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := runDrill(t, shortDrill+c.faults, filepath.Join(bin, "milletmast"))
			if r.ViolationCount != 0 {
				t.Errorf("violations %v, want none\n%s", r.Violations, r.Logs)
			}
			if r.Share < c.minShare {
				t.Errorf("served %.3f of the priority weight, want %.2f at least", r.Share, c.minShare)
			}
			var page bytes.Buffer
			if err := Report(&page, []*Result{r}); err != nil || strings.Count(page.String(), "<svg") != 2 {
				t.Errorf("report of %d bytes, %v, want two plots", page.Len(), err)
			}
			t.Logf("served %.3f, %d requests, load late by %v", r.Share, r.Asked, r.MaxDelay)
		})
	}
}

// TestRestartWithOtherProgram restarts a replica with a faulty program. The violations must be attributed to this replica, and none to
// the replicas that run the program of the drill.
func TestRestartWithOtherProgram(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	// The other program is a shell script that runs the faulty sidecar.
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "other")
	script := fmt.Sprintf("#!/bin/sh\nMILLETMAST_RIG_ROLE=%s %s='%s' exec %q \"$@\"\n", roleFaultySidecar, faultVariable, faultRepeatUnsafe, self)
	if err := os.WriteFile(other, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	fault := fmt.Sprintf("\n[[fault]]\nkind = \"restart\"\nat = \"100ms\"\ncount = 1\nkill = true\ndown = \"10ms\"\nprogram = %q\n", other)
	r := runDrill(t, shortDrill+fault+failingServers, filepath.Join(bin, "milletmast"))
	violations := map[string]int{} // by replica and start
	for _, b := range r.Violations {
		for _, c := range []string{"c0.1", "c0.2", "c1.1", "c1.2"} {
			if strings.Contains(b, c) {
				violations[c]++
			}
		}
	}
	if r.ViolationCount == 0 || violations["c0.1"]+violations["c1.1"] > 0 || violations["c0.2"]+violations["c1.2"] == 0 {
		t.Errorf("violations by replica %v, want them only after the restart: %v", violations, r.Violations)
	}
}

// TestInvalidDrills checks that a scenario that cannot run as a drill is rejected with file, line and field before any process starts.
func TestInvalidDrills(t *testing.T) {
	for _, c := range []struct{ text, want string }{ // line 47 is the kind of the fault
		{shortDrill + "[[fault]]\nkind = \"hold\"\ncount = 1\n", "bad.toml:47: fault[0].kind: \"hold\": only the emulator can play this"},
		{shortDrill + "[[fault]]\nkind = \"link-cut\"\ncount = 1\nway = \"up\"\n", "fault[0].way: \"up\" is unknown"},
		{shortDrill + "[[fault]]\nkind = \"stall\"\ninner = true\ncount = 1\n", "fault[0].inner: there is no tier behind"},
		{shortDrill + "[[fault]]\nkind = \"link-cut\"\ncopies = 5\ncount = 1\n", "fault[0].copies: 5 is not within"},
		{shortDrill + "[[fault]]\nkind = \"stall\"\nat = \"4s\"\ncount = 1\n", "fault[0].at: 4s is an impossible time"},
		{strings.Replace(shortDrill, "rate = 120", "rate = 6000", 1), "demand.rate: 6000 requests a second"},
		{strings.Replace(shortDrill, "count = 2", "count = 300", 1), "copies.count: 304 processes"},
		{strings.Replace(shortDrill, "[copies]", "[copies]\nkeep = \"1s\"", 1), "copies.keep: only the emulator"},
		{shortDrill + "[[fault]]\nkind = \"stall\"\nspede = 1\n", "spede"},
		{shortDrill + "[[fault]]\nkind = \"stall\"\ncount = 1\nprogram = \"/bin/sh\"\n", "fault[0].program: a fault \"stall\" starts no copy"},
		{shortDrill + "[[fault]]\nkind = \"restart\"\ncount = 1\nprogram = \"/none/there\"\n", "fault[0].program: \"/none/there\" is no program"},
	} {
		_, err := emulate.ParseDrill("bad.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "bad.toml:") {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	if _, err := emulate.Parse("bad.toml", []byte(shortDrill+"[[fault]]\nkind = \"starve\"\ncount = 1\n")); err == nil || !strings.Contains(err.Error(), "only processes can play this") {
		t.Errorf("the emulator accepts a fault that only drills can inject: %v", err)
	}
}

// TestRetriesStayInBudget checks that the retries of all replicas of both tiers stay within the configured budget while servers of both
// reject more than half of the requests.
func TestRetriesStayInBudget(t *testing.T) {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("rate = 120", "rate = 300", "mean = \"10ms\"", "mean = \"60ms\"", "cores = 2", "cores = 2\nqueue = 1",
		"attempts = 3", "attempts = 4\nretry_share = 0.1\nretry_free = 2\nretry_window = \"1s\"",
		"[inner.pool]", "[inner.pool]\nattempts = 4\nretry_share = 0.1\nretry_free = 2\nretry_window = \"1s\"",
		"[inner.servers]\ncount = 2", "[inner.servers]\ncount = 2\ncores = 1\nqueue = 1").Replace(shortDrill + innerTier)
	res := runDrill(t, text, bin+"/milletmast")
	if res.ViolationCount > 0 {
		t.Errorf("%d violations, want none", res.ViolationCount)
	}
	for _, v := range res.Verdicts {
		const free = 2 * 4 * 4 // retry_free of each second, at up to four replicas, for four seconds
		if most := 1.1*float64(v.Requests) + free; v.Requests == 0 || float64(v.Attempts) > most {
			t.Errorf("%s: %d attempts for %d requests, %.0f at most", v.Tier, v.Attempts, v.Requests, most)
		}
		t.Logf("%s: %d attempts for %d requests", v.Tier, v.Attempts, v.Requests)
	}
}

// TestReplicasShedTogether runs at twice the capacity, with the requests of the highest priority weight sent to one of four replicas.
// Replicas that coordinate load shedding must serve far more of the weight than replicas that shed independently.
func TestReplicasShedTogether(t *testing.T) {
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
			r := runDrill(t, spec, bin+"/milletmast")
			mu.Lock()
			defer mu.Unlock()
			shares[spec] = r.Share
		})
	}
	all.Wait()
	t.Logf("served %.3f of the priority weight alone, %.3f together", shares[alone], shares[together])
	if shares[together] < shares[alone]+0.1 {
		t.Errorf("served %.3f of the priority weight alone, %.3f together, want 0.1 more", shares[alone], shares[together])
	}
}

// TestRequestOnClosedIdleConn checks a request on an idle connection that was closed while it waited at a replica. It ends when the client
// detects the end of the connection, so that attempts before that are allowed. It counts as lost unless the replica was killed.
func TestRequestOnClosedIdleConn(t *testing.T) {
	sc, err := emulate.ParseDrill("short.toml", []byte(shortDrill))
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
		v := checkHistory("outer", &sc.Pool, &sc.Servers, map[string]ServerPlace{"s0": {}}, all, startOf(all), nil)
		if v.ViolationCount != want {
			t.Errorf("killed %v: %d violations, want %d: %v", killed, v.ViolationCount, want, v.Violations)
		}
	}
}
