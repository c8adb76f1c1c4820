package trial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// load sends the requests of a trial: they come by themselves, however the ones before fare.
type load struct {
	spec *Spec
	addr string

	mu                        sync.Mutex
	free                      []*peer // connections that no request uses, the one used last at the end
	result                    *Result
	times                     []time.Duration
	askedBefore, earnedBefore float64
}

// peer is one connection.
type peer struct {
	conn   net.Conn
	reader *bufio.Reader
	used   time.Time
}

const quiet = time.Second // a connection that was not used for longer may be closed by now

func (l *load) close() {
	for _, p := range l.free {
		if p.conn != nil {
			p.conn.Close()
		}
	}
}

// take gives a connection, that used last if there is one.
func (l *load) take() *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.free); n > 0 {
		p := l.free[n-1]
		l.free = l.free[:n-1]
		return p
	}
	return &peer{}
}

// run sends requests until the time of the trial is up, and waits for their answers.
func (l *load) run(ctx context.Context, begun time.Time) {
	r := rand.New(rand.NewPCG(l.spec.Seed, 3))
	var open sync.WaitGroup
	defer open.Wait()
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / l.spec.Rate * float64(time.Second))
		draw := r.Float64()
		if at >= l.spec.For {
			return
		}
		select {
		case <-time.After(time.Until(begun.Add(at))):
		case <-ctx.Done():
			return
		}
		c := &l.spec.Classes[len(l.spec.Classes)-1]
		for i := range l.spec.Classes {
			if draw -= l.spec.Classes[i].Part; draw < 0 {
				c = &l.spec.Classes[i]
				break
			}
		}
		caller := r.IntN(l.spec.Callers)
		open.Go(func() { l.one(c, caller) })
	}
}

// one sends a request and counts what came of it.
func (l *load) one(c *Class, caller int) {
	p := l.take()
	came := time.Now()
	status, err := p.ask(l.addr, c, caller)
	took := time.Since(came)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = append(l.free, p)
	o := l.result.Classes[c.Name]
	o.Asked++
	o.Worth += c.Worth
	l.result.Worth += c.Worth
	switch {
	case err != nil:
		o.Failed++
		if errors.Is(err, errTime) {
			l.result.Unended++
		}
	case status == http.StatusServiceUnavailable:
		o.Refused++
		l.result.Longest = max(l.result.Longest, took)
	case status != http.StatusOK:
		o.Failed++
	case took <= c.Aim:
		o.InTime++
		o.Earned += c.Worth
		l.result.Earned += c.Worth
		l.times = append(l.times, took)
	default:
		o.Late++
		l.times = append(l.times, took)
	}
	l.result.Classes[c.Name] = o
}

var errTime = errors.New("no answer within the time")

// ask sends one request of a caller.
func (p *peer) ask(addr string, c *Class, caller int) (int, error) {
	drop := func(err error) (int, error) {
		p.conn.Close()
		p.conn = nil
		return 0, err
	}
	if p.conn != nil && time.Since(p.used) > quiet {
		drop(nil)
	}
	if p.conn == nil {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, err
		}
		p.conn, p.reader = conn, bufio.NewReader(conn)
	}
	method, body := http.MethodGet, ""
	if c.Effect != "safe" {
		method, body = http.MethodPost, "Content-Length: 0\r\n"
	}
	p.conn.SetDeadline(time.Now().Add(c.GiveUp + 2*time.Second))
	if _, err := fmt.Fprintf(p.conn, "%s /%s HTTP/1.1\r\nHost: h\r\nX-Caller: %d\r\nX-Deadline: %.3f\r\n%s\r\n", method, c.Name, caller, c.GiveUp.Seconds(), body); err != nil {
		return drop(err)
	}
	res, err := http.ReadResponse(p.reader, &http.Request{Method: method})
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			err = errTime
		}
		return drop(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return drop(err)
	}
	res.Body.Close()
	p.used = time.Now()
	if res.Close {
		drop(nil)
	}
	return res.StatusCode, nil
}
