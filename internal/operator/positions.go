package operator

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions holds the line of each key of a document, by its path: pool[0].class[1].aim.
type positions struct {
	lines  map[string]int
	starts []int          // offsets of lines
	counts map[string]int // elements of the arrays of tables so far
}

// locate reads the lines of a document that the decoder has taken; what cannot be read again is left out.
func locate(text []byte) *positions {
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

// keys notes the line of a dotted key and returns its path. Parts that are arrays of tables stand for their last element;
// an array header begins a new one.
func (p *positions) keys(prefix string, it unstable.Iterator, newElement bool) (path string, line int) {
	path = prefix
	for it.Next() {
		if path != "" {
			path += "."
		}
		path += string(it.Node().Data)
		line = p.line(int(it.Node().Raw.Offset))
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

// locateValue notes the lines of what an inline table or a list holds.
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
				at = p.line(int(raw.Offset))
			}
			p.lines[element] = at
			p.locateValue(element, at, it.Node())
			i++
		}
	}
}

// line returns the line of an offset, from 1.
func (p *positions) line(offset int) int {
	return sort.Search(len(p.starts), func(i int) bool { return p.starts[i] > offset })
}

// of returns the line of a path, or of the nearest table or list around it.
func (p *positions) of(path string) int {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return line
		}
		if line, ok := p.lines[path+"[0]"]; ok { // an array of tables as a whole
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}
