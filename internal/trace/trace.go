// Package trace records the attempts of sampled requests in one file for each sidecar, and joins the files of several tiers
// into trees of calls.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"sync"
	"sync/atomic"
)

// Attempt is the record of one attempt, as the calling sidecar saw it. The JSON names are the format of the file.
type Attempt struct {
	Root    string  `json:"root"`   // external request
	Parent  string  `json:"parent"` // attempt of the tier before; 00000000 for none
	Call    string  `json:"call"`   // call to which the attempt belongs
	ID      string  `json:"id"`
	Sidecar string  `json:"sidecar"`
	Hop     int     `json:"hop"`
	Route   string  `json:"route"`
	Pool    string  `json:"pool"`
	Class   string  `json:"class"`
	Server  string  `json:"server"`
	Number  int     `json:"number"`
	Outcome string  `json:"outcome"`
	TookMS  float64 `json:"took_ms"`
	Weight  float64 `json:"worth"`
}

const (
	maxFileBytes   = 16 << 20 // then the file is rotated
	maxQueueLength = 1024     // records that wait for the disk; further ones are dropped and counted
	maxLineBytes   = 8 << 10
)

// rotatedSuffix is appended to the name of the previous file.
const rotatedSuffix = ".1"

// Writer appends records to a file in a goroutine of its own, until Close.
type Writer struct {
	path      string
	queue     chan Attempt
	dropped   atomic.Uint64
	goroutine sync.WaitGroup
	mu        sync.RWMutex // held for closing the queue
	closed    bool
}

// NewWriter returns a writer that appends to a file.
func NewWriter(path string) (*Writer, error) {
	f, err := openAppend(path)
	if err != nil {
		return nil, err
	}
	w := &Writer{path: path, queue: make(chan Attempt, maxQueueLength)}
	w.goroutine.Go(func() { w.run(f) })
	return w, nil
}

func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Path returns the path of the file.
func (w *Writer) Path() string { return w.path }

// Dropped returns how many records were dropped, as the queue was full or the disk failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Add queues a record, or drops it if the queue is full. It does not block.
func (w *Writer) Add(a Attempt) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return
	}
	select {
	case w.queue <- a:
	default:
		w.dropped.Add(1)
	}
}

// Close writes the queued records and closes the file.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	w.goroutine.Wait()
}

// run writes the queued records until the queue is closed.
func (w *Writer) run(file *os.File) {
	size := int64(0)
	if info, err := file.Stat(); err == nil {
		size = info.Size()
	}
	out := bufio.NewWriter(file)
	for attempt := range w.queue {
		line, err := json.Marshal(&attempt)
		if err != nil {
			continue
		}
		line = append(line, '\n')
		if size += int64(len(line)); size > maxFileBytes {
			_ = out.Flush() // records that cannot be written are lost
			file.Close()
			if file, err = w.rotate(); err != nil { // the next record tries again
				size = maxFileBytes
				w.dropped.Add(1)
				continue
			}
			out.Reset(file)
			size = int64(len(line))
		}
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if len(w.queue) == 0 {
			_ = out.Flush() // after an error the next Write fails, and counts
		}
	}
	_ = out.Flush()
	file.Close()
}

// rotate moves the file away and opens a new one.
func (w *Writer) rotate() (*os.File, error) {
	if err := os.Rename(w.path, w.path+rotatedSuffix); err != nil {
		slog.Warn("rotate traces", "path", w.path, "err", err)
	}
	return openAppend(w.path)
}

// Read reads the records of a file. An error names the line. An incomplete last line is left out, as its writer may not
// have finished it.
func Read(name string, r io.Reader) ([]Attempt, error) {
	var attempts []Attempt
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var a Attempt
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			if !lines.Scan() {
				break
			}
			return nil, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		attempts = append(attempts, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return attempts, nil
}

// Print writes the attempts as trees, one for each root request: below each attempt the calls that the next tier made for it.
// If root is not empty, it writes only that tree.
func Print(w io.Writer, attempts []Attempt, root string) error {
	byRoot := map[string][]Attempt{}
	var roots []string // in the order in which they come
	for _, a := range attempts {
		if root != "" && a.Root != root {
			continue
		}
		if byRoot[a.Root] == nil {
			if len(roots) == maxRoots {
				continue
			}
			roots = append(roots, a.Root)
		}
		byRoot[a.Root] = append(byRoot[a.Root], a)
	}
	out := bufio.NewWriter(w)
	for _, r := range roots {
		printTree(out, byRoot[r])
	}
	return out.Flush()
}

// printTree writes the attempts of one root request.
func printTree(out *bufio.Writer, attempts []Attempt) {
	fmt.Fprintf(out, "%s: attempts %d\n", attempts[0].Root, len(attempts))
	children := map[string][]Attempt{} // by parent attempt
	known := map[string]bool{}
	for _, a := range attempts {
		children[a.Parent] = append(children[a.Parent], a)
		known[a.ID] = true
	}
	var roots []string // parents that have no record
	for parent, calls := range children {
		slices.SortStableFunc(calls, func(a, b Attempt) int { return cmp.Or(cmp.Compare(a.Call, b.Call), a.Number-b.Number) })
		if !known[parent] {
			roots = append(roots, parent)
		}
	}
	printed := map[string]bool{} // a forged file may have an attempt as its own ancestor, or several times
	var printBelow func(parent, indent string, depth int)
	printBelow = func(parent, indent string, depth int) {
		if depth > maxDepth || printed[parent] {
			return
		}
		printed[parent] = true
		for _, a := range children[parent] {
			fmt.Fprintf(out, "%s%s %s/%s at %s, ", indent, a.Sidecar, a.Pool, a.Class, a.Server)
			fmt.Fprintf(out, "attempt %d: %s, %.1f ms\n", a.Number+1, a.Outcome, a.TookMS)
			printBelow(a.ID, indent+"  ", depth+1)
		}
	}
	slices.Sort(roots)
	for _, parent := range roots {
		printBelow(parent, "  ", 0)
	}
}

// Bounds of the output of Print.
const (
	maxRoots = 1000
	maxDepth = 32
)
