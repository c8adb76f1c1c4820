package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
)

const (
	listInterval  = 10 * time.Millisecond // interval at which a sidecar reads the list
	targetLatency = 250 * time.Millisecond
	clientTimeout = 600 * time.Millisecond
	meanWork      = 15 * time.Millisecond
	coldRamp      = 3 * time.Second
	coldFrom      = 0.3
)

// measureMargins measures over sockets how close many small sidecars come to breaking the rules: half of the servers are replaced, one by
// one, under a load that ends in an overload. It serves to compare builds within a minute and does not replace a test.
func measureMargins(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("margins", flag.ContinueOnError)
	replicas := flags.Int("copies", 20, "sidecars")
	servers := flags.Int("servers", 12, "number of servers")
	length := flags.Duration("for", 20*time.Second, "duration of the load")
	load := flags.Float64("load", 0.7, "ratio of the load to the capacity of the servers; doubled in the last quarter")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *replicas < 1 || *replicas > 200 || *servers < 2 || *servers > 100 ||
		*length < 4*time.Second || *length > 10*time.Minute || !(*load > 0 && *load <= 2) {
		return fmt.Errorf("-copies %d, -servers %d, -for %v, -load %v: allowed are 1 to 200, 2 to 100, 4s to 10m, and over 0 to 2",
			*replicas, *servers, *length, *load)
	}
	dir, err := os.MkdirTemp("", "margins")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &testbed{listPath: filepath.Join(dir, "servers.toml"), startedAt: time.Now()}
	for i := range *servers {
		if err := s.addServer(fmt.Sprint("s", i), time.Time{}); err != nil {
			return err
		}
	}
	defer func() {
		for _, m := range s.servers {
			m.server.Close()
		}
	}()
	if err := s.writeList(); err != nil {
		return err
	}
	var addrs []string
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); running.Wait() }()
	var instances []*sidecar.Instance
	for i := range *replicas {
		cfg, err := operator.Parse(filepath.Join(dir, "margins.toml"), []byte(s.operatorConfig(i, *replicas)))
		if err != nil {
			return err
		}
		one, err := sidecar.NewInstance(cfg, nil)
		if err != nil {
			return err
		}
		running.Go(func() { _ = one.Run(ctx) }) // a failure shows in the results of the requests
		instances, addrs = append(instances, one), append(addrs, one.Addresses()["in"])
	}
	rate := *load * float64(*servers*serverCores) / meanWork.Seconds()
	replaced := s.sendLoad(addrs, rate, *length, instances)
	s.printMargins(out, replaced)
	return nil
}

// sendLoad sends the load and replaces half of the servers meanwhile. It returns the number of those that were replaced.
func (s *testbed) sendLoad(addrs []string, rate float64, length time.Duration, instances []*sidecar.Instance) (replaced int) {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var open sync.WaitGroup
	open.Go(func() { replaced = s.replaceServers(ctx, len(s.servers)/2, length/2) })
	open.Go(func() { s.samplePeaks(ctx, instances) })
	r := rand.New(rand.NewPCG(1, 1))
	for at := time.Duration(0); ; {
		now := rate
		if at > length*3/4 {
			now *= 2
		}
		at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		addr := addrs[r.IntN(len(addrs))]
		select {
		case <-time.After(time.Until(s.startedAt.Add(at))):
			open.Go(func() { s.sendRequest(addr) })
			continue
		case <-ctx.Done():
		}
		break
	}
	open.Wait()
	return replaced
}

// replaceServers replaces the first count servers by cold ones, one by one over a time, and returns how many it has replaced.
func (s *testbed) replaceServers(ctx context.Context, count int, over time.Duration) (replaced int) {
	tick := time.NewTicker(over / time.Duration(count))
	defer tick.Stop()
	for i := range count {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return replaced
		}
		s.servers[i].drainedAt = time.Now()
		if s.addServer(fmt.Sprint("n", i), time.Now()) != nil || s.writeList() != nil {
			return replaced
		}
		replaced++
	}
	return replaced
}

// samplePeaks records the peaks of the heap and of the connections of a sidecar.
func (s *testbed) samplePeaks(ctx context.Context, instances []*sidecar.Instance) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		s.maxHeap = max(s.maxHeap, m.HeapInuse)
		for _, i := range instances {
			st := i.Status()
			s.maxClientConns = max(s.maxClientConns, st.ClientConns)
			s.maxServerConns = max(s.maxServerConns, st.Pools[0].Connections)
		}
	}
}

// printMargins prints how close the sidecars came to breaking each rule.
func (s *testbed) printMargins(out io.Writer, replaced int) {
	latest, cold := time.Duration(0), 0.0
	for _, m := range s.servers {
		records := m.server.Records()
		for _, r := range records {
			if !m.drainedAt.IsZero() && r.ReceivedAt.After(m.drainedAt) {
				latest = max(latest, r.ReceivedAt.Sub(m.drainedAt))
			}
		}
		if m.startedAt.IsZero() {
			continue
		}
		cold = max(cold, m.maxColdLoad(records))
	}
	share := func(n int) float64 { return float64(n) / float64(max(s.requests, 1)) }
	fmt.Fprintf(out, "requests asked=%d served=%.4f refused=%.4f failed=%.4f unanswered=%d\n",
		s.requests, share(s.served), share(s.rejected), share(s.failed), s.unanswered)
	fmt.Fprintf(out, "rule 1: latest answer past its client's time: %v\n", s.maxLateness.Round(100*time.Microsecond))
	fmt.Fprintf(out, "rule 2: latest request to a server after the list said that it drains: %v of %v, %d replaced, lists read each %v\n",
		latest.Round(100*time.Microsecond), 500*time.Millisecond, replaced, listInterval)
	fmt.Fprintf(out, "rule 3: most work that reached a cold server within 1 s: %.2f times what it can do, of 2.5\n", cold)
	fmt.Fprintf(out, "one sidecar's most: connections of callers=%d, to servers=%d; heap of all, with servers and load: %.1f MB\n",
		s.maxClientConns, s.maxServerConns, float64(s.maxHeap)/1e6)
}

// maxColdLoad returns the most work that reached a cold server within a second, relative to its capacity.
func (m *testServer) maxColdLoad(records []fakeserver.Record) (load float64) {
	slices.SortFunc(records, func(a, b fakeserver.Record) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	from := 0
	for to, r := range records {
		for r.ReceivedAt.Sub(records[from].ReceivedAt) > time.Second {
			from++
		}
		if r.ReceivedAt.Sub(m.startedAt) < coldRamp {
			load = max(load, float64(to-from+1)*meanWork.Seconds()/(serverCores*warmth(m.startedAt, r.ReceivedAt)))
		}
	}
	return load
}
