package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxConns       = 64           // connections of the load
	maxOpen        = 4 * maxConns // requests without a response
	requestTimeout = 5 * time.Second
	plansEvery     = 4 // one of this many requests saves a plan, the others browse
)

// routeResults counts the responses to the load's requests of one route.
type routeResults struct {
	mu                      sync.Mutex
	served, refused, failed int
	longest, total          time.Duration // latency of served requests
}

// resultsByRoute holds the results of each route by its name.
type resultsByRoute map[string]*routeResults

func newResults() resultsByRoute {
	return resultsByRoute{browsePool: {}, plansPool: {}}
}

// record counts a response, or status 0 for none.
func (r *routeResults) record(status int, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case http.StatusOK:
		r.served++
		r.total += latency
		r.longest = max(r.longest, latency)
	case http.StatusServiceUnavailable:
		r.refused++
	default:
		r.failed++
	}
}

// sendRequests sends rate requests per second until ctx ends, and returns after the last response. While maxOpen requests are open, no
// further one is sent.
func sendRequests(ctx context.Context, address string, rate int, results resultsByRoute) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	slots := make(chan struct{}, maxOpen)
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			method, path, route := requestOf(number)
			startedAt := time.Now()
			status := send(client, method, "http://"+address+path)
			results[route].record(status, time.Since(startedAt))
		})
	}
}

// requestOf returns the request of the given number, and the name of its route.
func requestOf(number int) (method, path, route string) {
	if number%plansEvery == plansEvery-1 {
		return http.MethodPost, "/plans", plansPool
	}
	return http.MethodGet, fmt.Sprintf("/items/%d", number), browsePool
}

// send sends a request and reads the response. It returns the status, or 0 without a complete response.
func send(client *http.Client, method, url string) int {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}
