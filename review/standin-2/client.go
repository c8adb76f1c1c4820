package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// try is one request of a client, and what came back.
type try struct {
	id       string
	sentAt   time.Time
	lastByte time.Time // when the last byte of the request was sent
	endedAt  time.Time
	status   int // 0: the connection ended without the head of an answer
	header   http.Header
	got      int64 // bytes of the body that arrived
	length   int64 // that the answer announced
	whole    bool
	err      error
}

func (t *try) String() string {
	return fmt.Sprintf("%s status=%d body=%d/%d whole=%v after %.3f s (error %v)", t.id, t.status, t.got, t.length, t.whole, t.endedAt.Sub(t.sentAt).Seconds(), t.err)
}

// request is what a client sends.
type request struct {
	method, host, path string
	deadline           time.Duration
	body               []byte
	chunk              int // size of the chunks of the body; 0: with a length
	rcvbuf             int // receive buffer; 0 for the default
	readRate           int // bytes a second at which the client reads the answer; 0 for no limit
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request from a client on a machine, on a new connection that the client would keep, and waits for the answer until the
// deadline.
func (m *machine) send(rq request) *try {
	t := &try{id: newID()}
	rec := m.w.record
	defer func() { t.endedAt = time.Now(); rec.add("client", "got %v", t) }()
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if rq.rcvbuf == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, rq.rcvbuf) })
	}}
	t.sentAt = time.Now()
	c, err := d.Dial("tcp", m.at(portOutbound))
	if err != nil {
		t.err = err
		return t
	}
	defer c.Close()
	_ = c.SetDeadline(t.sentAt.Add(rq.deadline))
	rec.add("client", "on %s sends %s %s %s%s, body of %d bytes (chunks of %d), deadline %v", m.name, t.id, rq.method, rq.host, rq.path, len(rq.body), rq.chunk, rq.deadline)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n", rq.method, rq.path, rq.host, t.id, rq.deadline.Milliseconds())
	switch {
	case rq.chunk > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case rq.method != "GET":
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(rq.body))
	}
	head.WriteString("\r\n")
	answered := make(chan struct{})
	go func() { // the answer may come before the body is sent
		defer close(answered)
		t.read(c, rq)
	}()
	w := newChunker(c, rq.chunk)
	if _, err = io.WriteString(c, head.String()); err == nil {
		err = w.write(rq.body)
	}
	if err == nil {
		t.lastByte = time.Now()
	}
	<-answered
	return t
}

// read reads the answer.
func (t *try) read(c net.Conn, rq request) {
	in := bufio.NewReaderSize(c, 4096)
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.err = err
		return
	}
	t.status, t.header, t.length = r.StatusCode, r.Header, r.ContentLength
	buffer := make([]byte, 32<<10)
	begun := time.Now()
	for {
		n, err := r.Body.Read(buffer)
		t.got += int64(n)
		if err == io.EOF {
			t.whole = true
			return
		}
		if err != nil {
			t.err = err
			return
		}
		if rq.readRate > 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(float64(t.got) / float64(rq.readRate) * float64(time.Second)))))
		}
	}
}

// chunker writes a body with a length or in chunks.
type chunker struct {
	c    net.Conn
	size int
}

func newChunker(c net.Conn, size int) *chunker { return &chunker{c, size} }

func (k *chunker) write(body []byte) error {
	if k.size == 0 {
		_, err := k.c.Write(body)
		return err
	}
	for len(body) > 0 {
		n := min(k.size, len(body))
		if _, err := fmt.Fprintf(k.c, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	_, err := io.WriteString(k.c, "0\r\n\r\n")
	return err
}
