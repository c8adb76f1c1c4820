package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"milletmast/internal/rules"
)

const (
	requestTime = 1500 * time.Millisecond // that a client waits
	largeBody   = 5 << 20                 // bytes of a large body
	pauseTime   = 20 * time.Millisecond   // at most, between two requests of a client
)

// ending is a request that ended without the answer of an endpoint.
type ending struct {
	id          string
	machine     int
	sent, ended time.Time
	status      int // of the proxy's own answer; 0 if the connection ended without one
}

// isDenied reports whether a proxy answered that the request is not allowed.
func (e *ending) isDenied() bool {
	switch e.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return e.status >= http.StatusMultipleChoices && e.status < http.StatusInternalServerError
}

// client sends one request after the other to the proxy of its machine, over a connection that it keeps until it ends.
type client struct {
	cluster *cluster
	machine int
	name    string
	random  *rand.Rand
	answers *rules.Answers
	conn    net.Conn
	reader  *bufio.Reader
	served  atomic.Int64 // answers of endpoints
	endings []ending
}

// request sends the n-th request, and records its answer.
func (c *client) request(n int) {
	if !c.connect() {
		return
	}
	id := fmt.Sprintf("%s-%d", c.name, n)
	method, path, body := "POST", []string{"/pay/", "/load/"}[c.random.IntN(2)], "coins"
	switch {
	case c.random.IntN(2) == 0:
		method, path, body = "GET", "/read/", ""
	case path == "/load/" && c.random.IntN(4) == 0:
		body = strings.Repeat("l", largeBody)
	}
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if len(body) > 0 && len(body) < largeBody && c.random.IntN(3) == 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n%s",
		method, path, id, requestTime.Milliseconds(), framing)
	c.answers.RecordRequest(id, method != "GET")
	end := ending{id: id, machine: c.machine, sent: time.Now()}
	_ = c.conn.SetDeadline(end.sent.Add(requestTime + time.Second))
	_, writeErr := io.WriteString(c.conn, text)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var got []byte
		if got, err = io.ReadAll(response.Body); err == nil {
			end.ended, end.status = time.Now(), response.StatusCode
			c.record(end, response, string(got))
			return
		}
	}
	c.answers.RecordResponse(id, rules.Response{})
	if end.ended = time.Now(); writeErr == nil {
		c.endings = append(c.endings, end)
	}
	c.close()
}

// record records an answer.
func (c *client) record(end ending, response *http.Response, body string) {
	seal := response.Header.Get("X-Server-Seal")
	c.answers.RecordResponse(end.id, rules.Response{Status: response.StatusCode, Seal: seal, Body: body})
	if seal != "" {
		c.served.Add(1)
	} else {
		c.endings = append(c.endings, end)
	}
	if response.Close {
		c.close()
	}
}

// connect opens a connection if none is open.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.cluster.addr(c.machine, outboundPort), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}
