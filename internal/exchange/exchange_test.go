package exchange

import (
	"math/rand/v2"
	"testing"
)

// What is certain after each course of an exchange: the table of docs/design/answers.md.
func TestExchangeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		met  []Event
		fate Outcome
		over bool
		on   bool // the connection carries another request
	}{
		"nothing":                        {nil, NotWritten, false, true},
		"called off at rest":             {[]Event{RequestCanceled}, NotWritten, false, true},
		"surplus at rest":                {[]Event{UnexpectedBytes}, NotWritten, false, false},
		"closed at rest":                 {[]Event{PeerClosing}, NotWritten, false, false},
		"half written":                   {[]Event{WriteStarted, ConnectionBroken}, NotWritten, true, false},
		"half written, time over":        {[]Event{WriteStarted, DeadlineExceeded}, NotWritten, true, false},
		"half written, called off":       {[]Event{WriteStarted, RequestCanceled}, Canceled, true, false},
		"asked, never invited":           {[]Event{WriteStarted, ContinueRequested, DeadlineExceeded}, NotWritten, true, false},
		"asked, cut":                     {[]Event{WriteStarted, ContinueRequested, ConnectionBroken}, NotWritten, true, false},
		"asked, answered at once":        {[]Event{WriteStarted, ContinueRequested, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"asked, invited, served":         {[]Event{WriteStarted, ContinueRequested, ContinueReceived, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"asked, invited, cut":            {[]Event{WriteStarted, ContinueRequested, ContinueReceived, ConnectionBroken}, NotWritten, true, false},
		"written, cut":                   {[]Event{WriteStarted, RequestWritten, ConnectionBroken}, ConnectionFailed, true, false},
		"written, silent":                {[]Event{WriteStarted, RequestWritten, DeadlineExceeded}, TimedOut, true, false},
		"written, called off":            {[]Event{WriteStarted, RequestWritten, RequestCanceled}, Canceled, true, false},
		"served":                         {[]Event{WriteStarted, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"served, then closed":            {[]Event{WriteStarted, RequestWritten, ResponseStarted, PeerClosing, ResponseCompleted}, Completed, true, false},
		"served, with more behind":       {[]Event{WriteStarted, RequestWritten, ResponseStarted, ResponseCompleted, UnexpectedBytes}, Completed, true, false},
		"cut in the answer":              {[]Event{WriteStarted, RequestWritten, ResponseStarted, ConnectionBroken}, ConnectionFailed, true, false},
		"silent in the answer":           {[]Event{WriteStarted, RequestWritten, ResponseStarted, DeadlineExceeded}, TimedOut, true, false},
		"answered before it was whole":   {[]Event{WriteStarted, ResponseStarted, ResponseCompleted}, Completed, true, false},
		"answered so, and cut":           {[]Event{WriteStarted, ResponseStarted, ConnectionBroken}, ConnectionFailed, true, false},
		"answered so, by no answer":      {[]Event{WriteStarted, GarbageReceived}, ConnectionFailed, true, false},
		"another's answer, half written": {[]Event{WriteStarted, OtherResponse, ConnectionBroken}, ConnectionFailed, true, false},
		"another's answer, asked":        {[]Event{WriteStarted, ContinueRequested, OtherResponse, ContinueReceived, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"what cannot be":                 {[]Event{WriteStarted, RequestWritten, ContinueReceived}, ConnectionFailed, true, false},
		"another's answers only":         {[]Event{WriteStarted, RequestWritten, OtherResponse, OtherResponse, OtherResponse, OtherResponse}, ConnectionFailed, true, false},
	} {
		var x Exchange
		for _, h := range c.met {
			x = x.Next(h)
		}
		if x.Outcome != c.fate || (x.State == Done) != c.over || x.Reusable() != c.on {
			t.Errorf("%s: %+v, reusable %v; want fate %d, over %v, reusable %v", name, x, x.Reusable(), c.fate, c.over, c.on)
		}
	}
}

// For any sequence of events: a request that was written in full never counts as NotWritten, an outcome never changes, and a
// connection on which anything but complete responses to its own requests was received is not reused.
func TestExchangeInvariants(t *testing.T) {
	r := rand.New(rand.NewPCG(55, 5))
	for range 200_000 {
		var x Exchange
		out, sound := false, true
		for range r.IntN(12) {
			h := Event(r.IntN(int(UnexpectedBytes) + 1))
			before := x
			x = x.Next(h)
			out = out || before.State != Done && x.State == AwaitingResponse
			sound = sound && h != UnexpectedBytes && h != PeerClosing && h != ConnectionBroken && h != DeadlineExceeded
			if before.State == Done && (x.State != Done || x.Outcome != before.Outcome) {
				t.Fatalf("%+v is %+v after %d", before, x, h)
			}
			if out && x.State == Done && x.Outcome == NotWritten {
				t.Fatalf("%+v was written, and is %+v after %d", before, x, h)
			}
			if h == OtherResponse && before.State >= Writing && before.State <= AwaitingResponse && !x.SawOtherResponse() {
				t.Fatalf("%+v is believed after another's answer", x)
			}
			if !sound && x.Reusable() {
				t.Fatalf("%+v is reused after %d", x, h)
			}
		}
	}
}

// A response belongs to a request by its id alone, unless the peer is a program of our own.
func TestResponseMatches(t *testing.T) {
	for _, c := range []struct {
		want string
		got  []string
		own  bool
		is   bool
	}{
		{"a", []string{"a"}, false, true}, {"a", []string{"b"}, false, false}, {"a", nil, false, false}, {"a", []string{""}, false, false},
		{"a", []string{"a", "b"}, false, false}, {"a", []string{"a", "a"}, true, false}, {"a", nil, true, true}, {"a", []string{"b"}, true, false},
		{"", nil, false, true}, {"", []string{"a"}, false, false}, {"", []string{"a"}, true, false}, {"", []string{""}, true, true},
	} {
		if is := ResponseMatches(c.want, c.got, c.own); is != c.is {
			t.Errorf("%q to %q, own %v: %v", c.got, c.want, c.own, is)
		}
	}
}
