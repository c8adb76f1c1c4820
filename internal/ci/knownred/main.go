// Knownred checks the list of known failures for CI, and the output of go test against it.
//
//	knownred list FILE          prints the entries; an invalid entry or one of a test that does not exist is an error
//	knownred judge FILE <OUTPUT reads the output of go test; a failure that is not listed is an error
//
// It runs at the root of the module. A missing file is an empty list. Exit status 1 stands for an error.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

// modulePath is the prefix of the import paths of this module's packages.
const modulePath = "milletmast"

func main() {
	if err := run(os.Args[1:], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(args []string, in io.Reader, out io.Writer) error {
	if len(args) != 2 {
		return errors.New("usage: knownred list|judge FILE")
	}
	entries, err := readEntries(args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "list":
		return list(entries, out)
	case "judge":
		return judge(entries, in, out)
	}
	return fmt.Errorf("unknown command %q: there are list and judge", args[0])
}

func readEntries(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseEntries(path, file)
}

// list prints the entries and checks that their tests exist.
func list(entries []Entry, out io.Writer) error {
	for i := range entries {
		entries[i].print(out)
		test, isTest := entries[i].Test(modulePath)
		if !isTest {
			continue
		}
		exists, err := testExists(test)
		if err != nil {
			return err
		}
		if !exists {
			return &EntryError{entries[i].File, entries[i].Line, fieldTest, fmt.Sprintf("%s has no test %s", test.Package, test.Name)}
		}
	}
	return nil
}

// judge checks that the tests that failed are listed.
func judge(entries []Entry, in io.Reader, out io.Writer) error {
	failures, err := parseTestOutput(in)
	if err != nil {
		return err
	}
	if len(failures.Tests)+len(failures.Others) == 0 {
		return errors.New("go test failed without a failure in its output")
	}
	if unlisted := failures.Unlisted(entries, modulePath); len(unlisted) > 0 {
		return fmt.Errorf("failures that are not listed:\n    %s", strings.Join(unlisted, "\n    "))
	}
	for _, test := range failures.Tests {
		fmt.Fprintf(out, "known failure passed over: %s %s\n", test.Package, test.Name)
	}
	return nil
}

// testExists runs a test, whatever its result is, and reports whether go test knows it: subtests have no other list.
func testExists(test TestID) (bool, error) {
	pattern := strings.Split(test.Name, "/")
	for i, part := range pattern {
		pattern[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	output, err := exec.Command("go", "test", "-race", "-v", "-run", strings.Join(pattern, "/"), test.Package).Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return false, err
	}
	for line := range strings.Lines(string(output)) {
		if strings.TrimSpace(line) == "=== RUN   "+test.Name {
			return true, nil
		}
	}
	return false, nil
}
