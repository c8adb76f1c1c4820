package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milletmast/balancer"
	"milletmast/internal/operator"
	"milletmast/internal/state"
)

const validOperatorFile = `[[listener]]
name = "in"
address = "127.0.0.1:0"
[[pool]]
name = "p"
[[pool.class]]
name = "read"
aim = "100ms"
give_up = "1s"
effect = "safe"
[[pool.server]]
address = "127.0.0.1:9"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "read"
`

// writeStateFolder writes a state directory with a pool, a pin and a last good operator file, and returns its path.
func writeStateFolder(t *testing.T, text string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	s, _, _, err := state.Open(dir, "box-1")
	if err != nil {
		t.Fatal(err)
	}
	now := float64(time.Now().UnixMilli())
	if err := errors.Join(
		s.SavePools(map[string]state.PoolState{"p": {Servers: []string{"a", "b"}, Learned: balancer.LearnedState{At: now, ConcurrencyPerServer: 2, Servers: []balancer.LearnedServer{{Ejected: true}, {Load: 3}}}}}),
		s.SavePin("p", &state.DegradationPin{Level: "lean", Until: time.Now().Add(time.Hour)}),
		s.SaveLastGood(&state.OperatorFile{Path: "operator.toml", Hash: "0123456789abcdef", Text: []byte(text), AppliedAt: time.Now()}), s.Close(),
	); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestStateCommands(t *testing.T) {
	dir := writeStateFolder(t, validOperatorFile)
	call := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := rootCommand()
		cmd.SetArgs(append([]string{"state"}, args...))
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		err := cmd.Execute()
		return out.String(), err
	}
	out, err := call("show", dir)
	for _, want := range []string{"instance=box-1", "pool=p age=", "servers=2 cut=1 room=2.00", "pin=p level=lean", "generation=0123456789ab file=operator.toml"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("%v, no %q in\n%s", err, want, out)
		}
	}
	if out, err := call("verify", dir); err != nil || !strings.Contains(out, "sound: instance=box-1 pools=1 pins=1") {
		t.Errorf("%s, %v", out, err)
	}
	if _, err := call("reset", dir); err == nil || !strings.Contains(err.Error(), "--yes") {
		t.Error(err)
	}
	file := filepath.Join(dir, "held")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text[:len(text)-2], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := call("verify", dir); !errors.Is(err, state.ErrCorrupt) || !strings.Contains(err.Error(), file) {
		t.Errorf("truncated file: %v", err)
	}
	if _, err := call("reset", dir, "--yes"); err != nil {
		t.Error(err)
	}
	if _, err := call("show", dir); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// If the operator file cannot be used, the last good one is. If that cannot be used either, the error has both causes.
func TestLastGood(t *testing.T) {
	cause := errors.New("operator.toml: no such file")
	cfg, err := lastGoodFile(writeStateFolder(t, validOperatorFile), cause)
	if err != nil || len(cfg.Pools) != 1 || cfg.Path != "operator.toml" {
		t.Errorf("%+v, %v", cfg, err)
	}
	if _, err := lastGoodFile(writeStateFolder(t, "[[pool]]\n"), cause); !errors.Is(err, cause) || !strings.Contains(err.Error(), "cannot be used either") {
		t.Error(err)
	}
	if _, err := lastGoodFile(t.TempDir(), cause); !errors.Is(err, cause) || !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// Without a state directory in the configuration, or with one that cannot be opened, an instance runs without stored state.
func TestOpenState(t *testing.T) {
	cfg, err := operator.Parse("operator.toml", []byte(validOperatorFile))
	if err != nil {
		t.Fatal(err)
	}
	if persistence := openState(cfg); persistence != nil {
		t.Errorf("%+v", persistence)
	}
	if cfg, err = operator.Parse("operator.toml", []byte(validOperatorFile+"[state]\npath = \"x\"\n")); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg.State.Path = filepath.Join(file, "below")
	if persistence := openState(cfg); persistence != nil {
		t.Errorf("%+v", persistence)
	}
	cfg.State.Path = filepath.Join(t.TempDir(), "state")
	persistence := openState(cfg)
	if persistence == nil || persistence.Loaded == nil || persistence.Interval != 2*time.Second {
		t.Fatalf("%+v", persistence)
	}
	if other := openState(cfg); other != nil {
		t.Error("a second instance has opened the same state directory")
	}
	persistence.Store.Close()
}
