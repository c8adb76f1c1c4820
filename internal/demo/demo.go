// Package demo runs a sidecar over stand-in servers in one process, with a light load, and shows what it does. It is for
// a first look: no file, no other program.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"whinknot/internal/operator"
	"whinknot/internal/sidecar"
	"whinknot/internal/standin"
)

// Options of a demo.
type Options struct {
	For     time.Duration // 0: until the context ends
	Address string        // where the sidecar listens
	Rate    int           // requests a second
	Every   time.Duration // between two tables
	Out     io.Writer
	Live    bool // tables replace each other, as on a terminal
}

const (
	callers   = 64 // connections of the load, at most
	down      = time.Second
	up        = 3 * time.Second
	quickWork = 5 * time.Millisecond
	slowWork  = 60 * time.Millisecond
)

// server is one stand-in of the demo.
type server struct {
	*standin.Server
	pool, note string
	last       int // requests at the last table
}

// counts are the load's answers of one route.
type counts struct {
	mu                      sync.Mutex
	served, refused, failed int
	longest, sum            time.Duration
}

// Run starts all of it and ends with the context, or after a time.
func Run(ctx context.Context, o Options) error {
	if o.Rate < 1 || o.Rate > 10_000 || o.Every <= 0 {
		return fmt.Errorf("a rate of %d and a table every %v are not possible: from 1 to 10000 requests a second", o.Rate, o.Every)
	}
	if o.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.For)
		defer cancel()
	}
	before := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the table tells
	defer slog.SetDefault(before)

	var servers []*server
	for _, s := range []struct{ name, pool, note string }{
		{"shelf-1", "browse", ""}, {"shelf-2", "browse", ""}, {"shelf-3", "browse", "slow"},
		{"desk-1", "plans", ""}, {"desk-2", "plans", ""}, {"desk-3", "plans", "restarts"},
	} {
		one, err := standin.NewServer(s.name)
		if err != nil {
			return err
		}
		defer one.Close()
		work := quickWork
		if s.note == "slow" {
			work = slowWork
		}
		one.WorkBy(standin.Exponential(work, uint64(len(servers))))
		servers = append(servers, &server{Server: one, pool: s.pool, note: s.note})
	}
	cfg, err := operator.Parse("demo.toml", []byte(file(o.Address, servers)))
	if err != nil {
		return err
	}
	instance, err := sidecar.NewInstance(cfg, nil)
	if err != nil {
		return err
	}
	address := instance.Addresses()["demo"]
	fmt.Fprintf(o.Out, "a sidecar listens at %s; try\n\n    curl -i http://%s/items/7\n    curl -i -d a=b http://%s/plans\n\n", address, address, address)

	var running sync.WaitGroup
	serving, end := context.WithCancel(context.Background())
	running.Go(func() { instance.Run(serving) })
	load, loadDone := context.WithCancel(ctx)
	results := map[string]*counts{"browse": {}, "plans": {}}
	var sides sync.WaitGroup
	sides.Go(func() { drive(load, address, o.Rate, results) })
	for _, s := range servers {
		if s.note == "restarts" {
			sides.Go(func() { restart(load, s.Server) })
		}
	}
	begun := time.Now()
	tick := time.NewTicker(o.Every)
	defer tick.Stop()
	for first := true; ctx.Err() == nil; first = false {
		select {
		case <-ctx.Done():
			continue
		case <-tick.C:
		}
		text := table(instance.Status(), servers, o.Every)
		if o.Live && !first {
			fmt.Fprintf(o.Out, "\x1b[%dA\x1b[J", strings.Count(text, "\n"))
		}
		io.WriteString(o.Out, text)
	}
	loadDone()
	sides.Wait()
	end()
	running.Wait()
	summary(o.Out, time.Since(begun), results)
	return nil
}

// file is the operator file of the demo.
func file(address string, servers []*server) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"demo\"\n[limits]\ndrain = \"100ms\"\n[[listener]]\nname = \"demo\"\naddress = %q\n", address)
	for _, p := range []struct{ name, class, effect string }{{"browse", "look", "safe"}, {"plans", "save", "unsafe"}} {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\n[[pool.class]]\nname = %q\naim = \"200ms\"\ngive_up = \"1s\"\neffect = %q\n", p.name, p.class, p.effect)
		for _, s := range servers {
			if s.pool == p.name {
				fmt.Fprintf(&b, "[[pool.server]]\nid = %q\naddress = %q\n", s.Name, s.Addr())
			}
		}
	}
	b.WriteString("[[route]]\nname = \"browse\"\nprefix = \"/\"\npool = \"browse\"\nclass = \"look\"\n")
	b.WriteString("[[route]]\nname = \"plans\"\nprefix = \"/plans\"\nmethods = [\"POST\"]\npool = \"plans\"\nclass = \"save\"\n")
	return b.String()
}

// drive sends requests at a rate: three of four browse, one saves a plan.
func drive(ctx context.Context, address string, rate int, results map[string]*counts) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: callers, MaxIdleConnsPerHost: callers}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	slots := make(chan struct{}, 4*callers) // what waits for an answer is bounded
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		all.Go(func() {
			defer func() { <-slots }()
			method, path, route := http.MethodGet, fmt.Sprintf("/items/%d", n), "browse"
			if n%4 == 3 {
				method, path, route = http.MethodPost, "/plans", "plans"
			}
			begun := time.Now()
			req, err := http.NewRequest(method, "http://"+address+path, nil)
			if err != nil {
				return
			}
			res, err := client.Do(req)
			status := 0
			if err == nil {
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
				status = res.StatusCode
			}
			results[route].add(status, time.Since(begun))
		})
	}
}

func (c *counts) add(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.served++
		c.sum += took
		c.longest = max(c.longest, took)
	case http.StatusServiceUnavailable:
		c.refused++
	default:
		c.failed++
	}
}

// restart takes a server down and up again, over and over; it is up at the end.
func restart(ctx context.Context, s *standin.Server) {
	for {
		if !pause(ctx, up) {
			return
		}
		s.Close()
		pause(ctx, down)
		for s.Restart() != nil { // its port may be taken for a moment
			if !pause(ctx, down/10) {
				return
			}
		}
	}
}

// pause waits, and tells whether the context still stands.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// table shows pools and servers as they are now.
func table(st sidecar.Status, servers []*server, every time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %8s %6s %12s %9s %9s %9s\n", "pool", "usable", "open", "connections", "served", "refused", "failed")
	for _, p := range st.Pools {
		fmt.Fprintf(&b, "%-8s %4d of %d %6d %5d of %3d %9d %9d %9d\n", p.Name, p.Usable, p.Servers, p.Open, p.Connections, p.Most, p.Served, p.Refused, p.Failed)
	}
	fmt.Fprintf(&b, "%-8s %-8s %10s %10s %12s  %s\n", "server", "pool", "a second", "in flight", "connections", "")
	for _, s := range servers {
		reached, _, flight, conns := s.Counts()
		fmt.Fprintf(&b, "%-8s %-8s %10.0f %10d %12d  %s\n", s.Name, s.pool, float64(reached-s.last)/every.Seconds(), flight, conns, s.note)
		s.last = reached
	}
	return b.String() + "\n"
}

func summary(out io.Writer, took time.Duration, results map[string]*counts) {
	fmt.Fprintf(out, "ended after %.1f s\n", took.Seconds())
	for _, name := range []string{"browse", "plans"} {
		c := results[name]
		c.mu.Lock()
		mean := time.Duration(0)
		if c.served > 0 {
			mean = c.sum / time.Duration(c.served)
		}
		fmt.Fprintf(out, "%-8s served=%d refused=%d failed=%d mean=%v longest=%v\n", name, c.served, c.refused, c.failed,
			mean.Round(100*time.Microsecond), c.longest.Round(100*time.Microsecond))
		c.mu.Unlock()
	}
}
