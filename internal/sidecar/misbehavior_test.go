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
	"milletmast/internal/fakeserver"
	"milletmast/internal/rules"
)

// sendWithRetries sends a request in the way of a proxy: up to three times, and again only while it is certain that it was not
// executed. It records the request and its response in checker.
func sendWithRetries(ctx context.Context, pool *SingleServerPool, checker *rules.Answers, id string, body int, timeout time.Duration) (served bool) {
	checker.RecordRequest(id, true)
	request := &Exchange{
		Head: func(time.Duration) []byte {
			return []byte("POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: " + id + "\r\n")
		},
		Body: []byte(strings.Repeat("b", body)), ID: id, MaxReplyBytes: 1 << 20,
	}
	for range 3 {
		outcome, r := pool.RoundTrip(ctx, request, time.Now().Add(timeout))
		switch {
		case outcome == exchange.NotWritten:
			continue
		case outcome != exchange.Completed || r.AfterOtherResponse && (r.Header.Get("X-Not-Executed") != "" || r.Status == http.StatusMisdirectedRequest):
			checker.RecordResponse(id, rules.Response{Status: http.StatusBadGateway})
			return false
		case r.Status >= 400 && r.Header.Get("X-Not-Executed") != "" || r.Status == http.StatusMisdirectedRequest:
			continue
		case r.Status < 300 && (r.Header.Get("X-Not-Executed") != "" || r.Header.Get("X-Server-Seal") == ""):
			checker.RecordResponse(id, rules.Response{Status: http.StatusBadGateway})
			return false
		}
		got := rules.Response{Status: r.Status, Seal: r.Header.Get("X-Server-Seal"), Body: string(r.Body)}
		if got.Status == 408 || got.Status == 429 || got.Status == 503 { // without the statement of the server that it was not executed
			got = rules.Response{Status: http.StatusBadGateway}
		}
		checker.RecordResponse(id, got)
		return true
	}
	checker.RecordResponse(id, rules.Response{Status: http.StatusServiceUnavailable})
	return false
}

// Each case is a sequence of server misbehavior with which TestRandomMisbehavior found a broken rule. Every request must be served or
// not as given, and no rule of the checker may be broken.
func TestMisbehaviorRegressions(t *testing.T) {
	plain := fakeserver.Misbehavior{Status: http.StatusOK, CutInResponse: -1}
	with := func(change func(t *fakeserver.Misbehavior)) fakeserver.Misbehavior {
		changed := plain
		change(&changed)
		return changed
	}
	for name, c := range map[string]struct {
		misbehaviors []fakeserver.Misbehavior // by request
		bodies       []int
		served       []bool
	}{
		"a failure without an id, in place of the next response": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) {
				t.Extra, t.ExtraTime = fakeserver.FailureWithoutID, fakeserver.InsteadOfNext
			}), plain}, []int{0, 0}, []bool{true, true},
		},
		"a rejection without an id, in place of the next response": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) {
				t.Extra, t.ExtraTime = fakeserver.RejectionWithoutID, fakeserver.InsteadOfNext
			}), plain}, []int{0, 0}, []bool{true, true},
		},
		"a response that is truncated in its first line, in place of the next response": {
			[]fakeserver.Misbehavior{
				with(func(t *fakeserver.Misbehavior) {
					t.Extra, t.ExtraTime = fakeserver.TruncatedResponse, fakeserver.InsteadOfNext
				}), with(func(t *fakeserver.Misbehavior) { t.Status = 500 }),
			}, []int{0, 0}, []bool{true, false},
		},
		"a repeated rejection, in place of the next response": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) {
				t.Rejects, t.Extra, t.ExtraTime = true, fakeserver.RepeatResponse, fakeserver.InsteadOfNext
			}), plain}, []int{0}, []bool{true},
		},
		"a response with the id of another request, then a rejection": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) { t.IDMode, t.Extra = 1, fakeserver.RejectionForRequest }), plain}, []int{0}, []bool{false},
		},
		"a response before the request was complete, then the end of the connection": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) { t.EarlyResponse, t.CloseAfter, t.Status = true, true, 500 }), plain}, []int{1 << 24}, []bool{true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			checker := &rules.Answers{}
			server := &fakeserver.MisbehavingServer{Answers: checker, Choose: func(n int) fakeserver.Misbehavior { return c.misbehaviors[min(n, len(c.misbehaviors))-1] }}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server.Serve(ln)
			defer server.Close()
			pool := NewSingleServerPool(4, time.Minute)
			defer pool.Close()
			pool.SetServer(ln.Addr().String(), 1)
			for n, body := range c.bodies {
				if served := sendWithRetries(t.Context(), pool, checker, fmt.Sprint("call-", n), body, time.Second); served != c.served[n] {
					t.Errorf("request %d: served %v", n, served)
				}
			}
			if violations, _ := checker.Violations(); len(violations) > 0 {
				t.Error(violations)
			}
		})
	}
}
