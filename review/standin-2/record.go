package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	return &record{file: f, start: time.Now()}
}

// add writes one line: the time in seconds, who, and what.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add("case", format, args...)
	fmt.Printf(format+"\n", args...)
}
