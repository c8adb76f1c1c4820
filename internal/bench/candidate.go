package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"time"

	"milletmast/internal/bench/procstat"
	"milletmast/internal/freeport"
)

// loadConns is the number of connections of the load. It is below the ten requests that a pool of two servers accepts before it has
// measurements.
const loadConns = 8

// loadTimeout is the time limit for all requests of a connection.
const loadTimeout = 5 * time.Minute

// candidate is a program under test. Its command listens at an address.
type candidate struct {
	name    string
	command func(addr string) (*exec.Cmd, error)
	path    string
	headers string // additional header lines of each request
}

// compare gives each candidate the same load in rounds, and prints the processor time of a request, its ratio to the first candidate and
// the memory before the load.
func compare(rounds, requests int, candidates []candidate) error {
	costs := make([][]float64, len(candidates))
	idle := make([][]float64, len(candidates))
	for round := range rounds {
		for k := range candidates {
			n := (k + round) % len(candidates) // another one is the first in each round
			cost, memory, err := candidates[n].measure(requests)
			if err != nil {
				return fmt.Errorf("%s: %w", candidates[n].name, err)
			}
			costs[n] = append(costs[n], cost)
			idle[n] = append(idle[n], memory)
		}
	}
	fmt.Printf("%d rounds of %d requests on %d connections, %d cores, one for the program\n", rounds, requests, loadConns, runtime.NumCPU())
	fmt.Printf("%-20s %14s %22s %10s %16s\n", "program", "CPU/request us", "least to most", "ratio", "idle memory KiB")
	first := median(costs[0])
	for n, c := range candidates {
		fmt.Printf("%-20s %14.1f %10.1f to %8.1f %10.3f %16.0f\n", c.name, median(costs[n]), slices.Min(costs[n]), slices.Max(costs[n]),
			median(costs[n])/first, median(idle[n]))
	}
	return nil
}

// median returns the upper median of values.
func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// measure starts a candidate and loads it. It returns the processor time of a request in µs and the memory before the load in KiB.
func (c *candidate) measure(requests int) (cost, memory float64, err error) {
	port, err := freeport.Reserve(1)
	if err != nil {
		return 0, 0, err
	}
	defer port.Release()
	addr := port.Address()
	cmd, err := c.command(addr)
	if err != nil {
		return 0, 0, err
	}
	cmd.Env = append(cmd.Environ(), "GOMAXPROCS=1")
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	defer func() {
		_ = cmd.Process.Kill() // fails for a process that has ended
		_ = cmd.Wait()         // reports the kill
	}()
	if err := c.waitReady(addr); err != nil {
		return 0, 0, err
	}
	time.Sleep(500 * time.Millisecond)
	bytes, err := procstat.AnonymousMemory(cmd.Process.Pid)
	if err != nil {
		return 0, 0, err
	}
	if err := c.sendLoad(addr, requests/10); err != nil { // warm-up
		return 0, 0, err
	}
	before, err := procstat.CPUTime(cmd.Process.Pid)
	if err != nil {
		return 0, 0, err
	}
	if err := c.sendLoad(addr, requests); err != nil {
		return 0, 0, err
	}
	after, err := procstat.CPUTime(cmd.Process.Pid)
	return microseconds(after-before) / float64(requests), float64(bytes) / 1024, err
}

// microseconds returns a duration in µs.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// waitReady waits until a request is served.
func (c *candidate) waitReady(addr string) (err error) {
	for range 200 {
		if err = c.sendLoad(addr, 1); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// sendLoad sends requests on loadConns connections. It returns an error unless each of them is served.
func (c *candidate) sendLoad(addr string, requests int) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	var all sync.WaitGroup
	for n := range min(loadConns, requests) {
		all.Go(func() {
			if err := c.sendOn(ctx, addr, n, (requests+n)/min(loadConns, requests)); err != nil {
				cancel(err)
			}
		})
	}
	all.Wait()
	return context.Cause(ctx)
}

// sendOn sends requests one after the other on a connection.
func (c *candidate) sendOn(ctx context.Context, addr string, n, requests int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(loadTimeout)); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for k := 0; k < requests && ctx.Err() == nil; k++ {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%sX-Request-Id: %d-%d-%x\r\n\r\n", c.path, c.headers, n, k, rand.Uint32())
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		if err := errors.Join(err, res.Body.Close()); err != nil {
			return err
		}
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d of request %d", res.StatusCode, k)
		}
	}
	return nil
}
