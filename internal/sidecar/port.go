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

// bodyServer answers a request whose body was received in full. Its context ends when the caller closes the connection.
type bodyServer func(ctx context.Context, body []byte) response

// serveBuffered receives the body of a request and has it responded. It reports whether the connection is kept.
func (f *frontend) serveBuffered(c *clientConn, m *message, t *intakeResult, expectsContinue bool, keep *bool) bool {
	if expectsContinue {
		_ = c.writeContinue() // an error shows when the body is read
	}
	c.startBody(f.idleTimeout, m.length)
	body, err := readWhole(c.reader, m.length, t.maxBody)
	c.endBody()
	if err != nil {
		f.rejectUnreadable(c, err)
		return false
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	responded := make(chan response, 1)
	c.setReadDeadline(time.Time{})
	f.clients.requestStarted(c)
	f.conns.Go(func() {
		a := t.serve(ctx, body)
		c.setReadDeadline(interruptedAt) // ends Peek; before the response is written, or it would end the next read
		responded <- a
	})
	_, err = c.reader.Peek(1) // the caller closes the connection, or sends the next request already
	a, ok := pollResponse(responded)
	if !ok && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		leave()
		<-responded
		f.clients.requestEnded(c)
		return false
	}
	if !ok {
		a = <-responded
	}
	*keep = *keep && !f.closing.Load()
	err = c.writeResponse(&a, !*keep)
	f.clients.requestEnded(c)
	return err == nil
}

// IncomingRequest is a request that a Port has received.
type IncomingRequest struct {
	Method, URI, Host string
	Header            http.Header // end-to-end headers, without Host
	Length            int64       // of the body; -1 if it is chunked
	Body              []byte
	ReceivedAt        time.Time // when its head had been received
	ClientAddr        string    // without the port
	Admitted          any       // set by Open for Serve
	Release           func()    // called once the request has been responded; nil for nothing
}

// Reply is a response: to an IncomingRequest, or of a server to an Exchange.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration // 0 for none

	// AfterOtherResponse says that responses to other requests were received before this one, so that its claim that the request
	// was not executed proves nothing.
	AfterOtherResponse bool
	// BodyUnread says of a response of Open that the client waits for a 100 Continue and sends no body now: the connection is kept.
	BodyUnread bool
}

// RequestHandler handles the requests of a Port. Open gets the head and returns how many bytes of body are accepted, or a
// response. Serve gets the complete request and returns the response. Its context ends when the client closes the connection;
// it must return soon then.
type RequestHandler interface {
	Open(e *IncomingRequest) (maxBody int64, reply *Reply)
	Serve(ctx context.Context, e *IncomingRequest) Reply
}

// Port serves HTTP/1.1 at an address by a RequestHandler.
type Port struct {
	listener net.Listener
	frontend *frontend
	done     chan struct{} // closed once nothing is accepted any more
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

// readIncoming has the handler decide on the head of a request.
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
	if reply != nil {
		return intakeResult{response: reply.answer(), bodyUnread: reply.BodyUnread}
	}
	return intakeResult{maxBody: maxBody, release: req.Release, serve: func(ctx context.Context, body []byte) response {
		req.Body = body
		reply := handler.Serve(ctx, req)
		return *reply.answer()
	}}
}

// answer returns the reply as an answer of the front.
func (r *Reply) answer() *response {
	a := &response{status: r.Status, header: r.Header, body: r.Body, retryAfter: r.RetryAfter}
	if hasNoBody(r.Status) {
		a.noBody, a.length, a.body = true, lengthUnknown, nil
	}
	return a
}

// Addr returns the address of the port.
func (p *Port) Addr() net.Addr { return p.listener.Addr() }

// Drain ends the port in order. For a time new connections are accepted as before; then each connection is closed after its next
// response, and those without an open request at once. What is left at the last time is closed. Both times count from the
// call. It returns once no connection is open.
func (p *Port) Drain(accept, last time.Duration) {
	begun := time.Now()
	p.frontend.draining.Store(true)
	time.Sleep(accept)
	p.frontend.closing.Store(true)
	p.listener.Close()
	<-p.done
	p.frontend.clients.drain(begun.Add(last))
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
