package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// execute runs a command line in this process.
func execute(args ...string) (out, errs string, err error) {
	var o, e bytes.Buffer
	cmd := command()
	cmd.SetArgs(args)
	cmd.SetOut(&o)
	cmd.SetErr(&e)
	err = cmd.Execute()
	return o.String(), e.String(), err
}

const calmScenario = "../../deploy/scenarios/calm.toml"

var shortRun = []string{"--set", "for=6s", "--set", "warmup=1s", "--set", "demand.rate=200"}

func TestRunPrints(t *testing.T) {
	out, _, err := execute(append([]string{"run", calmScenario, "--seeds", "3,5-6"}, shortRun...)...)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "calm"); n != 6 || !strings.Contains(out, "served worth") || !strings.Contains(out, "save") {
		t.Errorf("%d lines of seeds:\n%s", n, out)
	}
}

// compare must read the JSON that run prints.
func TestCompareResults(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, extra := range []string{"servers.count=12", "servers.count=3"} {
		out, _, err := execute(append([]string{"run", calmScenario, "--seeds", "1-3", "--json", "--set", extra}, shortRun...)...)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, filepath.Join(dir, string(rune('a'+i))))
		if err := os.WriteFile(files[i], []byte(out), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out, _, err := execute("compare", "--results", files[0], "--results", files[1])
	if err != nil || !strings.Contains(out, "worse") || !strings.Contains(out, "3 seeds") {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestPlotDraws(t *testing.T) {
	for _, form := range []string{"svg", "png"} {
		path := filepath.Join(t.TempDir(), "p."+form)
		if _, _, err := execute(append([]string{"plot", calmScenario, "-o", path, "--seeds", "1-2", "--variant", "one:", "--variant", "two: copies.count=5"}, shortRun...)...); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil || len(text) < 1000 || form == "svg" && !bytes.Contains(text, []byte("time, s")) {
			t.Errorf("%s: %d bytes, %v", form, len(text), err)
		}
	}
}

func TestBadArguments(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("for = 5\nrate = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"run"}, "at least 1"},
		{[]string{"run", "/nowhere.toml"}, "no such file"},
		{[]string{"run", bad}, "errors: "},
		{[]string{"run", calmScenario, "--seeds", "3-1"}, "--seeds"},
		{[]string{"run", calmScenario, "--seeds", "1-5000"}, "more than 1000"},
		{[]string{"run", calmScenario, "--seeds", ""}, "--seeds"},
		{[]string{"run", calmScenario, "--set", "copies"}, "errors: 1"},
		{[]string{"run", calmScenario, "--at-once", "0"}, "--at-once"},
		{[]string{"compare", calmScenario}, "two variants"},
		{[]string{"compare", calmScenario, "--variant", "a", "--variant", "b:"}, "--variant"},
		{[]string{"compare", "--results", bad, "--results", bad}, "no results"},
		{[]string{"plot", calmScenario, "-o", "x.gif"}, ".svg or .png"},
	} {
		if _, _, err := execute(c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.args, err, c.want)
		}
	}
	if _, errs, _ := execute("run", bad); !strings.Contains(errs, bad+":1: for: ") || !strings.Contains(errs, bad+":2: rate: unknown key") {
		t.Errorf("standard error: %s", errs)
	}
}
