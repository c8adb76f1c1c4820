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

// The kinds of facts, by who records them.
const (
	// A client, about a request (Request, Copy, Class).
	FactWritten    = "taken"    // its last byte was written; Due is when the client gives up
	FactClientLeft = "left"     // the client has given up
	FactAnswered   = "answered" // Status
	FactUnanswered = "lost"     // the connection ended without a complete response; Text
	FactConnClosed = "closed"   // an idle connection ended before it was written, or meanwhile; Text, and as FactWritten; it is sent again
	FactConnEnded  = "cut"      // when that connection was found to have ended
	// A link, about an attempt (Request, Copy, Server, Conn).
	FactSent         = "sent" // the sidecar has written it completely
	FactAttemptEnded = "over" // the sidecar gets a response (Status, NotRun), or either side has ended the connection
	// A fake server.
	FactStarted    = "up"      // it serves from now on (Cold)
	FactReceived   = "reached" // a request was received completely (Work, Capacity)
	FactExecuted   = "ran"     // its execution has started, so that it has an effect (Key)
	FactOverloaded = "fell"    // it was cold and has failed under its load
	// The drill.
	FactListed    = "told"  // the list of a replica says that a server serves, or no longer (Serves)
	FactFault     = "fault" // Text, and Due for its end
	FactSuspended = "stop"  // a replica or server is suspended or starved, or no longer (Serves)
	FactKilled    = "kill"  // a replica was killed: its open requests get no response
	FactWarm      = "warm"  // a server is warm
	FactEnded     = "ended"
)

// Fact is one event of a history, a line of JSON.
type Fact struct {
	At       int64   `json:"at"` // ns, see Now
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
	Work     float64 `json:"work,omitempty"`     // ms of one core at full speed
	Capacity float64 `json:"capacity,omitempty"` // ms of work a second
	Text     string  `json:"text,omitempty"`
}

const (
	maxFacts    = 20_000_000 // of one history
	maxFactLine = 16 << 10   // bytes
	maxHistory  = 4 << 30
)

// History holds the facts of one run.
type History struct {
	mu      sync.Mutex
	facts   []Fact
	dropped int
}

// Record adds a fact, at the present time unless it has one.
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

// WriteJSON writes the facts in their order, a line each.
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
