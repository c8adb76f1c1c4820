package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

const listed = `# A comment.
test: ./internal/route TestMatch/empty_path
command: go test ./internal/route
seen: a path of length 0
  matches nothing
issue: Routes

day: small trouble-1
command: fleetbench run small.toml trouble-1 --seed 7
seed: 7
seen: a rule broke
issue: Rules
`

func parse(t *testing.T, text string) []Entry {
	t.Helper()
	entries, err := parseEntries("list.txt", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

func TestParseEntries(t *testing.T) {
	entries := parse(t, listed)
	if len(entries) != 2 || entries[0].Line != 2 || entries[1].Line != 8 {
		t.Fatalf("entries %+v", entries)
	}
	if got := entries[0].Fields[fieldSeen]; got != "a path of length 0 matches nothing" {
		t.Errorf("a value over two lines: %q", got)
	}
	test, isTest := entries[0].Test("m")
	if want := (TestID{"m/internal/route", "TestMatch/empty_path"}); !isTest || test != want {
		t.Errorf("test %v, want %v", test, want)
	}
	if _, isTest := entries[1].Test("m"); isTest {
		t.Error("a played day counts as a test")
	}
	var printed bytes.Buffer
	for i := range entries {
		entries[i].print(&printed)
	}
	for _, want := range []string{"known failure: ./internal/route TestMatch/empty_path\n", "known failure: small trouble-1\n", "    seed: 7\n", "    issue: Rules\n"} {
		if !strings.Contains(printed.String(), want) {
			t.Errorf("%q is not printed:\n%s", want, &printed)
		}
	}
}

// An entry without one of its parts must not pass for a listed failure.
func TestInvalidEntries(t *testing.T) {
	for _, c := range []struct {
		old, new string
		line     int
		field    string
	}{
		{"command: go test ./internal/route\n", "", 2, fieldCommand},
		{"seen: a path of length 0\n  matches nothing\n", "", 2, fieldSeen},
		{"issue: Routes\n", "", 2, fieldIssue},
		{"issue: Routes\n", "issue:\n", 2, fieldIssue},
		{"day: small trouble-1\n", "", 8, fieldDay},
		{"command: fleetbench run small.toml trouble-1 --seed 7\n", "", 8, fieldCommand},
		{"seed: 7\n", "", 8, fieldSeed},
		{"seen: a rule broke\n", "", 8, fieldSeen},
		{"issue: Rules\n", "", 8, fieldIssue},
		{"issue: Rules\n", "issue: Rules\nissue: Rules\n", 13, fieldIssue},
		{"issue: Rules\n", "issue: Rules\nowner: nobody\n", 8, "owner"},
		{"issue: Rules\n", "issue: Rules\nno field\n", 13, "no field"},
		{"./internal/route TestMatch", "TestMatch", 2, fieldTest},
		{"./internal/route TestMatch", "./... Match", 2, fieldTest},
	} {
		text := strings.Replace(listed, c.old, c.new, 1)
		if text == listed {
			t.Fatalf("%q is not in the list", c.old)
		}
		_, err := parseEntries("list.txt", strings.NewReader(text))
		var invalid *EntryError
		if !errors.As(err, &invalid) || invalid.File != "list.txt" || invalid.Line != c.line || invalid.Field != c.field {
			t.Errorf("%q for %q: error %v, want line %d and field %q", c.new, c.old, err, c.line, c.field)
		}
	}
}

const (
	passed         = "ok  \tmilletmast/internal/state\t1.2s\n?   \tmilletmast/internal/pki\t[no test files]\n"
	listedFails    = "--- FAIL: TestMatch (0.01s)\n    --- FAIL: TestMatch/empty_path (0.00s)\n        route_test.go:7: got nothing\nFAIL\nFAIL\tmilletmast/internal/route\t0.1s\n"
	closingFailure = "FAIL\n"
)

// Only a failure of exactly a listed test, in a run that was complete, is passed over.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name, output string
		unlisted     string // "" if the output is passed over
	}{
		{"the listed test", passed + listedFails + passed + closingFailure, ""},
		{"another subtest", strings.ReplaceAll(listedFails, "empty_path", "long_path"), "milletmast/internal/route TestMatch/long_path"},
		{"a longer name", strings.ReplaceAll(listedFails, "empty_path", "empty_path#01"), "TestMatch/empty_path#01"},
		{"another package", strings.ReplaceAll(listedFails, "internal/route", "internal/vhost"), "milletmast/internal/vhost TestMatch/empty_path"},
		{"the test around it", "--- FAIL: TestMatch (0.01s)\n    route_test.go:3: no table\nFAIL\nFAIL\tmilletmast/internal/route\t0.1s\n", "milletmast/internal/route TestMatch"},
		{
			"the test around it too", strings.Replace(listedFails, "FAIL\nFAIL", "    route_test.go:9: not all\nFAIL\nFAIL", 1),
			"milletmast/internal/route TestMatch",
		},
		{"a second test", strings.Replace(listedFails, "FAIL\nFAIL", "--- FAIL: TestOther (0.00s)\nFAIL\nFAIL", 1), "TestOther"},
		{"a second package", listedFails + "--- FAIL: TestOther (0.00s)\nFAIL\nFAIL\tmilletmast/internal/pki\t0.1s\n", "internal/pki TestOther"},
		{"a panic", strings.Replace(listedFails, "FAIL\nFAIL", "panic: nil map\nFAIL", 1), "panic: nil map"},
		{"a time limit", listedFails + "panic: test timed out after 10m0s\nFAIL\tmilletmast/internal/pki\t600s\n", "test timed out"},
		{"a race outside of tests", listedFails + "exit status 66\nFAIL\tmilletmast/internal/pki\t1s\n", "exit status 66"},
		{"an exit after a listed failure", strings.Replace(listedFails, "FAIL\nFAIL", "FAIL", 1), "ended before its tests"},
		{"no build", listedFails + "FAIL\tmilletmast/internal/pki [build failed]\n", "[build failed]"},
		{"an exit", listedFails + "exit status 1\nFAIL\tmilletmast/internal/pki\t1s\n", "internal/pki"},
		{"a result of no package", "--- FAIL: TestMatch (0.01s)\n", "unknown package"},
		{"no failure", passed, "without a failure"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := judge(parse(t, listed), strings.NewReader(c.output), &out)
			if c.unlisted == "" {
				if err != nil || !strings.Contains(out.String(), "milletmast/internal/route TestMatch/empty_path") {
					t.Errorf("error %v, output %q", err, &out)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.unlisted) {
				t.Errorf("error %v, want one with %q", err, c.unlisted)
			}
		})
	}
}

func TestTestExists(t *testing.T) {
	const here = "milletmast/internal/ci/knownred"
	for name, want := range map[string]bool{
		"TestJudge/a_panic":     true,
		"TestParseEntries":      true,
		"TestParse":             false,
		"TestJudge/no_such":     false,
		"TestJudge/a_panic/sub": false,
	} {
		got, err := testExists(TestID{Package: here, Name: name})
		if err != nil || got != want {
			t.Errorf("%s: %v, %v, want %v", name, got, err, want)
		}
	}
	missing := parse(t, strings.Replace(listed, "./internal/route TestMatch/empty_path", "./internal/ci/knownred TestNone", 1))
	var out bytes.Buffer
	if err := list(missing, &out); err == nil || !strings.Contains(err.Error(), `list.txt:2: field "test"`) {
		t.Errorf("an entry of a test that does not exist: %v", err)
	}
}

// A list that is not there has no entries, and an unknown command changes nothing.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := run([]string{"list", t.TempDir() + "/none.txt"}, nil, &out); err != nil || out.Len() > 0 {
		t.Errorf("no file: %v, %q", err, &out)
	}
	for _, args := range [][]string{{}, {"list"}, {"pass", "list.txt"}} {
		if err := run(args, nil, &out); err == nil {
			t.Errorf("%v is accepted", args)
		}
	}
}
