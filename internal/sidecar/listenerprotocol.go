package sidecar

import (
	"crypto/tls"
	"log/slog"
	"time"

	"milletmast/internal/operator"
)

// alpn lists the protocols that a listener offers in TLS (RFC 7301), by its front.
var alpn = map[string][]string{
	operator.HTTP: {"http/1.1"}, operator.GRPC: {"h2"}, operator.Auto: {"h2", "http/1.1"},
}

// serveConn serves a connection of a listener by the front that the current file gives it: HTTP/1.1, gRPC, or the protocol that the
// client speaks. With TLS that is negotiated by ALPN. Otherwise the first bytes show it (RFC 9113, section 3.3), as no HTTP/1.1
// request has the method PRI.
func (i *Instance) serveConn(l *listener, c *clientConn) {
	g := i.acquireGeneration(l)
	d := g.routers[l.key]
	i.releaseGeneration(g)
	isHTTP2 := d.front == operator.GRPC
	if d.tls != nil {
		secure, ok := i.handshake(l, c, d)
		if !ok {
			return
		}
		if protocol := secure.ConnectionState().NegotiatedProtocol; protocol != "" {
			isHTTP2 = protocol == "h2"
		} else if d.front == operator.Auto {
			isHTTP2 = speaksHTTP2(l, c)
		}
	} else if d.front == operator.Auto {
		isHTTP2 = speaksHTTP2(l, c)
	}
	if !isHTTP2 {
		l.frontend.serveConn(c)
		return
	}
	i.clients.mu.Lock()
	c.drainsItself = true
	i.clients.mu.Unlock()
	if err := l.grpc.Serve(c, c.reader); err != nil {
		slog.Debug("close client connection", "cause", err)
	}
}

// handshake performs the TLS handshake on a connection.
func (i *Instance) handshake(l *listener, c *clientConn, d *listenerRouter) (*tls.Conn, bool) {
	secure := tls.Server(c.Conn, &tls.Config{Certificates: []tls.Certificate{*d.tls}, NextProtos: alpn[d.front], MinVersion: tls.VersionTLS12})
	c.setDeadline(time.Now().Add(l.frontend.idleTimeout))
	if err := secure.Handshake(); err != nil {
		return nil, false
	}
	c.setDeadline(time.Time{})
	i.clients.mu.Lock() // closeAll reads c.Conn
	c.Conn = secure
	i.clients.mu.Unlock()
	c.reader.Reset(c)
	return secure, true
}

// speaksHTTP2 reports whether a connection starts with the preface of HTTP/2.
func speaksHTTP2(l *listener, c *clientConn) bool {
	c.setReadDeadline(time.Now().Add(l.frontend.idleTimeout))
	first, err := c.reader.Peek(4)
	return err == nil && string(first) == "PRI "
}
