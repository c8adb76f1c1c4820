package testcluster

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
)

// The kinds of facts, grouped by the process that records them. The fields that a kind uses besides the usual ones are in parentheses.
const (
	// Recorded by a client for a request (Request, Copy, Class).
	FactWritten    = "taken"    // the last byte of the request was written (Due: when the client abandons it)
	FactClientLeft = "left"     // the client has abandoned the request
	FactAnswered   = "answered" // a complete response was received (Status)
	FactUnanswered = "lost"     // the connection ended without a complete response (Text)
	FactConnClosed = "closed"   // an idle connection ended before or while the request was written, which is sent again (Text, Due)
	FactConnEnded  = "cut"      // the time at which the client detected the end of that connection
	// Recorded by a link for an attempt (Request, Copy, Server, Conn).
	FactSent         = "sent" // the sidecar has written the request completely
	FactAttemptEnded = "over" // the sidecar receives a response (Status, NotRun), or either side has ended the connection (Polled)
	// Recorded by a fake server.
	FactStarted    = "up"      // the server serves from now on (Cold)
	FactReceived   = "reached" // a request was received completely (Work, Capacity)
	FactExecuted   = "ran"     // the execution of a request has started, so that it has an effect (Key)
	FactOverloaded = "fell"    // the server exits, as its load was too high for a cold server
	// Recorded by the drill.
	FactListed    = "told"  // a replica was sent a list by which a server serves, or no longer serves (Serves)
	FactFault     = "fault" // a fault starts (Text: its kind, Due: its end)
	FactSuspended = "stop"  // a replica is suspended, or resumed (Serves)
	FactKilled    = "kill"  // a replica was killed: its open requests get no response
	FactWarm      = "warm"  // a server is warm
	FactEnded     = "ended" // the load has ended
)

// Fact is one event of a history, a line of JSON.
type Fact struct {
	At       int64   `json:"at"` // ns, by Now
	Kind     string  `json:"kind"`
	By       string  `json:"by,omitempty"`
	Copy     string  `json:"copy,omitempty"`
	Server   string  `json:"server,omitempty"`
	Request  string  `json:"request,omitempty"`
	Class    string  `json:"class,omitempty"`
	Key      string  `json:"key,omitempty"`
	Conn     uint64  `json:"conn,omitempty"`
	Status   int     `json:"status,omitempty"`
	NotRun   bool    `json:"not_run,omitempty"`
	Serves   bool    `json:"serves,omitempty"`
	Cold     bool    `json:"cold,omitempty"`
	Due      int64   `json:"due,omitempty"`
	Polled   int64   `json:"polled,omitempty"`   // when the link began to wait for this event
	Work     float64 `json:"work,omitempty"`     // ms of one core at full speed
	Capacity float64 `json:"capacity,omitempty"` // ms of work a second
	Text     string  `json:"text,omitempty"`
}

const (
	maxFacts    = 20_000_000 // of one history
	maxFactLine = 16 << 10   // bytes
	maxHistory  = 4 << 30    // bytes of one file
)

// History holds the facts of one run.
type History struct {
	mu      sync.Mutex
	facts   []Fact
	dropped int
}

// Record adds a fact. A fact without a time gets the present time.
func (h *History) Record(f Fact) {
	if f.At == 0 {
		f.At = Now()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.facts) >= maxFacts {
		h.dropped++
		return
	}
	h.facts = append(h.facts, f)
}

// Sorted returns the facts in the order of their times, and of their arrival for equal times.
func (h *History) Sorted() []Fact {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.facts, func(a, b Fact) int { return cmp.Compare(a.At, b.At) })
	return slices.Clone(h.facts)
}

// ReadFile adds the facts that a process has written to a file. An incomplete last line is dropped.
func (h *History) ReadFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(io.LimitReader(f, maxHistory))
	lines.Buffer(make([]byte, 4096), maxFactLine)
	for n := 1; lines.Scan(); n++ {
		var one Fact
		if err := json.Unmarshal(lines.Bytes(), &one); err != nil {
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) && !lines.Scan() {
				return nil
			}
			return fmt.Errorf("%s:%d: %w", path, n, err)
		}
		h.Record(one)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// WriteJSON writes the facts as sorted lines of JSON.
func (h *History) WriteJSON(w io.Writer) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	for _, f := range h.Sorted() {
		if err := e.Encode(&f); err != nil {
			return err
		}
	}
	return b.Flush()
}
