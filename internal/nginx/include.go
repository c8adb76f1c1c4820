package nginx

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

var (
	errTooLong      = fmt.Errorf("the files have more than %d MiB together", MaxText>>20)
	errTooManyFiles = fmt.Errorf("more than %d files", MaxFiles)
	errIncludeDepth = fmt.Errorf("includes are more than %d deep", MaxIncludes)
	errCycle        = errors.New("the file includes itself")
	errBadInclude   = errors.New("include needs one file or pattern, and no block")
)

// Load reads a file and the files that it includes. Names are relative to the folder of the first file. A pattern that matches
// nothing is not an error, but a file that does not exist is. Files of a pattern are read in the order of their names. Included
// directives replace the include, which is recorded in File.Includes.
func Load(path string) (*File, error) {
	r := &loader{folder: filepath.Dir(path)}
	list, err := r.loadFile(path, nil, Pos{path, 1, 1})
	if err != nil {
		return nil, err
	}
	return &File{Directives: list, Includes: r.includes}, nil
}

// loader reads files and follows includes.
type loader struct {
	folder string
	files  int
	length int

	includes []*Directive
}

// loadFile reads one file. from holds the files that include it, and at is the position of the include.
func (r *loader) loadFile(path string, from []string, at Pos) ([]*Directive, error) {
	path = filepath.Clean(path)
	switch {
	case slices.Contains(from, path):
		return nil, &Error{at, fmt.Errorf("%s: %w", path, errCycle)}
	case len(from) > MaxIncludes:
		return nil, &Error{at, errIncludeDepth}
	}
	if r.files++; r.files > MaxFiles {
		return nil, &Error{at, errTooManyFiles}
	}
	info, err := os.Stat(path)
	if err == nil && !info.Mode().IsRegular() {
		err = errors.New("not a regular file")
	}
	if err != nil {
		return nil, &Error{at, fmt.Errorf("%s: %w", path, err)}
	}
	if r.length += int(min(info.Size(), MaxText+1)); r.length > MaxText {
		return nil, &Error{at, errTooLong}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{at, err}
	}
	list, err := Parse(path, string(text))
	if err != nil {
		return nil, err
	}
	return r.expand(list, append(slices.Clip(from), path))
}

// expand replaces each include with the directives of the files that it names.
func (r *loader) expand(list []*Directive, from []string) ([]*Directive, error) {
	out := make([]*Directive, 0, len(list))
	for _, d := range list {
		if d.Name == "include" {
			included, err := r.include(d, from)
			if err != nil {
				return nil, err
			}
			out = append(out, included...)
			continue
		}
		if d.Block {
			body, err := r.expand(d.Body, from)
			if err != nil {
				return nil, err
			}
			d.Body = body
		}
		out = append(out, d)
	}
	return out, nil
}

// include returns the directives of the files that an include names.
func (r *loader) include(d *Directive, from []string) (included []*Directive, err error) {
	if len(d.Args) != 1 || d.Block {
		return nil, &Error{d.Pos, errBadInclude}
	}
	r.includes = append(r.includes, d)
	paths, err := r.expandPattern(d.Args[0].Text)
	if err != nil {
		return nil, &Error{d.Args[0].Pos, err}
	}
	for _, path := range paths {
		list, err := r.loadFile(path, from, d.Pos)
		if err != nil {
			return nil, err
		}
		included = append(included, list...)
	}
	return included, nil
}

// expandPattern returns the files that an include names, in the order of their names.
func (r *loader) expandPattern(pattern string) ([]string, error) {
	if !filepath.IsAbs(pattern) {
		pattern = filepath.Join(r.folder, pattern)
	}
	if !strings.ContainsAny(pattern, "*?[") {
		return []string{pattern}, nil
	}
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", pattern, err)
	}
	slices.Sort(paths)
	return paths, nil
}
