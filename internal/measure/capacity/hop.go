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
)

const (
	hopTime  = 5 * time.Second
	hopSlots = 64  // that the endpoint tells: its answer takes no time, and no slot may be what is waited for
	hopMost  = 256 // requests under way at once, in the tool
)

// endpoint is a stand-in endpoint that answers at once.
func endpoint(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, io.LimitReader(r.Body, bodyBound))
		h := w.Header()
		h.Set("X-Responding-Instance", id)
		h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		h.Set("X-Server-Seal", "seal")
		io.WriteString(w, strings.Repeat("x", 1000))
	})
}

// beat has the endpoint say that it serves.
func (p *realPilot) beat(ctx context.Context, c *core) error {
	p.seq++
	text := fmt.Sprintf(`{"target":%q,"address":%q,"zone":"zone-0","epoch":"v1","capacity":%d,"state":"serving","warmup_left_s":0,"call_seq":%d}`,
		p.service, p.address, hopSlots, p.seq)
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.control+"/api/Endpoints.Heartbeat/"+p.id, strings.NewReader(text))
	if err != nil {
		return err
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Failed.New("a beat is answered %s", answer.Status)
	}
	return nil
}

// hops measures what two pilots add to a call of an endpoint that answers at once.
func hops(ctx context.Context, t *table, programs Programs, loads []int, runs int) error {
	c, err := newCore(ctx, programs, 3)
	if err != nil {
		return err
	}
	defer c.end()
	if _, _, err := c.order(ctx, 20); err != nil {
		return err
	}
	from, err := c.pilot(ctx, "from", 1, service(1))
	if err != nil {
		return err
	}
	defer from.close()
	to, err := c.pilot(ctx, "to", 2, service(0))
	if err != nil {
		return err
	}
	defer to.close()
	beats := time.NewTicker(time.Second)
	defer beats.Stop()
	beating, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	defer done.Wait()
	defer stop()
	done.Go(func() {
		for {
			select {
			case <-beating.Done():
				return
			case <-beats.C:
				from.beat(beating, c)
				to.beat(beating, c)
			}
		}
	})
	client := &http.Client{Timeout: askTime, Transport: &http.Transport{MaxIdleConnsPerHost: hopMost}}
	defer client.CloseIdleConnections()
	if err := until(ctx, "a call over two pilots", func() bool { return call(ctx, client, from.outbound, "first") }); err != nil {
		return err
	}
	for range runs {
		for _, load := range loads {
			straight, _ := play(ctx, client, to.address, load)
			cpu := [2]float64{from.child.cpu(), to.child.cpu()}
			over, failed := play(ctx, client, from.outbound, load)
			n := float64(load) * hopTime.Seconds()
			t.add("straight to the endpoint: ms, half of the calls", load, quantile(straight, 0.5))
			t.add("straight to the endpoint: ms, 99 in 100", load, quantile(straight, 0.99))
			t.add("over two pilots: ms, half of the calls", load, quantile(over, 0.5))
			t.add("over two pilots: ms, 99 in 100", load, quantile(over, 0.99))
			t.add("added by two pilots: ms, half of the calls", load, quantile(over, 0.5)-quantile(straight, 0.5))
			t.add("added by two pilots: ms, 99 in 100", load, quantile(over, 0.99)-quantile(straight, 0.99))
			t.add("the caller's pilot: processor time a call, us", load, (from.child.cpu()-cpu[0])/n*1e6)
			t.add("the endpoint's pilot: processor time a call, us", load, (to.child.cpu()-cpu[1])/n*1e6)
			t.add("memory of the caller's pilot, MiB", load, from.child.memory()/(1<<20))
			t.add("not served, of all, %", load, 100*float64(failed)/n)
		}
	}
	return ctx.Err()
}

// call sends one request and tells whether it was served.
func call(ctx context.Context, client *http.Client, addr, id string) bool {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/"+service(0)+"/x", nil)
	if err != nil {
		return false
	}
	r.Host = service(0) + ".example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Remaining", "2000")
	answer, err := client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, bodyBound))
	return err == nil && answer.StatusCode == http.StatusOK
}

// play sends requests at an even pace, however long they take, and gives the times of those that were served in milliseconds,
// sorted, and how many were not. One for which there is no room counts as not served.
func play(ctx context.Context, client *http.Client, addr string, load int) (took []float64, failed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	room := make(chan struct{}, hopMost)
	begun, every := time.Now(), time.Second/time.Duration(load)
	for i := range int(hopTime / every) {
		if pause(ctx, time.Until(begun.Add(time.Duration(i)*every))) != nil {
			break
		}
		select {
		case room <- struct{}{}:
		default:
			mu.Lock()
			failed++
			mu.Unlock()
			continue
		}
		all.Go(func() {
			defer func() { <-room }()
			at := time.Now()
			ok := call(ctx, client, addr, fmt.Sprintf("%d-%d", at.UnixNano(), i))
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
