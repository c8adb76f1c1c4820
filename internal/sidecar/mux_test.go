package sidecar

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"milletmast/balancer"
	"milletmast/internal/fakeserver"
	"milletmast/internal/h2"
)

// TestMuxBurst opens many streams at once. They share connections within the limits of the server and of the pool, no more
// connections are dialed than needed, and idle connections are closed after the idle limit.
func TestMuxBurst(t *testing.T) {
	for _, c := range []struct{ allowed, streams, most int }{{100, 50, 1}, {3, 50, 40}, {100, 2, 30}, {0, 50, 60}} {
		s := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(c.allowed)})
		u := newUpstream(balancer.Limits{ConnIdleTimeout: 100}, 500, 64)
		u.muxes = muxConfig{maxStreams: c.streams}
		u.setEndpoint(1, s.ln.Addr().String(), 0, balancer.Ready)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		var mu sync.Mutex
		var open []*h2.Stream
		var conns []*conn
		var all sync.WaitGroup
		for range 30 {
			all.Go(func() {
				st, streamConn, err := u.openStream(ctx, u.endpointOf(1), time.Now().Add(callTimeout), &streamRequest{header: []h2.Field{
					{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a.B/C"},
				}, end: true, claim: func() bool { return true }})
				if c.allowed == 0 {
					if !errors.Is(err, errNoStream) {
						t.Error(err)
					}
					return
				}
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				open, conns = append(open, st), append(conns, streamConn)
			})
		}
		all.Wait()
		u.mu.Lock()
		muxes, counted := len(u.endpoints[1].muxes), u.openConns
		u.mu.Unlock()
		perConn := min(c.allowed, c.streams)
		if muxes > c.most || muxes != counted || muxes*perConn < len(open) {
			t.Errorf("%+v: %d connections, %d counted, for %d streams", c, muxes, counted, len(open))
		}
		for n, st := range open {
			st.Reset(http2.ErrCodeCancel)
			u.streamEnded(conns[n])
		}
		for end := time.Now().Add(callTimeout); ; time.Sleep(time.Millisecond) {
			u.mu.Lock()
			left := u.openConns
			u.mu.Unlock()
			if left == 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d idle connections are still open", left)
			}
		}
		u.close()
		cancel()
	}
}

// TestIdleMuxMakesRoom checks that at the connection limit an idle connection to one server is closed for a connection to another,
// and that a connection to a removed server opens no new streams but completes those that are open.
func TestIdleMuxMakesRoom(t *testing.T) {
	a := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {})
	b := newScript(t, true, a.onCall)
	u := newUpstream(balancer.Limits{}, 500, 1)
	u.muxes = muxConfig{maxStreams: 10}
	u.setEndpoint(1, a.ln.Addr().String(), 0, balancer.Ready)
	u.setEndpoint(2, b.ln.Addr().String(), 0, balancer.Ready)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	open := func(server uint32) (*h2.Stream, *conn, error) {
		return u.openStream(ctx, u.endpointOf(server), time.Now().Add(callTimeout), &streamRequest{header: []h2.Field{
			{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a.B/C"},
		}, end: true, claim: func() bool { return true }})
	}
	one, c, err := open(1)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(2); !errors.Is(err, errNoDescriptor) {
		t.Errorf("error %v with the only connection in use, want %v", err, errNoDescriptor)
	}
	one.Reset(http2.ErrCodeCancel)
	u.streamEnded(c)
	two, c, err := open(2)
	if err != nil {
		t.Fatal(err)
	}
	u.setEndpoint(2, "", 0, balancer.Removed)
	if c.mux.AvailableStreams() != 0 || two.Err() != nil {
		t.Error("after the removal of the server its open stream must go on, and no other may be opened:", two.Err())
	}
	two.Reset(http2.ErrCodeCancel)
	u.streamEnded(c)
	u.close()
	if u.openConns != 0 {
		t.Errorf("%d connections are counted after close", u.openConns)
	}
}

// TestCanceledAttemptDoesNotRespond covers a streamed response that starts just after its attempt was canceled. The client would get
// a truncated body, so it must not become the final response.
func TestCanceledAttemptDoesNotRespond(t *testing.T) {
	c := &call{attempts: []*attempt{newAttempt(time.Time{})}, respond: func(response) { t.Error("the client got the response") }}
	c.attempts[0].abort()
	(&eventLoop{}).responseStarted(c, 0, 1, &response{status: 200}, 0)
	if c.ended {
		t.Error("the call has ended")
	}
}
