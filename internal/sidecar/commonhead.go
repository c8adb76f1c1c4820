package sidecar

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// parseCommonHead parses a head in the most common form: lines that end in CR LF, names of token characters before a colon, no
// folding and no control characters. It returns false for a head in any other form, which parseHead has to parse. If it succeeds,
// its result is that of parseHead (FuzzParseCommonHead).
func parseCommonHead(text []byte) (first string, header http.Header, ok bool) {
	s := string(text) // its parts are not copied again
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
		name, value, ok := cutField(line)
		if !ok {
			return "", nil, false
		}
		if had := header[name]; had != nil {
			header[name] = append(had, value)
			continue
		}
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
}

// cutField returns the canonical name and the value of a header line.
func cutField(line string) (name, value string, ok bool) {
	colon := strings.IndexByte(line, ':')
	if colon < 1 {
		return "", "", false
	}
	for i := range colon {
		if !tokenBytes[line[i]] {
			return "", "", false
		}
	}
	value = strings.Trim(line[colon+1:], " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return "", "", false
		}
	}
	return textproto.CanonicalMIMEHeaderKey(line[:colon]), value, true
}

// cutLine cuts off a line that ends in CR LF and has no other CR.
func cutLine(s string) (line, rest string, ok bool) {
	end := strings.IndexByte(s, '\n')
	if end < 1 || s[end-1] != '\r' || strings.IndexByte(s[:end-1], '\r') >= 0 {
		return "", "", false
	}
	return s[:end-1], s[end+1:], true
}

// tokenBytes are the characters of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		isOther := c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
		t[c] = isLetter || isDigit || isOther
	}
	return t
}()

// writeHeader writes all headers except one, in any order.
func writeHeader(b *bytes.Buffer, h http.Header, except string) {
	for name, values := range h {
		if name == except {
			continue
		}
		for _, v := range values {
			// Values are validated when they are read or created. This keeps a line break that was overlooked from ending the head.
			if strings.IndexByte(v, '\n') >= 0 || strings.IndexByte(v, '\r') >= 0 {
				v = strings.NewReplacer("\n", " ", "\r", " ").Replace(v)
			}
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
}

// writeContentLength writes the header Content-Length.
func writeContentLength(b *bytes.Buffer, n int64) {
	b.WriteString("Content-Length: ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), n, 10))
	b.WriteString("\r\n")
}

// writeSeconds writes a header with seconds to a number of decimal places; -1 for as many as needed.
func writeSeconds(b *bytes.Buffer, name string, s float64, places int) {
	b.WriteString(name)
	b.WriteString(": ")
	b.Write(strconv.AppendFloat(b.AvailableBuffer(), s, 'f', places, 64))
	b.WriteString("\r\n")
}
