package testcluster

import (
	"bytes"
	"regexp"
	"sync"
)

const (
	keptHead = 64 << 10 // bytes kept from the start of the output
	keptTail = 64 << 10 // bytes kept from its end
)

// OutputBuffer keeps the start and the end of what a process prints. It never blocks the process.
type OutputBuffer struct {
	mu      sync.Mutex
	head    []byte
	tail    []byte
	dropped int
}

func newOutputBuffer() *OutputBuffer { return &OutputBuffer{} }

// Write adds output.
func (t *OutputBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(p)
	if room := keptHead - len(t.head); room > 0 {
		k := min(room, len(p))
		t.head = append(t.head, p[:k]...)
		p = p[k:]
	}
	t.tail = append(t.tail, p...)
	if over := len(t.tail) - keptTail; over > keptTail { // copy rarely
		t.dropped += over
		t.tail = append([]byte(nil), t.tail[over:]...)
	}
	return n, nil
}

// String returns the output that is kept, with "[...]" where some is missing.
func (t *OutputBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b bytes.Buffer
	b.Write(t.head)
	tail := t.tail
	lost := t.dropped
	if over := len(tail) - keptTail; over > 0 {
		lost += over
		tail = tail[over:]
	}
	if lost > 0 {
		b.WriteString("\n[...]\n")
	}
	b.Write(tail)
	return b.String()
}

// Find returns the first group of an expression in the output; "" if it does not match.
func (t *OutputBuffer) Find(expression *regexp.Regexp) string {
	if m := expression.FindStringSubmatch(t.String()); len(m) > 1 {
		return m[1]
	}
	return ""
}
