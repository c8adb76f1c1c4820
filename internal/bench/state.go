package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"milletmast/balancer"
	"milletmast/internal/bench/procstat"
	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
	"milletmast/internal/state"
)

// observedTime is the time after a restart for which the results are measured.
const observedTime = 5 * time.Second

// stateServers is the number of servers, one of which fails.
const stateServers = 12

// measureState measures over sockets what the persistent state improves: sidecars serve for a while and restart, with their state or
// without, and with the same servers or new ones. It also measures the cost of the state.
func measureState(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("state", flag.ContinueOnError)
	seeds := flags.Int("seeds", 20, "number of seeds")
	load := flags.Float64("load", 0.7, "ratio of the load to the capacity of the servers")
	replicas := flags.Int("copies", 12, "number of sidecars, which all restart at once")
	sizes := flags.Bool("sizes", false, "measure only the cost of the state")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *sizes {
		return measureStateSizes(out)
	}
	if *replicas < 1 || *replicas > 100 {
		return fmt.Errorf("-copies %d: allowed are 1 to 100", *replicas)
	}
	if *seeds < 2 || *seeds > 100 || !(*load > 0 && *load <= 2) {
		return fmt.Errorf("-seeds %d, -load %v: allowed are 2 to 100, and over 0 to 2", *seeds, *load)
	}
	fmt.Fprintf(out, "first %v after %d sidecars restart at once, %d seeds, %d servers of two cores, one of which fails, "+
		"at %.1f of what they can do\n", observedTime, *replicas, *seeds, stateServers, *load)
	for _, replaced := range []bool{false, true} {
		if err := compareRestarts(out, *seeds, *load, *replicas, replaced); err != nil {
			return err
		}
	}
	return measureStateSizes(out)
}

// compareRestarts prints the results of restarts with and without a state, where the servers were replaced meanwhile or not.
func compareRestarts(out io.Writer, seeds int, load float64, replicas int, replaced bool) error {
	var rejected, served [2][]float64
	for seed := range seeds {
		for i, warm := range []bool{false, true} {
			r, s, err := measureRestart(uint64(seed), load, replicas, warm, replaced)
			if err != nil {
				return err
			}
			rejected[i], served[i] = append(rejected[i], r), append(served[i], s)
		}
	}
	servers := "the same servers"
	if replaced {
		servers = "all servers replaced meanwhile"
	}
	for i, name := range []string{"cold", "warm"} {
		r, rs := stat.MeanStdDev(rejected[i], nil)
		s, ss := stat.MeanStdDev(served[i], nil)
		fmt.Fprintf(out, "%-31s %s  refused %.1f ± %.1f requests  served in time %.4f ± %.4f\n", servers, name, r, rs, s, ss)
	}
	return nil
}

// measureRestart returns the number of rejected requests and the share that was served in time within observedTime after one restart.
func measureRestart(seed uint64, load float64, replicas int, warm, replaced bool) (rejected, served float64, err error) {
	dir, err := os.MkdirTemp("", "state")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(dir)
	s := &testbed{listPath: filepath.Join(dir, "servers.toml")}
	defer func() {
		for _, m := range s.servers {
			m.server.Close()
		}
	}()
	if err := s.addStateServers(time.Time{}); err != nil {
		return 0, 0, err
	}
	rate := load * (stateServers - 1) * serverCores / meanWork.Seconds()
	if err := s.serveOnce(dir, replicas, warm, rate, seed); err != nil {
		return 0, 0, err
	}
	if replaced {
		for _, m := range s.servers {
			m.removed = true
		}
		if err := s.addStateServers(time.Now().Add(-coldRamp)); err != nil { // new servers, which are already warm
			return 0, 0, err
		}
	}
	if err := s.serveOnce(dir, replicas, warm, rate, seed); err != nil {
		return 0, 0, err
	}
	return float64(s.rejected), float64(s.inTime) / float64(max(s.requests, 1)), nil
}

// addStateServers adds the servers, the first of which resets connections, and writes the list.
func (s *testbed) addStateServers(started time.Time) error {
	for i := range stateServers {
		if err := s.addServer(fmt.Sprint("s", i, started.UnixNano()), started); err != nil {
			return err
		}
	}
	s.servers[len(s.servers)-stateServers].server.SetFault(fakeserver.ResetConnection)
	return s.writeList()
}

// serveOnce runs sidecars under load from their start to their end. The results are reset before the load.
func (s *testbed) serveOnce(dir string, replicas int, warm bool, rate float64, seed uint64) error {
	var addrs []string
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for rank := range replicas {
		one, err := startInstance(s, dir, rank, replicas, warm)
		if err != nil {
			return err
		}
		running.Go(func() { _ = one.Run(ctx) }) // a failure shows in the results of the requests
		addrs = append(addrs, one.Addresses()["in"])
	}
	s.requests, s.served, s.rejected, s.inTime = 0, 0, 0, 0
	s.sendSteadyLoad(addrs, rate, observedTime, seed)
	return nil
}

// startInstance starts a sidecar, with a persistent state if it is to start warm.
func startInstance(s *testbed, dir string, rank, replicas int, warm bool) (*sidecar.Instance, error) {
	cfg, err := operator.Parse(filepath.Join(dir, "file.toml"), []byte(s.operatorConfig(rank, replicas)))
	if err != nil {
		return nil, err
	}
	if !warm {
		return sidecar.NewInstance(cfg, nil)
	}
	store, loaded, _, err := state.Open(filepath.Join(dir, fmt.Sprint("state", rank)), "one")
	if err != nil {
		return nil, err
	}
	return sidecar.NewPersistentInstance(cfg, nil, &sidecar.Persistence{Store: store, Loaded: loaded, Interval: 500 * time.Millisecond})
}

// sendSteadyLoad sends a load of a constant rate to sidecars.
func (s *testbed) sendSteadyLoad(addrs []string, rate float64, length time.Duration, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 9))
	var open sync.WaitGroup
	defer open.Wait()
	begun := time.Now()
	for at := time.Duration(0); ; {
		if at += time.Duration(r.ExpFloat64() / rate * float64(time.Second)); at > length {
			return
		}
		time.Sleep(time.Until(begun.Add(at)))
		addr := addrs[r.IntN(len(addrs))]
		open.Go(func() { s.sendRequest(addr) })
	}
}

// measureStateSizes measures the size of a snapshot of the state by the number of servers, and the time to write it and to read it.
func measureStateSizes(out io.Writer) error {
	dir, err := os.MkdirTemp("", "state")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Fprintln(out, "servers  file KB  write ms  start ms  CPU ms a write")
	for _, n := range []int{20, 1000, 10_000} {
		p := state.PoolState{ModuleSettings: "m", Learned: balancer.LearnedState{At: 1e12, ConcurrencyPerServer: 3}}
		r := rand.New(rand.NewPCG(1, uint64(n)))
		for i := range n {
			p.Servers = append(p.Servers, fmt.Sprintf("box-%d.example.org:8443", i))
			p.Learned.Servers = append(p.Learned.Servers, balancer.LearnedServer{
				ID: r.Uint32(), Load: 100 * r.Float64(), MaxLoad: 200 * r.Float64(), LatencyRatio: r.Float64(), StartedAt: 1e12 * r.Float64(),
			})
		}
		path := filepath.Join(dir, fmt.Sprint(n))
		s, _, _, err := state.Open(path, "one")
		if err != nil {
			return err
		}
		const writes = 20
		before, begun := procstat.OwnCPUTime(), time.Now()
		for range writes {
			if err := s.SavePools(map[string]state.PoolState{"p": p}); err != nil {
				return err
			}
		}
		wrote, spent := time.Since(begun)/writes, (procstat.OwnCPUTime()-before)/writes
		s.Close()
		info, err := os.Stat(filepath.Join(path, "learned"))
		if err != nil {
			return err
		}
		begun = time.Now()
		s, _, _, err = state.Open(path, "one")
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%7d  %7.1f  %8.2f  %8.2f  %8.2f\n", n, float64(info.Size())/1000,
			wrote.Seconds()*1000, time.Since(begun).Seconds()*1000, spent.Seconds()*1000)
		s.Close()
	}
	return nil
}
