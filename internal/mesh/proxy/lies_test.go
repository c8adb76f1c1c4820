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

// A measurement is `go test ./internal/mesh/proxy -run TestNoLieIsPassedOn -exchanges 100000 -lies 7`.
var (
	exchanges = flag.Int("exchanges", 1500, "requests that are sent through the mesh to endpoints that lie and die")
	lies      = flag.Uint64("lies", 1, "seed of what they do, and the clients")
)

// rude is a client on a connection of its own, which it keeps or drops, and which sends all of a request or a part.
type rude struct {
	at    string
	facts *rules.Answers
	r     *rand.Rand
	conn  net.Conn
	from  *bufio.Reader
}

// ask sends one request and tells what became of it; served is whether it got an endpoint's answer.
func (c *rude) ask(id string) (served bool) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.at)
		if err != nil {
			return false
		}
		c.conn, c.from = conn, bufio.NewReader(conn)
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
	c.facts.RecordRequest(id, method != "GET")
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	switch c.r.IntN(25) {
	case 0: // a part of it, and the end
		_, _ = c.conn.Write([]byte(text[:c.r.IntN(len(text))]))
		c.drop()
		c.facts.RecordNotExecuted(id, "nothing, as it sent a part only")
		return false
	case 1: // all of it, and away
		_, _ = c.conn.Write([]byte(text))
		c.drop()
		return false
	case 2: // all of it, and no more
		_, _ = c.conn.Write([]byte(text))
		_ = c.conn.(*net.TCPConn).CloseWrite()
		defer c.drop()
	default:
		_, _ = c.conn.Write([]byte(text))
	}
	r, err := http.ReadResponse(c.from, &http.Request{Method: method})
	if err != nil {
		c.drop()
		c.facts.RecordResponse(id, rules.Response{})
		return false
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		c.drop()
		c.facts.RecordResponse(id, rules.Response{})
		return false
	}
	c.facts.RecordResponse(id, rules.Response{Status: r.StatusCode, Seal: r.Header.Get(sealHeader), Body: string(got)})
	if n := c.from.Buffered(); n > 0 {
		c.facts.RecordResponse(id, rules.Response{Status: http.StatusOK, Body: strconv.Itoa(n) + " bytes behind the answer"})
	}
	if r.Close || c.r.IntN(30) == 0 {
		c.drop()
	}
	return r.Header.Get(sealHeader) != ""
}

func (c *rude) drop() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// Through both proxies, whatever endpoints say and however their connections and those of clients end: no client gets another's answer,
// nothing runs twice that must not, and what is refused has not run and never does.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	facts := &rules.Answers{}
	m := newMesh(t)
	m.liar = func(name string) *fakeserver.MisbehavingServer {
		return &fakeserver.MisbehavingServer{Answers: facts, Choose: func(n int) fakeserver.Misbehavior {
			if n%4 != 0 { // or they would be kept away from
				return fakeserver.Misbehavior{Status: http.StatusOK, CutInResponse: -1}
			}
			return fakeserver.RandomMisbehavior(rand.New(rand.NewPCG(*lies, uint64(name[0])<<32+uint64(n))))
		}}
	}
	from := m.start("from", "127.0.8.1", "two")
	all := []*endpoint{m.start("a", "127.0.8.2", "one"), m.start("b", "127.0.8.3", "one"), m.start("c", "127.0.8.4", "one")}
	m.until("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", testConfig)
	for _, e := range append(all, from) {
		e.beat("serving")
	}
	m.until("GET", "http://"+from.s.Readiness+"/api/readiness", "")
	seen := func() (n int) {
		for _, e := range all {
			n += e.liar.RequestCount()
		}
		return n
	}
	var clients sync.WaitGroup
	var served, asked atomic.Int64
	for who := range 12 {
		clients.Go(func() {
			c := &rude{at: from.s.Outbound, facts: facts, r: rand.New(rand.NewPCG(*lies, uint64(1_000_000+who)))}
			defer c.drop()
			for n := 0; int(asked.Add(1)) <= *exchanges; n++ {
				if c.ask(fmt.Sprintf("%d-%d", who, n)) {
					served.Add(1)
				}
			}
		})
	}
	clients.Wait()
	wrong, count := facts.Violations()
	for _, text := range wrong[:min(len(wrong), 20)] {
		t.Error(text)
	}
	t.Logf("%d requests, %d answered by endpoints, %d reached one", *exchanges, served.Load(), seen())
	if count > 0 {
		t.Errorf("seed %d: %d wrong", *lies, count)
	}
	if int(served.Load()) < *exchanges/10 {
		t.Errorf("seed %d: hardly anything is answered", *lies)
	}
}
