package loadbench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	maxIdle       = time.Second     // the sidecar may have closed a connection that was idle for longer
	responseGrace = 2 * time.Second // from the caller's timeout until its request counts as unanswered
)

// errTimeout is returned for a request without a response within its caller's timeout and responseGrace.
var errTimeout = errors.New("no response within the timeout of the caller and the grace time")

// clientConn is a connection to the sidecar that carries one request at a time. The zero value connects at its first request.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// close closes the connection if there is one. The next request connects again.
func (c *clientConn) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// roundTrip sends one request of a caller and returns the status of the response. After an error the connection is closed.
func (c *clientConn) roundTrip(addr string, class *Class, caller int) (int, error) {
	if time.Since(c.usedAt) > maxIdle {
		c.close()
	}
	if c.conn == nil {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	status, err := c.exchange(class, caller)
	if err != nil {
		c.close()
		return 0, err
	}
	return status, nil
}

// exchange writes a request to the open connection and reads the response.
func (c *clientConn) exchange(class *Class, caller int) (int, error) {
	method, bodyHeader := http.MethodGet, ""
	if class.Effect != "safe" {
		method, bodyHeader = http.MethodPost, "Content-Length: 0\r\n"
	}
	if err := c.conn.SetDeadline(time.Now().Add(class.Timeout + responseGrace)); err != nil {
		return 0, err
	}
	_, err := fmt.Fprintf(c.conn, "%s /%s HTTP/1.1\r\nHost: h\r\n%s: %d\r\nX-Deadline: %.3f\r\n%s\r\n",
		method, class.Name, callerHeader, caller, class.Timeout.Seconds(), bodyHeader)
	if err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return 0, errTimeout
		}
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	c.usedAt = time.Now()
	if res.Close {
		c.close()
	}
	return res.StatusCode, nil
}
