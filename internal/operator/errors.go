package operator

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxErrors bounds the number of errors that are reported for one file.
const maxErrors = 200

// Error is one error in a file.
type Error struct {
	File  string
	Line  int
	Field string // its path, such as route[2].pool; empty for an error of the whole file
	Err   error
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
	}
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errors holds all errors of a file, in the order of its lines.
type Errors []*Error

func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// PrintErrors writes all errors of a file, one per line, and returns an error with their number. Any other error is returned
// unchanged.
func PrintErrors(w io.Writer, path string, err error) error {
	var all Errors
	if errors.As(err, &all) {
		fmt.Fprintln(w, all)
		return fmt.Errorf("%s: errors: %d", path, len(all))
	}
	return err
}
