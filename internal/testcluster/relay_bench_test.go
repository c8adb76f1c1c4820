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

// BenchmarkRelay tells what a link adds to a request, and how many pass one after the other on 8 connections: ns/op is of one of them,
// p50 and p99 are of single requests on one connection.
func BenchmarkRelay(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	r, err := New()
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	l, err := r.Listen("a>b", server.Listener.Addr().String(), 1, Observer{OnReceived: func(uint64, []byte) {}, OnSent: func(uint64, []byte) {}})
	if err != nil {
		b.Fatal(err)
	}
	for _, way := range []struct{ name, addr string }{{"direct", server.Listener.Addr().String()}, {"link", l.Addr()}} {
		b.Run(way.name, func(b *testing.B) {
			one := func() (func(), func()) {
				c, err := net.Dial("tcp", way.addr)
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
			ask, end := one()
			var times []time.Duration
			for range 2000 {
				begun := time.Now()
				ask()
				times = append(times, time.Since(begun))
			}
			end()
			slices.Sort(times)
			var all sync.WaitGroup
			b.ResetTimer()
			for n := range 8 {
				all.Go(func() {
					ask, end := one()
					defer end()
					for range (b.N + n) / 8 {
						ask()
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}
