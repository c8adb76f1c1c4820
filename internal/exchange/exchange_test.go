package exchange

import (
	"math/rand/v2"
	"testing"
)

// Checks the outcome, and whether the connection can be reused, for the sequences of events in docs/design/answers.md.
func TestExchangeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		events   []Event
		outcome  Outcome
		done     bool
		reusable bool // the connection may carry another request
	}{
		"nothing":                                      {nil, NotWritten, false, true},
		"canceled while idle":                          {[]Event{RequestCanceled}, NotWritten, false, true},
		"unexpected bytes while idle":                  {[]Event{UnexpectedBytes}, NotWritten, false, false},
		"closed while idle":                            {[]Event{PeerClosing}, NotWritten, false, false},
		"partly written, broken":                       {[]Event{WriteStarted, ConnectionBroken}, NotWritten, true, false},
		"partly written, deadline":                     {[]Event{WriteStarted, DeadlineExceeded}, NotWritten, true, false},
		"partly written, canceled":                     {[]Event{WriteStarted, RequestCanceled}, Canceled, true, false},
		"head written, broken":                         {[]Event{WriteStarted, HeadWritten, ConnectionBroken}, ConnectionFailed, true, false},
		"head written, deadline":                       {[]Event{WriteStarted, HeadWritten, DeadlineExceeded}, TimedOut, true, false},
		"head written, canceled":                       {[]Event{WriteStarted, HeadWritten, RequestCanceled}, Canceled, true, false},
		"head written, garbage":                        {[]Event{WriteStarted, HeadWritten, GarbageReceived}, ConnectionFailed, true, false},
		"head written, response":                       {[]Event{WriteStarted, HeadWritten, ResponseStarted, ResponseCompleted}, Completed, true, false},
		"head written, response, broken":               {[]Event{WriteStarted, HeadWritten, ResponseStarted, ConnectionBroken}, ConnectionFailed, true, false},
		"head written, other response, deadline":       {[]Event{WriteStarted, HeadWritten, OtherResponse, DeadlineExceeded}, TimedOut, true, false},
		"head written, then asked for 100 Continue":    {[]Event{WriteStarted, HeadWritten, ContinueRequested}, ConnectionFailed, true, false},
		"head written, then all":                       {[]Event{WriteStarted, HeadWritten, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"100 Continue never received":                  {[]Event{WriteStarted, ContinueRequested, DeadlineExceeded}, NotWritten, true, false},
		"broken before 100 Continue":                   {[]Event{WriteStarted, ContinueRequested, ConnectionBroken}, NotWritten, true, false},
		"response instead of 100 Continue":             {[]Event{WriteStarted, ContinueRequested, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"100 Continue, completed":                      {[]Event{WriteStarted, ContinueRequested, ContinueReceived, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"100 Continue, broken":                         {[]Event{WriteStarted, ContinueRequested, ContinueReceived, ConnectionBroken}, NotWritten, true, false},
		"written, broken":                              {[]Event{WriteStarted, RequestWritten, ConnectionBroken}, ConnectionFailed, true, false},
		"written, deadline":                            {[]Event{WriteStarted, RequestWritten, DeadlineExceeded}, TimedOut, true, false},
		"written, canceled":                            {[]Event{WriteStarted, RequestWritten, RequestCanceled}, Canceled, true, false},
		"completed":                                    {[]Event{WriteStarted, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"completed, peer closes":                       {[]Event{WriteStarted, RequestWritten, ResponseStarted, PeerClosing, ResponseCompleted}, Completed, true, false},
		"completed, unexpected bytes":                  {[]Event{WriteStarted, RequestWritten, ResponseStarted, ResponseCompleted, UnexpectedBytes}, Completed, true, false},
		"broken within the response":                   {[]Event{WriteStarted, RequestWritten, ResponseStarted, ConnectionBroken}, ConnectionFailed, true, false},
		"deadline within the response":                 {[]Event{WriteStarted, RequestWritten, ResponseStarted, DeadlineExceeded}, TimedOut, true, false},
		"response to a partly written request":         {[]Event{WriteStarted, ResponseStarted, ResponseCompleted}, Completed, true, false},
		"response to a partly written request, broken": {[]Event{WriteStarted, ResponseStarted, ConnectionBroken}, ConnectionFailed, true, false},
		"garbage after a partly written request":       {[]Event{WriteStarted, GarbageReceived}, ConnectionFailed, true, false},
		"other response, partly written":               {[]Event{WriteStarted, OtherResponse, ConnectionBroken}, ConnectionFailed, true, false},
		"other response, 100 Continue":                 {[]Event{WriteStarted, ContinueRequested, OtherResponse, ContinueReceived, RequestWritten, ResponseStarted, ResponseCompleted}, Completed, true, true},
		"impossible event":                             {[]Event{WriteStarted, RequestWritten, ContinueReceived}, ConnectionFailed, true, false},
		"other responses only":                         {[]Event{WriteStarted, RequestWritten, OtherResponse, OtherResponse, OtherResponse, OtherResponse}, ConnectionFailed, true, false},
	} {
		var x Exchange
		for _, event := range c.events {
			x = x.Next(event)
		}
		if x.Outcome != c.outcome || (x.State == Done) != c.done || x.Reusable() != c.reusable {
			t.Errorf("%s: %+v, reusable %v; want outcome %d, done %v, reusable %v", name, x, x.Reusable(), c.outcome, c.done, c.reusable)
		}
	}
}

// For any sequence of events: a request that its server may have begun never counts as NotWritten, an outcome never changes, and
// a connection on which anything but complete responses to its own requests was received is not reused.
func TestExchangeInvariants(t *testing.T) {
	r := rand.New(rand.NewPCG(55, 5))
	for range 200_000 {
		var x Exchange
		written, reusable := false, true
		for range r.IntN(12) {
			event := Event(r.IntN(int(UnexpectedBytes) + 1))
			before := x
			x = x.Next(event)
			written = written || before.State != Done && (x.State == AwaitingResponse || x.State == WritingBody)
			reusable = reusable && event != UnexpectedBytes && event != PeerClosing && event != ConnectionBroken && event != DeadlineExceeded
			if before.State == Done && (x.State != Done || x.Outcome != before.Outcome) {
				t.Fatalf("%+v is %+v after %d", before, x, event)
			}
			if written && x.State == Done && x.Outcome == NotWritten {
				t.Fatalf("%+v may have begun, and is %+v after %d", before, x, event)
			}
			if event == OtherResponse && before.State >= Writing && before.State <= AwaitingResponse && !x.SawOtherResponse() {
				t.Fatalf("%+v does not report the response to another request", x)
			}
			if !reusable && x.Reusable() {
				t.Fatalf("%+v is reusable after %d", x, event)
			}
		}
	}
}

// Only the id decides whether a response belongs to a request, unless the peer is a program of this project.
func TestResponseMatches(t *testing.T) {
	for _, c := range []struct {
		requestID   string
		responseIDs []string
		peerIsOurs  bool
		want        bool
	}{
		{"a", []string{"a"}, false, true}, {"a", []string{"b"}, false, false}, {"a", nil, false, false}, {"a", []string{""}, false, false},
		{"a", []string{"a", "b"}, false, false}, {"a", []string{"a", "a"}, true, false}, {"a", nil, true, true}, {"a", []string{"b"}, true, false},
		{"", nil, false, true}, {"", []string{"a"}, false, false}, {"", []string{"a"}, true, false}, {"", []string{""}, true, true},
	} {
		if got := ResponseMatches(c.requestID, c.responseIDs, c.peerIsOurs); got != c.want {
			t.Errorf("response %q to request %q, peer is ours %v: %v", c.responseIDs, c.requestID, c.peerIsOurs, got)
		}
	}
}
