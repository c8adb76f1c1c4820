package route

import (
	"errors"
	"net"
	"net/url"
	"strings"
)

// Path is a request's path in its normal form. Match is what routes compare: percent-decoded, without parameters after ";" and without
// empty, "." or ".." segments. Raw is what a server gets: the same segments with their parameters, with only those bytes percent-encoded
// that need it (RFC 3986, section 3.3), in upper case. So the server gets the path that was compared, however the client encoded it.
type Path struct {
	Match, Raw string
}

// Errors of a path. Servers interpret such paths in different ways, so that a request could bypass a route.
var (
	ErrPathForm    = errors.New("the path does not begin with /")
	ErrPathEscape  = errors.New("the path holds a percent sign that begins no escape")
	ErrPathSlash   = errors.New("the path holds a backslash or an encoded slash or backslash")
	ErrPathControl = errors.New("the path holds a control character")
)

// Normalize returns the normal form of a raw path (RFC 3986, section 6.2.2, and the parameters of section 3.3). It returns an error for
// a path that servers could interpret in two ways.
func Normalize(raw string) (Path, error) { return normalize(raw, false) }

// NormalizeWithParameters returns the decoded normal form of a path that keeps the parameters after ";".
func NormalizeWithParameters(raw string) (string, error) {
	p, err := normalize(raw, true)
	return p.Match, err
}

// normalize implements Normalize; keepParameters keeps the parameters after ";" in Match.
func normalize(raw string, keepParameters bool) (Path, error) {
	if raw == "" || raw[0] != '/' {
		return Path{}, ErrPathForm
	}
	if isNormalized(raw) {
		return Path{Match: raw, Raw: raw}, nil
	}
	var match, out []string // segments
	last := ""
	for rest, more := raw[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		m, o, err := decodeSegment(segment, keepParameters)
		if err != nil {
			return Path{}, err
		}
		if last = m; m == "" && more || m == "." || m == ".." {
			if m == ".." && len(match) > 0 { // ".." at the root stays at the root
				match, out = match[:len(match)-1], out[:len(out)-1]
			}
			continue
		}
		if m != "" {
			match, out = append(match, m), append(out, o)
		}
	}
	p := Path{Match: "/" + strings.Join(match, "/"), Raw: "/" + strings.Join(out, "/")}
	if len(match) > 0 && (last == "" || last == "." || last == "..") { // the path named a directory, so the slash at the end is kept
		p.Match, p.Raw = p.Match+"/", p.Raw+"/"
	}
	return p, nil
}

// isNormalized reports whether a path is in its normal form already, as most are.
func isNormalized(raw string) bool {
	for i := 1; i < len(raw); i++ {
		c := raw[i]
		if c == '/' && raw[i-1] == '/' || c == ';' || !isPathChar(c) && c != '/' {
			return false
		}
		if c == '.' && raw[i-1] == '/' && (i+1 == len(raw) || raw[i+1] == '/' || raw[i+1] == '.') {
			return false // may be a dot segment
		}
	}
	return true
}

// decodeSegment returns the two normal forms of one segment. An encoded semicolon begins parameters like a plain one.
func decodeSegment(segment string, keepParameters bool) (match, raw string, err error) {
	var matchBuilder, rawBuilder strings.Builder
	inParameters := false
	for rest := segment; rest != ""; {
		c, size, err := nextByte(rest)
		if err != nil {
			return "", "", err
		}
		rest = rest[size:]
		inParameters = inParameters || c == ';'
		if !inParameters || keepParameters {
			matchBuilder.WriteByte(c)
		}
		escaped := size > 1
		if isPathChar(c) && (!escaped || isUnreserved(c)) {
			rawBuilder.WriteByte(c)
		} else {
			writeEscaped(&rawBuilder, c)
		}
	}
	if match = matchBuilder.String(); match == "" && inParameters {
		return "", "", ErrPathForm // a segment of parameters only: some servers drop it, others keep it
	}
	return match, rawBuilder.String(), nil
}

// nextByte returns the first byte of a segment, percent-decoded, and how many bytes it took. It returns an error for a byte that may not
// be in a segment.
func nextByte(segment string) (c byte, size int, err error) {
	c, size = segment[0], 1
	if c == '%' {
		const escapeSize = 3
		if len(segment) < escapeSize || unhex(segment[1]) < 0 || unhex(segment[2]) < 0 {
			return 0, 0, ErrPathEscape
		}
		c, size = byte(unhex(segment[1])<<4|unhex(segment[2])), escapeSize
	}
	switch {
	case c == '\\' || c == '/':
		return 0, 0, ErrPathSlash
	case c < ' ' || c == 0x7f:
		return 0, 0, ErrPathControl
	}
	return c, size, nil
}

// EscapePath percent-encodes those bytes of a decoded path that need it (RFC 3986, section 3.3).
func EscapePath(path string) string {
	var b strings.Builder
	for i := range len(path) {
		if c := path[i]; isPathChar(c) || c == '/' {
			b.WriteByte(c)
		} else {
			writeEscaped(&b, c)
		}
	}
	return b.String()
}

// writeEscaped writes a byte percent-encoded.
func writeEscaped(b *strings.Builder, c byte) {
	const digits = "0123456789ABCDEF"
	b.WriteByte('%')
	b.WriteByte(digits[c>>4])
	b.WriteByte(digits[c&15])
}

// unhex returns the value of a hexadecimal digit, or -1.
func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// isUnreserved reports whether a byte is an unreserved character (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathChar reports whether a byte may be in a segment without encoding (pchar of RFC 3986, section 3.3).
func isPathChar(c byte) bool { return isUnreserved(c) || strings.IndexByte("!$&'()*+,;=:@", c) >= 0 }

// ErrHost is returned for an invalid Host header.
var ErrHost = errors.New("the host cannot be read")

// NormalizeHost returns the normal form of a Host header or authority (RFC 9110, section 7.2): lower case, without the port and without
// the trailing dot of a fully qualified name.
func NormalizeHost(host string) (string, error) {
	if strings.HasPrefix(host, "[") {
		end := strings.IndexByte(host, ']')
		if end < 0 || net.ParseIP(host[1:end]) == nil || !isPortOrEmpty(host[end+1:]) {
			return "", ErrHost
		}
		return strings.ToLower(host[1:end]), nil
	}
	name, port, found := strings.Cut(host, ":")
	if found && !isPortOrEmpty(":"+port) {
		return "", ErrHost
	}
	name = strings.TrimSuffix(name, ".")
	lower := false
	for i := 0; i < len(name); i++ {
		c := name[i]
		if !isUnreserved(c) || c == '~' {
			return "", ErrHost
		}
		if c == '.' && (i == 0 || name[i-1] == '.') {
			return "", ErrHost
		}
		lower = lower || 'A' <= c && c <= 'Z'
	}
	if lower {
		name = strings.ToLower(name)
	}
	return name, nil
}

// isPortOrEmpty reports whether a text is empty, or a colon and up to five digits.
func isPortOrEmpty(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > 6 {
		return false
	}
	for _, c := range s[1:] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// queryParameter returns how often a query parameter occurs, and its first value. Text that cannot be decoded is compared as it is.
func queryParameter(query, name string) (n int, value string) {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		if pair == "" {
			continue
		}
		key, v, _ := strings.Cut(pair, "=")
		if unescape(key) != name {
			continue
		}
		if n++; n == 1 {
			value = unescape(v)
		}
	}
	return n, value
}

// unescape decodes a name or value of a query. It returns text that cannot be decoded as it is.
func unescape(s string) string {
	if strings.IndexByte(s, '%') < 0 && strings.IndexByte(s, '+') < 0 {
		return s
	}
	if decoded, err := url.QueryUnescape(s); err == nil {
		return decoded
	}
	return s
}
