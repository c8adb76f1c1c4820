package emulate

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const minimalScenario = `for = "10s"
[[pool.class]]
name = "read"
aim = "100ms"
give_up = "1s"
effect = "safe"
[demand]
rate = 10
[[work]]
class = "read"
mean = "10ms"
`

// A mistake in a scenario must be reported with its line and field, and the whole file must be rejected.
func TestBadScenarios(t *testing.T) {
	if _, err := Parse("s.toml", []byte(minimalScenario)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`rate = 10`, `rat = 10`, `s.toml:8: demand.rat: unknown key; is "rate" meant?`},
		{`rate = 10`, `rate = "ten"`, `s.toml:8: demand.rate: must be a number, not a text`},
		{`rate = 10`, `rate = -1`, `s.toml:8: demand.rate: -1 is not within 0.001 and 1e+07`},
		{`rate = 10`, `rate = nan`, `s.toml:8: demand.rate`},
		{`rate = 10`, `rate = 9e6`, `s.toml:8: demand.rate: up to 90000000 requests in the run: at most 50000000 are allowed`},
		{`rate = 10`, "rate = 10\ncurve = [{at=\"2s\", times=1.0}, {at=\"1s\", times=2.0}]", `s.toml:9: demand.curve[1].at: 1s is not after the previous point: points must be in ascending order of time`},
		{`mean = "10ms"`, `mean = "10"`, `s.toml:11: work[0].mean: "10" is no time`},
		{`mean = "10ms"`, "mean = \"10ms\"\nshape = \"normal\"", `s.toml:12: work[0].shape: "normal" is unknown`},
		{`class = "read"`, `class = "write"`, `s.toml:10: work[0].class: class "write" does not exist in the pool`},
		{`class = "read"`, `class = "write"`, `class "read" has no entry`},
		{`for = "10s"`, `for = "1s"`, `warmup: 5s is not shorter than the run of 1s`},
		{`for = "10s"`, `for = "10s"` + "\nwarmup = 5", `s.toml:2: warmup`},
		{`aim = "100ms"`, `aim = "2s"`, `s.toml:4: pool.class[0].aim: 2s is longer than the give_up of 1s`},
		{`[demand]`, "[copies]\ncount = 0\n[demand]", `s.toml:8: copies.count: 0 is not within 1 and 10000`},
		{`[demand]`, "[servers]\nspeeds = [1.0, 0.0]\n[demand]", `s.toml:8: servers.speeds[1]: 0 is not within 0.001 and 1000`},
		{`[demand]`, "[[callers]]\nhabit = \"never\"\n[demand]", `s.toml:8: callers[0].habit: "never" is unknown`},
		{`[demand]`, "[[fault]]\nkind = \"flood\"\n[demand]", `s.toml:8: fault[0].kind: "flood" is unknown`},
		{`[demand]`, "[[fault]]\nkind = \"zone\"\n[demand]", `fault[0].zone: is missing`},
		{`[demand]`, "[[fault]]\nkind = \"slow\"\n[demand]", `fault[0].share: is missing: share, count or zone must state what the fault affects`},
		{`[demand]`, "[[fault]]\nkind = \"slow\"\nshare = 0.1\ncount = 2\n[demand]", `s.toml:10: fault[0].count: a fault has a share or a count, not both`},
		{`[demand]`, "[[fault]]\nkind = \"slow\"\nzone = \"q\"\n[demand]", `s.toml:9: fault[0].zone: "q" is none of the pool's zones`},
		{`[demand]`, "[pool]\ncopies = 3\n[demand]", `pool`},
		{`[demand]`, "[[pool.server]]\naddress = \"127.0.0.1:1\"\n[demand]", `pool.server: must be absent: the table [servers] defines the servers`},
		{`[demand]`, "[demand", `s.toml:7:`},
	} {
		text := strings.Replace(minimalScenario, c.from, c.to, 1)
		_, err := Parse("s.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v, want %q", c.to, c.from, err, c.want)
		}
	}
	long := fmt.Sprintf("%s#%s\n", minimalScenario, strings.Repeat("x", maxScenario))
	if _, err := Parse("s.toml", []byte(long)); err == nil {
		t.Error("a file over the size limit is accepted")
	}
}

// Overrides must replace values of the file, and a mistake in an override must be reported.
func TestOverrides(t *testing.T) {
	s, err := Parse("s.toml", []byte(minimalScenario), "copies.count=7", "pool.class.read.aim=50ms", "work.0.mean = \"3ms\"", "pool.zones=[\"a\",\"b\"]", "demand.curve=[{at=\"1s\",times=2.0}]")
	if err != nil {
		t.Fatal(err)
	}
	if s.Copies.Count != 7 || s.Pool.Classes[0].Aim.MS() != 50 || s.Work[0].Mean.MS() != 3 || len(s.Pool.Zones) != 2 || s.Demand.Curve[0].Times != 2 {
		t.Errorf("%+v", s)
	}
	for _, c := range []struct{ set, want string }{
		{"copies.count", "sets nothing"},
		{"copies.count=x\ny", "no value"},
		{"copies.number=3", "copies.number: unknown key"},
		{"work.1.mean=3ms", "there is no 1 in work"},
		{"work.read=3ms", "name a field"},
		{"for.x.y=3", "is no table"},
		{"copies.count=0", "copies.count: 0 is not within"},
	} {
		if _, err := Parse("s.toml", []byte(minimalScenario), c.set); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.set, err, c.want)
		}
	}
}

// Parse must not panic, and must reject any text or override that violates the limits of a scenario.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalScenario), "copies.count=3")
	text, err := os.ReadFile("../../deploy/scenarios/calm.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text, "fault=[{kind=\"slow\", share=0.5}]")
	f.Fuzz(func(t *testing.T, text []byte, set string) {
		s, err := Parse("f", text, set)
		if err != nil {
			return
		}
		if s.Copies.Count < 1 || s.Copies.Count > maxReplicas || s.Servers.Count > maxServers || !(s.Demand.Rate > 0) || len(s.Work) != len(s.Pool.Classes) {
			t.Errorf("accepted: %+v", s)
		}
		for _, fault := range s.Faults {
			if fault.Share < 0 || fault.Share > 1 || fault.At < 0 {
				t.Errorf("accepted: %+v", fault)
			}
		}
	})
}
