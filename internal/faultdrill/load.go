package faultdrill

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"milletmast/internal/emulate"
	"milletmast/internal/testcluster"
)

const (
	// clientGrace is how long a client waits after its deadline. A late response earns no weight, but the request is not lost.
	clientGrace = 500 * time.Millisecond
	// maxIdle is how long a connection may be idle before it is used again.
	maxIdle     = time.Second
	dialTimeout = time.Second
	minWork     = 0.001 // ms
)

// clientLoad sends the requests of a scenario at their arrival times, independently of the responses (open loop).
type clientLoad struct {
	run       *drillRun
	traffic   *emulate.Traffic
	startedAt time.Time

	mu       sync.Mutex
	idle     map[string][]*clientConn // by the address of the sidecar, in the order of their last use
	result   *emulate.Result
	written  uint64        // number of requests
	maxDelay time.Duration // the longest delay of a request after its arrival time
	requests sync.WaitGroup
}

// clientConn is one connection of a client.
type clientConn struct {
	conn         net.Conn
	reader       *bufio.Reader
	usedAt       time.Time
	lastResponse testcluster.Fact
}

// hasUnread reports whether anything was received after the last response.
func (p *clientConn) hasUnread() bool {
	if p.reader.Buffered() > 0 {
		return true
	}
	raw, err := p.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	return err == nil && n > 0
}

func newClientLoad(d *drillRun, seed uint64) *clientLoad {
	return &clientLoad{
		run:     d,
		traffic: emulate.NewTraffic(d.scenario, seed),
		idle:    map[string][]*clientConn{},
		result:  emulate.NewResult(d.scenario, seed, 0),
	}
}

// now returns the time since the start of the load, in ms.
func (l *clientLoad) now() float64 { return time.Since(l.startedAt).Seconds() * 1000 }

// sendAll sends requests until the end of the scenario, and waits for all responses.
func (l *clientLoad) sendAll(ctx context.Context) {
	l.startedAt = time.Now()
	for {
		a, ok := l.traffic.Next()
		if !ok || ctx.Err() != nil {
			break
		}
		due := l.startedAt.Add(time.Duration(a.At * float64(time.Millisecond)))
		waitFor(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		l.mu.Lock()
		l.maxDelay = max(l.maxDelay, time.Since(due))
		l.mu.Unlock()
		l.requests.Go(func() { l.sendRequest(ctx, &a) })
	}
	l.requests.Wait()
	for _, conns := range l.idle {
		for _, p := range conns {
			l.discard(p)
		}
	}
}

// sendRequest sends a request and the client's retries.
func (l *clientLoad) sendRequest(ctx context.Context, a *emulate.Arrival) {
	counts := a.At >= l.run.scenario.Warmup.MS()
	for number := 1; ; number++ {
		t := emulate.Try{At: l.now(), Class: a.Class, Number: number, Counts: counts}
		l.mu.Lock()
		l.result.RecordTry(t)
		l.mu.Unlock()
		answer, retryAfter := l.newTry(a, number).send()
		delay, retry := l.traffic.RetryAfter(a, number, answer, retryAfter)
		retry = retry && ctx.Err() == nil
		l.mu.Lock()
		l.result.RecordEnd(t, answer, l.now(), !retry)
		l.mu.Unlock()
		if !retry {
			return
		}
		waitFor(ctx, time.Duration(delay*float64(time.Millisecond)))
	}
}

// chooseSidecar returns the sidecar that a client uses: its home sidecar, or the next one that is up, preferably in the same zone.
func (l *clientLoad) chooseSidecar(home int) (addr, name string) {
	all := l.run.outerTier.sidecars
	if addr, name = all[home].address(); addr != "" {
		return addr, name
	}
	var other, otherName string
	for k := 1; k < len(all); k++ {
		c := all[(home+k)%len(all)]
		addr, name := c.address()
		if addr == "" {
			continue
		}
		if c.zone == all[home].zone {
			return addr, name
		}
		if other == "" {
			other, otherName = addr, name
		}
	}
	return other, otherName
}

// connect returns a connection to a sidecar: the idle one used last, or a new one.
func (l *clientLoad) connect(addr string) (p *clientConn, isNew bool, err error) {
	l.mu.Lock()
	for n := len(l.idle[addr]); n > 0; n = len(l.idle[addr]) {
		p := l.idle[addr][n-1]
		l.idle[addr] = l.idle[addr][:n-1]
		if time.Since(p.usedAt) <= maxIdle && !p.hasUnread() {
			l.mu.Unlock()
			return p, false, nil
		}
		l.discard(p)
	}
	l.mu.Unlock()
	c, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, true, err
	}
	return &clientConn{conn: c, reader: bufio.NewReader(c)}, true, nil
}

// putIdle keeps a connection for the next request.
func (l *clientLoad) putIdle(addr string, p *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[addr] = append(l.idle[addr], p)
}

// discard closes a connection. Unread data is recorded as a second response to its last request.
func (l *clientLoad) discard(p *clientConn) {
	if p.lastResponse.Request != "" && p.hasUnread() {
		p.lastResponse.At = 0
		l.run.history.Record(p.lastResponse)
	}
	p.conn.Close()
}

// encodeRequest returns the text of a request. Its headers hold the work for the servers of both tiers.
func (l *clientLoad) encodeRequest(a *emulate.Arrival, effect, id string) string {
	class := &l.run.scenario.Pool.Classes[a.Class]
	method, headers := http.MethodGet, ""
	if effect != "safe" {
		method, headers = http.MethodPost, "Content-Length: 0\r\n"
	}
	if effect == "keyed" {
		headers += fmt.Sprintf("%s: k%d\r\n", class.KeyName(), a.Number)
	}
	if in := &l.run.scenario.Inner; in.IsPresent() {
		var calls []string
		for i, c := range in.Calls {
			calls = append(calls, fmt.Sprintf("%s:%.3f", c, l.traffic.InnerWork(in, a.Number, i)))
		}
		headers += testcluster.HeaderCalls + ": " + strings.Join(calls, ",") + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Caller: %d\r\nX-Deadline: %.3f\r\n%s: %.3f\r\n%s\r\n",
		method, class.Name, id, a.Caller.Hash, time.Duration(class.GiveUp).Seconds(), testcluster.HeaderWork, math.Max(a.Work, minWork), headers)
}

// errClosedIdle is the error of a connection that ended before the first byte of a response.
var errClosedIdle = errors.New("connection closed before a response")

// clientResponse holds the fields of a response that a client uses.
type clientResponse struct {
	status     int
	retryAfter string
	closes     bool
}

// readResponse reads one complete response.
func readResponse(p *clientConn) (r clientResponse, err error) {
	if _, err := p.reader.Peek(1); err != nil {
		if isTimeout(err) {
			return r, err
		}
		return r, fmt.Errorf("%w: %w", errClosedIdle, err)
	}
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return r, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return r, err
	}
	return clientResponse{response.StatusCode, response.Header.Get("Retry-After"), response.Close}, nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
