package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is an application endpoint. It works on capacity requests at once and turns away what it cannot queue.
type endpoint struct {
	rec      *record
	m        *machine
	id       string
	capacity int
	work     time.Duration
	slots    chan struct{}
	waiting  atomic.Int32
	sequence atomic.Uint64
	server   *http.Server
	stop     chan struct{}
	service  string
	call     func() outcome // a call of its own for each request that it runs; nil for none
	onRun    func(id, caller string)
}

func newEndpoint(rec *record, m *machine, capacity int, work time.Duration) *endpoint {
	return &endpoint{
		rec: rec, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), capacity: capacity, work: work,
		slots: make(chan struct{}, capacity), stop: make(chan struct{}), service: m.service,
	}
}

// start listens and sends heartbeats.
func (e *endpoint) start() error {
	ln, err := net.Listen("tcp", e.m.at(appPort))
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }()
	go e.beat()
	return nil
}

func (e *endpoint) close() {
	close(e.stop)
	_ = e.server.Close()
}

// beat sends a heartbeat each 1.5 s, and again soon after one without an answer.
func (e *endpoint) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		body, _ := json.Marshal(map[string]any{
			"target": e.service, "address": e.m.at(appPort), "zone": e.m.zone, "epoch": "v1", "capacity": e.capacity,
			"state": "serving", "warmup_left_s": 0, "call_seq": e.sequence.Add(1),
		})
		wait := 1500 * time.Millisecond
		resp, err := client.Post("http://"+e.m.at(controlPort)+"/api/Endpoints.Heartbeat/"+e.id, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode/100 != 2 {
			wait = 300 * time.Millisecond
		}
		select {
		case <-e.stop:
			return
		case <-time.After(wait):
		}
	}
}

// ServeHTTP serves health probes and requests.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Responding-Instance", e.id)
		w.Header().Set("X-Warmup-Remaining", "0")
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("X-Attempt-Id")
	turnAway := func(status int) {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch target := r.Header.Get("X-Target-Instance"); {
	case err != nil:
		return // the request did not arrive whole
	case id == "":
		turnAway(http.StatusBadRequest)
		return
	case target != "" && target != e.id:
		turnAway(http.StatusMisdirectedRequest)
		return
	}
	if e.waiting.Add(1) > 4*int32(e.capacity) {
		e.waiting.Add(-1)
		turnAway(http.StatusServiceUnavailable)
		return
	}
	e.slots <- struct{}{}
	e.waiting.Add(-1)
	defer func() { <-e.slots }()
	caller := r.Header.Get("X-Caller-Service")
	e.rec.add("run id=%s at=%s on=%s body=%d caller=%s", id, e.service, e.m.name, len(body), caller)
	if e.onRun != nil {
		e.onRun(id, caller)
	}
	time.Sleep(e.work)
	if e.call != nil && !e.call().served {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Server-Seal", "3e1b.07.5a2.0")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := []byte("served " + id + "\n")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", "3e1b.07.5a2."+strconv.Itoa(len(answer)))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
}

// outcome is the end of one request of a client, with its last try.
type outcome struct {
	status int // 0 for none
	own    bool
	served bool
}

// client sends requests to the outbound address of its machine.
type client struct {
	rec   *record
	m     *machine
	http  *http.Client
	onTry func(id string)
}

func newClient(rec *record, m *machine) *client {
	dial := (&net.Dialer{Timeout: time.Second}).DialContext
	return &client{rec: rec, m: m, http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}}
}

// request is a request of a client.
type request struct {
	method, host, path string
	body               []byte
	chunked            bool
	safe               bool
	deadline           time.Duration
}

// send sends a request, and again as the pages say: a safe one after any failure, another one only after a promise, and none
// after 400, 401, 404, 413, 431 or a success.
func (c *client) send(q *request) outcome {
	until := time.Now().Add(q.deadline)
	var out outcome
	for try := range 2 {
		var after time.Duration
		out, after = c.try(q, try, time.Until(until))
		promise := out.status == 429 || out.status == 503 || out.status == 408 || out.status == 421
		switch out.status {
		case 400, 401, 404, 413, 431:
			return out
		}
		if out.served || !q.safe && !promise {
			return out
		}
		left := time.Until(until)
		time.Sleep(min(after, left/3))
		if time.Until(until) < 100*time.Millisecond {
			return out
		}
	}
	return out
}

func (c *client) try(q *request, try int, left time.Duration) (out outcome, after time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if q.body != nil {
		body = bytes.NewReader(q.body)
		if q.chunked {
			body = struct{ io.Reader }{body} // of no known length
		}
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.m.at(outboundPort)+q.path, body)
	if err != nil {
		return out, 0
	}
	r.Host = q.host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Remaining", strconv.FormatInt(left.Milliseconds(), 10))
	if try > 0 {
		r.Close = true // a further try goes over a new connection
	}
	if c.onTry != nil {
		c.onTry(id)
	}
	how := "length"
	if q.chunked {
		how = "chunks"
	}
	c.rec.add("sent id=%s on=%s %s %s%s body=%d %s try=%d", id, c.m.name, q.method, q.host, q.path, len(q.body), how, try+1)
	resp, err := c.http.Do(r)
	if err != nil {
		c.rec.add("answered id=%s error=%q", id, errorText(err))
		return out, 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	seal := resp.Header.Get("X-Server-Seal")
	out.status, out.own = resp.StatusCode, seal == ""
	out.served = err == nil && resp.StatusCode/100 == 2 && seal != "" && string(text) == "served "+id+"\n"
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(s * float64(time.Second))
	}
	c.rec.add("answered id=%s status=%d seal=%t text=%q", id, out.status, seal != "", firstLine(text))
	return out, after
}

func errorText(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

func firstLine(text []byte) string {
	line, _, _ := strings.Cut(string(text), "\n")
	return line[:min(len(line), 60)]
}

// operator sends orders to the core machines.
type operator struct {
	rec   *record
	cores []*machine
	http  *http.Client
}

func newOperator(rec *record, cores []*machine) *operator {
	return &operator{rec, cores, &http.Client{Timeout: time.Second}}
}

// order sends an order to one core machine after the other until it is acknowledged, for at most the given time.
func (o *operator) order(path string, body []byte, within time.Duration) (status int) {
	until := time.Now().Add(within)
	pause := 100 * time.Millisecond
	for n := 0; time.Now().Before(until); n++ {
		core := o.cores[n%len(o.cores)]
		resp, err := o.http.Post("http://"+core.at(controlPort)+path, "application/json", bytes.NewReader(body)) // follows 307
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
			o.rec.add("order %s at %s: %d", path, core.name, status)
			if status/100 == 2 || status/100 == 4 && status != 408 && status != 429 {
				return status
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return status
}

// awaitReady waits until all proxies are ready.
func awaitReady(machines []*machine, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		ready := 0
		for _, m := range machines {
			if resp, err := client.Get("http://" + m.at(readinessPort) + "/api/readiness"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(machines) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// tally counts the requests of one kind.
type tally struct {
	mu           sync.Mutex
	sent, served int
	status       map[int]int // of the last try, 0 for none
	denied       int         // ended with a 3xx or 4xx of the system's own, but 408, 421 and 429
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status == nil {
		t.status = map[int]int{}
	}
	t.sent++
	t.status[o.status]++
	if o.served {
		t.served++
	}
	if o.own && o.status >= 300 && o.status < 500 && o.status != 408 && o.status != 421 && o.status != 429 {
		t.denied++
	}
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("sent %d, served %d, last status %v", t.sent, t.served, t.status)
}

// share returns the share that was served.
func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == 0 {
		return 0
	}
	return float64(t.served) / float64(t.sent)
}

// load sends requests at a rate from one machine for a time.
func load(wg *sync.WaitGroup, c *client, perSecond float64, length time.Duration, into *tally, make func(n int) *request) {
	wg.Go(func() {
		var open sync.WaitGroup
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		end := time.Now().Add(length)
		for n := 0; time.Now().Before(end); n++ {
			q := make(n)
			open.Go(func() { into.add(c.send(q)) })
			<-tick.C
		}
		open.Wait()
	})
}
