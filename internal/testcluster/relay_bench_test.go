package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkRelay compares requests over a link with direct ones: ns/op is the time per request with 8 connections at once, p50-us and
// p99-us are latencies of requests on one connection.
func BenchmarkRelay(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	r, err := New()
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	l, err := r.Listen("a>b", server.Listener.Addr().String(), 1, Observer{OnReceived: func(uint64, []byte, ReadTime) {}, OnSent: func(uint64, []byte) {}})
	if err != nil {
		b.Fatal(err)
	}
	for _, path := range []struct{ name, addr string }{{"direct", server.Listener.Addr().String()}, {"link", l.Addr()}} {
		b.Run(path.name, func(b *testing.B) {
			dial := func() (request, closeConn func()) {
				c, err := net.Dial("tcp", path.addr)
				if err != nil {
					b.Fatal(err)
				}
				reader := bufio.NewReader(c)
				return func() {
					fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					res, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, res.Body)
				}, func() { c.Close() }
			}
			request, closeConn := dial()
			var times []time.Duration
			for range 2000 {
				start := time.Now()
				request()
				times = append(times, time.Since(start))
			}
			closeConn()
			slices.Sort(times)
			var all sync.WaitGroup
			b.ResetTimer()
			for n := range 8 {
				all.Go(func() {
					request, closeConn := dial()
					defer closeConn()
					for range (b.N + n) / 8 {
						request()
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}
