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
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"

	"whinknot"
	"whinknot/internal/operator"
	"whinknot/internal/sidecar"
	"whinknot/internal/standin"
	"whinknot/internal/state"
)

const firstSeconds = 5 * time.Second // after a restart

// kept measures what a kept state is worth over sockets: sidecars serve for a while, end, and others start in their place, with what the
// first had learned or without; the same where all servers were replaced meanwhile. And what keeping costs.
func kept(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("state", flag.ContinueOnError)
	seeds := flags.Int("seeds", 20, "")
	load := flags.Float64("load", 0.7, "of what the servers can do")
	copies := flags.Int("copies", 12, "sidecars, all restarted at once")
	sizes := flags.Bool("sizes", false, "only what keeping costs")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *sizes {
		return keptSizes(out)
	}
	if *copies < 1 || *copies > 100 {
		return fmt.Errorf("1 to 100 copies are allowed")
	}
	if *seeds < 2 || *seeds > 100 || !(*load > 0 && *load <= 2) {
		return fmt.Errorf("2 to 100 seeds and a load of up to 2 are allowed")
	}
	fmt.Fprintf(out, "first %v after %d sidecars restart at once, %d seeds, 12 servers of two cores, one of which fails, at %.1f of what they can do\n",
		firstSeconds, *copies, *seeds, *load)
	for _, replaced := range []bool{false, true} {
		var refused, served [2][]float64
		for seed := range *seeds {
			for i, warm := range []bool{false, true} {
				r, s, err := restart(uint64(seed), *load, *copies, warm, replaced)
				if err != nil {
					return err
				}
				refused[i], served[i] = append(refused[i], r), append(served[i], s)
			}
		}
		word := "the same servers"
		if replaced {
			word = "all servers replaced meanwhile"
		}
		for i, name := range []string{"cold", "warm"} {
			r, rs := stat.MeanStdDev(refused[i], nil)
			s, ss := stat.MeanStdDev(served[i], nil)
			fmt.Fprintf(out, "%-31s %s  refused %.1f ± %.1f requests  served in time %.4f ± %.4f\n", word, name, r, rs, s, ss)
		}
	}
	return keptSizes(out)
}

// restart plays one restart and gives the requests refused and the share served in time in the first seconds after it.
func restart(seed uint64, load float64, copies int, warm, replaced bool) (refused, served float64, err error) {
	dir, err := os.MkdirTemp("", "state")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(dir)
	s := &site{list: filepath.Join(dir, "servers.toml")}
	fill := func(started time.Time) error {
		for i := range 12 {
			if err := s.add(fmt.Sprint("s", i, started.UnixNano()), started); err != nil {
				return err
			}
		}
		s.members[len(s.members)-12].server.Fault(standin.RefuseConn)
		return s.write()
	}
	if err := fill(time.Time{}); err != nil {
		return 0, 0, err
	}
	defer func() {
		for _, m := range s.members {
			m.server.Close()
		}
	}()
	rate := load * 11 * 2 / marginWork.Seconds()
	for life := range 2 {
		if life == 1 && replaced {
			for _, m := range s.members {
				m.gone = true
			}
			if err := fill(time.Now().Add(-coldRamp)); err != nil { // warm by now, but another life
				return 0, 0, err
			}
		}
		var addrs []string
		var running sync.WaitGroup
		ctx, stop := context.WithCancel(context.Background())
		for rank := range copies {
			one, err := begin(s, dir, rank, copies, warm)
			if err != nil {
				stop()
				running.Wait()
				return 0, 0, err
			}
			running.Go(func() { one.Run(ctx) })
			addrs = append(addrs, one.Addresses()["in"])
		}
		s.asked, s.served, s.refused, s.inTime = 0, 0, 0, 0
		s.steady(addrs, rate, firstSeconds, seed)
		stop()
		running.Wait()
	}
	return float64(s.refused), float64(s.inTime) / float64(max(s.asked, 1)), nil
}

// begin starts one sidecar, with a state of its own if it is to start warm.
func begin(s *site, dir string, rank, copies int, warm bool) (*sidecar.Instance, error) {
	cfg, err := operator.Parse(filepath.Join(dir, "file.toml"), []byte(s.file(rank, copies)))
	if err != nil {
		return nil, err
	}
	if !warm {
		return sidecar.NewInstance(cfg, nil)
	}
	store, had, _, err := state.Open(filepath.Join(dir, fmt.Sprint("state", rank)), "one")
	if err != nil {
		return nil, err
	}
	return sidecar.NewKeptInstance(cfg, nil, &sidecar.Keeping{Store: store, Had: had, Every: 500 * time.Millisecond})
}

// steady sends a seeded load to sidecars.
func (s *site) steady(addrs []string, rate float64, length time.Duration, seed uint64) {
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
		open.Go(func() { s.ask(addr) })
	}
}

// keptSizes tells what a snapshot of so many servers takes on the disk, and how long it takes to write and to read at a start.
func keptSizes(out io.Writer) error {
	dir, err := os.MkdirTemp("", "state")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Fprintln(out, "servers  file KB  write ms  start ms  CPU ms a write")
	for _, n := range []int{20, 1000, 10_000} {
		p := state.Pool{Module: "m", Memory: whinknot.Memory{At: 1e12, Room: 3}}
		r := rand.New(rand.NewPCG(1, uint64(n)))
		for i := range n {
			p.Servers = append(p.Servers, fmt.Sprintf("box-%d.example.org:8443", i))
			p.Memory.Servers = append(p.Memory.Servers, whinknot.ServerMemory{Server: r.Uint32(), Load: 100 * r.Float64(), MaxLoad: 200 * r.Float64(), Pace: r.Float64(), Started: 1e12 * r.Float64()})
		}
		path := filepath.Join(dir, fmt.Sprint(n))
		s, _, _, err := state.Open(path, "one")
		if err != nil {
			return err
		}
		const writes = 20
		before, begun := ownCPU(), time.Now()
		for range writes {
			if err := s.PutPools(map[string]state.Pool{"p": p}); err != nil {
				return err
			}
		}
		wrote, spent := time.Since(begun)/writes, (ownCPU()-before)/writes
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
		fmt.Fprintf(out, "%7d  %7.1f  %8.2f  %8.2f  %8.2f\n", n, float64(info.Size())/1000, wrote.Seconds()*1000, time.Since(begun).Seconds()*1000, spent.Seconds()*1000)
		s.Close()
	}
	return nil
}

// ownCPU is the processor time of this process so far.
func ownCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
