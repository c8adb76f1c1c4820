package sidecar

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/fakeserver"
)

// unbufferedBody is the length of a body that no connection buffers as a whole, in bytes.
const unbufferedBody = 32 << 20

// startEarlyServer starts a server that begins to execute each request when it has its head, and then ends the connection.
func startEarlyServer(t *testing.T, mode fakeserver.CloseMode) (addr string) {
	t.Helper()
	ln := listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				switch mode {
				case fakeserver.CloseByReset:
					_ = conn.(*net.TCPConn).SetLinger(0)
				case fakeserver.StopReading:
					var one [1]byte
					for err == nil { // reads too slowly for the body to arrive before the deadline
						_, err = conn.Read(one[:])
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against review/4 (TWICE): a reset in the middle of a long body was taken as proof that the request had not been executed, but
// a server may begin before it has the body. Only a proxy of the mesh reads the whole request first.
func TestPartlyWrittenBodyMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		mode        fakeserver.CloseMode
		peerIsProxy bool
		want        exchange.Outcome
	}{
		"reset":           {fakeserver.CloseByReset, false, exchange.ConnectionFailed},
		"closed":          {fakeserver.CloseGracefully, false, exchange.ConnectionFailed},
		"deadline":        {fakeserver.StopReading, false, exchange.TimedOut},
		"proxy, reset":    {fakeserver.CloseByReset, true, exchange.NotWritten},
		"proxy, deadline": {fakeserver.StopReading, true, exchange.NotWritten},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewSingleServerPool(1, time.Minute)
			defer pool.Close()
			pool.SetServer(startEarlyServer(t, c.mode), 1)
			request := &Exchange{
				Head: func(time.Duration) []byte { return []byte("POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n") },
				Body: make([]byte, unbufferedBody), ID: "r1", PeerIsProxy: c.peerIsProxy, MaxReplyBytes: 1 << 20,
			}
			timeout := time.Minute
			if c.mode == fakeserver.StopReading {
				timeout = 50 * time.Millisecond
			}
			if outcome, _ := pool.RoundTrip(t.Context(), request, time.Now().Add(timeout)); outcome != c.want {
				t.Errorf("outcome %v, want %v", outcome, c.want)
			}
		})
	}
}

// The same for an upload that is streamed from its client: it may have been executed, so its client must not get a rejection.
func TestPartlyStreamedUploadMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		mode fakeserver.CloseMode
		want balancer.Outcome
	}{"reset": {fakeserver.CloseByReset, balancer.Reset}, "deadline": {fakeserver.StopReading, balancer.Timeout}} {
		t.Run(name, func(t *testing.T) {
			client, peer := net.Pipe()
			defer client.Close()
			defer peer.Close()
			limits := &streamLimits{maxBytes: unbufferedBody, idleTimeout: time.Minute, totalTime: time.Minute}
			request := get()
			request.start = "POST /bulk HTTP/1.1\r\nHost: a\r\n"
			request.upload = &uploadStream{
				client: &clientConn{Conn: client}, limits: limits, source: bytes.NewReader(make([]byte, unbufferedBody)), length: unbufferedBody,
				deadline: time.Now().Add(time.Minute), done: make(chan struct{}),
			}
			u := newTestUpstream(startEarlyServer(t, c.mode), 1)
			defer u.close()
			timeout := time.Minute
			if c.mode == fakeserver.StopReading {
				timeout = 50 * time.Millisecond
			}
			outcome, _ := request.send(u, newAttempt(time.Time{}), u.endpointOf(1), time.Now().Add(timeout))
			if outcome != c.want {
				t.Errorf("outcome %v, want %v", outcome, c.want)
			}
		})
	}
}
