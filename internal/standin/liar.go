package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"whinknot/internal/rules"
)

// Cut is how a connection ends in the middle.
type Cut uint8

// The cuts.
const (
	Ends   Cut = iota // both ways, in order
	Resets            // at once
	Halves            // the endpoint says no more and reads on
	Mutes             // nothing more is said, and nothing read
)

// Extra is what an endpoint says that nobody asked for.
type Extra uint8

// The extras. Their times are those of Trick.
const (
	Nothing   Extra = iota
	Again           // its last answer once more
	Refusal         // a refusal by the last request's id
	Nameless        // a failure without an id
	NoRefusal       // a refusal without an id
	Older           // a sealed success of a request that was never there
	Continue        // an interim answer
	Junk            // bytes that are no answer
	Torn            // the beginning of its last answer, cut in the first line or a header
)

// When an extra is said.
type When uint8

// The times.
const (
	Behind When = iota // in one write with the answer
	Later              // a little later, while the connection is idle or the next request is on its way
	Before             // in the place of the next answer, once the next request has begun to come
)

// Trick is what a Liar does with one request.
type Trick struct {
	Refuses  bool // it says that it does not run the request, and does not
	Status   int  // of what it runs
	Early    bool // it answers before it has read the body
	Interims int  // before its answer
	Spare    bool // an interim answer between the head and the body of the request
	ID       int  // of its answer: 0 the request's, 1 another, 2 none, 3 both
	Chunks   bool
	Spoilt   bool // a chunk's length, or the first line, cannot be read
	Longer   int  // it announces more than it sends, by so many bytes, and waits
	Unsealed bool
	Both     bool  // its success says that it has not run
	Closes   bool  // its answer says that the connection ends, and it does
	Unread   int   // it reads so many bytes of the request and cuts; 0 for all
	At       int   // it cuts after so many bytes of its answer; -1 for not
	Cut      Cut   // of the two above
	Extra    Extra // said after its answer
	When     When
}

// Tricks draws tricks: one in two is a plain answer, so that connections live and requests are served.
func Tricks(r *rand.Rand) Trick {
	t := Trick{Status: http.StatusOK, At: -1}
	one := func(n int) bool { return r.IntN(n) == 0 }
	if one(5) {
		t.Status = []int{201, 204, 400, 404, 408, 421, 429, 500, 503, 504}[r.IntN(10)]
	}
	t.Refuses, t.Chunks = one(8), one(3)
	if one(2) {
		return t
	}
	t.Early, t.Closes, t.Unsealed, t.Both, t.Spoilt, t.Spare = one(8), one(12), one(20), one(25), one(25), one(8)
	t.Cut = Cut(r.IntN(4))
	if one(4) {
		t.Interims = 1 + r.IntN(3)
	}
	if one(8) {
		t.ID = r.IntN(4)
	}
	switch r.IntN(8) {
	case 0:
		t.At = r.IntN(260)
	case 1:
		t.Unread = 1 + r.IntN(400)
	case 2:
		t.Longer = 1 + r.IntN(50)
	}
	if one(2) && t.Longer == 0 { // else what comes behind would be read as its body's end
		t.Extra, t.When = Extra(r.IntN(int(Torn)+1)), When(r.IntN(3))
	}
	return t
}

// Liar is an endpoint that lies and dies as it is told, on a real socket. What it runs it says to Answers.
type Liar struct {
	Trick   func(n int) Trick // of the n-th request; nil, or of one of another path than /: it serves
	Target  string            // X-Target-Instance that it serves; "" for any
	Answers *rules.Answers

	ln    net.Listener
	done  sync.WaitGroup
	mu    sync.Mutex
	conns map[net.Conn]bool
	seen  int
	runs  int
	shut  bool
}

// Serve takes connections of a listener until Close.
func (l *Liar) Serve(ln net.Listener) {
	l.ln, l.conns = ln, map[net.Conn]bool{}
	l.done.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			if l.conns[c] = true; l.shut {
				c.Close()
			}
			l.mu.Unlock()
			l.done.Go(func() {
				l.talk(c)
				c.Close()
				l.mu.Lock()
				delete(l.conns, c)
				l.mu.Unlock()
			})
		}
	})
}

// Close ends all connections.
func (l *Liar) Close() {
	l.ln.Close()
	l.mu.Lock()
	l.shut = true
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.done.Wait()
}

// Seen is the number of requests whose head has come.
func (l *Liar) Seen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

func (l *Liar) talk(c net.Conn) {
	r := bufio.NewReader(c)
	var before []byte // what is said in the place of the next answer
	said := false     // something that nobody asked for, which may still be on its way
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.Write(before)
		before = nil
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var goes bool
		if before, goes = l.one(c, q, &said); !goes {
			return
		}
	}
}

// one answers one request. It gives what is said in the place of the next answer, and whether the connection goes on.
func (l *Liar) one(c net.Conn, q *http.Request, said *bool) (before []byte, goes bool) {
	id := q.Header.Get("X-Attempt-Id")
	l.mu.Lock()
	l.seen++
	n := l.seen
	l.runs++
	run := l.runs
	l.mu.Unlock()
	t := Trick{Status: http.StatusOK, At: -1}
	if l.Trick != nil && q.URL.Path != "/health" {
		t = l.Trick(n)
	}
	if *said { // with what this one leaves out or spoils it could make an answer in the protocol, and nobody could tell
		t.Longer, t.At, t.Spoilt = 0, -1, false
	}
	*said = *said || t.Extra != Nothing
	if t.Spare {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if t.Unread > 0 {
		if got, _ := io.CopyN(io.Discard, q.Body, int64(t.Unread)); got == int64(t.Unread) {
			l.cut(c, t.Cut)
			return nil, false
		}
	}
	if !t.Early {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return nil, false // it never came whole, and does not run
		}
	}
	if q.URL.Path == "/health" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Responding-Instance: %s\r\nContent-Length: 0\r\n\r\n", l.Target)
		return nil, true
	}
	if t.Unread > 0 { // it has read all, and dies at work
		l.Answers.Ran(id, rules.Given{})
		l.cut(c, t.Cut)
		return nil, false
	}
	if want := q.Header.Get("X-Target-Instance"); l.Target != "" && want != l.Target {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return nil, !t.Early
	}
	text := l.answer(id, run, &t)
	for range t.Interims {
		if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: "+id+"\r\n\r\n"); err != nil {
			return nil, false
		}
	}
	if t.At >= 0 {
		c.Write(text[:min(t.At, len(text))])
		l.cut(c, t.Cut)
		return nil, false
	}
	extra := l.extra(id, n, text, t.Extra)
	if t.When == Behind {
		text = append(bytes.Clone(text), extra...)
	}
	if _, err := c.Write(text); err != nil || t.Closes {
		return nil, false
	}
	if t.Spoilt || t.Longer > 0 {
		l.cut(c, t.Cut)
		return nil, false
	}
	if t.Early {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return nil, false
		}
	}
	switch t.When {
	case Later:
		time.AfterFunc(time.Duration(run%8)*200*time.Microsecond, func() { c.Write(extra) })
	case Before:
		return extra, true
	}
	return nil, true
}

// answer makes the answer to a request, and says that it has run if it has.
func (l *Liar) answer(id string, run int, t *Trick) []byte {
	var b bytes.Buffer
	status, seal := t.Status, fmt.Sprint("seal-", run)
	body := fmt.Sprintf("%s was run %d", id, run) + strings.Repeat(".", run%40)
	if t.Refuses {
		status, seal = []int{429, 503, 421, 400}[run%4], ""
	} else if status == http.StatusMisdirectedRequest {
		status = http.StatusConflict // one that says 421 has not run it
	}
	if t.Unsealed {
		seal = ""
	}
	if status == http.StatusNoContent {
		body = ""
	}
	if !t.Refuses {
		l.Answers.Ran(id, rules.Given{Status: status, Seal: seal, Body: body})
	}
	first := fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status))
	if t.Spoilt && !t.Chunks {
		first = "HTP/11 what"
	}
	b.WriteString(first + "\r\n")
	named := [...]string{
		"X-Attempt-Id: " + id + "\r\n", "X-Attempt-Id: older-" + id + "\r\n", "", "X-Attempt-Id: " + id + "\r\nX-Attempt-Id: older-" + id + "\r\n",
	}[t.ID]
	if run%2 == 0 {
		b.WriteString(named)
	}
	if seal != "" {
		b.WriteString("X-Server-Seal: " + seal + "\r\n")
	}
	if run%2 != 0 {
		b.WriteString(named)
	}
	if t.Refuses || t.Both && status/100 == 2 {
		b.WriteString("X-Not-Executed: 1\r\n")
	}
	if t.Closes {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case status == http.StatusNoContent:
		b.WriteString("\r\n")
	case t.Chunks:
		length := fmt.Sprintf("%x", len(body)+t.Longer)
		if t.Spoilt {
			length = "zz"
		}
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n" + length + "\r\n" + body)
		if t.Longer == 0 {
			b.WriteString("\r\n0\r\n\r\n")
		}
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body)+t.Longer, body)
	}
	return b.Bytes()
}

func (l *Liar) extra(id string, n int, last []byte, e Extra) []byte {
	switch e {
	case Again:
		return last
	case Refusal:
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case Nameless:
		return []byte("HTTP/1.1 500 Internal Server Error\r\nX-Server-Seal: nobody\r\nContent-Length: 0\r\n\r\n")
	case NoRefusal:
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case Older:
		return []byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Server-Seal: nobody\r\nContent-Length: 3\r\n\r\nold")
	case Continue:
		return []byte("HTTP/1.1 100 Continue\r\n\r\n")
	case Junk:
		return []byte("what?\r\n\r\n")
	case Torn:
		return last[:min(len(last)/2, 12+n%50)]
	}
	return nil
}

// cut ends a connection in the middle.
func (l *Liar) cut(c net.Conn, how Cut) {
	tcp := c.(*net.TCPConn)
	switch how {
	case Resets:
		tcp.SetLinger(0)
	case Halves:
		tcp.CloseWrite()
		io.Copy(io.Discard, c)
	case Mutes:
		io.Copy(io.Discard, c) // until the other end closes
	}
}
