package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"
)

// BenchmarkChanges replaces a configuration many times on a real disk, and reports the size of the file and the durations of opening it and
// of a change: go test -run - -bench Changes -benchtime 1x ./internal/mesh/storage
func BenchmarkChanges(b *testing.B) {
	for _, c := range []struct{ bytes, changes int }{
		{20 << 10, 10}, {20 << 10, 1000}, {20 << 10, 10_000}, {1 << 20, 10}, {1 << 20, 1000},
	} {
		b.Run(fmt.Sprintf("%dKB/%d", c.bytes>>10, c.changes), func(b *testing.B) {
			for b.Loop() {
				measureChanges(b, c.bytes, c.changes)
			}
		})
	}
}

// measureChanges writes a record of some length n times, then opens the store several times.
func measureChanges(b *testing.B, length, n int) {
	dir := b.TempDir()
	store, _, err := Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	var changes []time.Duration
	var largest int64
	rewrites, handle := 0, store.file.handle
	for i := range n {
		body := bytes.Repeat([]byte(fmt.Sprintf("line %07d\n", i)), length/13+1)[:length]
		start := time.Now()
		if err := store.Put("config", body); err != nil {
			b.Fatal(err)
		}
		changes = append(changes, time.Since(start))
		largest = max(largest, store.file.size)
		if store.file.handle != handle {
			rewrites, handle = rewrites+1, store.file.handle
		}
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(dir, fileName))
	if err != nil {
		b.Fatal(err)
	}
	var opens []time.Duration
	cpu := processCPUTime(b)
	for range 9 {
		start := time.Now()
		store, corrupt, err := Open(dir)
		if err != nil || corrupt != nil {
			b.Fatal(err, corrupt)
		}
		opens = append(opens, time.Since(start))
		store.Close()
	}
	cpu = processCPUTime(b) - cpu
	slices.Sort(changes)
	slices.Sort(opens)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(float64(info.Size()), "B-at-end")
	b.ReportMetric(float64(largest), "B-most")
	b.ReportMetric(float64(rewrites), "new-files")
	b.ReportMetric(ms(opens[len(opens)/2]), "ms-open")
	b.ReportMetric(ms(cpu)/float64(len(opens)), "cpu-ms-open")
	b.ReportMetric(ms(changes[len(changes)/2]), "ms-change")
	b.ReportMetric(ms(changes[len(changes)*99/100]), "ms-change-p99")
	b.ReportMetric(ms(changes[len(changes)-1]), "ms-change-worst")
	b.ReportMetric(0, "ns/op")
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
