package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Messages are parsed here and not by net/http, which is too lenient: it ignores a Content-Length beside a Transfer-Encoding, so
// that a request can hide in the body of another (request smuggling), reads the head of a response of any size, and takes an
// interim response for the final one.

const (
	maxHeadBytes    = 16 << 10 // of the start line and the headers; ten times the size of usual requests and responses
	maxBufferedBody = 64 << 10 // bytes of a body that is buffered
	maxEmptyLines   = 4        // before a request
	maxInterim      = 16       // interim responses before the final one
	initialBodySize = 4 << 10  // bytes that are allocated for a body whose length is announced
)

var (
	errBadHead   = errors.New("the head cannot be read")
	errBadLength = errors.New("the length cannot be read")
	errTooLong   = errors.New("the message is over the limit")
)

// Values of a body length that are not a number of bytes.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// message is the head of a request or a response.
type message struct {
	startLine string // request line or status line
	header    http.Header
	length    int64 // of the body, or lengthChunked or lengthUnknown
}

// readMessage reads a head and checks its form. It does not read the body.
func readMessage(r *bufio.Reader) (message, error) {
	text, err := readLines(r)
	if err != nil {
		return message{}, err
	}
	var m message
	var ok bool
	if m.startLine, m.header, ok = parseCommonHead(text); !ok {
		if m.startLine, m.header, err = parseHead(text); err != nil {
			return message{}, err
		}
	}
	m.length, err = bodyLength(m.header)
	return m, err
}

// parseHead parses a head in any valid form. parseCommonHead is the fast path for the usual form.
func parseHead(text []byte) (first string, header http.Header, err error) {
	lines := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
	if first, err = lines.ReadLine(); err != nil {
		return "", nil, errBadHead
	}
	read, err := lines.ReadMIMEHeader()
	if err != nil {
		return "", nil, errBadHead
	}
	for name, values := range read {
		if strings.ContainsRune(name, ' ') || slices.ContainsFunc(values, hasControl) {
			return "", nil, errBadHead
		}
	}
	return first, http.Header(read), nil
}

// skipEmpty waits for the first byte of a request, and skips empty lines before it (RFC 9112, section 2.2).
func skipEmpty(r *bufio.Reader) error {
	for range maxEmptyLines {
		ahead, err := r.Peek(1)
		if err != nil || ahead[0] != '\r' && ahead[0] != '\n' {
			return err
		}
		if ahead[0] == '\r' {
			if ahead, err = r.Peek(2); err != nil || ahead[1] != '\n' {
				return err
			}
		}
		if _, err := r.Discard(len(ahead)); err != nil {
			return err
		}
	}
	return nil
}

// readLines reads lines up to an empty one, which is included.
func readLines(r *bufio.Reader) ([]byte, error) {
	text := make([]byte, 0, 512)
	for begin := 0; ; {
		part, err := r.ReadSlice('\n')
		if len(text)+len(part) > maxHeadBytes {
			return nil, errTooLong
		}
		text = append(text, part...)
		switch line := text[begin:]; {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		case string(line) == "\r\n" || string(line) == "\n":
			return text, nil
		}
		begin = len(text)
	}
}

func hasControl(s string) bool {
	return strings.ContainsFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// bodyLength returns the length of the body according to the headers. Ambiguous headers are an error.
func bodyLength(h http.Header) (int64, error) {
	coding, length := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(coding) == 0 && len(length) == 0:
		return lengthUnknown, nil
	case len(coding) == 1 && len(length) == 0 && strings.EqualFold(coding[0], "chunked"):
		return lengthChunked, nil
	case len(coding) > 0 || len(length) > 1:
		return 0, errBadLength
	}
	n, err := strconv.ParseUint(length[0], 10, 63)
	if err != nil {
		return 0, errBadLength
	}
	return int64(n), nil
}

// readBody reads a body of at most maxBufferedBody.
func readBody(r *bufio.Reader, length int64) ([]byte, error) {
	return readBodyUpTo(r, length, maxBufferedBody)
}

// readBodyUpTo reads a body of at most maxBytes. A body that is announced to be longer is not read.
func readBodyUpTo(r *bufio.Reader, length, maxBytes int64) ([]byte, error) {
	if length > maxBytes {
		return nil, errTooLong
	}
	if length == lengthChunked {
		body, err := readBodyToEnd(newChunkReader(r), maxBytes)
		if err == nil {
			_, err = readLines(r) // trailers are dropped
		}
		return body, err
	}
	body := make([]byte, 0, min(length, initialBodySize))
	for int64(len(body)) < length {
		body = slices.Grow(body, int(min(length-int64(len(body)), initialBodySize)))
		n, err := r.Read(body[len(body):min(int64(cap(body)), length)])
		if body = body[:len(body)+n]; err != nil && int64(len(body)) < length {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// readBodyToEnd reads a body that ends with its source and has at most maxBytes. A connection that is reset is an error and no end.
func readBodyToEnd(source io.Reader, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = errTooLong
	}
	return body, err
}

// hasNoBody reports whether responses of a status have no body (RFC 9110, section 6.4.1).
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// readResponseHead reads the head of the final response and skips interim responses before it.
func readResponseHead(r *bufio.Reader) (status int, m message, err error) {
	for range maxInterim {
		if m, err = readMessage(r); err != nil {
			return 0, m, err
		}
		if status, err = m.status(); err != nil {
			return 0, m, err
		}
		if status >= http.StatusOK {
			return status, m, nil
		}
	}
	return 0, m, errTooLong
}

// containsStatusLine reports whether there is a status line in the middle of this head. It shows that a truncated response is
// followed by another response.
func (m *message) containsStatusLine() bool {
	if hasStatusLine(m.startLine[len("HTTP/1.1"):]) {
		return true
	}
	for _, values := range m.header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether a text contains a status line of HTTP/1.
func hasStatusLine(s string) bool {
	const version = "HTTP/1."
	for {
		at := strings.Index(s, version)
		if at < 0 {
			return false
		}
		s = s[at+len(version):] // "1 200 OK"
		if len(s) > 4 && s[1] == ' ' && areDigits(s[2:5]) && (len(s) == 5 || s[5] == ' ') {
			return true
		}
	}
}

func areDigits(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }) < 0
}

// status returns the status of the head of a response.
func (m *message) status() (int, error) {
	version, rest, _ := strings.Cut(m.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	invalid := err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0"
	if invalid || status < http.StatusContinue || status == http.StatusSwitchingProtocols || m.containsStatusLine() {
		return 0, errBadHead
	}
	return status, nil
}

// keepsAlive reports whether the peer keeps the connection open after this message.
func (m *message) keepsAlive() bool {
	return !strings.Contains(m.startLine, "HTTP/1.0") && !m.hasToken("Connection", "close")
}

// hasToken reports whether a header that is a list contains a token.
func (m *message) hasToken(name, token string) bool {
	for _, v := range m.header[name] {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

// endToEnd removes the hop-by-hop headers, and those that Connection names.
func endToEnd(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}
