package testcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The request headers that control a fake server.
const (
	HeaderWork  = "X-Work"  // execution time on one core at full speed, in ms
	HeaderCalls = "X-Calls" // calls to make to the next tier meanwhile: "class:ms,class:ms"
)

// server is a fake server.
type server struct {
	spec    ServerSpec
	started time.Time
	facts   *json.Encoder // unbuffered, so that facts before a kill are kept
	client  *http.Client

	mu          sync.Mutex
	state       ServerState
	conns       int
	busy        int             // cores in use
	queue       []chan struct{} // one for each request that waits, closed when it gets a core
	knownConns  map[net.Conn]bool
	arrivals    []arrival // within the last OverloadTime, while cold
	arrivedWork float64   // the sum of arrivals
}

// arrival is the work of a request, in ms, and the time of its arrival.
type arrival struct {
	at   time.Time
	work float64
}

// serverMain runs a fake server until the end of its standard input.
func serverMain() error {
	lines := bufio.NewScanner(os.Stdin)
	s := &server{started: time.Now(), state: ServerState{SpeedFactor: 1}, knownConns: map[net.Conn]bool{}}
	if !lines.Scan() {
		return errors.New("standard input has no ServerSpec")
	}
	if err := json.Unmarshal(lines.Bytes(), &s.spec); err != nil {
		return err
	}
	s.state.Next, s.state.NextName = s.spec.Next, s.spec.NextName
	facts, err := os.OpenFile("facts.jsonl", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer facts.Close()
	s.facts = json.NewEncoder(facts)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s.recordFact(Fact{Kind: FactStarted, Cold: s.spec.Cold})
	fmt.Printf("listening addr=%s\n", ln.Addr())
	h := &http.Server{Handler: s, ConnState: s.connState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go func() { _ = h.Serve(ln) }() // returns after Close
	for lines.Scan() {
		s.mu.Lock()
		before := s.state
		err := json.Unmarshal(lines.Bytes(), &s.state)
		if s.state.Next == "" {
			s.state.Next, s.state.NextName = before.Next, before.NextName
		}
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return h.Close()
}

type connKey struct{}

// recordFact writes a fact of this server.
func (s *server) recordFact(f Fact) {
	f.By, f.Server = s.spec.Name, s.spec.Name
	if f.At == 0 {
		f.At = Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.facts.Encode(&f); err != nil {
		fmt.Fprintln(os.Stderr, "fact:", err)
	}
}

// connState counts connections, and resets those over the limit.
func (s *server) connState(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		s.conns++
		if s.conns > s.spec.Connections {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // fails on a closed connection only
			}
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns--
		delete(s.knownConns, c)
	}
}

// warmth returns the share of its full speed that the server has now: less than 1 while it is cold.
func (s *server) warmth() float64 {
	age := time.Since(s.started)
	if !s.spec.Cold || s.spec.Ramp <= 0 || age >= s.spec.Ramp {
		return 1
	}
	return s.spec.ColdFrom + (1-s.spec.ColdFrom)*age.Seconds()/s.spec.Ramp.Seconds()
}

func (s *server) speed() float64 { return s.spec.Speed * s.state.SpeedFactor * s.warmth() }

// ServeHTTP queues a request for a core, and executes it.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete
	}
	id, class := r.Header.Get("X-Request-Id"), strings.Trim(r.URL.Path, "/")
	work, _ := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	s.mu.Lock()
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !s.knownConns[c] {
		s.knownConns[c] = true
		work += s.spec.Handshake.Seconds() * 1000
	}
	capacity := 1000 * float64(s.spec.Cores) * s.speed()
	failing := s.state.FailureShare
	overloaded := s.recordArrival(work, capacity)
	s.mu.Unlock()
	s.recordFact(Fact{Kind: FactReceived, Request: id, Class: class, Work: work, Capacity: capacity})
	if overloaded {
		s.recordFact(Fact{Kind: FactOverloaded})
		os.Exit(overloadExitCode)
	}
	if failureDraw(id, s.spec.Name) < failing {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	if !s.acquireCore(r.Context()) {
		if r.Context().Err() == nil {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return // the client has left, and the request was not executed
	}
	defer s.releaseCore()
	s.recordFact(Fact{Kind: FactExecuted, Request: id, Class: class, Key: r.Header.Get("Idempotency-Key")})
	s.mu.Lock()
	speed, state := s.speed(), s.state
	s.mu.Unlock()
	time.Sleep(time.Duration(work / speed * float64(time.Millisecond))) // also if the client has left
	if calls := r.Header.Get(HeaderCalls); calls != "" && state.Next != "" {
		if status := s.makeCalls(r, &state, calls); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	fmt.Fprintf(w, "server=%s id=%s\n", s.spec.Name, id)
}

// overloadExitCode is the exit code of a cold server that has failed under its load.
const overloadExitCode = 3

// recordArrival records the work of a request at a cold server, and reports whether the work of the last OverloadTime overloads it.
func (s *server) recordArrival(work, capacity float64) bool {
	if !s.spec.Cold || s.warmth() >= 1 || s.spec.OverloadTime <= 0 {
		return false
	}
	now := time.Now()
	s.arrivals = append(s.arrivals, arrival{now, work})
	s.arrivedWork += work
	for now.Sub(s.arrivals[0].at) > s.spec.OverloadTime {
		s.arrivedWork -= s.arrivals[0].work
		s.arrivals = s.arrivals[1:]
	}
	return s.arrivedWork > s.spec.OverloadFactor*capacity*s.spec.OverloadTime.Seconds()
}

// failureDraw returns a number in [0, 1) that is determined by the request and the server.
func failureDraw(id, server string) float64 {
	h := fnv.New64a()
	h.Write([]byte(server + "/" + id))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// acquireCore waits for a core; false if the queue is full, or ctx ends.
func (s *server) acquireCore(ctx context.Context) bool {
	s.mu.Lock()
	if s.busy < s.spec.Cores {
		s.busy++
		s.mu.Unlock()
		return true
	}
	if len(s.queue) >= s.spec.Queue {
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		if ctx.Err() != nil {
			s.releaseCore()
			return false
		}
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	for i, q := range s.queue {
		if q == turn {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return false
		}
	}
	s.mu.Unlock()
	s.releaseCore() // the core was given meanwhile
	return false
}

// releaseCore gives a core to the next request that waits.
func (s *server) releaseCore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.busy--
}
