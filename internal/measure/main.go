// Command measure compares the CPU that a request costs in a sidecar with what it costs elsewhere, in one run and with
// bounded load: two builds of the program in the platform's mode, and an operator listener with two pools against
// httputil.ReverseProxy, and a gRPC listener against a minimal proxy of grpc-go. Each program under test has one core (GOMAXPROCS=1); load and stand-in servers run in this
// process. docs/design/operator.md says how it was used.
//
//	go run ./internal/measure platform -old OLD -new NEW
//	go run ./internal/measure operator -program NEW
//	go run ./internal/measure grpc -program NEW
//	go run ./internal/measure import -program NEW
//	go run ./internal/measure tiers
//	go run ./internal/measure levels -for 10m -seeds 10 -svg FILE
//	go run ./internal/measure margins
//	go run ./internal/measure state
//	go run ./internal/measure emulate
//	go run ./internal/measure emulate-size -large
//	go run ./internal/measure starts -program NEW -count 10000
//	go run ./internal/measure capacity -sizes 100,300,1000,3000 -runs 3
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinknot/internal/measure/capacity"
	"whinknot/internal/rig"
	"whinknot/internal/standin"
)

const conns = 8 // a pool that has measured nothing yet takes no more than ten at two servers

func main() {
	rig.Main()
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return errors.New("needs a subcommand: platform, operator, grpc, import, tiers, levels, margins, state, emulate, emulate-size, starts or capacity")
	}
	switch args[0] {
	case "levels":
		return levels(args[1:], os.Stdout)
	case "margins":
		return margins(args[1:], os.Stdout)
	case "state":
		return kept(args[1:], os.Stdout)
	case "emulate":
		return emulated(args[1:], os.Stdout)
	case "capacity":
		return capacity.Run(args[1:], os.Stdout)
	case "starts":
		return starts(args[1:], os.Stdout)
	case "emulate-size":
		return emulatedSizes(args[1:], os.Stdout)
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	requests := flags.Int("requests", 40_000, "of each program in a round")
	rounds := flags.Int("rounds", 5, "")
	old := flags.String("old", "", "a build of the program from before")
	program := flags.String("new", "", "the build to compare")
	flags.StringVar(program, "program", "", "the same")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	if *requests < 1 || *requests > 10_000_000 || *rounds < 1 || *rounds > 100 {
		return errors.New("requests are from 1 to 10000000, rounds from 1 to 100")
	}
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	servers := make([]*standin.Server, 4)
	for i := range servers {
		if servers[i], err = standin.NewServer(fmt.Sprint("s", i)); err != nil {
			return err
		}
		defer servers[i].Close()
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	switch args[0] {
	case "proxy":
		return proxy(flags.Args())
	case "rpcproxy":
		return rpcProxy(flags.Args())
	case "tiers":
		return tiersTable(min(*requests, 2000))
	case "grpc":
		return rpc(dir, self, *program, *rounds, *requests, []int{100, 1000, 10_000})
	case "import":
		var list []candidate
		for _, n := range []int{10, 1000, 10_000} {
			list = append(list, candidate{fmt.Sprint(n, " locations"), importedProgram(*program, dir, n, servers), fmt.Sprintf("/shop/%d/x", n/2), ""})
		}
		return compare(*rounds, *requests, list)
	case "platform":
		return compare(*rounds, *requests, []candidate{
			{"old", platformProgram(*old, dir, servers), "/read/x", "X-Class: read\r\n"},
			{"new", platformProgram(*program, dir, servers), "/read/x", "X-Class: read\r\n"},
		})
	case "operator":
		return compare(*rounds, *requests, []candidate{
			{"ReverseProxy", proxyProgram(self, servers), "/a/x", ""},
			{"operator listener", operatorProgram(*program, dir, "plain", "", servers), "/a/x", ""},
			{"with contexts", operatorProgram(*program, dir, "context", "[context]\nid = \"a\"\nretries = 16\n", servers), "/a/x", ""},
		})
	}
	return fmt.Errorf("%q is no subcommand", args[0])
}

// candidate is a program under test. Its command listens at the address that it is given.
type candidate struct {
	name    string
	command func(addr string) (*exec.Cmd, error)
	path    string
	headers string
}

// compare plays rounds in which each candidate gets the same load in turn, and prints CPU a request, the ratio to the
// first, and the memory that it had before the load.
func compare(rounds, requests int, list []candidate) error {
	costs := make([][]float64, len(list))
	idle := make([][]float64, len(list))
	for round := range rounds {
		for k := range list {
			n := (k + round) % len(list) // not always in one order
			cost, memory, err := list[n].play(requests)
			if err != nil {
				return fmt.Errorf("%s: %w", list[n].name, err)
			}
			costs[n] = append(costs[n], cost)
			idle[n] = append(idle[n], memory)
		}
	}
	fmt.Printf("%d rounds of %d requests on %d connections, %d cores, one for the program\n", rounds, requests, conns, runtime.NumCPU())
	fmt.Printf("%-20s %14s %22s %10s %16s\n", "program", "CPU/request us", "least to most", "ratio", "idle memory KiB")
	first := median(costs[0])
	for n, c := range list {
		fmt.Printf("%-20s %14.1f %10.1f to %8.1f %10.3f %16.0f\n", c.name, median(costs[n]), slices.Min(costs[n]), slices.Max(costs[n]),
			median(costs[n])/first, median(idle[n]))
	}
	return nil
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// play starts a candidate, loads it and tells its CPU a request in microseconds and its memory when idle in KiB.
func (c *candidate) play(requests int) (cost, memory float64, err error) {
	addr, err := freeAddress()
	if err != nil {
		return 0, 0, err
	}
	cmd, err := c.command(addr)
	if err != nil {
		return 0, 0, err
	}
	cmd.Env = append(cmd.Environ(), "GOMAXPROCS=1")
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	if err := c.ready(addr); err != nil {
		return 0, 0, err
	}
	time.Sleep(500 * time.Millisecond)
	if memory, err = resident(cmd.Process.Pid); err != nil {
		return 0, 0, err
	}
	if err := c.load(addr, requests/10); err != nil { // warm
		return 0, 0, err
	}
	before, err := cpu(cmd.Process.Pid)
	if err != nil {
		return 0, 0, err
	}
	if err := c.load(addr, requests); err != nil {
		return 0, 0, err
	}
	after, err := cpu(cmd.Process.Pid)
	return float64(after-before) / 1000 / float64(requests), memory, err
}

// ready waits until a request is served.
func (c *candidate) ready(addr string) (err error) {
	for range 200 {
		if err = c.load(addr, 1); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// load sends requests on a few kept connections; each has to be served.
func (c *candidate) load(addr string, requests int) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	var all sync.WaitGroup
	for n := range min(conns, requests) {
		all.Go(func() {
			if err := c.talk(ctx, addr, n, (requests+n)/min(conns, requests)); err != nil {
				cancel(err)
			}
		})
	}
	all.Wait()
	return context.Cause(ctx)
}

func (c *candidate) talk(ctx context.Context, addr string, n, requests int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Minute))
	reader := bufio.NewReader(conn)
	for k := 0; k < requests && ctx.Err() == nil; k++ {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%sX-Request-Id: %d-%d-%x\r\n\r\n", c.path, c.headers, n, k, rand.Uint32())
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d of request %d", res.StatusCode, k)
		}
	}
	return nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// cpu is the time that the threads of a process have run, in nanoseconds (proc(5), schedstat).
func cpu(pid int) (sum int64, err error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // a thread that has just ended
		}
		ran, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	if sum == 0 {
		return 0, errors.New("the system does not tell the CPU time of threads")
	}
	return sum, nil
}

// resident is the memory of a process that is not shared with files, in KiB (RssAnon of proc(5)).
func resident(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
		}
	}
	return 0, errors.New("the system does not tell a process's memory")
}

func write(dir, name, text string) (string, error) {
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// platformProgram runs a build as the platform does, with its list known and a discovery that says nothing.
func platformProgram(bin, dir string, servers []*standin.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		var targets []string
		for i, s := range servers {
			targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"az":"z","state":"Ready"}`, i, s.Addr()))
		}
		path, err := write(dir, "platform.json", fmt.Sprintf(`{"name":"m","listen":%q,"discovery":"127.0.0.1:1","seed":"1",
			"limits":{"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[%s]},
			"settings":{"stages":["a"],"zones":["z"],"membershipMode":"on_request","limits":{"maxAttempts":4,"cancel":true},
			"safety":{"askEvery":1000000},"classes":[{"name":"read","aim":500,"giveUp":2000,"effect":"read_like"}]}}`,
			addr, strings.Join(targets, ",")))
		cmd := exec.Command(bin)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
		return cmd, err
	}
}

// operatorProgram runs a build by an operator file with two pools of two servers.
func operatorProgram(bin, dir, name, more string, servers []*standin.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		text := more + fmt.Sprintf("[[listener]]\nname = \"in\"\naddress = %q\n", addr)
		for i, name := range []string{"a", "b"} {
			text += fmt.Sprintf("[[pool]]\nname = %q\nleaf = true\n[[pool.class]]\nname = \"read\"\naim = \"500ms\"\ngive_up = \"2s\"\neffect = \"safe\"\n", name)
			for _, s := range servers[2*i : 2*i+2] {
				text += fmt.Sprintf("[[pool.server]]\naddress = %q\n", s.Addr())
			}
			text += fmt.Sprintf("[[route]]\nname = %q\nprefix = \"/%s\"\npool = %q\nclass = \"read\"\n", name, name, name)
		}
		path, err := write(dir, name+".toml", text)
		return exec.Command(bin, "serve", "-f", path), err
	}
}

// proxyProgram runs this program as a reverse proxy of the standard library over the same pools.
func proxyProgram(self string, servers []*standin.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		args := []string{"proxy", addr}
		for _, s := range servers {
			args = append(args, s.Addr())
		}
		return exec.Command(self, args...), nil
	}
}

// proxy is that reverse proxy: its first argument is where it listens, the others are two servers each of two pools.
func proxy(args []string) error {
	if len(args) != 5 {
		return errors.New("proxy needs an address and four servers")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4 * conns}
	mux := http.NewServeMux()
	for i, prefix := range []string{"/a/", "/b/"} {
		pool := args[1+2*i : 3+2*i]
		mux.Handle(prefix, &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: pool[rand.IntN(len(pool))]})
			r.SetXForwarded()
		}})
	}
	server := &http.Server{Addr: args[0], Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return server.ListenAndServe()
}
