// Package nginx imports the configuration of nginx, by its published documentation.
//
// token.go, tree.go and include.go read the configuration language into a syntax tree ("Beginner's Guide", "Configuration File's
// Structure"; ngx_core_module, include). import.go and the files for its parts (settings, upstream, server, block, location, step,
// proxypass, errorpage, variables) translate the tree into a plan (plan.go), write.go writes the plan as an operator file, and
// report.go accounts for each directive.
package nginx

import (
	"errors"
	"fmt"
	"strings"
)

// Pos is a position in a file. Lines and columns count from 1, columns in bytes.
type Pos struct {
	File         string
	Line, Column int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is an error at a position.
type Error struct {
	Pos Pos
	Err error
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	word      tokenKind = iota // a name or parameter
	semicolon                  // ends a directive
	opening                    // begins a block
	closing                    // ends a block
	end                        // end of the file
)

// token is a token of a file. The text of a word is without quotes and escapes.
type token struct {
	kind   tokenKind
	text   string
	quoted bool
	pos    Pos
}

// lexer splits a text into tokens.
type lexer struct {
	file         string
	text         string
	offset       int
	line, column int
}

func newLexer(file, text string) *lexer { return &lexer{file: file, text: text, line: 1, column: 1} }

func (l *lexer) pos() Pos { return Pos{l.file, l.line, l.column} }

func (l *lexer) peek() (byte, bool) {
	if l.offset < len(l.text) {
		return l.text[l.offset], true
	}
	return 0, false
}

func (l *lexer) advance() byte {
	c := l.text[l.offset]
	l.offset++
	if l.column++; c == '\n' {
		l.line, l.column = l.line+1, 1
	}
	return c
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// next returns the next token.
func (l *lexer) next() (token, error) {
	for {
		c, ok := l.peek()
		switch {
		case !ok:
			return token{kind: end, pos: l.pos()}, nil
		case isSpace(c):
			l.advance()
			continue
		case c == '#': // a comment, at the start of a token
			l.skipLine()
			continue
		}
		at := l.pos()
		switch c {
		case ';':
			l.advance()
			return token{kind: semicolon, pos: at}, nil
		case '{':
			l.advance()
			return token{kind: opening, pos: at}, nil
		case '}':
			l.advance()
			return token{kind: closing, pos: at}, nil
		case '"', '\'':
			return l.readQuotedWord(at)
		}
		return l.readBareWord(at)
	}
}

var (
	errQuoteNotClosed = errors.New("a quote is not closed")
	errNoSeparator    = errors.New("a space, \";\" or \"{\" is missing after a quote")
	errControl        = errors.New("a control character")
)

// readQuotedWord reads a word in quotes. A space, the end of the directive, a block or the ")" of a condition must follow it.
func (l *lexer) readQuotedWord(at Pos) (token, error) {
	var b strings.Builder
	for quote := l.advance(); ; {
		c, ok := l.peek()
		if !ok {
			return token{}, &Error{at, errQuoteNotClosed}
		}
		if c == quote {
			l.advance()
			break
		}
		if err := l.readChar(&b); err != nil {
			return token{}, err
		}
	}
	if c, ok := l.peek(); ok && !isSpace(c) && c != ';' && c != '{' && c != ')' {
		return token{}, &Error{l.pos(), errNoSeparator}
	}
	return token{kind: word, text: b.String(), quoted: true, pos: at}, nil
}

// readBareWord reads a word without quotes, which includes the braces of ${name}.
func (l *lexer) readBareWord(at Pos) (token, error) {
	var b strings.Builder
	for variable := false; ; {
		c, ok := l.peek()
		if !ok || isSpace(c) || c == ';' || c == '{' && !variable {
			return token{kind: word, text: b.String(), pos: at}, nil
		}
		variable = c == '$'
		if err := l.readChar(&b); err != nil {
			return token{}, err
		}
	}
}

// readLuaBlock reads the text of a block in Lua, up to the brace that closes it. Braces in strings and comments do not count.
func (l *lexer) readLuaBlock(at Pos) (string, error) {
	start := l.offset
	for depth := 1; ; {
		c, ok := l.peek()
		if !ok {
			return "", &Error{at, errBlockNotClosed}
		}
		l.advance()
		switch c {
		case '{':
			depth++
		case '}':
			if depth--; depth == 0 {
				return l.text[start : l.offset-1], nil
			}
		case '"', '\'':
			if !l.skipLuaString(c) {
				return "", &Error{at, errBlockNotClosed}
			}
		case '-':
			if next, ok := l.peek(); ok && next == '-' {
				l.skipLine()
			}
		}
	}
}

// skipLuaString skips the rest of a string, which ends with its quote or with the line. It returns false at the end of the file.
func (l *lexer) skipLuaString(quote byte) bool {
	for {
		c, ok := l.peek()
		if !ok {
			return false
		}
		if l.advance(); c == quote || c == '\n' {
			return true
		}
		if _, more := l.peek(); c == '\\' && more {
			l.advance()
		}
	}
}

// skipLine skips the rest of a line.
func (l *lexer) skipLine() {
	for {
		if c, ok := l.peek(); !ok || c == '\n' {
			return
		}
		l.advance()
	}
}

// readChar reads one character of a word, or an escape: a backslash before a quote or a backslash is removed, \t, \r and \n stand for
// control characters, and any other backslash is kept, because expressions need it.
func (l *lexer) readChar(b *strings.Builder) error {
	at := l.pos()
	c := l.advance()
	if c == 0 || c == 0x7f || c < ' ' && !isSpace(c) {
		return &Error{at, errControl}
	}
	if c != '\\' {
		b.WriteByte(c)
		return nil
	}
	next, ok := l.peek()
	if !ok {
		b.WriteByte(c)
		return nil
	}
	switch next {
	case '"', '\'', '\\':
		b.WriteByte(l.advance())
	case 't', 'r', 'n':
		l.advance()
		b.WriteByte(map[byte]byte{'t': '\t', 'r': '\r', 'n': '\n'}[next])
	default:
		b.WriteByte(c)
		if next != 0 && next != 0x7f && (next >= ' ' || isSpace(next)) {
			b.WriteByte(l.advance())
		}
	}
	return nil
}
