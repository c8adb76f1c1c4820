package operator

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions holds the line of each key of a document, by its path, such as pool[0].class[1].aim.
type positions struct {
	lines  map[string]int
	starts []int          // offsets of lines
	counts map[string]int // elements of the arrays of tables so far
}

// newPositions finds the lines of the keys of a document that was decoded before. Where this parser fails, the rest of the document
// is left out.
func newPositions(text []byte) *positions {
	p := &positions{lines: map[string]int{}, counts: map[string]int{}, starts: []int{0}}
	for i, c := range text {
		if c == '\n' {
			p.starts = append(p.starts, i+1)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		switch e := parser.Expression(); e.Kind {
		case unstable.Table:
			prefix, _ = p.keys("", e.Key(), false)
		case unstable.ArrayTable:
			prefix, _ = p.keys("", e.Key(), true)
		case unstable.KeyValue:
			p.locateKeyValue(prefix, e)
		}
	}
	return p
}

// keys records the line of a dotted key and returns its path. A part that is an array of tables refers to the last element of the
// array; the header of an array of tables adds an element.
func (p *positions) keys(prefix string, it unstable.Iterator, newElement bool) (path string, line int) {
	path = prefix
	for it.Next() {
		if path != "" {
			path += "."
		}
		path += string(it.Node().Data)
		line = p.lineAt(int(it.Node().Raw.Offset))
		if n, ok := p.counts[path]; ok || newElement && it.IsLast() {
			if newElement && it.IsLast() {
				n++
				p.counts[path] = n
			}
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	if _, ok := p.lines[path]; !ok {
		p.lines[path] = line
	}
	return path, line
}

func (p *positions) locateKeyValue(prefix string, e *unstable.Node) {
	path, line := p.keys(prefix, e.Key(), false)
	p.locateValue(path, line, e.Value())
}

// locateValue records the lines of the keys of an inline table and of the elements of a list.
func (p *positions) locateValue(path string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				p.locateKeyValue(path, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			element := fmt.Sprintf("%s[%d]", path, i)
			at := line
			if raw := it.Node().Raw; raw.Length > 0 {
				at = p.lineAt(int(raw.Offset))
			}
			p.lines[element] = at
			p.locateValue(element, at, it.Node())
			i++
		}
	}
}

// lineAt returns the line of an offset. Lines count from 1.
func (p *positions) lineAt(offset int) int {
	return sort.Search(len(p.starts), func(i int) bool { return p.starts[i] > offset })
}

// lineOf returns the line of a path, or of the nearest table or list around it.
func (p *positions) lineOf(path string) int {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return line
		}
		if line, ok := p.lines[path+"[0]"]; ok { // path is an array of tables
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}
