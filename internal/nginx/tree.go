package nginx

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// Limits of a configuration.
const (
	MaxText     = 8 << 20 // bytes of all files together
	MaxDepth    = 32      // nested blocks
	MaxIncludes = 16      // nested includes
	MaxFiles    = 1024
)

// Arg is a parameter of a directive.
type Arg struct {
	Text   string
	Quoted bool // written in quotes
	Pos    Pos
}

// Directive is a name with parameters and, for some directives, a block.
type Directive struct {
	Name  string
	Args  []Arg
	Block bool         // has a block, which may be empty
	Body  []*Directive // directives of the block
	Raw   string       // text of a block in Lua
	Pos   Pos
}

// hasLuaBlock reports whether the block is in Lua.
func (d *Directive) hasLuaBlock() bool { return strings.HasSuffix(d.Name, "_by_lua_block") }

// Walk calls f for each directive, the outer ones first.
func Walk(list []*Directive, f func(*Directive)) {
	for _, d := range list {
		f(d)
		Walk(d.Body, f)
	}
}

var (
	errDepth           = fmt.Errorf("blocks are more than %d deep", MaxDepth)
	errNoEnd           = errors.New("the directive is not ended by \";\" or a block")
	errNoName          = errors.New("a directive has no name")
	errBlockNotClosed  = errors.New("the block is not closed")
	errUnexpectedClose = errors.New("\"}\" without a block")
)

// Parse reads one file. It does not follow includes. The error is an *Error.
func Parse(file, text string) ([]*Directive, error) {
	if len(text) > MaxText {
		return nil, &Error{Pos{file, 1, 1}, errTooLong}
	}
	return parseBlock(newLexer(file, text), nil, 0)
}

// parseBlock reads directives up to the end of the block that starts at a position, or of the file if that is nil.
func parseBlock(l *lexer, start *Pos, depth int) ([]*Directive, error) {
	if depth > MaxDepth {
		return nil, &Error{*start, errDepth}
	}
	list := []*Directive{}
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case end:
			if start != nil {
				return nil, &Error{*start, errBlockNotClosed}
			}
			return list, nil
		case closing:
			if start == nil {
				return nil, &Error{t.pos, errUnexpectedClose}
			}
			return list, nil
		case semicolon, opening:
			return nil, &Error{t.pos, errNoName}
		}
		d, err := parseDirective(l, t, depth)
		if err != nil {
			return nil, err
		}
		list = append(list, d)
	}
}

func parseDirective(l *lexer, name token, depth int) (*Directive, error) {
	d := &Directive{Name: name.text, Pos: name.pos}
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case word:
			d.Args = append(d.Args, Arg{Text: t.text, Quoted: t.quoted, Pos: t.pos})
		case semicolon:
			return d, nil
		case opening:
			d.Block = true
			if d.hasLuaBlock() {
				d.Raw, err = l.readLuaBlock(t.pos)
				return d, err
			}
			d.Body, err = parseBlock(l, &t.pos, depth+1)
			return d, err
		default:
			return nil, &Error{name.pos, errNoEnd}
		}
	}
}

// Print writes directives so that Parse reads the same tree.
func Print(w io.Writer, list []*Directive) error {
	var out strings.Builder
	printBlock(&out, list, "")
	_, err := io.WriteString(w, out.String())
	return err
}

func printBlock(out *strings.Builder, list []*Directive, indent string) {
	for _, d := range list {
		out.WriteString(indent + quote(d.Name, false))
		for _, a := range d.Args {
			out.WriteString(" " + quote(a.Text, a.Quoted))
		}
		if !d.Block {
			out.WriteString(";\n")
			continue
		}
		if d.hasLuaBlock() {
			out.WriteString(" {" + d.Raw + "}\n")
			continue
		}
		out.WriteString(" {\n")
		printBlock(out, d.Body, indent+"    ")
		out.WriteString(indent + "}\n")
	}
}

// quote returns a word, in quotes if it needs them.
func quote(text string, quoted bool) string {
	if !quoted && text != "" && !strings.ContainsAny(text, " \t\r\n;{}\"'\\#") {
		return text
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(text) + `"`
}
