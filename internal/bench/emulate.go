package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"milletmast/internal/emulate"
	"milletmast/internal/fakeserver"
	"milletmast/internal/loadbench"
	"milletmast/internal/operator"
)

// compareEmulator compares the emulator with trials over sockets in the same small scenarios: one sidecar over eight servers of two
// cores, at several ratios of load to capacity. Emulator and trials draw their arrivals independently, so means over seeds are compared.
func compareEmulator(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("emulate", flag.ContinueOnError)
	length := flags.Duration("for", 20*time.Second, "duration of each trial")
	seeds := flags.Int("seeds", 3, "number of seeds")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *seeds < 1 || *seeds > 32 || *length < time.Second || *length > time.Hour {
		return fmt.Errorf("-seeds %d, -for %v: allowed are 1 to 32 and 1s to 1h", *seeds, *length)
	}
	const servers, cores = 8, 2
	mean := 0.0
	for _, c := range loadbench.ExampleClasses() {
		mean += c.Share * c.MeanWork.Seconds()
	}
	fmt.Fprintln(out, "load  where     share            p99 ms          attempts/request")
	for _, load := range []float64{0.5, 0.7, 0.9, 1.3} {
		spec := loadbench.Spec{
			Duration: *length, Classes: loadbench.ExampleClasses(), Rate: load * servers * cores / mean, Callers: 1000,
			Servers: servers, Cores: cores,
			Speed: func(time.Duration) float64 { return 1 },
		}
		sc, err := newTrialScenario(spec)
		if err != nil {
			return err
		}
		var measured, emulated trialStats
		for seed := range *seeds {
			spec.Seed = uint64(seed)
			r, err := loadbench.Run(context.Background(), spec)
			if err != nil {
				return err
			}
			requests := 0
			for _, o := range r.Classes {
				requests += o.Requests
			}
			measured.add(r.EarnedRatio(), float64(r.P99.Microseconds())/1000, float64(r.Attempts)/float64(requests))
			e, err := emulate.Run(sc, uint64(seed))
			if err != nil {
				return err
			}
			emulated.add(e.Share, e.P99, e.PerRequest)
		}
		fmt.Fprintf(out, "%.1f   sockets   %v\n%.1f   emulator  %v\n", load, &measured, load, &emulated)
	}
	return nil
}

// trialStats are the results of several seeds.
type trialStats struct{ share, p99, attempts []float64 }

// add adds the results of a seed; p99 is in ms, attempts are those of a request.
func (f *trialStats) add(share, p99, attempts float64) {
	f.share, f.p99, f.attempts = append(f.share, share), append(f.p99, p99), append(f.attempts, attempts)
}

// String formats the means and standard deviations.
func (f *trialStats) String() string {
	one := func(v []float64, format string) string {
		m, d := stat.MeanStdDev(v, nil)
		return fmt.Sprintf(format, m, d)
	}
	return one(f.share, "%.4f ± %.4f  ") + one(f.p99, "%6.1f ± %-6.1f ") + one(f.attempts, "%.3f ± %.3f")
}

// newTrialScenario returns the emulator's scenario of a trial.
func newTrialScenario(s loadbench.Spec) (*emulate.Scenario, error) {
	one, err := fakeserver.NewServer("s0") // the operator file must have a server; the emulator does not use it
	if err != nil {
		return nil, err
	}
	defer one.Close()
	cfg, err := operator.Parse("trial.toml", []byte(s.OperatorConfig([]*fakeserver.Server{one})))
	if err != nil {
		return nil, err
	}
	sc := &emulate.Scenario{}
	sc.SetDefaults()
	sc.Name, sc.For, sc.Warmup, sc.Pool = "trial", emulate.Duration(s.Duration), 0, cfg.Pools[0]
	sc.Copies.Open = 4096
	sc.Servers = emulate.ServerSpec{Count: s.Servers, Cores: s.Cores, Queue: 1 << 20, Connections: 1 << 20, Cells: 1, ColdFrom: 1}
	sc.Network = emulate.Network{Delay: emulate.Duration(50 * time.Microsecond), Jitter: emulate.Duration(20 * time.Microsecond)}
	sc.Demand = emulate.Demand{Rate: s.Rate, Callers: s.Callers}
	for _, c := range s.Classes {
		sc.Work = append(sc.Work, emulate.Work{Class: c.Name, Part: c.Share, Mean: emulate.Duration(c.MeanWork), Shape: "exponential"})
	}
	return sc, nil
}

// measureEmulator measures the speed of the emulator with fleets of many sidecars, and their memory.
func measureEmulator(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("emulate-size", flag.ContinueOnError)
	path := flags.String("scenario", "deploy/scenarios/replace.toml", "path of the scenario")
	large := flags.Bool("large", false, "also measure 1,000 replicas over 10,000 servers with subsets of 20")
	if err := flags.Parse(args); err != nil {
		return err
	}
	fmt.Fprintln(out, "copies  servers  requests/s  events     events/s  wall s  heap MB  KB/copy  share   breaks")
	sizes := []struct {
		replicas, servers int
		subset            int
	}{{10, 18, 0}, {100, 180, 0}, {1000, 1800, 0}, {1000, 1800, 20}}
	if *large {
		sizes = append(sizes, struct{ replicas, servers, subset int }{1000, 10_000, 20})
	}
	for _, s := range sizes {
		rate := 1400. / 18 * float64(s.servers)
		sc, err := emulate.Load(*path, fmt.Sprintf("copies.count=%d", s.replicas), fmt.Sprintf("servers.count=%d", s.servers),
			fmt.Sprintf("demand.rate=%f", min(rate, 60_000)), fmt.Sprintf("pool.subset=%d", s.subset), "for=20s")
		if err != nil {
			return err
		}
		begun := time.Now()
		var r *emulate.Result
		heap := float64(peakHeapGrowth(func() { r, err = emulate.Run(sc, 1) })) / 1e6
		if err != nil {
			return err
		}
		took := time.Since(begun).Seconds()
		fmt.Fprintf(out, "%6d  %7d  %10.0f  %9d  %8.0f  %6.1f  %7.0f  %7.0f  %.4f  %d\n", s.replicas, s.servers, min(rate, 60_000), r.Events,
			float64(r.Events)/took, took, heap, 1000*heap/float64(s.replicas), r.Share, r.ViolationCount)
	}
	return nil
}

// heapSampleInterval is the interval at which the heap is read.
const heapSampleInterval = 200 * time.Millisecond

// peakHeapGrowth returns the most by which the heap grew while f ran, in bytes.
func peakHeapGrowth(f func()) uint64 {
	var before, sample runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	peak := before.HeapInuse
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(heapSampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				runtime.ReadMemStats(&sample)
				peak = max(peak, sample.HeapInuse)
			case <-stop:
				return
			}
		}
	}()
	f()
	close(stop)
	<-ended
	return peak - before.HeapInuse
}
