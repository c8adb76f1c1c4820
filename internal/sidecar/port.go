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

// server gives the answer to a request whose body has come whole. Its context ends when the caller leaves.
type server func(ctx context.Context, body []byte) answer

// byServer deals with a request that a server answers, and tells whether its connection goes on.
func (f *front) byServer(c *caller, m *message, t *taken, waits bool, lasts *bool) bool {
	if waits {
		c.invite() // one that fails shows in the body
	}
	c.idle, c.by = f.quiet, time.Now().Add(f.quiet+time.Duration(max(m.length, 0))*time.Second/slowest)
	body, err := readWhole(c.reader, m.length, t.most)
	c.idle = 0
	if err != nil {
		f.complain(c, err)
		return false
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	answered := make(chan answer, 1)
	c.SetReadDeadline(time.Time{})
	f.callers.begins(c)
	f.conns.Go(func() {
		a := t.serve(ctx, body)
		c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek; before the answer goes out, or it would end what is read behind it
		answered <- a
	})
	_, err = c.reader.Peek(1) // its caller leaves, or sends a next request already
	a, ok := lastWord(answered)
	if !ok && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		leave()
		<-answered
		f.callers.ends(c)
		return false
	}
	if !ok {
		a = <-answered
	}
	*lasts = *lasts && !f.ending.Load()
	err = c.answer(&a, !*lasts)
	f.callers.ends(c)
	return err == nil
}

// Errand is one request that a Port has read.
type Errand struct {
	Method, URI, Host string
	Header            http.Header // end to end, without Host
	Length            int64       // of the body; -1 where it comes in chunks
	Body              []byte
	Came              time.Time // its head had been read then
	From              string    // the caller's address
	Admitted          any       // what Open has noted of it, for Serve
	Release           func()    // is called once the errand is over; nil for nothing
}

// Reply is the answer to an errand.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration // 0 for none
	// Doubtful says of a server's answer that others came before it: its word that nothing has run is not to be believed.
	Doubtful bool
	// Unread says of an answer that Open gives to one that asked first that no body follows: its connection goes on.
	Unread bool
}

// Desk decides what becomes of errands. Open sees the head alone and tells how many bytes of body are taken, or gives the
// answer at once. Serve gives the answer; its context ends when the caller leaves, and it must return soon then.
type Desk interface {
	Open(e *Errand) (most int64, at *Reply)
	Serve(ctx context.Context, e *Errand) Reply
}

// Port takes requests of HTTP/1.1 on an address for a Desk.
type Port struct {
	listener net.Listener
	front    *front
	served   chan struct{}
}

// PortLimits are the bounds of a Port's callers. Quiet and Head are asked anew for each request.
type PortLimits struct {
	Connections int           // at once
	Quiet       time.Duration // between requests, and between two parts of one
	Head        time.Duration // from the first byte of a head to its last
}

// NewPort opens an address. It takes connections at once.
func NewPort(addr string, limits PortLimits, desk Desk) (*Port, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Port{listener: ln, served: make(chan struct{})}
	p.front = &front{quiet: limits.Quiet, head: limits.Head, callers: newCallers(limits.Connections)}
	p.front.callers.all = map[*caller]bool{}
	p.front.intake = func(c *caller, m *message) taken { return errand(desk, c, m) }
	go func() {
		defer close(p.served)
		p.front.serve(ln)
	}()
	return p, nil
}

// errand turns a head into what a Desk decides on.
func errand(desk Desk, c *caller, m *message) taken {
	method, rest, _ := strings.Cut(m.first, " ")
	uri, version, _ := strings.Cut(rest, " ")
	host := m.header.Get("Host")
	if scheme, after, ok := strings.Cut(uri, "://"); ok && strings.EqualFold(scheme, "http") {
		if slash := strings.IndexByte(after, '/'); slash > 0 {
			host, uri = after[:slash], after[slash:]
		}
	}
	bad := version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) || !isToken(method)
	if bad || len(m.header["Host"]) > 1 {
		return taken{status: http.StatusBadRequest, complaint: "the request line cannot be read"}
	}
	e := &Errand{Method: method, URI: uri, Host: host, Length: m.length, Came: time.Now(), From: c.host()}
	e.Header = endToEnd(m.header)
	e.Header.Del("Host")
	most, at := desk.Open(e)
	if at != nil {
		return taken{fixed: at.answer(), unread: at.Unread}
	}
	return taken{most: most, done: e.Release, serve: func(ctx context.Context, body []byte) answer {
		e.Body = body
		r := desk.Serve(ctx, e)
		return *r.answer()
	}}
}

func (r *Reply) answer() *answer {
	a := &answer{status: r.Status, header: r.Header, body: r.Body, retryAfter: r.RetryAfter}
	if bodiless(r.Status) {
		a.bare, a.length, a.body = true, untold, nil
	}
	return a
}

// Addr is where the port listens.
func (p *Port) Addr() net.Addr { return p.listener.Addr() }

// Drain ends the port in order: connections are taken for a while, then each ends with its next answer, and those without
// an open request at once; what is left at last is cut. It returns once nothing is open.
func (p *Port) Drain(accept, last time.Duration) {
	begun := time.Now()
	p.front.draining.Store(true)
	time.Sleep(accept)
	p.front.ending.Store(true)
	p.listener.Close()
	<-p.served
	p.front.callers.drain(begun.Add(last))
	p.front.callers.closeAll()
	p.front.conns.Wait()
}

// Close ends the port at once.
func (p *Port) Close() {
	p.listener.Close()
	<-p.served
	p.front.callers.closeAll()
	p.front.conns.Wait()
}
