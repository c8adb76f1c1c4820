package proxy

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milletmast/internal/fakeserver"
	"milletmast/internal/rules"
)

// For a longer run: `go test ./internal/mesh/proxy -run TestInvalidResponsesAreNotForwarded -exchanges 100000 -fault-seed 7`.
var (
	requestCount = flag.Int("exchanges", 1500, "number of requests that are sent through the mesh to misbehaving endpoints")
	faultSeed    = flag.Uint64("fault-seed", 1, "seed of the faults of the endpoints and of the clients")
)

// abruptClient is a client with a connection of its own, which it closes at random, and which may send only a part of a request.
type abruptClient struct {
	addr     string
	recorder *rules.Answers
	r        *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
}

// send sends one request and records its response; served reports whether the response is from an endpoint.
func (c *abruptClient) send(id string) (served bool) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	method, path := "POST", "/pay/"
	if c.r.IntN(3) == 0 {
		method, path = "GET", "/read/"
	}
	body := strings.Repeat("b", []int{0, 10, 10, 3000, 20_000, 100_000}[c.r.IntN(6)])
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 200\r\n", method, path, id)
	switch {
	case method == "GET":
		body = "\r\n"
	case c.r.IntN(2) == 0 && body != "":
		body = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		body = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	text := head + body
	c.recorder.RecordRequest(id, method != "GET")
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	switch c.r.IntN(25) {
	case 0: // sends a part of the request and closes the connection
		_, _ = c.conn.Write([]byte(text[:c.r.IntN(len(text))]))
		c.drop()
		c.recorder.RecordNotExecuted(id, "nothing, because only a part of the request was sent")
		return false
	case 1: // sends the request and closes the connection
		_, _ = c.conn.Write([]byte(text))
		c.drop()
		return false
	case 2: // sends the request and closes its sending side
		_, _ = c.conn.Write([]byte(text))
		_ = c.conn.(*net.TCPConn).CloseWrite()
		defer c.drop()
	default:
		_, _ = c.conn.Write([]byte(text))
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.drop()
		c.recorder.RecordResponse(id, rules.Response{})
		return false
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		c.drop()
		c.recorder.RecordResponse(id, rules.Response{})
		return false
	}
	c.recorder.RecordResponse(id, rules.Response{Status: r.StatusCode, Seal: r.Header.Get(sealHeader), Body: string(got)})
	if n := c.reader.Buffered(); n > 0 {
		c.recorder.RecordResponse(id, rules.Response{Status: http.StatusOK, Body: strconv.Itoa(n) + " bytes after the response"})
	}
	if r.Close || c.r.IntN(30) == 0 {
		c.drop()
	}
	return r.Header.Get(sealHeader) != ""
}

func (c *abruptClient) drop() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// Through both proxies, with any faults of endpoints and any end of connections: no client gets the response to another request, no
// non-repeatable request runs twice, and a request that was rejected as not executed has not run and never runs.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	recorder := &rules.Answers{}
	m := newMesh(t)
	m.misbehaving = func(name string) *fakeserver.MisbehavingServer {
		return &fakeserver.MisbehavingServer{Answers: recorder, Choose: func(n int) fakeserver.Misbehavior {
			if n%4 != 0 { // with more faults, the endpoints would be avoided
				return fakeserver.Misbehavior{Status: http.StatusOK, CutInResponse: -1}
			}
			return fakeserver.RandomMisbehavior(rand.New(rand.NewPCG(*faultSeed, uint64(name[0])<<32+uint64(n))))
		}}
	}
	from := m.start("from", "127.0.8.1", "two")
	all := []*endpoint{m.start("a", "127.0.8.2", "one"), m.start("b", "127.0.8.3", "one"), m.start("c", "127.0.8.4", "one")}
	m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", testConfig)
	for _, e := range append(all, from) {
		e.sendHeartbeat("serving")
	}
	m.callUntilOK("GET", "http://"+from.s.Readiness+"/api/readiness", "")
	requestsReceived := func() (n int) {
		for _, e := range all {
			n += e.misbehaving.RequestCount()
		}
		return n
	}
	var clients sync.WaitGroup
	var served, sent atomic.Int64
	for clientIndex := range 12 {
		clients.Go(func() {
			c := &abruptClient{addr: from.s.Outbound, recorder: recorder, r: rand.New(rand.NewPCG(*faultSeed, uint64(1_000_000+clientIndex)))}
			defer c.drop()
			for n := 0; int(sent.Add(1)) <= *requestCount; n++ {
				if c.send(fmt.Sprintf("%d-%d", clientIndex, n)) {
					served.Add(1)
				}
			}
		})
	}
	clients.Wait()
	violations, count := recorder.Violations()
	for _, text := range violations[:min(len(violations), 20)] {
		t.Error(text)
	}
	t.Logf("%d requests sent, %d answered by endpoints, %d received by endpoints", *requestCount, served.Load(), requestsReceived())
	if count > 0 {
		t.Errorf("seed %d: %d violations", *faultSeed, count)
	}
	if int(served.Load()) < *requestCount/10 {
		t.Errorf("seed %d: endpoints answered fewer than a tenth of the requests", *faultSeed)
	}
}
