package operator

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// document is the text of one file while it is decoded and checked. It collects the errors.
type document struct {
	name  string
	edit  func(tree map[string]any) error // changes the decoded tree before the struct is filled; may be nil
	lines *positions
	errs  Errors
}

// decode reads the text into a struct with toml tags. It returns false if the text is not TOML, so that nothing else can be checked.
func (d *document) decode(text []byte, to any) bool {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		line := 1
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		d.errs = append(d.errs, &Error{File: d.name, Line: max(line, 1), Err: errors.New(strings.TrimPrefix(err.Error(), "toml: "))})
		return false
	}
	d.lines = newPositions(text)
	if d.edit != nil {
		if err := d.edit(tree); err != nil {
			d.errs = append(d.errs, &Error{File: d.name, Line: 1, Err: err})
			return false
		}
	}
	b := binder{report: d.report}
	b.bindTable("", tree, reflect.ValueOf(to).Elem())
	return true
}

// report adds an error about a field.
func (d *document) report(field string, err error) {
	d.errs = append(d.errs, &Error{File: d.name, Line: d.lines.lineOf(field), Field: field, Err: err})
}

func (d *document) reportf(field, format string, args ...any) {
	d.report(field, fmt.Errorf(format, args...))
}

// err returns the errors in the order of their lines, at most maxErrors of them, or nil if there are none.
func (d *document) err() error {
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return a.Line - b.Line })
	if more := len(d.errs) - maxErrors; more > 0 {
		last := d.errs[maxErrors]
		d.errs = append(d.errs[:maxErrors], &Error{File: d.name, Line: last.Line, Err: fmt.Errorf("and %d more errors", more)})
	}
	return d.errs
}

// Decode reads a file into a struct with toml tags as strictly as an operator file, and reports every error with its line and field.
// check is called after the file was read, to report errors of fields by their path; it may be nil.
func Decode(path string, to any, check func(report func(field, text string))) error {
	text, err := ReadFile(path)
	if err != nil {
		return err
	}
	return DecodeText(path, text, to, nil, check)
}

// DecodeText is Decode for a text that was already read. edit may change the decoded tree before the struct is filled; it may be nil.
func DecodeText(
	name string, text []byte, to any, edit func(tree map[string]any) error, check func(report func(field, text string)),
) error {
	d := &document{name: name, edit: edit}
	if d.decode(text, to) && check != nil {
		check(func(field, text string) { d.report(field, errors.New(text)) })
	}
	return d.err()
}

// Check checks a pool that is described by another kind of file, except for its servers and their source.
func (p *Pool) Check(path string, report func(field, text string)) {
	d := &document{lines: &positions{}}
	c := checker{document: d, cfg: &Config{}}
	c.checkPool(path, p)
	for _, e := range d.errs {
		report(e.Field, e.Err.Error())
	}
}
