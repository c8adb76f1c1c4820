package sidecar

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// plainHead reads a head as nearly all are written: lines that end in CR LF, names of token characters before a colon, no folding
// and no control characters. Of any other it tells nothing, and the slow reader decides. Where it does tell, it tells the same
// (FuzzPlainHead).
func plainHead(text []byte) (first string, header http.Header, ok bool) {
	s := string(text) // what is taken out of it is not copied again
	first, rest, ok := cutLine(s)
	if !ok {
		return "", nil, false
	}
	lines := strings.Count(rest, "\n")
	header = make(http.Header, lines)
	values := make([]string, 0, lines)
	for {
		line, after, ok := cutLine(rest)
		if !ok {
			return "", nil, false
		}
		if rest = after; line == "" {
			return first, header, rest == ""
		}
		colon := strings.IndexByte(line, ':')
		if colon < 1 {
			return "", nil, false
		}
		for i := range colon {
			if !tokenBytes[line[i]] {
				return "", nil, false
			}
		}
		value := strings.Trim(line[colon+1:], " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return "", nil, false
			}
		}
		name := textproto.CanonicalMIMEHeaderKey(line[:colon])
		if had := header[name]; had != nil {
			header[name] = append(had, value)
			continue
		}
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
}

// cutLine takes a line off that ends in CR LF and holds neither otherwise.
func cutLine(s string) (line, rest string, ok bool) {
	end := strings.IndexByte(s, '\n')
	if end < 1 || s[end-1] != '\r' || strings.IndexByte(s[:end-1], '\r') >= 0 {
		return "", "", false
	}
	return s[:end-1], s[end+1:], true
}

// tokenBytes are the characters of a token (RFC 9110, 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()

// writeHeader writes headers but one, in any order. What they hold was checked when it was read or made.
func writeHeader(b *bytes.Buffer, h http.Header, but string) {
	for name, values := range h {
		if name == but {
			continue
		}
		for _, v := range values {
			if strings.IndexByte(v, '\n') >= 0 || strings.IndexByte(v, '\r') >= 0 { // no head is to end early, whatever was overlooked
				v = strings.NewReplacer("\n", " ", "\r", " ").Replace(v)
			}
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
}

// writeNumber writes a header with a whole number.
func writeNumber(b *bytes.Buffer, name string, n int64) {
	b.WriteString(name)
	b.WriteString(": ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), n, 10))
	b.WriteString("\r\n")
}

// writeSeconds writes a header with seconds, to three places or as many as it takes.
func writeSeconds(b *bytes.Buffer, name string, s float64, places int) {
	b.WriteString(name)
	b.WriteString(": ")
	b.Write(strconv.AppendFloat(b.AvailableBuffer(), s, 'f', places, 64))
	b.WriteString("\r\n")
}
