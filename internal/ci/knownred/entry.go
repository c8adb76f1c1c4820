package main

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
)

// The fields of an entry.
const (
	fieldTest    = "test"    // package and test: ./internal/route TestMatch/empty_path
	fieldDay     = "day"     // deployment and day of the bench that was played
	fieldCommand = "command" // shows the failure
	fieldSeed    = "seed"    // of the day
	fieldSeen    = "seen"    // what failed
	fieldIssue   = "issue"   // the open issue that covers it
)

// testFields and dayFields are the fields that an entry for a test and one for a played day must have.
var (
	testFields = []string{fieldTest, fieldCommand, fieldSeen, fieldIssue}
	dayFields  = []string{fieldDay, fieldCommand, fieldSeed, fieldSeen, fieldIssue}
)

// Entry is a known failure.
type Entry struct {
	File   string // that lists it
	Line   int    // of its first field
	Fields map[string]string
}

// TestID identifies a test, or a subtest by its full name.
type TestID struct {
	Package string // import path
	Name    string
}

// EntryError reports an invalid entry.
type EntryError struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error names the file, the line, the field and the problem.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s:%d: field %q: %s", e.File, e.Line, e.Field, e.Problem)
}

// parseEntries reads entries: blocks of "field: value" lines that empty lines separate. A line that begins with a space
// continues the value before it, and one that begins with "#" is a comment. Its error is an *EntryError, or of reading.
func parseEntries(file string, r io.Reader) ([]Entry, error) {
	var entries []Entry
	var last string // the field that a continuation line extends; "" between entries
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "#"):
			continue
		case strings.TrimSpace(line) == "":
			last = ""
			continue
		case line[0] == ' ' && last != "":
			entries[len(entries)-1].Fields[last] += " " + strings.TrimSpace(line)
			continue
		}
		field, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, &EntryError{file, number, line, `want "field: value"`}
		}
		if last == "" {
			entries = append(entries, Entry{File: file, Line: number, Fields: map[string]string{}})
		}
		fields := entries[len(entries)-1].Fields
		if _, twice := fields[field]; twice {
			return nil, &EntryError{file, number, field, "given twice"}
		}
		fields[field], last = strings.TrimSpace(value), field
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	for i := range entries {
		if err := entries[i].validate(); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// validate checks that an entry has each of its fields, and no other.
func (e *Entry) validate() error {
	want := dayFields
	if _, isTest := e.Fields[fieldTest]; isTest {
		want = testFields
	}
	for _, field := range want {
		if e.Fields[field] == "" {
			return &EntryError{e.File, e.Line, field, "is missing or empty"}
		}
	}
	for field := range e.Fields {
		if !slices.Contains(want, field) && field != fieldSeed {
			return &EntryError{e.File, e.Line, field, "unknown; an entry has " + strings.Join(want, ", ")}
		}
	}
	if value, isTest := e.Fields[fieldTest]; isTest {
		if words := strings.Fields(value); len(words) != 2 || !strings.HasPrefix(words[0], "./") || !strings.HasPrefix(words[1], "Test") {
			return &EntryError{e.File, e.Line, fieldTest, fmt.Sprintf("%q is not a package and a test, as in ./internal/route TestMatch", value)}
		}
	}
	return nil
}

// Test returns the test that an entry names, with its package under a module path; false for a played day.
func (e *Entry) Test(module string) (TestID, bool) {
	words := strings.Fields(e.Fields[fieldTest])
	if len(words) != 2 {
		return TestID{}, false
	}
	return TestID{Package: module + strings.TrimPrefix(words[0], "."), Name: words[1]}, true
}

// print writes an entry for the log of CI.
func (e *Entry) print(w io.Writer) {
	what, fields := fieldTest, testFields
	if e.Fields[fieldTest] == "" {
		what, fields = fieldDay, dayFields
	}
	fmt.Fprintf(w, "known failure: %s\n", e.Fields[what])
	for _, field := range fields[1:] {
		fmt.Fprintf(w, "    %s: %s\n", field, e.Fields[field])
	}
}
