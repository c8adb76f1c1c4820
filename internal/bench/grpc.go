package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"milletmast/internal/bench/procstat"
	"milletmast/internal/freeport"
)

// This file compares the sidecar with a minimal proxy that uses the UnknownServiceHandler of grpc-go. Servers and callers use grpc-go
// too, and pass messages as bytes.

// rawCodec is a codec that passes bytes.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error)      { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(data []byte, v any) error { *v.(*[]byte) = slices.Clone(data); return nil }
func (rawCodec) Name() string                       { return "raw" }

const (
	grpcConns    = 8
	openCalls    = 32 // at once, over all connections
	streamMethod = "/measure.S/Stream"
	unaryMethod  = "/measure.S/Unary"
)

// grpcCandidate is a program under test.
type grpcCandidate struct {
	name    string
	command func(addr string, servers []string) (*exec.Cmd, error) // nil if calls go directly to a server
}

// compareGRPC compares unary calls a second and their processor time, the latency that a program adds, and the memory of open streams.
func compareGRPC(c *comparison, streams []int) error {
	servers := make([]string, 2)
	for n := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		srv := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.MaxConcurrentStreams(100_000), grpc.UnknownServiceHandler(echoStream))
		go func() { _ = srv.Serve(ln) }() // ends at Stop
		defer srv.Stop()
		servers[n] = ln.Addr().String()
	}
	list := c.grpcCandidates()
	results := make([][]grpcResult, len(list))
	for round := range c.rounds {
		for k := range list {
			n := (k + round) % len(list)
			r, err := list[n].measure(servers, c.requests, streams)
			if err != nil {
				return fmt.Errorf("%s: %w", list[n].name, err)
			}
			results[n] = append(results[n], r)
		}
	}
	fmt.Printf("%d rounds of %d unary calls of 100 bytes, %d open on %d connections, %d cores, one for the program\n",
		c.rounds, c.requests, openCalls, grpcConns, runtime.NumCPU())
	printGRPCResults(list, results, streams)
	return nil
}

// grpcCandidates returns what is compared: direct calls, the minimal proxy and the sidecar.
func (c *comparison) grpcCandidates() []grpcCandidate {
	return []grpcCandidate{
		{"direct", nil},
		{"grpc-go proxy", func(addr string, servers []string) (*exec.Cmd, error) {
			return exec.Command(c.self, append([]string{"rpcproxy", addr}, servers...)...), nil
		}},
		{"sidecar", func(addr string, servers []string) (*exec.Cmd, error) {
			path, err := writeFile(c.dir, "rpc.toml", grpcConfig(addr, servers))
			return exec.Command(c.program, "serve", "-f", path), err
		}},
	}
}

// grpcConfig returns the operator file of the sidecar.
func grpcConfig(addr string, servers []string) string {
	text := "[limits]\nmemory = \"4GiB\"\nsockets = 4096\nstreams = 100000\n"
	text += fmt.Sprintf("[[listener]]\nname = \"in\"\naddress = %q\nfront = \"grpc\"\nstreams = 10000\n", addr)
	text += "[[pool]]\nname = \"p\"\nprotocol = \"grpc\"\nstreams = 10000\nstream_time = \"10m\"\n"
	text += "[[pool.class]]\nname = \"read\"\naim = \"500ms\"\ngive_up = \"5s\"\neffect = \"safe\"\n"
	text += "[[pool.class]]\nname = \"stream\"\naim = \"500ms\"\ngive_up = \"5s\"\neffect = \"unsafe\"\nstream = true\n"
	for _, s := range servers {
		text += fmt.Sprintf("[[pool.server]]\naddress = %q\n", s)
	}
	text += "[[route]]\nname = \"u\"\nexact = \"" + unaryMethod + "\"\npool = \"p\"\nclass = \"read\"\n"
	text += "[[route]]\nname = \"s\"\nexact = \"" + streamMethod + "\"\npool = \"p\"\nclass = \"stream\"\n"
	return text
}

// printGRPCResults prints the medians of the rounds. Ratios are to the minimal proxy.
func printGRPCResults(list []grpcCandidate, results [][]grpcResult, streams []int) {
	fmt.Printf("%-14s %10s %8s %12s %8s %10s %10s %14s\n", "", "calls/s", "ratio", "CPU/call us", "ratio", "p50 us", "p99 us", "not served")
	medianOf := func(n int, f func(grpcResult) float64) float64 {
		var v []float64
		for _, r := range results[n] {
			v = append(v, f(r))
		}
		return median(v)
	}
	rate, cost := func(r grpcResult) float64 { return r.rate }, func(r grpcResult) float64 { return r.cost }
	for n, c := range list {
		fmt.Printf("%-14s %10.0f %8.2f %12.1f %8.2f %10.0f %10.0f %14.0f\n", c.name, medianOf(n, rate), medianOf(n, rate)/medianOf(1, rate),
			medianOf(n, cost), medianOf(n, cost)/medianOf(1, cost), medianOf(n, func(r grpcResult) float64 { return r.p50 }),
			medianOf(n, func(r grpcResult) float64 { return r.p99 }), medianOf(n, func(r grpcResult) float64 { return float64(r.rejected) }))
	}
	for k, count := range streams {
		fmt.Printf("memory with %d open streams, KiB a stream over idle:", count)
		for n := 1; n < len(list); n++ {
			fmt.Printf("  %s %.1f", list[n].name, medianOf(n, func(r grpcResult) float64 { return r.memory[k] }))
		}
		fmt.Println()
	}
}

// grpcResult is the result of a round of one candidate.
type grpcResult struct {
	rate, cost, p50, p99 float64
	rejected             int64
	memory               []float64 // KiB a stream, by the number of streams
}

// measure starts the program, and measures it.
func (c *grpcCandidate) measure(servers []string, requests int, streams []int) (r grpcResult, err error) {
	addr, pid, stop, err := c.start(servers)
	if err != nil {
		return r, err
	}
	defer stop()
	list, closeConns, err := dialGRPC(addr)
	if err != nil {
		return r, err
	}
	defer closeConns()
	if _, _, err := makeCalls(list, grpcConns, requests/4); err != nil { // the sidecar learns the capacity of its servers
		return r, err
	}
	time.Sleep(200 * time.Millisecond)
	if err := r.measureCalls(list, requests, pid); err != nil {
		return r, err
	}
	if r.p50, r.p99, err = measureLatency(list[0], 2000); err != nil || pid == 0 {
		return r, err
	}
	idle, err := procstat.AnonymousMemory(pid)
	if err != nil {
		return r, err
	}
	for _, count := range streams {
		used, err := measureStreams(list, count, pid)
		if err != nil {
			return r, fmt.Errorf("%d streams: %w", count, err)
		}
		r.memory = append(r.memory, float64(used-idle)/1024/float64(count))
	}
	return r, nil
}

// start starts the program, if there is one. It returns the address for callers and the process id, which is 0 without a program.
func (c *grpcCandidate) start(servers []string) (addr string, pid int, stop func(), err error) {
	if c.command == nil {
		return servers[0], 0, func() {}, nil
	}
	port, err := freeport.Reserve(1)
	if err != nil {
		return "", 0, nil, err
	}
	cmd, err := c.command(port.Address(), servers)
	if err != nil {
		port.Release()
		return "", 0, nil, err
	}
	cmd.Env = append(cmd.Environ(), "GOMAXPROCS=1")
	if err := cmd.Start(); err != nil {
		port.Release()
		return "", 0, nil, err
	}
	return port.Address(), cmd.Process.Pid, func() {
		_ = cmd.Process.Kill() // fails for a process that has ended
		_ = cmd.Wait()         // reports the kill
		port.Release()
	}, nil
}

// dialGRPC opens the connections of the callers.
func dialGRPC(addr string) (list []*grpc.ClientConn, closeConns func(), err error) {
	closeConns = func() {
		for _, cc := range list {
			_ = cc.Close() // nothing is open on it any more
		}
	}
	for range grpcConns {
		cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDisableRetry(), grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{}), grpc.WaitForReady(true)))
		if err != nil {
			closeConns()
			return nil, nil, err
		}
		list = append(list, cc)
	}
	return list, closeConns, nil
}

// measureCalls measures unary calls: their rate and the processor time of the program, if there is one.
func (r *grpcResult) measureCalls(list []*grpc.ClientConn, requests, pid int) (err error) {
	before := time.Duration(0)
	if pid != 0 {
		if before, err = procstat.CPUTime(pid); err != nil {
			return err
		}
	}
	begun := time.Now()
	served, rejected, err := makeCalls(list, openCalls, requests)
	if err != nil {
		return err
	}
	r.rate, r.rejected = float64(served)/time.Since(begun).Seconds(), rejected
	if pid == 0 {
		return nil
	}
	after, err := procstat.CPUTime(pid)
	if err != nil {
		return err
	}
	r.cost = microseconds(after-before) / float64(served)
	return nil
}

// makeCalls makes unary calls, window of them at once. Rejected ones are counted and not retried.
func makeCalls(list []*grpc.ClientConn, window, count int) (served, rejected int64, err error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	var left, good, bad atomic.Int64
	left.Store(int64(count))
	var all sync.WaitGroup
	for n := range window {
		all.Go(func() {
			in, out := make([]byte, 100), []byte(nil)
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				one, done := context.WithTimeout(ctx, 10*time.Second)
				err := list[n%len(list)].Invoke(one, unaryMethod, &in, &out)
				done()
				switch {
				case err == nil:
					good.Add(1)
				case status.Code(err) == codes.Unavailable:
					bad.Add(1)
				default:
					cancel(err)
				}
			}
		})
	}
	all.Wait()
	return good.Load(), bad.Load(), context.Cause(ctx)
}

// measureLatency makes calls one after the other, and returns the median and the 99th percentile of their latency, in µs.
func measureLatency(cc *grpc.ClientConn, count int) (p50, p99 float64, err error) {
	in, out := make([]byte, 100), []byte(nil)
	times := make([]float64, 0, count)
	for range count {
		begun := time.Now()
		if err := cc.Invoke(context.Background(), unaryMethod, &in, &out); err != nil {
			return 0, 0, err
		}
		times = append(times, float64(time.Since(begun).Nanoseconds())/1000)
	}
	slices.Sort(times)
	return times[count/2], times[count*99/100], nil
}

// measureStreams opens streams, sends one message each way on each, and returns the memory of the program while they are open, in bytes.
func measureStreams(list []*grpc.ClientConn, count, pid int) (int64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	desc := &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}
	for n := range count {
		s, err := list[n%len(list)].NewStream(ctx, desc, streamMethod)
		if err != nil {
			return 0, err
		}
		m := make([]byte, 100)
		if err := s.SendMsg(&m); err != nil {
			return 0, err
		}
		if err := s.RecvMsg(&m); err != nil {
			return 0, fmt.Errorf("stream %d: %w", n, err)
		}
	}
	time.Sleep(time.Second)
	return procstat.AnonymousMemory(pid)
}

// echoStream sends each message back.
func echoStream(_ any, s grpc.ServerStream) error {
	for {
		var m []byte
		if err := s.RecvMsg(&m); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := s.SendMsg(&m); err != nil {
			return err
		}
	}
}
