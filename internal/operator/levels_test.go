package operator

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"milletmast/internal/degradation"
)

const levelTables = `
[[pool.level]]
name = "lean"
enter = [{ signal = "p95", over = 1 }, { signal = "usable", under = 0.5 }]
least = "2s"
[[pool.level.shed]]
class = "read"
share = 0.5
retry_after = "3s"
`

func withLevels(text string) string {
	return strings.Replace(minimalFile, "\n[[route]]", text+"\n[[route]]", 1)
}

func TestLevels(t *testing.T) {
	cfg, err := Parse("f.toml", []byte(strings.Replace(withLevels(levelTables), `name = "box"`, "name = \"box\"\nlevel_caller = \"x-app\"", 1)))
	if err != nil {
		t.Fatal(err)
	}
	l := cfg.Pools[0].Ladder()
	want := degradation.Level{
		Name:        "lean",
		EnterIf:     []degradation.Condition{{Signal: degradation.P95Ratio, Bound: 1}, {Signal: degradation.UsableRatio, Below: true, Bound: 0.5}},
		EnterAfter:  300 * time.Millisecond,
		LeaveAfter:  time.Second,
		Hysteresis:  0.3,
		MinTime:     2 * time.Second,
		MinTimeOff:  5 * time.Second,
		RestoreTime: 3 * time.Second,
		Shedding:    []degradation.ShedRule{{Share: 0.5, Response: degradation.Response{RetryAfter: 3 * time.Second}}},
	}
	if len(l) != 1 || fmt.Sprint(l[0]) != fmt.Sprint(want) || cfg.Pools[0].LevelCaller != "X-App" {
		t.Errorf("%+v, by %q", l, cfg.Pools[0].LevelCaller)
	}
	plain, err := Parse("f.toml", []byte(minimalFile))
	if err != nil {
		t.Fatal(err)
	}
	a, b := &cfg.Pools[0], &plain.Pools[0]
	if !a.SameModule(b) || a.SameLevels(b) || !a.SameLevels(a) {
		t.Error("levels count as part of the module, or are not compared")
	}
	if changes := Diff(plain, cfg); len(changes) != 1 || !strings.Contains(changes[0].Effect, "are kept") || !strings.Contains(changes[0].String(), "level: 0 -> 1") {
		t.Errorf("%v", changes)
	}
}

// TestInvalidLevels guards against errors of a level that are reported twice, or without the field and line.
func TestInvalidLevels(t *testing.T) {
	for _, k := range []struct{ from, to, field, want string }{
		{`"p95"`, `"p59"`, "pool[0].level[0].enter[0].signal", "not a signal"},
		{`, over = 1`, ``, "pool[0].level[0].enter[0]", "one of over and under"},
		{`over = 1`, `over = 1, under = 2`, "pool[0].level[0].enter[0]", "one of over and under"},
		{`under = 0.5`, `under = 1.5`, "pool[0].level[0].enter", "can never hold"},
		{`class = "read"`, `class = "write"`, "pool[0].level[0].shed[0].class", `no class "write"`},
		{`share = 0.5`, `share = 1.5`, "pool[0].level[0].shed", "share of 1.5"},
		{`least = "2s"`, `least = "1ms"`, "pool[0].level[0].least", "not within 100ms"},
		{`"lean"`, `"normal"`, "pool[0].level[0].name", "no reduction"},
		{`"lean"`, `"l e"`, "pool[0].level[0].name", "not a valid name"},
		{`retry_after = "3s"`, `warning = "a\nb"`, "pool[0].level[0].shed[0].warning", "control character"},
		{`retry_after = "3s"`, `bodi = "x"`, "pool[0].level[0].shed[0].bodi", "unknown key"},
	} {
		_, err := Parse("f.toml", []byte(withLevels(strings.Replace(levelTables, k.from, k.to, 1))))
		var all Errors
		if !errors.As(err, &all) || len(all) != 1 || !strings.Contains(all[0].Error(), k.field+":") || !strings.Contains(all[0].Error(), k.want) || !strings.HasPrefix(all[0].Error(), "f.toml:") {
			t.Errorf("%s: %v", k.to, err)
		}
	}
	text := strings.Replace(withLevels(levelTables), `name = "box"`, "name = \"box\"\nprotocol = \"grpc\"\nlevel_window = \"1ms\"\nlevel_caller = \"a b\"", 1)
	_, err := Parse("f.toml", []byte(strings.Replace(text, "share = 0.5", "status = 200", 1)))
	for _, want := range []string{"level_window: 1ms", "level_caller:", "always gets a gRPC status"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no error with %q: %v", want, err)
		}
	}
}
