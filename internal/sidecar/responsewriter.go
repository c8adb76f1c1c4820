package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	responseWriteTimeout = 3 * time.Second        // for a buffered response
	lingerTime           = 500 * time.Millisecond // how long input of a client is discarded before its connection is closed
	lingerBytes          = 256 << 10              // how much input is discarded then
	responseHeadSize     = 512                    // initial buffer size in bytes, enough for most heads
)

// writeContinue writes the interim response 100 Continue, which the client waits for before it sends its body.
func (c *clientConn) writeContinue() error {
	c.setWriteDeadline(time.Now().Add(responseWriteTimeout)) // the deadline of the previous response may have passed
	_, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// writeResponse writes a final response. If last is set, it announces that the connection is closed after the response.
func (c *clientConn) writeResponse(r *response, last bool) error {
	length := int64(len(r.body))
	if r.noBody {
		length = r.length
	}
	head := r.encodeHead(length, last)
	c.setWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := (&net.Buffers{head.Bytes(), r.body}).WriteTo(c.Conn)
	return err
}

// encodeHead returns the head of a response. The length is that of its body, lengthChunked, or lengthUnknown for a response whose
// status allows no body.
func (r *response) encodeHead(length int64, last bool) *bytes.Buffer {
	head := &bytes.Buffer{}
	head.Grow(responseHeadSize)
	head.WriteString("HTTP/1.1 ")
	head.Write(strconv.AppendInt(head.AvailableBuffer(), int64(r.status), 10))
	head.WriteString(" ")
	head.WriteString(http.StatusText(r.status))
	head.WriteString("\r\n")
	switch {
	case length >= 0:
		writeContentLength(head, length)
	case length == lengthChunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if r.retryAfter > 0 {
		writeSeconds(head, "Retry-After", r.retryAfter.Seconds(), -1)
	}
	if last {
		head.WriteString("Connection: close\r\n")
	}
	if r.callOutcome != "" {
		head.WriteString(outcomeHeader + ": " + r.callOutcome + "\r\n")
	}
	if r.notExecuted {
		head.WriteString("X-Not-Run: 1\r\n")
	}
	writeHeader(head, r.header, "")
	head.WriteString("\r\n")
	return head
}

// reject responds to a message that cannot be accepted and closes the connection, because the start of the next request is unknown.
func (c *clientConn) reject(status int, reason string) {
	c.respondAndClose(&response{status: status, body: []byte(reason + "\n")})
}

// respondAndClose writes a response to a client that may still be sending, and closes the connection. Input is discarded for a
// limited time first: a close with unread input resets the connection, and the client could lose the response.
func (c *clientConn) respondAndClose(r *response) {
	if c.writeResponse(r, true) != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes) // the connection is closed in any case
}

// streamResponse writes a response with a streamed body. After an error the client can detect that the body is incomplete: an
// HTTP/1.0 client takes the end of the connection as the end of the body, so its connection is reset instead.
func (c *clientConn) streamResponse(r *response, last, http10 bool) error {
	if http10 && r.length == lengthChunked {
		r.length = lengthUnknown
		err := c.streamResponse(r, true, false)
		if tcp, ok := c.Conn.(*net.TCPConn); ok && err != nil {
			err = errors.Join(err, tcp.SetLinger(0))
		}
		return err
	}
	c.setWriteDeadline(time.Now().Add(r.stream.idleTimeout))
	head := r.encodeHead(r.length, last)
	body := io.Writer(c.Conn)
	_, err := c.Write(head.Bytes())
	if r.length == lengthChunked {
		body = &chunkWriter{c.Conn}
	}
	if err == nil && len(r.body) > 0 {
		_, err = body.Write(r.body)
	}
	if err != nil {
		r.stream.done <- errClientGone
		return err
	}
	return c.forwardBody(r, body)
}

// forwardBody forwards the rest of a streamed body and sends the result to the stream's done channel.
func (c *clientConn) forwardBody(r *response, body io.Writer) error {
	buffer := make([]byte, streamBufferSize)
	for {
		n, readErr := r.stream.Read(buffer)
		var err error
		if n > 0 {
			c.setWriteDeadline(time.Now().Add(r.stream.idleTimeout))
			_, err = body.Write(buffer[:n])
		}
		switch {
		case errors.Is(readErr, io.EOF) && err == nil:
			if r.length == lengthChunked {
				_, err = io.WriteString(c.Conn, lastChunk)
			}
			r.stream.done <- nil
			return err
		case readErr != nil:
			r.stream.done <- readErr
			return readErr
		case err != nil:
			r.stream.done <- errClientGone
			return err
		}
	}
}

// lastChunk ends a chunked body without trailers (RFC 9112, section 7.1).
const lastChunk = "0\r\n\r\n"
