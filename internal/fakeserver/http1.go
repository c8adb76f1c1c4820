package fakeserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// chunkSize is the size of the chunks of a chunked response, in bytes. It is a prime, so that chunks and buffers are not aligned.
const chunkSize = 7919

// serve serves a connection of either protocol.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	r := bufio.NewReader(c)
	if first, err := r.Peek(4); err == nil && string(first) == "PRI " {
		s.serveHTTP2(ctx, &bufferedConn{c, r})
		return
	}
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.serveHTTP1(ctx, c, req) || req.Close {
			return
		}
	}
}

// serveHTTP1 serves one request. It returns false if the connection has to end.
func (s *Server) serveHTTP1(ctx context.Context, c net.Conn, req *http.Request) bool {
	s.mu.Lock()
	choose, workTime, cores := s.fault, s.workTime, s.cores
	s.mu.Unlock()
	rec := Record{
		Server:         s.Name,
		RequestID:      req.Header.Get("X-Request-Id"),
		Method:         req.Method,
		URI:            req.RequestURI,
		Host:           req.Host,
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
		Header:         req.Header,
		ReceivedAt:     time.Now(),
		Fault:          choose(req),
	}
	if rec.Fault == ResetBeforeBody {
		s.record(rec)
		resetConn(c)
		return false
	}
	hash := fnv.New64a()
	var err error
	if rec.BodyBytes, err = io.Copy(hash, req.Body); err != nil {
		return false // the request is incomplete
	}
	rec.BodyHash = hash.Sum64()
	rec.Executed = rec.Fault != NotExecuted
	s.record(rec)
	s.addInFlight(1)
	work(ctx, cores, req, rec.ReceivedAt, workTime(req.URL.Path))
	s.addInFlight(-1)
	return s.respond(ctx, c, req, &rec)
}

// work waits for the time that a request takes, on one of the cores if their number is limited. A request whose deadline has passed when
// it gets a core is dropped.
func work(ctx context.Context, cores chan struct{}, req *http.Request, receivedAt time.Time, duration time.Duration) {
	if cores == nil {
		wait(ctx, duration)
		return
	}
	select {
	case cores <- struct{}{}:
		left, err := strconv.ParseFloat(req.Header.Get("X-Deadline"), 64)
		if err != nil || time.Since(receivedAt).Seconds() < left {
			wait(ctx, duration)
		}
		<-cores
	case <-ctx.Done():
	}
}

// bufferedConn is a connection of which bytes have already been read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (b *bufferedConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

// respond responds according to the fault of a request, and returns false if the connection has to end. The body of a response without
// a fault contains the server, method, URI, id, and size and hash of the request's body. The query can set the status, a body of n
// bytes, and a chunked body: ?status=404&bytes=100000&chunked=1.
func (s *Server) respond(ctx context.Context, c net.Conn, req *http.Request, rec *Record) bool {
	var err error
	switch rec.Fault {
	case ResetAfterRequest:
		resetConn(c)
		return false
	case NoResponse:
		if c.SetReadDeadline(time.Now().Add(time.Minute)) == nil {
			_, _ = c.Read(make([]byte, 1)) // until the client closes the connection
		}
		return false
	case GarbageResponse:
		_, _ = io.WriteString(c, "\x00\x01 no answer \xff\r\n\r\n")
		return true
	case Error500:
		_, err = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nX-Server: "+s.Name+"\r\nContent-Length: 6\r\n\r\nfault\n")
	case NotExecuted:
		_, err = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	default:
		err = s.newResponse(req, rec).write(ctx, c)
	}
	return err == nil
}

// errHalfResponse is returned after a response that was ended in its body.
var errHalfResponse = errors.New("fake server: the response was ended in its body, as the fault requires")

// http1Response is a complete response, or half of one.
type http1Response struct {
	head    bytes.Buffer
	body    []byte
	noBody  bool
	chunked bool
	isHalf  bool
}

// newResponse returns the response that the query of a request selects.
func (s *Server) newResponse(req *http.Request, rec *Record) *http1Response {
	query := req.URL.Query()
	status, err := strconv.Atoi(query.Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	r := &http1Response{chunked: query.Get("chunked") != "", isHalf: rec.Fault == HalfResponse}
	r.body = fmt.Appendf(nil, "server=%s method=%s uri=%s id=%s bytes=%d sum=%x\n",
		s.Name, req.Method, req.RequestURI, rec.RequestID, rec.BodyBytes, rec.BodyHash)
	if n, err := strconv.Atoi(query.Get("bytes")); err == nil && n >= 0 && n <= maxResponseBody {
		r.body = Body(n)
	}
	isEmptyStatus := status == http.StatusNoContent || status == http.StatusNotModified
	r.noBody = req.Method == http.MethodHead || isEmptyStatus
	fmt.Fprintf(&r.head, "HTTP/1.1 %d %s\r\nX-Server: %s\r\n", status, http.StatusText(status), s.Name)
	switch {
	case isEmptyStatus:
	case r.chunked:
		r.head.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		fmt.Fprintf(&r.head, "Content-Length: %d\r\n", len(r.body))
	}
	r.head.WriteString("\r\n")
	return r
}

func (r *http1Response) write(ctx context.Context, c net.Conn) error {
	switch {
	case r.noBody:
		_, err := c.Write(r.head.Bytes())
		return err
	case r.isHalf:
		if r.chunked {
			fmt.Fprintf(&r.head, "%x\r\n", len(r.body))
		}
		_, err := c.Write(append(r.head.Bytes(), r.body[:len(r.body)/2]...))
		resetConn(c)
		return errors.Join(errHalfResponse, err)
	case !r.chunked:
		_, err := (&net.Buffers{r.head.Bytes(), r.body}).WriteTo(c)
		return err
	}
	if _, err := c.Write(r.head.Bytes()); err != nil {
		return err
	}
	for body := r.body; len(body) > 0 && ctx.Err() == nil; {
		chunk := body[:min(len(body), chunkSize)]
		body = body[len(chunk):]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
