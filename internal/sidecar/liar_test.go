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

// crossing is a request that is sent like a pilot's: again only while it is certain that it has not run, and up to three times.
func crossing(ctx context.Context, w *SingleServerPool, facts *rules.Answers, id string, body int, patience time.Duration) (served bool) {
	facts.RecordRequest(id, true)
	hop := &Exchange{
		Head: func(time.Duration) []byte {
			return []byte("POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: " + id + "\r\n")
		},
		Body: []byte(strings.Repeat("b", body)), ID: id, MaxReplyBytes: 1 << 20,
	}
	for range 3 {
		fate, r := w.RoundTrip(ctx, hop, time.Now().Add(patience))
		switch {
		case fate == exchange.NotWritten:
			continue
		case fate != exchange.Completed || r.AfterOtherResponse && (r.Header.Get("X-Not-Executed") != "" || r.Status == http.StatusMisdirectedRequest):
			facts.RecordResponse(id, rules.Response{Status: http.StatusBadGateway})
			return false
		case r.Status >= 400 && r.Header.Get("X-Not-Executed") != "" || r.Status == http.StatusMisdirectedRequest:
			continue
		case r.Status < 300 && (r.Header.Get("X-Not-Executed") != "" || r.Header.Get("X-Server-Seal") == ""):
			facts.RecordResponse(id, rules.Response{Status: http.StatusBadGateway})
			return false
		}
		got := rules.Response{Status: r.Status, Seal: r.Header.Get("X-Server-Seal"), Body: string(r.Body)}
		if got.Status == 408 || got.Status == 429 || got.Status == 503 { // the endpoint has not said that it has not run
			got = rules.Response{Status: http.StatusBadGateway}
		}
		facts.RecordResponse(id, got)
		return true
	}
	facts.RecordResponse(id, rules.Response{Status: http.StatusServiceUnavailable})
	return false
}

// What TestNoLieIsBelieved has found, each by itself: an endpoint does so much with its requests one after the other, and its callers
// are answered or not.
func TestFoundLies(t *testing.T) {
	plain := fakeserver.Misbehavior{Status: http.StatusOK, CutInResponse: -1}
	with := func(change func(t *fakeserver.Misbehavior)) fakeserver.Misbehavior {
		changed := plain
		change(&changed)
		return changed
	}
	for name, c := range map[string]struct {
		tricks []fakeserver.Misbehavior
		bodies []int
		served []bool
	}{
		"a failure without an id, in the place of the next answer": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) {
				t.Extra, t.ExtraTime = fakeserver.FailureWithoutID, fakeserver.InsteadOfNext
			}), plain}, []int{0, 0}, []bool{true, true},
		},
		"a refusal without an id, in the place of the next answer": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) {
				t.Extra, t.ExtraTime = fakeserver.RejectionWithoutID, fakeserver.InsteadOfNext
			}), plain}, []int{0, 0}, []bool{true, true},
		},
		"the beginning of an answer, cut in its first line, in the place of the next answer": {
			[]fakeserver.Misbehavior{
				with(func(t *fakeserver.Misbehavior) {
					t.Extra, t.ExtraTime = fakeserver.TruncatedResponse, fakeserver.InsteadOfNext
				}), with(func(t *fakeserver.Misbehavior) { t.Status = 500 }),
			}, []int{0, 0}, []bool{true, false},
		},
		"a refusal once more, in the place of the next answer": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) {
				t.Rejects, t.Extra, t.ExtraTime = true, fakeserver.RepeatResponse, fakeserver.InsteadOfNext
			}), plain}, []int{0}, []bool{true},
		},
		"answered under another's id, then refused": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) { t.IDMode, t.Extra = 1, fakeserver.RejectionForRequest }), plain}, []int{0}, []bool{false},
		},
		"an answer before the request was sent whole, and the end": {
			[]fakeserver.Misbehavior{with(func(t *fakeserver.Misbehavior) { t.EarlyResponse, t.CloseAfter, t.Status = true, true, 500 }), plain}, []int{1 << 24}, []bool{true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			facts := &rules.Answers{}
			liar := &fakeserver.MisbehavingServer{Answers: facts, Choose: func(n int) fakeserver.Misbehavior { return c.tricks[min(n, len(c.tricks))-1] }}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			liar.Serve(ln)
			defer liar.Close()
			w := NewSingleServerPool(4, time.Minute)
			defer w.Close()
			w.SetServer(ln.Addr().String(), 1)
			for n, body := range c.bodies {
				if served := crossing(t.Context(), w, facts, fmt.Sprint("call-", n), body, time.Second); served != c.served[n] {
					t.Errorf("request %d: served %v", n, served)
				}
			}
			if wrong, _ := facts.Violations(); len(wrong) > 0 {
				t.Error(wrong)
			}
		})
	}
}
