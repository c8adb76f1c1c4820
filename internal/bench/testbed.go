package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"milletmast/internal/fakeserver"
)

// serverCores is the number of cores of a server.
const serverCores = 2

// testServer is a server of a testbed.
type testServer struct {
	server    *fakeserver.Server
	startedAt time.Time // zero for a warm server
	drainedAt time.Time // when its state in the list was changed to draining
	removed   bool
}

// testbed is a set of servers with the list that sidecars read, and the results of requests.
type testbed struct {
	listPath  string
	startedAt time.Time
	servers   []*testServer

	mu                                             sync.Mutex
	requests, served, rejected, failed, unanswered int
	inTime                                         int           // served within targetLatency
	maxLateness                                    time.Duration // of a response, relative to its client's timeout
	maxServerConns, maxClientConns                 int           // peak of a single sidecar
	maxHeap                                        uint64
}

// addServer starts a server, which is cold from a time on, or warm if that is zero.
func (s *testbed) addServer(name string, started time.Time) error {
	v, err := fakeserver.NewServer(name)
	if err != nil {
		return err
	}
	v.SetCores(serverCores)
	draw := fakeserver.Exponential(meanWork, uint64(len(s.servers)))
	v.SetWorkFunc(func() time.Duration { return time.Duration(float64(draw()) / warmth(started, time.Now())) })
	s.servers = append(s.servers, &testServer{server: v, startedAt: started})
	return nil
}

// warmth returns the share of its capacity that a server has at a time.
func warmth(started, now time.Time) float64 {
	if started.IsZero() || now.Sub(started) >= coldRamp {
		return 1
	}
	return coldFrom + (1-coldFrom)*max(now.Sub(started).Seconds(), 0)/coldRamp.Seconds()
}

// writeList writes the list of servers, which all sidecars read.
func (s *testbed) writeList() error {
	var b strings.Builder
	for _, m := range s.servers {
		if m.removed {
			continue
		}
		fmt.Fprintf(&b, "[[server]]\nid = %q\naddress = %q\n", m.server.Name, m.server.Addr())
		if !m.drainedAt.IsZero() {
			b.WriteString("state = \"draining\"\n")
		}
		if !m.startedAt.IsZero() {
			fmt.Fprintf(&b, "started = %q\n", m.startedAt.UTC().Format(time.RFC3339Nano))
		}
	}
	next := s.listPath + ".next"
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.listPath)
}

// operatorConfig returns the operator file of a sidecar.
func (s *testbed) operatorConfig(rank, replicas int) string {
	return fmt.Sprintf(`[limits]
drain = "500ms"
sockets = 256
cores = 8
[[listener]]
name = "in"
address = "127.0.0.1:0"
[[pool]]
name = "p"
copies = %d
rank = %d
ramp = %q
cold_from = %v
connect_timeout = "100ms"
[pool.source]
type = "file"
path = %q
every = %q
[[pool.class]]
name = "read"
aim = %q
give_up = %q
effect = "safe"
[[route]]
name = "all"
prefix = "/"
pool = "p"
class = "read"
`, replicas, rank, coldRamp, coldFrom, s.listPath, listInterval, targetLatency, clientTimeout)
}

// sendRequest sends one request on a connection of its own.
func (s *testbed) sendRequest(addr string) {
	c, err := net.Dial("tcp", addr)
	status := 0
	began := time.Now()
	if err == nil {
		defer c.Close()
		_ = c.SetDeadline(began.Add(clientTimeout + 2*time.Second)) // fails for a closed connection, for which the read fails too
		fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\nX-Deadline: %.3f\r\n\r\n", clientTimeout.Seconds())
		var res *http.Response
		if res, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			status = res.StatusCode
			res.Body.Close()
		}
	}
	late := time.Since(began) - clientTimeout
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	switch {
	case err != nil:
		s.unanswered++
		return
	case status == http.StatusOK:
		s.served++
		if late+clientTimeout <= targetLatency {
			s.inTime++
		}
	case status == http.StatusServiceUnavailable:
		s.rejected++
	default:
		s.failed++
	}
	s.maxLateness = max(s.maxLateness, late)
}
