package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"milletmast/internal/testcluster"
)

const (
	hopDuration      = 5 * time.Second
	endpointCapacity = 64  // capacity of the endpoint, which responds at once, so that no request waits for a slot
	maxOpenRequests  = 256 // requests that this process has open at once
)

// newEndpointHandler returns the handler of an endpoint that responds at once.
func newEndpointHandler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)) // fails if the caller has disconnected, which the caller counts
		h := w.Header()
		h.Set("X-Responding-Instance", id)
		h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		h.Set("X-Server-Seal", "seal")
		_, _ = io.WriteString(w, strings.Repeat("x", 1000)) // fails if the caller has disconnected
	})
}

// sendHeartbeat sends a heartbeat of the endpoint to its proxy.
func (p *realProxy) sendHeartbeat(ctx context.Context, c *cluster) error {
	p.heartbeatSeq++
	text := fmt.Sprintf(
		`{"target":%q,"address":%q,"zone":"zone-0","epoch":"v1","capacity":%d,"state":"serving","warmup_left_s":0,"call_seq":%d}`,
		p.service, p.address, endpointCapacity, p.heartbeatSeq)
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.control+"/api/Endpoints.Heartbeat/"+p.id, strings.NewReader(text))
	if err != nil {
		return err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Failed.New("the heartbeat of endpoint %s got status %s, want 200", p.id, response.Status)
	}
	return nil
}

// measureHops measures the latency that two proxies add to a request, and their processor time.
func measureHops(ctx context.Context, t *table, programs Programs, loads []int, runs int) error {
	c, err := newCluster(ctx, programs, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	if _, _, err := c.replaceConfig(ctx, 20); err != nil {
		return err
	}
	from, err := c.startProxy(ctx, "from", 1, serviceName(1))
	if err != nil {
		return err
	}
	defer from.close()
	to, err := c.startProxy(ctx, "to", 2, serviceName(0))
	if err != nil {
		return err
	}
	defer to.close()
	heartbeats := time.NewTicker(time.Second)
	defer heartbeats.Stop()
	heartbeatCtx, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	defer done.Wait()
	defer stop()
	done.Go(func() {
		for {
			select {
			case <-heartbeatCtx.Done():
				return
			case <-heartbeats.C:
				_ = from.sendHeartbeat(heartbeatCtx, c) // one that fails is followed by the next in a second
				_ = to.sendHeartbeat(heartbeatCtx, c)
			}
		}
	})
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenRequests}}
	defer client.CloseIdleConnections()
	served := func() bool { return sendRequest(ctx, client, from.outbound, "first") }
	if err := waitFor(ctx, "a call over two proxies to be served", served); err != nil {
		return err
	}
	for range runs {
		for _, load := range loads {
			direct, _ := sendLoad(ctx, client, to.address, load)
			cpu := [2]float64{from.process.cpu(), to.process.cpu()}
			viaProxies, failed := sendLoad(ctx, client, from.outbound, load)
			n := float64(load) * hopDuration.Seconds()
			t.add("straight to the endpoint: ms, half of the calls", load, quantile(direct, 0.5))
			t.add("straight to the endpoint: ms, 99 in 100", load, quantile(direct, 0.99))
			t.add("over two proxies: ms, half of the calls", load, quantile(viaProxies, 0.5))
			t.add("over two proxies: ms, 99 in 100", load, quantile(viaProxies, 0.99))
			t.add("added by two proxies: ms, half of the calls", load, quantile(viaProxies, 0.5)-quantile(direct, 0.5))
			t.add("added by two proxies: ms, 99 in 100", load, quantile(viaProxies, 0.99)-quantile(direct, 0.99))
			t.add("the caller's proxy: processor time a call, us", load, (from.process.cpu()-cpu[0])/n*1e6)
			t.add("the endpoint's proxy: processor time a call, us", load, (to.process.cpu()-cpu[1])/n*1e6)
			t.add("memory of the caller's proxy, MiB", load, from.process.memory()/(1<<20))
			t.add("not served, of all, %", load, 100*float64(failed)/n)
		}
	}
	return ctx.Err()
}

// sendRequest sends one request, and reports whether it was served.
func sendRequest(ctx context.Context, client *http.Client, addr, id string) bool {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/"+serviceName(0)+"/x", nil)
	if err != nil {
		return false
	}
	r.Host = serviceName(0) + ".example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Remaining", "2000")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	return err == nil && response.StatusCode == http.StatusOK
}

// sendLoad sends requests at a constant rate (an open load), and returns the latencies of those that were served, in ms, sorted, and the
// number of the others. A request beyond maxOpenRequests counts as not served.
func sendLoad(ctx context.Context, client *http.Client, addr string, load int) (took []float64, failed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, maxOpenRequests)
	begun, every := time.Now(), time.Second/time.Duration(load)
	for i := range int(hopDuration / every) {
		if testcluster.Sleep(ctx, time.Until(begun.Add(time.Duration(i)*every))) != nil {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			mu.Lock()
			failed++
			mu.Unlock()
			continue
		}
		all.Go(func() {
			defer func() { <-slots }()
			at := time.Now()
			ok := sendRequest(ctx, client, addr, fmt.Sprintf("%d-%d", at.UnixNano(), i))
			d := time.Since(at).Seconds() * 1000
			mu.Lock()
			defer mu.Unlock()
			if ok {
				took = append(took, d)
			} else {
				failed++
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	return took, failed
}
