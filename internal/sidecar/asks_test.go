package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletmast/internal/exchange"
)

// picky is a desk that takes every other request.
type picky struct{ seen int }

func (p *picky) Open(*IncomingRequest) (int64, *Reply) {
	if p.seen++; p.seen%2 == 0 {
		return 0, &Reply{Status: http.StatusServiceUnavailable, BodyUnread: true}
	}
	return 1 << 20, nil
}

func (p *picky) Serve(_ context.Context, e *IncomingRequest) Reply {
	return Reply{Status: http.StatusOK, Body: fmt.Append(nil, len(e.Body))}
}

// A body that is asked for first goes only where it is taken, and what is turned away leaves the connection to the next.
func TestABodyThatIsAskedForFirst(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, &picky{})
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	w := NewSingleServerPool(9, time.Minute)
	defer w.Close()
	w.SetServer(port.Addr().String(), 1)
	hop := &Exchange{
		Head: func(time.Duration) []byte { return []byte("POST / HTTP/1.1\r\nHost: a\r\n") },
		Body: []byte(strings.Repeat("x", 200_000)), MaxReplyBytes: 1 << 20, AskTimeout: time.Minute,
	}
	for i := range 6 {
		port.frontend.clients.mu.Lock()
		for c := range port.frontend.clients.all { // the time that the answer before had is over
			_ = c.SetWriteDeadline(time.Unix(1, 0))
		}
		port.frontend.clients.mu.Unlock()
		fate, r := w.RoundTrip(t.Context(), hop, time.Now().Add(time.Minute))
		if want := []string{"200 200000", "503 "}[i%2]; fate != exchange.Completed || fmt.Sprintf("%d %s", r.Status, r.Body) != want {
			t.Fatalf("crossing %d: fate %d, %+v, want %s", i, fate, r, want)
		}
	}
	if w.upstream.openConns != 1 {
		t.Errorf("%d connections", w.upstream.openConns)
	}
	port.Close()
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.SetServer(mute.Addr().String(), 2)
	soon := *hop
	soon.AskTimeout = 10 * time.Millisecond
	if fate, _ := w.RoundTrip(t.Context(), &soon, time.Now().Add(time.Minute)); fate != exchange.NotWritten {
		t.Errorf("one that says nothing: fate %d", fate)
	}
	mute.Close()
	if fate, _ := w.RoundTrip(t.Context(), hop, time.Now().Add(time.Minute)); fate != exchange.NotWritten {
		t.Errorf("with nobody there: fate %d", fate)
	}
}
