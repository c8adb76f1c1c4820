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

// alternatingHandler accepts every other request.
type alternatingHandler struct{ requests int }

func (h *alternatingHandler) Open(*IncomingRequest) (int64, *Reply) {
	if h.requests++; h.requests%2 == 0 {
		return 0, &Reply{Status: http.StatusServiceUnavailable, BodyUnread: true}
	}
	return 1 << 20, nil
}

func (h *alternatingHandler) Serve(_ context.Context, e *IncomingRequest) Reply {
	return Reply{Status: http.StatusOK, Body: fmt.Append(nil, len(e.Body))}
}

// A request with ContinueTimeout must send its body only to a server that accepts it. After a rejection without the body, the connection
// must be reused.
func TestBodyIsSentOnlyIfAccepted(t *testing.T) {
	port, err := NewPort("127.0.0.1:0", PortLimits{MaxConns: 9, IdleTimeout: time.Minute, HeadTimeout: time.Minute}, &alternatingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	pool := NewSingleServerPool(9, time.Minute)
	defer pool.Close()
	pool.SetServer(port.Addr().String(), 1)
	request := &Exchange{
		Head: func(time.Duration) []byte { return []byte("POST / HTTP/1.1\r\nHost: a\r\n") },
		Body: []byte(strings.Repeat("x", 200_000)), PeerIsProxy: true, MaxReplyBytes: 1 << 20, ContinueTimeout: time.Minute,
	}
	for i := range 6 {
		port.frontend.clients.mu.Lock()
		for c := range port.frontend.clients.all { // the write deadline of the previous response has passed
			_ = c.SetWriteDeadline(time.Unix(1, 0))
		}
		port.frontend.clients.mu.Unlock()
		outcome, r := pool.RoundTrip(t.Context(), request, time.Now().Add(time.Minute))
		if want := []string{"200 200000", "503 "}[i%2]; outcome != exchange.Completed || fmt.Sprintf("%d %s", r.Status, r.Body) != want {
			t.Fatalf("request %d: outcome %d, %+v, want %s", i, outcome, r, want)
		}
	}
	if pool.upstream.openConns != 1 {
		t.Errorf("%d connections", pool.upstream.openConns)
	}
	port.Close()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool.SetServer(unresponsive.Addr().String(), 2)
	shortTimeout := *request
	shortTimeout.ContinueTimeout = 10 * time.Millisecond
	if outcome, _ := pool.RoundTrip(t.Context(), &shortTimeout, time.Now().Add(time.Minute)); outcome != exchange.NotWritten {
		t.Errorf("unresponsive server: outcome %d", outcome)
	}
	unresponsive.Close()
	if outcome, _ := pool.RoundTrip(t.Context(), request, time.Now().Add(time.Minute)); outcome != exchange.NotWritten {
		t.Errorf("no server listens: outcome %d", outcome)
	}
}
