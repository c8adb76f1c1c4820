package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// bodyServer responds to a request whose body was received in full. Its context ends when the client closes the connection.
type bodyServer func(ctx context.Context, body []byte) response

// serveBuffered receives the body of a request, runs its handler and writes the response. It reports whether the response was written.
func (f *frontend) serveBuffered(c *clientConn, m *message, t *intakeResult, expectsContinue bool, keep *bool) bool {
	if expectsContinue {
		_ = c.writeContinue() // a failed connection also fails the read of the body
	}
	c.startBody(f.idleTimeout, m.length)
	body, err := readBodyUpTo(c.reader, m.length, t.maxBody)
	c.endBody()
	if err != nil {
		f.rejectUnreadable(c, err)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	responded := make(chan response, 1)
	c.setReadDeadline(time.Time{})
	f.clients.requestStarted(c)
	f.conns.Go(func() {
		r := f.serveRecovered(func() response { return t.serve(ctx, body) })
		c.setReadDeadline(interruptedAt) // ends Peek; set before the response is written, or it could end the read of the next request
		responded <- r
	})
	_, err = c.reader.Peek(1) // returns when the client closes the connection or sends the next request, or the handler is done
	r, ok := pollResponse(responded)
	if !ok && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		cancel()
		<-responded
		f.clients.requestEnded(c)
		return false
	}
	if !ok {
		r = <-responded
	}
	*keep = *keep && !f.closing.Load()
	err = c.writeResponse(&r, !*keep)
	f.clients.requestEnded(c)
	return err == nil
}

// IncomingRequest is a request that a Port has received.
type IncomingRequest struct {
	Method, URI, Host string
	Header            http.Header // end-to-end headers, without Host
	Length            int64       // of the body; -1 if it is chunked
	Body              []byte
	ReceivedAt        time.Time // when its head was complete
	ClientAddr        string    // without the port
	Admitted          any       // set by Open for Serve
	Release           func()    // called once the response has been sent; may be nil
}

// Reply is the response to an IncomingRequest, or the response of a server to an Exchange.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration // 0 for none

	// AfterOtherResponse is set if responses to other requests were received before this one. Then a header that says that the
	// request was not executed cannot be trusted.
	AfterOtherResponse bool
	// BodyUnread is set in a response of Open if the client waits for a 100 Continue and so sends no body: the connection is kept.
	BodyUnread bool
}

// RequestHandler handles the requests of a Port. Open receives the head and returns either the limit of the body in bytes or a
// response. Serve receives the complete request and returns the response. Its context ends when the client closes the connection;
// then it must return soon.
type RequestHandler interface {
	Open(e *IncomingRequest) (maxBody int64, reply *Reply)
	Serve(ctx context.Context, e *IncomingRequest) Reply
}

// Port serves HTTP/1.1 at an address and passes the requests to a RequestHandler.
type Port struct {
	listener net.Listener
	frontend *frontend
	done     chan struct{} // closed once no more connections are accepted
}

// PortLimits are the limits of the connections of a Port.
type PortLimits struct {
	MaxConns    int           // open at once
	IdleTimeout time.Duration // between two requests, and between two parts of one
	HeadTimeout time.Duration // for the head of a request, from its first byte
}

// NewPort listens at an address and starts to serve.
func NewPort(addr string, limits PortLimits, handler RequestHandler) (*Port, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Port{listener: ln, done: make(chan struct{})}
	p.frontend = &frontend{idleTimeout: limits.IdleTimeout, headTimeout: limits.HeadTimeout, clients: newClientConns(limits.MaxConns)}
	p.frontend.clients.all = map[*clientConn]bool{}
	p.frontend.intake = func(c *clientConn, m *message) intakeResult { return readIncoming(handler, c, m) }
	go func() {
		defer close(p.done)
		p.frontend.serve(ln)
	}()
	return p, nil
}

// readIncoming checks the head of a request and passes it to the handler.
func readIncoming(handler RequestHandler, c *clientConn, m *message) intakeResult {
	method, rest, _ := strings.Cut(m.startLine, " ")
	uri, version, _ := strings.Cut(rest, " ")
	host := m.header.Get("Host")
	if scheme, after, ok := strings.Cut(uri, "://"); ok && strings.EqualFold(scheme, "http") {
		if slash := strings.IndexByte(after, '/'); slash > 0 {
			host, uri = after[:slash], after[slash:]
		}
	}
	bad := version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) || !isToken(method)
	if bad || len(m.header["Host"]) > 1 {
		return intakeResult{status: http.StatusBadRequest, reason: "the request line cannot be read"}
	}
	req := &IncomingRequest{Method: method, URI: uri, Host: host, Length: m.length, ReceivedAt: time.Now(), ClientAddr: c.host()}
	req.Header = endToEnd(m.header)
	req.Header.Del("Host")
	maxBody, reply := handler.Open(req)
	answer := func(reply *Reply) *response {
		r := reply.toResponse()
		if method == http.MethodHead {
			r.omitBody()
		}
		return r
	}
	if reply != nil {
		return intakeResult{response: answer(reply), bodyUnread: reply.BodyUnread}
	}
	return intakeResult{maxBody: maxBody, release: req.Release, serve: func(ctx context.Context, body []byte) response {
		req.Body = body
		reply := handler.Serve(ctx, req)
		return *answer(&reply)
	}}
}

// toResponse converts the reply to a response of the frontend.
func (r *Reply) toResponse() *response {
	resp := &response{status: r.Status, header: r.Header, body: r.Body, retryAfter: r.RetryAfter}
	if hasNoBody(r.Status) {
		resp.omitBody()
	}
	return resp
}

// Addr returns the address of the port.
func (p *Port) Addr() net.Addr { return p.listener.Addr() }

// Drain shuts the port down gracefully. For the time accept, connections and requests are accepted as before. Then each connection
// is closed after its next response, and connections without an open request are closed at once. Connections that are left after
// timeout are closed. Both times count from the call. Drain returns once no connection is open.
func (p *Port) Drain(accept, timeout time.Duration) {
	start := time.Now()
	p.frontend.draining.Store(true)
	time.Sleep(accept)
	p.frontend.closing.Store(true)
	p.listener.Close()
	<-p.done
	p.frontend.clients.drain(start.Add(timeout))
	p.frontend.clients.closeAll()
	p.frontend.conns.Wait()
}

// Close closes the port and all its connections at once.
func (p *Port) Close() {
	p.listener.Close()
	<-p.done
	p.frontend.clients.closeAll()
	p.frontend.conns.Wait()
}
