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

// Messages are read here and not by net/http, which believes more than a peer should be believed: it drops a
// Content-Length beside a Transfer-Encoding without a trace, so that a request can hide in another's body, reads an
// answer's head of any size, and takes an interim answer for the final one.

const (
	maxHead    = 16 << 10 // bytes of a first line and the headers; ten times what callers and endpoints send
	maxBody    = 64 << 10 // bytes of a body, by the protocol
	maxEmpty   = 4        // lines ahead of a request
	maxInterim = 16       // interim answers before the final one
	firstPart  = 4 << 10  // room for a body to begin with: what is announced but never comes costs no more
)

var (
	errHead    = errors.New("the head cannot be read")
	errLength  = errors.New("the length cannot be read")
	errTooLong = errors.New("the message is over the limit")
)

// How long a body is, where that is no number.
const (
	chunked = -1
	untold  = -2
)

// message is the head of a request or an answer.
type message struct {
	first  string // request line or status line
	header http.Header
	length int64 // of the body, or chunked or untold
}

// readMessage reads a head and checks its form, without reading on into the body.
func readMessage(r *bufio.Reader) (message, error) {
	text, err := readLines(r)
	if err != nil {
		return message{}, err
	}
	var m message
	var plain bool
	if m.first, m.header, plain = plainHead(text); !plain {
		if m.first, m.header, err = anyHead(text); err != nil {
			return message{}, err
		}
	}
	m.length, err = bodyLength(m.header)
	return m, err
}

// anyHead reads a head in any form that is allowed.
func anyHead(text []byte) (first string, header http.Header, err error) {
	lines := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
	if first, err = lines.ReadLine(); err != nil {
		return "", nil, errHead
	}
	read, err := lines.ReadMIMEHeader()
	if err != nil {
		return "", nil, errHead
	}
	for name, values := range read {
		if strings.ContainsRune(name, ' ') || slices.ContainsFunc(values, hasControl) {
			return "", nil, errHead
		}
	}
	return first, http.Header(read), nil
}

// skipEmpty waits for the first byte of a request, past empty lines ahead of it (RFC 9112, 2.2).
func skipEmpty(r *bufio.Reader) error {
	for range maxEmpty {
		ahead, err := r.Peek(1)
		if err != nil || ahead[0] != '\r' && ahead[0] != '\n' {
			return err
		}
		if ahead[0] == '\r' {
			if ahead, err = r.Peek(2); err != nil || ahead[1] != '\n' {
				return err
			}
		}
		r.Discard(len(ahead))
	}
	return nil
}

// readLines reads up to and with an empty line.
func readLines(r *bufio.Reader) ([]byte, error) {
	text := make([]byte, 0, 512)
	for begin := 0; ; {
		part, err := r.ReadSlice('\n')
		if len(text)+len(part) > maxHead {
			return nil, errTooLong
		}
		text = append(text, part...)
		switch line := text[begin:]; {
		case err == bufio.ErrBufferFull:
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

// bodyLength is what the headers say of the body's length. What can be read in two ways is an error.
func bodyLength(h http.Header) (int64, error) {
	coding, length := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(coding) == 0 && len(length) == 0:
		return untold, nil
	case len(coding) == 1 && len(length) == 0 && strings.EqualFold(coding[0], "chunked"):
		return chunked, nil
	case len(coding) > 0 || len(length) > 1:
		return 0, errLength
	}
	n, err := strconv.ParseUint(length[0], 10, 63)
	if err != nil {
		return 0, errLength
	}
	return int64(n), nil
}

// readBody reads a body of the usual size whole.
func readBody(r *bufio.Reader, length int64) ([]byte, error) { return readWhole(r, length, maxBody) }

// readWhole reads a body of at most so many bytes whole. One that is announced to be too long is not begun.
func readWhole(r *bufio.Reader, length, most int64) ([]byte, error) {
	if length > most {
		return nil, errTooLong
	}
	if length == chunked {
		body, err := io.ReadAll(io.LimitReader(newChunkReader(r), most+1))
		if err == nil && int64(len(body)) > most {
			err = errTooLong
		}
		if err == nil {
			_, err = readLines(r) // trailers, which nobody asked for
		}
		return body, err
	}
	body := make([]byte, 0, min(length, firstPart))
	for int64(len(body)) < length {
		body = slices.Grow(body, int(min(length-int64(len(body)), firstPart)))
		n, err := r.Read(body[len(body):min(int64(cap(body)), length)])
		if body = body[:len(body)+n]; err != nil && int64(len(body)) < length {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// bodiless tells whether answers of a status have no body (RFC 9110, 6.4.1).
func bodiless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// readAnswerHead reads up to the end of the head of an endpoint's final answer.
func readAnswerHead(r *bufio.Reader) (status int, m message, err error) {
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

// joined tells whether an answer's status line stands in the middle of this head: the beginning of an answer that was cut off, and
// behind it another, read as one.
func (m *message) joined() bool {
	if hasStatusLine(m.first[len("HTTP/1.1"):]) {
		return true
	}
	for _, values := range m.header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

func hasStatusLine(s string) bool {
	const version = "HTTP/1."
	for {
		at := strings.Index(s, version)
		if at < 0 {
			return false
		}
		s = s[at+len(version):] // "1 200 OK"
		if len(s) > 4 && s[1] == ' ' && digits(s[2:5]) && (len(s) == 5 || s[5] == ' ') {
			return true
		}
	}
}

func digits(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }) < 0
}

// status reads the status of an answer's head.
func (m *message) status() (int, error) {
	version, rest, _ := strings.Cut(m.first, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	bad := err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0"
	if bad || status < http.StatusContinue || status == http.StatusSwitchingProtocols || m.joined() {
		return 0, errHead
	}
	return status, nil
}

// lasts tells whether the peer keeps the connection open behind this message.
func (m *message) lasts() bool {
	return !strings.Contains(m.first, "HTTP/1.0") && !m.lists("Connection", "close")
}

// lists tells whether a header that holds a list names a token.
func (m *message) lists(name, token string) bool {
	for _, v := range m.header[name] {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

// endToEnd takes those out of the headers, and the ones that Connection names.
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
