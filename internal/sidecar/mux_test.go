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

// TestMuxBurst opens many streams at once: they share connections within what the server allows, and no more are dialled
// than needed. Idle ones close in their time.
func TestMuxBurst(t *testing.T) {
	for _, c := range []struct{ allowed, streams, most int }{{100, 50, 1}, {3, 50, 40}, {100, 2, 30}, {0, 50, 60}} {
		s := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(c.allowed)})
		u := newUpstream(balancer.Limits{ConnIdleTimeout: 100}, 500, 64)
		u.muxes = muxConfig{maxStreams: c.streams}
		u.setEndpoint(1, s.ln.Addr().String(), 0, balancer.Ready)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		var mu sync.Mutex
		var open []*h2.Stream
		var homes []*conn
		var all sync.WaitGroup
		for range 30 {
			all.Go(func() {
				st, home, err := u.openStream(ctx, u.endpointOf(1), time.Now().Add(patience), &streamRequest{header: []h2.Field{
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
				open, homes = append(open, st), append(homes, home)
			})
		}
		all.Wait()
		u.mu.Lock()
		conns, counted := len(u.endpoints[1].muxes), u.openConns
		u.mu.Unlock()
		per := min(c.allowed, c.streams)
		if conns > c.most || conns != counted || conns*per < len(open) {
			t.Errorf("%+v: %d connections, %d counted, for %d streams", c, conns, counted, len(open))
		}
		for n, st := range open {
			st.Reset(http2.ErrCodeCancel)
			u.streamEnded(homes[n])
		}
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			u.mu.Lock()
			left := u.openConns
			u.mu.Unlock()
			if left == 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d connections stay", left)
			}
		}
		u.close()
		cancel()
	}
}

// TestMuxGivesWay has one server's idle connection make room for another's, and a server that goes close its own.
func TestMuxGivesWay(t *testing.T) {
	a := newScript(t, true, func(p *fakeserver.FrameConn, id uint32, n int) {})
	b := newScript(t, true, a.play)
	u := newUpstream(balancer.Limits{}, 500, 1)
	u.muxes = muxConfig{maxStreams: 10}
	u.setEndpoint(1, a.ln.Addr().String(), 0, balancer.Ready)
	u.setEndpoint(2, b.ln.Addr().String(), 0, balancer.Ready)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begin := func(server uint32) (*h2.Stream, *conn, error) {
		return u.openStream(ctx, u.endpointOf(server), time.Now().Add(patience), &streamRequest{header: []h2.Field{
			{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a.B/C"},
		}, end: true, claim: func() bool { return true }})
	}
	one, home, err := begin(1)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := begin(2); !errors.Is(err, errNoDescriptor) {
		t.Errorf("%v with the only connection in use", err)
	}
	one.Reset(http2.ErrCodeCancel)
	u.streamEnded(home)
	two, home, err := begin(2)
	if err != nil {
		t.Fatal(err)
	}
	u.setEndpoint(2, "", 0, balancer.Removed)
	if home.mux.AvailableStreams() != 0 || two.Err() != nil {
		t.Error("a server that has gone: its stream must go on, and no other begin", two.Err())
	}
	two.Reset(http2.ErrCodeCancel)
	u.streamEnded(home)
	u.close()
	if u.openConns != 0 {
		t.Errorf("%d connections are counted", u.openConns)
	}
}

// TestCalledOffAnswerIsNotBegun has an answer begin just when its attempt was called off: what its caller would get breaks
// off, so it must not be the final answer.
func TestCalledOffAnswerIsNotBegun(t *testing.T) {
	c := &call{attempts: []*attempt{newAttempt(time.Time{})}, respond: func(response) { t.Error("it was given to the caller") }}
	c.attempts[0].abort()
	(&eventLoop{}).responseStarted(c, 0, 1, &response{status: 200}, 0)
	if c.ended {
		t.Error("the call has ended")
	}
}
