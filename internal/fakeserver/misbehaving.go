package fakeserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"milletmast/internal/rules"
)

// MisbehavingServer is a server of the mesh that misbehaves as Choose says, on real connections. It records each execution in Answers.
type MisbehavingServer struct {
	Choose   func(n int) Misbehavior // returns the misbehavior for the n-th request; nil for none. Requests of /health have none
	Instance string                  // the only value of X-Target-Instance that it serves; "" for any
	Answers  *rules.Answers

	ln         net.Listener
	goroutines sync.WaitGroup
	mu         sync.Mutex
	conns      map[net.Conn]bool
	requests   int
	closed     bool
}

// Serve accepts connections of a listener until Close.
func (s *MisbehavingServer) Serve(ln net.Listener) {
	s.ln, s.conns = ln, map[net.Conn]bool{}
	s.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.add(c)
			s.goroutines.Go(func() {
				defer s.remove(c)
				s.serveConn(c)
			})
		}
	})
}

func (s *MisbehavingServer) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] = true; s.closed {
		c.Close()
	}
}

func (s *MisbehavingServer) remove(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes the listener and all connections.
func (s *MisbehavingServer) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// RequestCount returns the number of requests whose head has been received.
func (s *MisbehavingServer) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// nextRequest returns the number of the next request, from 1.
func (s *MisbehavingServer) nextRequest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.requests
}

// misbehavingConn is one connection of a MisbehavingServer.
type misbehavingConn struct {
	net.Conn
	server      *MisbehavingServer
	replacement []byte // sent in place of the next response; nil for none
	sentExtra   bool   // an extra message was sent, and may still be in transit
}

func (s *MisbehavingServer) serveConn(raw net.Conn) {
	c := &misbehavingConn{Conn: raw, server: s}
	r := bufio.NewReader(raw)
	for keep := true; keep; {
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.send(c.replacement)
		c.replacement = nil
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		keep = c.serveRequest(q)
	}
}

// send writes bytes whose loss does not matter: the client may have closed the connection.
func (c *misbehavingConn) send(text []byte) { _, _ = c.Write(text) }

// trySend writes bytes, and reports whether that succeeded.
func (c *misbehavingConn) trySend(text []byte) bool {
	_, err := c.Write(text)
	return err == nil
}

// readBody reads the rest of the body of a request, and reports whether all of it arrived.
func readBody(q *http.Request) bool {
	_, err := io.Copy(io.Discard, q.Body)
	return err == nil
}

// serveRequest serves one request. It returns false if the connection has ended.
func (c *misbehavingConn) serveRequest(q *http.Request) (keep bool) {
	n := c.server.nextRequest()
	m := Misbehavior{Status: http.StatusOK, CutInResponse: -1}
	if c.server.Choose != nil && q.URL.Path != "/health" {
		m = c.server.Choose(n)
	}
	if c.sentExtra { // with an incomplete response it could form a valid one, which no client could detect
		m.MissingBytes, m.CutInResponse, m.Malformed, m.Unframed = 0, -1, false, false
	}
	c.sentExtra = c.sentExtra || m.Extra != NoExtra
	if !c.receive(q, &m) {
		return false
	}
	id := q.Header.Get("X-Attempt-Id")
	switch {
	case q.URL.Path == "/health":
		c.send(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Responding-Instance: %s\r\nContent-Length: 0\r\n\r\n", c.server.Instance))
		return true
	case m.CutInRequest > 0: // the whole body was read: it fails while it executes the request
		c.server.Answers.RecordExecution(id, rules.Response{})
		c.close(m.CloseMode)
		return false
	case !c.server.serves(q):
		c.send(fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
		return !m.EarlyResponse
	}
	return c.respond(q, id, n, &m)
}

// serves reports whether a request is for this instance.
func (s *MisbehavingServer) serves(q *http.Request) bool {
	return s.Instance == "" || q.Header.Get("X-Target-Instance") == s.Instance
}

// receive reads the body of a request as the misbehavior says. It returns false if the connection has ended.
func (c *misbehavingConn) receive(q *http.Request, m *Misbehavior) bool {
	if m.SpareContinue {
		c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if m.CutInRequest > 0 {
		if n, err := io.CopyN(io.Discard, q.Body, int64(m.CutInRequest)); n == int64(m.CutInRequest) && err == nil {
			if m.BeginsEarly && c.server.serves(q) {
				c.server.Answers.RecordExecution(q.Header.Get("X-Attempt-Id"), rules.Response{})
			}
			c.close(m.CloseMode)
			return false
		}
	}
	return m.EarlyResponse || readBody(q)
}

// respond sends the response to the n-th request. It returns false if the connection has ended.
func (c *misbehavingConn) respond(q *http.Request, id string, n int, m *Misbehavior) (keep bool) {
	text := c.server.encodeResponse(id, n, m)
	for range m.Interims {
		if !c.trySend([]byte("HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: " + id + "\r\n\r\n")) {
			return false
		}
	}
	if m.CutInResponse >= 0 {
		c.send(text[:min(m.CutInResponse, len(text))])
		c.close(m.CloseMode)
		return false
	}
	extra := encodeExtra(id, n, text, m.Extra)
	if m.ExtraTime == WithResponse {
		text = append(bytes.Clone(text), extra...)
	}
	if !c.trySend(text) || m.CloseAfter || m.Unframed {
		return false
	}
	if m.Malformed || m.MissingBytes > 0 {
		c.close(m.CloseMode)
		return false
	}
	if m.EarlyResponse && !readBody(q) {
		return false
	}
	switch m.ExtraTime {
	case AfterResponse:
		time.AfterFunc(time.Duration(n%extraDelays)*extraDelay, func() { c.send(extra) })
	case InsteadOfNext:
		c.replacement = extra
	}
	return true
}

// An extra message is sent up to extraDelays-1 times extraDelay after the response.
const (
	extraDelay  = 200 * time.Microsecond
	extraDelays = 8
)

// rejectionStatuses are the statuses of rejections, which are used in turn.
var rejectionStatuses = [...]int{
	http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusBadRequest,
}

// encodeResponse returns the response to the n-th request, and records its execution.
func (s *MisbehavingServer) encodeResponse(id string, n int, m *Misbehavior) []byte {
	var b bytes.Buffer
	status, seal := m.Status, fmt.Sprint("seal-", n)
	body := fmt.Sprintf("%s was run %d", id, n) + strings.Repeat(".", n%40)
	if m.Rejects {
		status, seal = rejectionStatuses[n%len(rejectionStatuses)], ""
	} else if status == http.StatusMisdirectedRequest { // this status would mean that the request was not executed
		status = http.StatusConflict
	}
	if m.OmitSeal {
		seal = ""
	}
	if status == http.StatusNoContent {
		body = ""
	}
	if !m.Rejects {
		s.Answers.RecordExecution(id, rules.Response{Status: status, Seal: seal, Body: body})
	}
	if m.Malformed && !m.Chunked {
		b.WriteString("HTP/11 what\r\n")
	} else {
		fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	}
	if n%2 == 0 {
		b.WriteString(idHeaders(id, m.IDMode))
	}
	if seal != "" {
		b.WriteString("X-Server-Seal: " + seal + "\r\n")
	}
	if n%2 != 0 {
		b.WriteString(idHeaders(id, m.IDMode))
	}
	if m.Rejects || m.ClaimsNotExecuted && status/100 == 2 {
		b.WriteString("X-Not-Executed: 1\r\n")
	}
	if m.CloseAfter {
		b.WriteString("Connection: close\r\n")
	}
	encodeBody(&b, status, body, m)
	return b.Bytes()
}

// idHeaders returns the headers of a response with the ids that a mode selects.
func idHeaders(id string, mode int) string {
	own, other := "X-Attempt-Id: "+id+"\r\n", "X-Attempt-Id: older-"+id+"\r\n"
	switch mode {
	case idOfOther:
		return other
	case idMissing:
		return ""
	case idOfBoth:
		return own + other
	}
	return own
}

// encodeBody writes the headers of a body and the body.
func encodeBody(b *bytes.Buffer, status int, body string, m *Misbehavior) {
	switch {
	case status == http.StatusNoContent:
		b.WriteString("\r\n")
	case m.Unframed:
		b.WriteString("\r\n" + body)
	case m.Chunked:
		length := fmt.Sprintf("%x", len(body)+m.MissingBytes)
		if m.Malformed {
			length = "zz"
		}
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n" + length + "\r\n" + body)
		if m.MissingBytes == 0 {
			b.WriteString("\r\n0\r\n\r\n")
		}
	default:
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(body)+m.MissingBytes, body)
	}
}

// encodeExtra returns an extra message after the last response to the n-th request.
func encodeExtra(id string, n int, last []byte, e ExtraMessage) []byte {
	switch e {
	case RepeatResponse:
		return last
	case RejectionForRequest:
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case FailureWithoutID:
		return []byte("HTTP/1.1 500 Internal Server Error\r\nX-Server-Seal: nobody\r\nContent-Length: 0\r\n\r\n")
	case RejectionWithoutID:
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case OtherResponse:
		return []byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Server-Seal: nobody\r\nContent-Length: 3\r\n\r\nold")
	case ExtraContinue:
		return []byte("HTTP/1.1 100 Continue\r\n\r\n")
	case ExtraGarbage:
		return []byte("what?\r\n\r\n")
	case TruncatedResponse:
		return last[:min(len(last)/2, 12+n%50)]
	}
	return nil
}

// close ends the connection in the middle of a message, as mode says.
func (c *misbehavingConn) close(mode CloseMode) {
	tcp := c.Conn.(*net.TCPConn)
	switch mode {
	case CloseByReset:
		_ = tcp.SetLinger(0) // fails on a closed connection only
	case CloseWriteSide:
		_ = tcp.CloseWrite() // fails on a closed connection only
		_, _ = io.Copy(io.Discard, c)
	case StopReading:
		_, _ = io.Copy(io.Discard, c) // until the client closes
	}
}
