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

// loss is a request that ended without an answer.
type loss struct {
	id         string
	machine    int
	sent, lost time.Time
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
	losses  []loss
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
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, requestTime.Milliseconds(), len(body), body)
	c.answers.RecordRequest(id, method != "GET")
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(requestTime + time.Second))
	_, writeErr := io.WriteString(c.conn, text)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var got []byte
		if got, err = io.ReadAll(response.Body); err == nil {
			c.record(id, response, string(got))
			return
		}
	}
	c.answers.RecordResponse(id, rules.Response{})
	if writeErr == nil {
		c.losses = append(c.losses, loss{id: id, machine: c.machine, sent: sent, lost: time.Now()})
	}
	c.close()
}

func (c *client) record(id string, response *http.Response, body string) {
	seal := response.Header.Get("X-Server-Seal")
	c.answers.RecordResponse(id, rules.Response{Status: response.StatusCode, Seal: seal, Body: body})
	if seal != "" {
		c.served.Add(1)
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
