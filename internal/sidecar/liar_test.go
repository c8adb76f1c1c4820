package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"whinknot/internal/exchange"
	"whinknot/internal/rules"
	"whinknot/internal/standin"
)

// crossing is a request that is sent like a pilot's: again only while it is certain that it has not run, and up to three times.
func crossing(ctx context.Context, w *Wharf, facts *rules.Answers, id string, body int, patience time.Duration) (served bool) {
	facts.Asked(id, true)
	hop := &Hop{
		Head: func(time.Duration) []byte {
			return []byte("POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: " + id + "\r\n")
		},
		Body: []byte(strings.Repeat("b", body)), ID: id, Most: 1 << 20,
	}
	for range 3 {
		fate, r := w.Cross(ctx, hop, time.Now().Add(patience))
		switch {
		case fate == exchange.NeverWritten:
			continue
		case fate != exchange.Whole || r.Doubtful && (r.Header.Get("X-Not-Executed") != "" || r.Status == http.StatusMisdirectedRequest):
			facts.Told(id, rules.Given{Status: http.StatusBadGateway})
			return false
		case r.Status >= 400 && r.Header.Get("X-Not-Executed") != "" || r.Status == http.StatusMisdirectedRequest:
			continue
		case r.Status < 300 && (r.Header.Get("X-Not-Executed") != "" || r.Header.Get("X-Server-Seal") == ""):
			facts.Told(id, rules.Given{Status: http.StatusBadGateway})
			return false
		}
		got := rules.Given{Status: r.Status, Seal: r.Header.Get("X-Server-Seal"), Body: string(r.Body)}
		if got.Status == 408 || got.Status == 429 || got.Status == 503 { // the endpoint has not said that it has not run
			got = rules.Given{Status: http.StatusBadGateway}
		}
		facts.Told(id, got)
		return true
	}
	facts.Told(id, rules.Given{Status: http.StatusServiceUnavailable})
	return false
}

// What TestNoLieIsBelieved has found, each by itself: an endpoint does so much with its requests one after the other, and its callers
// are answered or not.
func TestFoundLies(t *testing.T) {
	plain := standin.Trick{Status: http.StatusOK, At: -1}
	with := func(change func(t *standin.Trick)) standin.Trick {
		changed := plain
		change(&changed)
		return changed
	}
	for name, c := range map[string]struct {
		tricks []standin.Trick
		bodies []int
		served []bool
	}{
		"a failure without an id, in the place of the next answer": {
			[]standin.Trick{with(func(t *standin.Trick) { t.Extra, t.When = standin.Nameless, standin.Before }), plain}, []int{0, 0}, []bool{true, true},
		},
		"a refusal without an id, in the place of the next answer": {
			[]standin.Trick{with(func(t *standin.Trick) { t.Extra, t.When = standin.NoRefusal, standin.Before }), plain}, []int{0, 0}, []bool{true, true},
		},
		"the beginning of an answer, cut in its first line, in the place of the next answer": {
			[]standin.Trick{
				with(func(t *standin.Trick) { t.Extra, t.When = standin.Torn, standin.Before }), with(func(t *standin.Trick) { t.Status = 500 }),
			}, []int{0, 0}, []bool{true, false},
		},
		"a refusal once more, in the place of the next answer": {
			[]standin.Trick{with(func(t *standin.Trick) { t.Refuses, t.Extra, t.When = true, standin.Again, standin.Before }), plain}, []int{0}, []bool{true},
		},
		"answered under another's id, then refused": {
			[]standin.Trick{with(func(t *standin.Trick) { t.ID, t.Extra = 1, standin.Refusal }), plain}, []int{0}, []bool{false},
		},
		"an answer before the request was sent whole, and the end": {
			[]standin.Trick{with(func(t *standin.Trick) { t.Early, t.Closes, t.Status = true, true, 500 }), plain}, []int{1 << 24}, []bool{true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			facts := &rules.Answers{}
			liar := &standin.Liar{Answers: facts, Trick: func(n int) standin.Trick { return c.tricks[min(n, len(c.tricks))-1] }}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			liar.Serve(ln)
			defer liar.Close()
			w := NewWharf(4, time.Minute)
			defer w.Close()
			w.Moor(ln.Addr().String(), 1)
			for n, body := range c.bodies {
				if served := crossing(t.Context(), w, facts, fmt.Sprint("call-", n), body, time.Second); served != c.served[n] {
					t.Errorf("request %d: served %v", n, served)
				}
			}
			if wrong, _ := facts.Wrong(); len(wrong) > 0 {
				t.Error(wrong)
			}
		})
	}
}
