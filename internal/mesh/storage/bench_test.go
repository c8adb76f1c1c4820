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

// BenchmarkChanges changes a configuration so often, on a real disk, and tells what that does to the file, to opening it and to a
// change: go test -run - -bench Changes -benchtime 1x ./internal/mesh/storage
func BenchmarkChanges(b *testing.B) {
	for _, c := range []struct{ bytes, changes int }{
		{20 << 10, 10}, {20 << 10, 1000}, {20 << 10, 10_000}, {1 << 20, 10}, {1 << 20, 1000},
	} {
		b.Run(fmt.Sprintf("%dKB/%d", c.bytes>>10, c.changes), func(b *testing.B) {
			for b.Loop() {
				changes(b, c.bytes, c.changes)
			}
		})
	}
}

func changes(b *testing.B, length, n int) {
	folder := b.TempDir()
	book, _, err := Open(folder)
	if err != nil {
		b.Fatal(err)
	}
	var times []time.Duration
	var largest int64
	replaced, handle := 0, book.file.handle
	for i := range n {
		body := bytes.Repeat([]byte(fmt.Sprintf("line %07d\n", i)), length/13+1)[:length]
		from := time.Now()
		if err := book.Put("config", body); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(from))
		largest = max(largest, book.file.size)
		if book.file.handle != handle {
			replaced, handle = replaced+1, book.file.handle
		}
	}
	if err := book.Close(); err != nil {
		b.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(folder, fileName))
	if err != nil {
		b.Fatal(err)
	}
	var opens []time.Duration
	cpu := spent(b)
	for range 9 {
		from := time.Now()
		book, spoilt, err := Open(folder)
		if err != nil || spoilt != nil {
			b.Fatal(err, spoilt)
		}
		opens = append(opens, time.Since(from))
		book.Close()
	}
	cpu = spent(b) - cpu
	slices.Sort(times)
	slices.Sort(opens)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(float64(info.Size()), "B-at-end")
	b.ReportMetric(float64(largest), "B-most")
	b.ReportMetric(float64(replaced), "new-files")
	b.ReportMetric(ms(opens[len(opens)/2]), "ms-open")
	b.ReportMetric(ms(cpu)/float64(len(opens)), "cpu-ms-open")
	b.ReportMetric(ms(times[len(times)/2]), "ms-change")
	b.ReportMetric(ms(times[len(times)*99/100]), "ms-change-p99")
	b.ReportMetric(ms(times[len(times)-1]), "ms-change-worst")
	b.ReportMetric(0, "ns/op")
}

// spent is the processor time of this process.
func spent(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
