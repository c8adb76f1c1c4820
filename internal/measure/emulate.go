package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"whinknot/internal/emulate"
	"whinknot/internal/operator"
	"whinknot/internal/standin"
	"whinknot/internal/trial"
)

// emulated compares the emulator with loopback trials of the same small scenarios: one sidecar over eight servers of two cores, at parts of
// what they can do. Both draw their own arrivals, so what is compared are means over seeds.
func emulated(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("emulate", flag.ContinueOnError)
	length := flags.Duration("for", 20*time.Second, "of each trial")
	seeds := flags.Int("seeds", 3, "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *seeds < 1 || *seeds > 32 || *length < time.Second || *length > time.Hour {
		return fmt.Errorf("seeds within 1 and 32 and a length within 1 s and 1 h are allowed")
	}
	const servers, cores = 8, 2
	mean := 0.0
	for _, c := range trial.Shop() {
		mean += c.Part * c.Work.Seconds()
	}
	fmt.Fprintln(out, "load  where     share            p99 ms          attempts/request")
	for _, load := range []float64{0.5, 0.7, 0.9, 1.3} {
		spec := trial.Spec{
			For: *length, Classes: trial.Shop(), Rate: load * servers * cores / mean, Callers: 1000, Servers: servers, Cores: cores,
			Speed: func(time.Duration) float64 { return 1 },
		}
		sc, err := scenarioOf(spec)
		if err != nil {
			return err
		}
		var real, played figures
		for seed := range *seeds {
			spec.Seed = uint64(seed)
			r, err := trial.Play(context.Background(), spec)
			if err != nil {
				return err
			}
			asked := 0
			for _, o := range r.Classes {
				asked += o.Asked
			}
			real.add(r.Share(), float64(r.P99.Microseconds())/1000, float64(r.Attempts)/float64(asked))
			e, err := emulate.Run(sc, uint64(seed))
			if err != nil {
				return err
			}
			played.add(e.Share, e.P99, e.PerRequest)
		}
		fmt.Fprintf(out, "%.1f   sockets   %v\n%.1f   emulator  %v\n", load, &real, load, &played)
	}
	return nil
}

// figures are those of several seeds.
type figures struct{ share, p99, attempts []float64 }

func (f *figures) add(share, p99, attempts float64) {
	f.share, f.p99, f.attempts = append(f.share, share), append(f.p99, p99), append(f.attempts, attempts)
}

func (f *figures) String() string {
	one := func(v []float64, format string) string {
		m, d := stat.MeanStdDev(v, nil)
		return fmt.Sprintf(format, m, d)
	}
	return one(f.share, "%.4f ± %.4f  ") + one(f.p99, "%6.1f ± %-6.1f ") + one(f.attempts, "%.3f ± %.3f")
}

// scenarioOf is the emulator's scenario of a trial.
func scenarioOf(s trial.Spec) (*emulate.Scenario, error) {
	one, err := standin.NewServer("s0") // the file wants a server; the emulator has its own
	if err != nil {
		return nil, err
	}
	defer one.Close()
	cfg, err := operator.Parse("trial.toml", []byte(s.File([]*standin.Server{one})))
	if err != nil {
		return nil, err
	}
	sc := &emulate.Scenario{}
	sc.SetDefaults()
	sc.Name, sc.For, sc.Warmup, sc.Pool = "trial", emulate.Duration(s.For), 0, cfg.Pools[0]
	sc.Copies.Open = 4096
	sc.Servers = emulate.Servers{Count: s.Servers, Cores: s.Cores, Queue: 1 << 20, Connections: 1 << 20, Cells: 1, ColdFrom: 1}
	sc.Network = emulate.Network{Delay: emulate.Duration(50 * time.Microsecond), Jitter: emulate.Duration(20 * time.Microsecond)}
	sc.Demand = emulate.Demand{Rate: s.Rate, Callers: s.Callers}
	for _, c := range s.Classes {
		sc.Work = append(sc.Work, emulate.Work{Class: c.Name, Part: c.Part, Mean: emulate.Duration(c.Work), Shape: "exponential"})
	}
	return sc, nil
}

// emulatedSizes tells how fast the emulator plays fleets of many copies, and what memory they take.
func emulatedSizes(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("emulate-size", flag.ContinueOnError)
	path := flags.String("scenario", "deploy/scenarios/replace.toml", "")
	large := flags.Bool("large", false, "also 1,000 copies over 10,000 servers with subsets of 20")
	if err := flags.Parse(args); err != nil {
		return err
	}
	fmt.Fprintln(out, "copies  servers  requests/s  events     events/s  wall s  heap MB  KB/copy  share   breaks")
	sizes := []struct {
		copies, servers int
		subset          int
	}{{10, 18, 0}, {100, 180, 0}, {1000, 1800, 0}, {1000, 1800, 20}}
	if *large {
		sizes = append(sizes, struct{ copies, servers, subset int }{1000, 10_000, 20})
	}
	for _, s := range sizes {
		rate := 1400. / 18 * float64(s.servers)
		sc, err := emulate.Load(*path, fmt.Sprintf("copies.count=%d", s.copies), fmt.Sprintf("servers.count=%d", s.servers),
			fmt.Sprintf("demand.rate=%f", min(rate, 60_000)), fmt.Sprintf("pool.subset=%d", s.subset), "for=20s")
		if err != nil {
			return err
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		begun, most := time.Now(), uint64(0)
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			tick := time.NewTicker(200 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					runtime.ReadMemStats(&after)
					most = max(most, after.HeapInuse)
				case <-stop:
					return
				}
			}
		}()
		r, err := emulate.Run(sc, 1)
		close(stop)
		<-ended
		if err != nil {
			return err
		}
		took := time.Since(begun).Seconds()
		heap := float64(max(most, before.HeapInuse)-before.HeapInuse) / 1e6
		fmt.Fprintf(out, "%6d  %7d  %10.0f  %9d  %8.0f  %6.1f  %7.0f  %7.0f  %.4f  %d\n", s.copies, s.servers, min(rate, 60_000), r.Events,
			float64(r.Events)/took, took, heap, 1000*heap/float64(s.copies), r.Share, r.BreakCount)
	}
	return nil
}
