// Package procstat reads the processor time and the memory of processes (Linux: proc(5), getrusage(2)).
package procstat

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Errors of systems that do not provide the files of proc(5), and of processes that have ended.
var (
	ErrNoCPUTime = errors.New("the system does not report the processor time of threads")
	ErrNoMemory  = errors.New("the system does not report the memory of a process")
)

// CPUTime returns the processor time of the current threads of a process. That of ended threads is not included.
func CPUTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	sum := time.Duration(0)
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // a thread that has just ended
		}
		ran, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", f, err)
		}
		sum += time.Duration(ns)
	}
	if sum == 0 {
		return 0, ErrNoCPUTime
	}
	return sum, nil
}

// OwnCPUTime returns the processor time of this process so far; 0 if the system does not report it.
func OwnCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// AnonymousMemory returns the resident memory of a process that no file backs, in bytes.
func AnonymousMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kib << 10, err
		}
	}
	return 0, ErrNoMemory
}
