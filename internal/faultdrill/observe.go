package faultdrill

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"milletmast/internal/testcluster"
)

const maxHead = 16 << 10 // bytes

// observedConn is a connection between a sidecar and a server that a link relays.
type observedConn struct {
	sidecar string // the name when the connection was opened
	head    []byte // bytes of an incomplete request head
	request string // id of the request without a response; "" for none
}

// linkObserver records the attempts on a link.
type linkObserver struct {
	run     *drillRun
	sidecar *sidecar
	server  *server

	mu    sync.Mutex
	conns map[uint64]*observedConn
}

// observe returns the observer of the link between a sidecar and a server.
func (d *drillRun) observe(c *sidecar, s *server) testcluster.Observer {
	o := &linkObserver{run: d, sidecar: c, server: s, conns: map[uint64]*observedConn{}}
	return testcluster.Observer{
		OnOpen:         o.onOpen,
		OnReceived:     o.onReceived,
		OnSent:         o.onSent,
		OnClientClosed: func(id uint64, at testcluster.ReadTime) { o.onEnd(id, "left", at) },
		OnEnd:          func(id uint64) { o.onEnd(id, "ended", testcluster.ReadTime{}) },
	}
}

// conn returns a connection. The mutex is held.
func (o *linkObserver) conn(id uint64) *observedConn {
	if o.conns[id] == nil {
		_, name := o.sidecar.address()
		o.conns[id] = &observedConn{sidecar: name}
	}
	return o.conns[id]
}

func (o *linkObserver) onOpen(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn(id)
}

// onReceived records requests of the sidecar. They have no bodies.
func (o *linkObserver) onReceived(id uint64, p []byte, at testcluster.ReadTime) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.conn(id)
	c.head = append(c.head, p...)
	for {
		head, rest, ok := bytes.Cut(c.head, []byte("\r\n\r\n"))
		if !ok {
			if len(c.head) > maxHead {
				c.head = nil
			}
			return
		}
		request := headerValue(head, "X-Request-Id")
		c.head = rest
		o.endAttempt(id, c, testcluster.Fact{At: at.ReadAt, Text: "the next request", Polled: at.PolledAt})
		c.request = request
		o.run.history.Record(testcluster.Fact{
			At: at.ReadAt, Kind: testcluster.FactSent, Request: request, Copy: c.sidecar, Server: o.server.name, Conn: id,
		})
	}
}

// statusOffset and statusEnd bound the status in a status line.
const statusOffset, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")

// onSent records the start of a response.
func (o *linkObserver) onSent(id uint64, p []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.conn(id)
	if c.request == "" || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) || len(p) < statusEnd {
		return
	}
	status, err := strconv.Atoi(string(p[statusOffset:statusEnd]))
	if err != nil {
		status = 0
	}
	head, _, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	mayReject := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
	o.endAttempt(id, c, testcluster.Fact{Status: status, NotRun: mayReject && headerValue(head, "X-Not-Run") == "1"})
}

// onEnd records the end of a connection. The time is zero for an end that is reported before the sidecar can detect it.
func (o *linkObserver) onEnd(id uint64, reason string, at testcluster.ReadTime) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endAttempt(id, o.conn(id), testcluster.Fact{At: at.ReadAt, Text: reason, Polled: at.PolledAt})
	delete(o.conns, id)
}

// endAttempt records the end of the open attempt of a connection, if there is one. The mutex is held.
func (o *linkObserver) endAttempt(id uint64, c *observedConn, f testcluster.Fact) {
	if c.request == "" {
		return
	}
	f.Kind, f.Request, f.Copy, f.Server, f.Conn = testcluster.FactAttemptEnded, c.request, c.sidecar, o.server.name, id
	o.run.history.Record(f)
	c.request = ""
}

// headerValue returns the value of a header in a head; "" for none.
func headerValue(head []byte, name string) string {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if k, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(k, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}
