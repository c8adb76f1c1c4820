package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const minimalFile = `
[[listener]]
name = "in"
address = "127.0.0.1:8080"

[[pool]]
name = "box"
[[pool.class]]
name = "read"
aim = "100ms"
give_up = "1s"
effect = "safe"
[[pool.server]]
address = "127.0.0.1:9001"

[[route]]
name = "all"
prefix = "/"
pool = "box"
class = "read"
`

// lineOf returns the line of the first occurrence of part in text, or -1.
func lineOf(text, part string) int {
	at := strings.Index(text, part)
	if at < 0 {
		return -1
	}
	return 1 + strings.Count(text[:at], "\n")
}

func TestExampleFile(t *testing.T) {
	cfg, err := Load("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "shop" || len(cfg.Pools) != 3 || len(cfg.Routes) != 9 || cfg.Limits.Sockets != 1024 || len(cfg.Hash) != 64 {
		t.Errorf("file %+v", cfg.File)
	}
	p := cfg.Pools[0]
	if set := p.Settings(); set.Classes[1].DedupWindow != 10_000 || set.Limits.ConnectTimeout != 250 || set.Safety.SlowStartTime != 8000 ||
		set.Limits.MaxAttempts != 3 || !set.Limits.RejectWithoutServers || set.Classes[2].PriorityWeight != 12 {
		t.Errorf("settings %+v", set)
	}
	if p.Servers[1].ID != "127.0.0.1:9002" || p.Servers[1].Cell != 1 || p.Servers[0].State != "ready" {
		t.Errorf("servers %+v", p.Servers)
	}
}

// TestErrorsNameLineAndField guards against errors with a wrong line or field, and against reporting only the first error of a file.
func TestErrorsNameLineAndField(t *testing.T) {
	edit := func(old, to string) string { return strings.Replace(minimalFile, old, to, 1) }
	for _, c := range []struct{ name, text, at, field, want string }{
		{"unknown key", edit(`name = "in"`, "name = \"in\"\naddrss = 1"), "addrss", "listener[0].addrss", `"address" meant`},
		{"unknown table", minimalFile + "\n[[pools]]\nname = \"x\"\n", "[[pools]]", "pools", `"pool" meant`},
		{"wrong type", edit(`"100ms"`, `true`), "aim", "pool[0].class[0].aim", "no time"},
		{"number for a text", edit(`name = "box"`, `name = 7`), "name = 7", "pool[0].name", "a text, not the number 7"},
		{"list of the wrong kind", minimalFile + "methods = [\"GET\", 4]\n", "methods", "route[0].methods[1]", "a text"},
		{"time", edit(`"100ms"`, `"-5s"`), "aim", "pool[0].class[0].aim", "no time"},
		{"aim over give_up", edit(`"100ms"`, `"2s"`), "aim", "pool[0].class[0].aim", "longer than the give_up"},
		{"connect time", edit(`name = "box"`, "name = \"box\"\nconnect_timeout = \"2s\""), "connect_timeout", "pool[0].connect_timeout", "give_up"},
		{"drain", edit(`name = "box"`, "name = \"box\"\ndrain_grace = \"1s\""), "drain_grace", "pool[0].drain_grace", "out of range"},
		{"effect", edit(`"safe"`, `"maybe"`), "effect", "pool[0].class[0].effect", "unknown"},
		{"group", edit(`"safe"`, `"keyed"`), "[[pool.class]]", "pool[0].class[0].group", "unknown"},
		{"NaN", edit(`name = "box"`, "name = \"box\"\ncold_from = nan"), "cold_from", "pool[0].cold_from", "finite"},
		{"attempts", edit(`name = "box"`, "name = \"box\"\nattempts = 5"), "attempts", "pool[0].attempts", "within"},
		{"rank", edit(`name = "box"`, "name = \"box\"\ncopies = 2\nrank = 2"), "rank", "pool[0].rank", "copies"},
		{"listener twice", minimalFile + "\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:1\"\n", "", "listener[1].name", "already"},
		{"overlap", minimalFile + "\n[[listener]]\nname = \"b\"\naddress = \":8080\"\n", "address = \":8080\"", "listener[1].address", "overlaps"},
		{"front", edit(`name = "in"`, "name = \"in\"\nfront = \"smtp\""), "front", "listener[0].front", "unknown"},
		{"address", edit(`"127.0.0.1:9001"`, `"nowhere"`), `"nowhere"`, "pool[0].server[0].address", "not an address"},
		{"server twice", edit("[[route]]", "[[pool.server]]\naddress = \"127.0.0.1:9001\"\n[[route]]"), "", "pool[0].server[1].id", "already"},
		{"started", edit("[[route]]", "started = \"noon\"\n[[route]]"), "started", "pool[0].server[0].started", "RFC 3339"},
		{"no pool", edit(`pool = "box"`, `pool = "bx"`), `pool = "bx"`, "route[0].pool", `no pool "bx"`},
		{"no class", edit(`class = "read"`, `class = "write"`), `class = "write"`, "route[0].class", `no class "write"`},
		{"path missing", edit(`prefix = "/"`, ``), "[[route]]", "route[0]", "one of exact"},
		{"two paths", edit(`prefix = "/"`, "prefix = \"/\"\nexact = \"/\""), "[[route]]", "route[0]", "one of exact"},
		{"expression", edit(`prefix = "/"`, `regex = "("`), "regex", "route[0].regex", "missing"},
		{"no listener", minimalFile + "listeners = [\"in\", \"out\"]\n", "listeners", "route[0].listeners[1]", "no listener"},
		{"condition", minimalFile + "headers = [{ name = \"x\", value = \"1\", present = true }]\n", "headers", "route[0].headers[0]", "not both"},
		{"unknown key of an inline table", minimalFile + "headers = [\n  { name = \"x\" },\n  { name = \"y\", valeu = \"1\" },\n]\n", "valeu", "route[0].headers[1].valeu", `"value" meant`},
		{"answer and pool", minimalFile + "status = 404\n", "pool = \"box\"", "route[0].pool", "not both"},
		{"redirect", minimalFile + "\n[[route]]\nname = \"r\"\nprefix = \"/r\"\nstatus = 200\nredirect = \"/x\"\n", "redirect", "route[1].redirect", "status 200 with location \"/x\": only a redirect"},
		{"same path and priority", minimalFile + "\n[[route]]\nname = \"two\"\nprefix = \"/\"\npool = \"box\"\nclass = \"read\"\n", "", "route[1].priority", "higher priority"},
		{"covered by another route", minimalFile + "\n[[route]]\nname = \"two\"\nregex = \"/.*\"\npool = \"box\"\nclass = \"read\"\n", "prefix", "route[0].prefix", "unreachable"},
		{"descriptors", edit(`name = "box"`, "name = \"box\"\nconnections = { least = 50 }") + "\n[limits]\nsockets = 64\n", "sockets", "limits.sockets", "guaranteed"},
		{"memory", minimalFile + "\n[limits]\nmemory = \"1MiB\"\n", "memory", "limits.memory", "under"},
		{"state", minimalFile + "\n[state]\npath = \"s\"\nevery = \"1ms\"\n", "every", "state.every", "out of range"},
		{"invalid TOML", minimalFile + "x = = 1\n", "x = =", "", ""},
		{"key twice", minimalFile + "name = \"again\"\n", "", "", ""},
		{"server file", edit("[[pool.server]]\naddress = \"127.0.0.1:9001\"", "[pool.source]\ntype = \"file\"\npath = \"none.toml\""), "path", "pool[0].source.path", "no such file"},
		{"source", edit("[[pool.server]]\naddress = \"127.0.0.1:9001\"", "[pool.source]\ntype = \"dns\""), "type", "pool[0].source.type", "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(filepath.Join(t.TempDir(), "operator.toml"), []byte(c.text))
			var all Errors
			if !errors.As(err, &all) {
				t.Fatalf("error %v, want errors of a file", err)
			}
			for _, e := range all {
				if e.Field == c.field && strings.Contains(e.Error(), c.want) && strings.Contains(e.Error(), "operator.toml:") {
					if want := lineOf(c.text, c.at); c.at != "" && e.Line != want {
						t.Errorf("%v: want line %d", e, want)
					}
					return
				}
			}
			t.Errorf("errors:\n%v\nwant one of %s with %q", err, c.field, c.want)
		})
	}
	text := strings.NewReplacer(`"safe"`, `"maybe"`, `"127.0.0.1:9001"`, `"x"`, `pool = "box"`, `pool = "bx"`, `name = "in"`, `nam = "in"`).Replace(minimalFile)
	_, err := Parse("f", []byte(text))
	if n := strings.Count(fmt.Sprint(err), "\n"); n < 4 { // nam is unknown, name is missing, effect, address, pool
		t.Errorf("errors:\n%v\nwant all five of them", err)
	}
}

func TestDiff(t *testing.T) {
	load := func(text string) *Config {
		t.Helper()
		cfg, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	a := load(minimalFile)
	if got := Diff(a, load(minimalFile)); len(got) != 0 {
		t.Errorf("the same file: %v", got)
	}
	b := load(strings.NewReplacer("9001", "9002", "8080", "8081", `prefix = "/"`, `prefix = "/x"`).Replace(minimalFile) +
		"\n[limits]\nsockets = 512\n[[pool]]\nname = \"more\"\n[[pool.class]]\nname=\"c\"\naim=\"1s\"\ngive_up=\"1s\"\neffect=\"unsafe\"\n")
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	want := []string{
		"limits: changed (sockets: 1024 -> 512)",
		`listener in: changed (address: "127.0.0.1:8080" -> "127.0.0.1:8081"): the old address takes no more connections, those that it has are finished`,
		"pool box: changed (server: 1 -> 1 entries): measurements and connections are kept",
		"pool more: added",
		`route all: changed (prefix: "/" -> "/x")`,
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("changes\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if c := load(strings.Replace(minimalFile, "100ms", "200ms", 1)); a.Pools[0].SameModule(&c.Pools[0]) || !a.Pools[0].SameModule(&b.Pools[0]) {
		t.Error("a pool keeps its module if only its servers changed, and only then")
	}
}

// TestAllocate checks that the shares sum to all descriptors, that no pool gets less than its guaranteed number, and that each share
// is within one descriptor of its exact value.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Share {
			return Share{Least: rapid.IntRange(1, 40).Draw(t, "least"), Weight: rapid.Float64Range(0, 10).Draw(t, "weight")}
		}), 1, 12).Draw(t, "pools")
		least, weights := 0, 0.0
		for _, p := range pools {
			least += p.Least
			weights += p.Weight
		}
		n := least + rapid.IntRange(0, 2000).Draw(t, "more")
		sum := 0
		for i, got := range Allocate(n, pools) {
			sum += got
			exact := float64(pools[i].Least)
			if weights > 0 {
				exact += float64(n-least) * pools[i].Weight / weights
			}
			if got < pools[i].Least || float64(got) < exact-1 || float64(got) > exact+1 {
				t.Fatalf("pool %d of %+v gets %d of %d, want %v", i, pools, got, n, exact)
			}
		}
		if sum > n || weights > 0 && sum != n {
			t.Fatalf("shares of %+v sum to %d of %d", pools, sum, n)
		}
	})
}

func TestServerFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "box.toml")
	text := "[[server]]\naddress = \"127.0.0.1:1\"\nid = \"a\"\nstarted = \"2026-03-01T08:00:00Z\"\n[[server]]\naddress = \"127.0.0.1:2\"\nstate = \"draining\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	servers, err := LoadServers(path, nil)
	if err != nil || len(servers) != 2 || servers[0].ID != "a" || servers[1].State != "draining" {
		t.Fatalf("servers %+v, error %v", servers, err)
	}
	if got := time.UnixMilli(int64(servers[0].StartedMS())).UTC().Format(time.RFC3339); got != servers[0].Started {
		t.Errorf("started %s, want %s", got, servers[0].Started)
	}
	file := strings.Replace(minimalFile, "[[pool.server]]\naddress = \"127.0.0.1:9001\"", "[pool.source]\ntype = \"file\"\npath = \"box.toml\"", 1)
	cfg, err := Parse(filepath.Join(filepath.Dir(path), "operator.toml"), []byte(file))
	if err != nil || len(cfg.FileServers["box"]) != 2 || cfg.Pools[0].Source.Path != path {
		t.Errorf("error %v, config %+v", err, cfg)
	}
	if _, err := ParseServers("f", []byte("[[server]]\naddress = \"x\"\nstate = \"gone\"\n"), nil); err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("error %v, want two", err)
	}
}

// FuzzParse checks for any text that an error names a line that the text has, and that parsing an accepted text again gives the same
// configuration.
func FuzzParse(f *testing.F) {
	f.Add(minimalFile)
	if text, err := os.ReadFile("../../deploy/operator.toml"); err == nil {
		f.Add(string(text))
	}
	f.Add("a.b = 1\n[a]\nb = 2")
	f.Add("[[pool]]\nclass = [{name = \"x\"}]\n[[pool.class]]\n")
	f.Add("listener = [1, {a = {b = [[1], [2]]}}]")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := Parse("f.toml", []byte(text))
		if err != nil {
			var all Errors
			if !errors.As(err, &all) || len(all) == 0 || len(all) > maxErrors+1 {
				t.Fatalf("error %v is not an Errors with 1 to maxErrors+1 entries", err)
			}
			for _, e := range all {
				if e.Line < 1 || e.Line > 1+strings.Count(text, "\n") {
					t.Fatalf("%v names a line that the text does not have", e)
				}
			}
			return
		}
		again, err := Parse("f.toml", []byte(text))
		if err != nil || again.Hash != cfg.Hash || len(Diff(cfg, again)) > 0 {
			t.Fatalf("parsed again: %v, %v", err, Diff(cfg, again))
		}
	})
}
