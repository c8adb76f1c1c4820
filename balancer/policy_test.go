package balancer

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPolicySizeAndWidth limits the number and the width of the lines of the policy files that deploy/balancer.toml names.
func TestPolicySizeAndWidth(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if named == nil {
		t.Fatal("deploy/balancer.toml has no line 'policy = [...]'")
	}
	var text []byte
	lines := 0
	for _, file := range strings.Split(string(named[1]), ", ") {
		text, err = os.ReadFile("../" + strings.Trim(file, `"`))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			if wide := utf8.RuneCount(line) + 3*bytes.Count(line, []byte("\t")); wide > 110 {
				t.Errorf("%s:%d: line is %d columns wide, 110 at most", file, i+1, wide)
			}
		}
	}
	if text, err = os.ReadFile("balancer.go"); err != nil {
		t.Fatal(err)
	}
	if lines > 1200 {
		t.Errorf("the policy files have %d lines that are not blank, 1200 at most", lines)
	}
	if !bytes.Contains(text[:bytes.IndexByte(text, '\n')], []byte("api.go")) {
		t.Error("the first line of balancer.go must name the interface file, api.go")
	}
}
