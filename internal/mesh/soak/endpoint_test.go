package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"milletmast/internal/rules"
)

// heartbeatInterval is the time between two heartbeats of an endpoint.
const heartbeatInterval = 300 * time.Millisecond

// maxLateness bounds how late a heartbeat arrives that is late.
const maxLateness = 3 * time.Second

// maxWork bounds the time that an endpoint works on one request.
const maxWork = 400 * time.Millisecond

// droppedCheckTime is how long an endpoint looks for the end of the connection of a request.
const droppedCheckTime = time.Millisecond

// run is one execution that an endpoint began.
type run struct {
	id, instance string
	machine      int
	begun        time.Time
	brokenOff    bool // the endpoint broke its answer off
	isDropped    bool // the proxy ended the connection while the endpoint was at work
}

func (r *run) String() string {
	return fmt.Sprintf("%s from %s, broken off by the endpoint: %v, dropped by the proxy: %v", r.instance, r.begun.Format(clockFormat), r.brokenOff, r.isDropped)
}

// history is what all endpoints of a mesh did.
type history struct {
	answers *rules.Answers
	mu      sync.Mutex
	runs    map[string][]*run    // by request
	left    map[string]time.Time // when the departure of an instance was acknowledged
}

func (h *history) begin(r *run, answer rules.Response) {
	h.answers.RecordExecution(r.id, answer)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[r.id] = append(h.runs[r.id], r)
}

func (h *history) leave(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[instance] = time.Now()
}

// lateRuns returns the runs that began later than drainTime and a margin after the departure of their instance was acknowledged.
func (h *history) lateRuns(margin time.Duration) (late []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, runs := range h.runs {
		for _, r := range runs {
			if left, ok := h.left[r.instance]; ok && r.begun.Sub(left) > drainTime+margin {
				late = append(late, fmt.Sprintf("%s at %s %v after its departure", r.id, r.instance, r.begun.Sub(left)))
			}
		}
	}
	return late
}

// place is the address beside a proxy, at which one instance of an endpoint follows the other.
type place struct {
	cluster *cluster
	machine int
	service string
	history *history
	work    sync.WaitGroup // goroutines

	replacing sync.Mutex // held while one instance follows another

	mu       sync.Mutex
	random   *rand.Rand
	lives    int
	leaving  bool
	listener net.Listener
	conns    map[net.Conn]bool // whether an answer without a length has begun on it
	sequence int
}

func (p *place) instance() string { return fmt.Sprintf("i-%d-%d", p.machine, p.lives) }

// open starts a new instance.
func (p *place) open() error {
	ln, err := net.Listen("tcp", p.cluster.addr(p.machine, endpointPort))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.lives++
	p.leaving, p.listener, p.conns = false, ln, map[net.Conn]bool{}
	instance := p.instance()
	p.mu.Unlock()
	p.work.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns[conn] = false
			p.mu.Unlock()
			p.work.Go(func() { p.serve(conn, instance) })
		}
	})
	return nil
}

// close ends the present instance. A connection with an answer that only its end completes is reset: ended in order, what was sent of the
// answer would be a whole one.
func (p *place) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.listener.Close()
	for conn, isAnswering := range p.conns {
		if isAnswering {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
}

// beginUnframed sends the head of an answer without a length.
func (p *place) beginUnframed(conn net.Conn, head string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, isOpen := p.conns[conn]; isOpen {
		p.conns[conn] = true
		_, _ = io.WriteString(conn, head+"\r\n")
	}
}

// beat sends a heartbeat of the present instance; now and then it arrives late, or the sequence after it arrives before.
func (p *place) beat(state string) (acknowledged bool) {
	p.mu.Lock()
	if p.leaving && state == "serving" {
		p.mu.Unlock()
		return false
	}
	p.sequence++
	path := "/api/Endpoints.Heartbeat/" + p.instance()
	text := fmt.Sprintf(`{"target":%q,"address":%q,"zone":"z","epoch":"v1","capacity":12,"state":%q,"warmup_left_s":0,"call_seq":%d}`,
		p.service, p.cluster.addr(p.machine, endpointPort), state, p.sequence)
	isLate := state == "serving" && p.random.IntN(4) == 0
	delay := time.Duration(p.random.Int64N(int64(maxLateness)))
	p.mu.Unlock()
	send := func() bool {
		return p.cluster.call("POST", p.cluster.addr(p.machine, controlPort), path, text) == http.StatusOK
	}
	if isLate {
		p.work.Go(func() { p.cluster.wait(delay); send() })
		return true
	}
	return send()
}

// leave announces that the present instance leaves, by a heartbeat or a deregistration, and reports whether that was acknowledged.
func (p *place) leave() (acknowledged bool) {
	p.mu.Lock()
	p.leaving = true
	instance, atOnce := p.instance(), p.random.IntN(2) == 0
	p.mu.Unlock()
	if atOnce {
		path := "/api/Endpoints.Deregister/" + instance
		acknowledged = p.cluster.call("POST", p.cluster.addr(p.machine, controlPort), path, "") == http.StatusOK
	} else {
		acknowledged = p.beat("draining")
	}
	if acknowledged {
		p.history.leave(instance)
	}
	return acknowledged
}

// behavior is how an endpoint treats one request.
type behavior struct {
	work        time.Duration
	beginsEarly bool // it begins, and breaks off, before it has read the body
	losesAnswer bool
	unframed    bool // the answer has no length
	fails       bool
}

func (p *place) draw() behavior {
	p.mu.Lock()
	defer p.mu.Unlock()
	oneIn := func(n int) bool { return p.random.IntN(n) == 0 }
	return behavior{
		work: time.Duration(p.random.Int64N(int64(maxWork))), beginsEarly: oneIn(20), losesAnswer: oneIn(30), unframed: oneIn(3), fails: oneIn(20),
	}
}

// serve serves the requests of one connection.
func (p *place) serve(conn net.Conn, instance string) {
	defer func() {
		conn.Close()
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			p.answerHealth(conn, instance)
			continue
		}
		if request.Header.Get("X-Target-Instance") != instance {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"))
			continue
		}
		if !p.answer(conn, reader, request, instance) {
			return
		}
	}
}

func (p *place) answerHealth(conn net.Conn, instance string) {
	p.mu.Lock()
	status := http.StatusOK
	if p.leaving {
		status = http.StatusServiceUnavailable
	}
	p.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 %d S\r\nX-Responding-Instance: %s\r\nContent-Length: 0\r\n\r\n", status, instance)
}

// answer runs one request and answers it; false ends the connection.
func (p *place) answer(conn net.Conn, reader *bufio.Reader, request *http.Request, instance string) (keep bool) {
	id, b := request.Header.Get("X-Attempt-Id"), p.draw()
	begun := &run{id: id, instance: instance, machine: p.machine, begun: time.Now(), brokenOff: b.beginsEarly || b.losesAnswer}
	answer := rules.Response{Status: http.StatusOK, Seal: "seal-" + id + "-" + instance, Body: "answer to " + id}
	if b.fails {
		answer.Status = http.StatusInternalServerError
	}
	if b.beginsEarly {
		p.history.begin(begun, rules.Response{})
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	p.history.begin(begun, answer)
	head := fmt.Sprintf("HTTP/1.1 %d S\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n", answer.Status, id, answer.Seal)
	if b.unframed {
		p.beginUnframed(conn, head) // its body follows after the work
	}
	p.cluster.wait(b.work)
	begun.isDropped = isEndedByPeer(conn, reader)
	if b.losesAnswer {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	if b.unframed {
		_, _ = io.WriteString(conn, answer.Body)
		return false
	}
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(answer.Body), answer.Body)
	return err == nil
}

// isEndedByPeer reports whether the proxy has ended a connection.
func isEndedByPeer(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(droppedCheckTime))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
