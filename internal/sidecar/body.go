package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"time"
)

// Bodies of up to maxBufferedBody are buffered. Longer ones are streamed once through a buffer of bounded size: such a request
// cannot be retried once its server may have received a byte of the body, and the decision module is notified of that.

const (
	streamBufferSize = 32 << 10               // bytes of a streamed body that are held
	responseHoldTime = 100 * time.Millisecond // how long a response of unknown length is buffered, as it may be short
)

// streamLimits are the limits of bodies that are streamed.
type streamLimits struct {
	maxBytes               int64         // of the body of a request
	idleTimeout, totalTime time.Duration // between two parts, and for the body as a whole
}

// beginBody reads the body of a request as a whole if it is short, else its first part.
func (limits *streamLimits) beginBody(c *clientConn, length int64) ([]byte, *uploadStream, error) {
	if length > limits.maxBytes {
		return nil, nil, errTooLong
	}
	if length >= 0 && length <= maxBufferedBody {
		body, err := readBody(c.reader, length)
		return body, nil, err
	}
	upload := &uploadStream{
		client: c, limits: limits, length: length, deadline: time.Now().Add(limits.totalTime), done: make(chan struct{}),
	}
	if length >= 0 {
		upload.source = &exactReader{c.reader, length}
		first := make([]byte, initialBodySize) // read first, so that a body that is announced but never sent reaches no server
		n, err := upload.Read(first)
		return first[:n], upload, err
	}
	upload.source = newTrailerReader(c.reader)
	first, rest, err := readFirst(upload, time.Time{})
	if rest == nil { // the body is complete, or unreadable
		upload = nil
	}
	return first, upload, err
}

// readResponse reads a server's final response. Rest is the part of its body that is streamed; nil for none.
func readResponse(r *bufio.Reader) (status int, m message, body []byte, rest io.Reader, err error) {
	status, m, err = readResponseHead(r)
	switch {
	case err != nil || hasNoBody(status):
	case status == http.StatusOK:
		body, rest, err = beginResponseBody(r, &m)
	case m.length == lengthUnknown:
		err = errBadLength
	default:
		body, err = readBody(r, m.length)
	}
	return status, m, body, rest, err
}

// beginResponseBody reads the body of a response as a whole if it is short, else its first part. A body of unknown length ends
// with its connection, if the server announced that it closes the connection (RFC 9112, section 6.3).
func beginResponseBody(r *bufio.Reader, m *message) (first []byte, rest io.Reader, err error) {
	switch {
	case m.length > maxPlatformBody:
		return nil, nil, errTooLong
	case m.length > maxBufferedBody:
		_, err = r.Peek(1)
		return nil, &exactReader{r, m.length}, err
	case m.length >= 0:
		first, err = readBody(r, m.length)
		return first, nil, err
	case m.length == lengthChunked:
		return readFirst(newTrailerReader(r), time.Now().Add(responseHoldTime))
	case m.keepsAlive():
		return nil, nil, errBadLength
	}
	return readFirst(r, time.Now().Add(responseHoldTime))
}

// readFirst reads a body as a whole if it is short, else its first part, and returns a reader of the rest. If holdUntil is not zero,
// the first part is what has been received by then.
func readFirst(body io.Reader, holdUntil time.Time) (first []byte, rest io.Reader, err error) {
	first = make([]byte, 0, initialBodySize)
	for len(first) < maxBufferedBody {
		if len(first) == cap(first) {
			first = append(make([]byte, 0, min(4*cap(first), maxBufferedBody)), first...)
		}
		n, err := body.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
		if errors.Is(err, io.EOF) {
			return first, nil, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if n > 0 && !holdUntil.IsZero() && time.Now().After(holdUntil) {
			break
		}
	}
	return first, body, nil
}

// trailerReader reads a chunked body and discards the trailers after it.
type trailerReader struct {
	body   io.Reader
	reader *bufio.Reader
}

func newTrailerReader(r *bufio.Reader) *trailerReader { return &trailerReader{newChunkReader(r), r} }

func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.body.Read(p)
	if errors.Is(err, io.EOF) {
		if _, err := readLines(t.reader); err != nil {
			return n, err
		}
	}
	return n, err
}

// exactReader reads a known number of bytes. If its source ends earlier, it returns io.ErrUnexpectedEOF.
type exactReader struct {
	reader    io.Reader
	remaining int64
}

func (e *exactReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.reader.Read(p[:min(int64(len(p)), e.remaining)])
	if e.remaining -= int64(n); errors.Is(err, io.EOF) && e.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if e.remaining == 0 {
		err = nil
	}
	return n, err
}
