package main

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Failures are the failures in the output of go test.
type Failures struct {
	Tests  []TestID // failed tests, without those that only have a failed subtest
	Others []string // lines of failures that no test can be named for: builds, panics, time limits, packages that exit
}

// subtestIndent is the indentation of the results of subtests and of what a test logs, over that of the test's own result.
const subtestIndent = 4

// logLine matches what a test logs.
var logLine = regexp.MustCompile(`^ +[\w.-]+\.go:\d+: `)

// failedTest is a failed test or subtest.
type failedTest struct {
	name   string
	indent int
	logs   bool // it logged something itself
}

// parser collects the failures of one package after the other.
type parser struct {
	failures Failures
	tests    []failedTest // of the package that is being read
	panicked string       // a line that says that its tests did not all run; "" for none
	ended    bool         // its tests have all run
}

// parseTestOutput reads what go test without -v printed: the failed tests of a package come before the line with its result.
func parseTestOutput(r io.Reader) (Failures, error) {
	var p parser
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		p.parseLine(strings.TrimRight(line, "\r\n"))
		if err == io.EOF {
			p.endPackage("", "FAIL without the name of its package")
			return p.failures, nil
		}
		if err != nil {
			return Failures{}, err
		}
	}
}

func (p *parser) parseLine(line string) {
	trimmed := strings.TrimLeft(line, " ")
	switch {
	case strings.HasPrefix(trimmed, "--- FAIL: "):
		name, _, _ := strings.Cut(strings.TrimPrefix(trimmed, "--- FAIL: "), " ")
		p.tests = append(p.tests, failedTest{name: name, indent: len(line) - len(trimmed)})
	case logLine.MatchString(line):
		p.markLogged(len(line) - len(trimmed))
	case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "), strings.HasPrefix(line, "exit status "):
		p.panicked = line
	case line == "FAIL":
		p.ended = true
	case strings.HasPrefix(line, "ok  \t"), strings.HasPrefix(line, "?   \t"):
		p.endPackage("", "")
	case strings.HasPrefix(line, "FAIL\t"):
		name, rest, _ := strings.Cut(strings.TrimPrefix(line, "FAIL\t"), "\t")
		if strings.Contains(name, " [") || strings.HasPrefix(rest, "[") {
			p.failures.Others = append(p.failures.Others, line)
		}
		p.endPackage(name, line)
	}
}

// markLogged marks the test that a line with an indentation belongs to.
func (p *parser) markLogged(indent int) {
	for i := len(p.tests) - 1; i >= 0; i-- {
		if p.tests[i].indent == indent-subtestIndent {
			p.tests[i].logs = true
			return
		}
	}
}

// endPackage adds the failures of a package. The name is "" where its result was not a failure; a result line without failed tests
// is a failure that no test can be named for.
func (p *parser) endPackage(name, result string) {
	tests, panicked, ended := p.tests, p.panicked, p.ended
	p.tests, p.panicked, p.ended = nil, "", false
	if name == "" {
		for _, test := range tests {
			p.failures.Others = append(p.failures.Others, "--- FAIL: "+test.name+" of an unknown package")
		}
		return
	}
	switch {
	case panicked != "":
		p.failures.Others = append(p.failures.Others, name+": "+panicked)
	case !ended && len(tests) > 0:
		p.failures.Others = append(p.failures.Others, name+": the process ended before its tests")
	}
	if len(tests) == 0 && !slices.Contains(p.failures.Others, result) {
		p.failures.Others = append(p.failures.Others, result)
	}
	for _, test := range tests {
		if test.logs || !hasFailedSubtest(tests, test.name) {
			p.failures.Tests = append(p.failures.Tests, TestID{Package: name, Name: test.name})
		}
	}
}

func hasFailedSubtest(tests []failedTest, name string) bool {
	return slices.ContainsFunc(tests, func(t failedTest) bool { return strings.HasPrefix(t.name, name+"/") })
}

// Unlisted returns the failures that no entry covers, a line each.
func (f *Failures) Unlisted(entries []Entry, module string) []string {
	unlisted := slices.Clone(f.Others)
	for _, failed := range f.Tests {
		listed := slices.ContainsFunc(entries, func(e Entry) bool {
			test, isTest := e.Test(module)
			return isTest && test == failed
		})
		if !listed {
			unlisted = append(unlisted, failed.Package+" "+failed.Name)
		}
	}
	return unlisted
}
