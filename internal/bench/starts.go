package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletmast/internal/fakeserver"
	"milletmast/internal/testcluster"
)

// The kinds of starts. startKinds has the order in which they are made.
const (
	startPlain  = "plain"    // must be ready in time, and end at SIGTERM
	startTerm   = "SIGTERM"  // gets SIGTERM early: must end in time, with any status
	startHup    = "SIGHUP"   // gets SIGHUP early: must be ready in time
	startTaken  = "taken"    // the port is in use: must end with an error
	startBroken = "no file"  // without a configuration file: must end with an error
	startStop   = "standing" // suspended early for 100 ms: must be ready in time
)

var startKinds = []string{startPlain, startTerm, startHup, startPlain, startStop, startTaken, startPlain, startBroken}

// Limits of the options, and the ports of the starts.
const (
	maxStarts      = 1_000_000
	maxAtOnce      = 200
	maxSignalDelay = 40 * time.Millisecond // upper bound of the time from the start to an early signal
	firstPort      = 12_000                // below the kernel's range of ephemeral ports
	portCount      = 18_000
)

// startStats are the results of a kind of starts.
type startStats struct {
	starts, failures int
	times            []time.Duration // from the start until it is ready
}

// startOptions are the options of measureStarts.
type startOptions struct {
	program string
	count   int
	atOnce  int
	busy    int           // other processes that keep a core busy each
	timeout time.Duration // for a start to be ready or to have ended
	shell   string        // command, with %s for the path of the program
	logPath string        // of the output of starts that failed
}

// parseStartOptions parses the flags of measureStarts.
func parseStartOptions(args []string) (*startOptions, error) {
	o := &startOptions{}
	flags := flag.NewFlagSet("starts", flag.ContinueOnError)
	flags.StringVar(&o.program, "program", "bin/milletmast", "the build to start")
	flags.IntVar(&o.count, "count", 10_000, "number of starts")
	flags.IntVar(&o.atOnce, "at-once", 100, "starts at the same time")
	flags.IntVar(&o.busy, "busy", runtime.NumCPU(), "other processes that keep a core busy each")
	flags.DurationVar(&o.timeout, "within", 20*time.Second, "for a start to be ready or to have ended")
	flags.StringVar(&o.shell, "run", "exec %s", "the shell's command, with %s for the program")
	flags.StringVar(&o.logPath, "keep", "starts.log", "file for the output of failed starts")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if o.count < 1 || o.count > maxStarts || o.atOnce < 1 || o.atOnce > maxAtOnce || o.busy < 0 || o.busy > 64 ||
		o.timeout < time.Second || strings.Count(o.shell, "%s") != 1 {
		return nil, fmt.Errorf("-count %d, -at-once %d, -busy %d, -within %v, -run %q: allowed are 1 to %d, 1 to %d, 0 to 64, 1s or more, "+
			"and a command with one %%s", o.count, o.atOnce, o.busy, o.timeout, o.shell, maxStarts, maxAtOnce)
	}
	return o, nil
}

// measureStarts starts and stops the program many times in the platform's mode, many at once, and reports the starts that were neither
// ready nor ended with an error in time. A process that hangs is made to print its goroutines, and its output is kept.
func measureStarts(args []string, out io.Writer) error {
	options, err := parseStartOptions(args)
	if err != nil {
		return err
	}
	path, err := filepath.Abs(options.program)
	if err != nil {
		return err
	}
	cluster, err := testcluster.New()
	if err != nil {
		return err
	}
	defer cluster.Close()
	server, err := fakeserver.NewServer("s")
	if err != nil {
		return err
	}
	defer server.Close()
	for i := range options.busy {
		if _, err := cluster.Start(testcluster.ProcessSpec{Name: fmt.Sprint("busy-", i), Role: "burn"}); err != nil {
			return err
		}
	}
	begun := time.Now()
	results := &startResults{stats: map[string]*startStats{}}
	numbers := make(chan int)
	var workers sync.WaitGroup
	for worker := range options.atOnce {
		workers.Go(func() {
			for n := range numbers {
				s := &startTrial{
					cluster: cluster, command: fmt.Sprintf(options.shell, path), number: n, worker: worker, kind: startKinds[n%len(startKinds)],
					timeout: options.timeout, server: server.Addr(), random: rand.New(rand.NewPCG(uint64(n), 5)),
				}
				took, err := s.run()
				results.add(s, took, err)
			}
		})
	}
	for n := range options.count {
		numbers <- n
	}
	close(numbers)
	workers.Wait()
	fmt.Fprintf(out, "%d starts of %s, %d at once, %d other processes busy on %d cores, %v\n", options.count, options.program, options.atOnce,
		options.busy, runtime.NumCPU(), time.Since(begun).Round(time.Second))
	failures := results.print(out)
	if failures == 0 {
		return nil
	}
	if err := os.WriteFile(options.logPath, []byte(results.log.String()), 0o600); err != nil {
		return err
	}
	return fmt.Errorf("%d starts failed; their output is in %s", failures, options.logPath)
}

// maxStartLog is the size beyond which no further output of failed starts is kept, in bytes.
const maxStartLog = 4 << 20

// startResults collects the results of starts. It is safe for concurrent use.
type startResults struct {
	mu    sync.Mutex
	stats map[string]*startStats // by kind
	log   strings.Builder        // output of failed starts
}

// add adds the result of a start.
func (r *startResults) add(s *startTrial, took time.Duration, failure error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.stats[s.kind]
	if c == nil {
		c = &startStats{}
		r.stats[s.kind] = c
	}
	c.starts++
	if took > 0 {
		c.times = append(c.times, took)
	}
	if failure == nil {
		return
	}
	c.failures++
	if r.log.Len() < maxStartLog {
		fmt.Fprintf(&r.log, "== start %d, %s: %v\n%s\n", s.number, s.kind, failure, s.output)
	}
}

// print prints the results by kind, and returns the number of failures.
func (r *startResults) print(out io.Writer) (failures int) {
	fmt.Fprintf(out, "%-10s %8s %8s %14s %14s %14s\n", "start", "count", "wrong", "ready p50", "p99", "latest")
	for _, kind := range slices.Compact(slices.Sorted(slices.Values(startKinds))) {
		c := r.stats[kind]
		if c == nil {
			continue
		}
		failures += c.failures
		slices.Sort(c.times)
		fmt.Fprintf(out, "%-10s %8d %8d %14v %14v %14v\n", kind, c.starts, c.failures, c.percentile(50), c.percentile(99), c.percentile(100))
	}
	return failures
}

// percentile returns a percentile of the times, which are sorted; 0 for none.
func (c *startStats) percentile(p int) time.Duration {
	if len(c.times) == 0 {
		return 0
	}
	return c.times[min(len(c.times)*p/100, len(c.times)-1)].Round(100 * time.Microsecond)
}

// startTrial is one start of the program and its end.
type startTrial struct {
	cluster *testcluster.Cluster
	command string
	number  int
	worker  int
	kind    string
	timeout time.Duration
	server  string
	random  *rand.Rand
	output  string
}

// run starts the program as its kind says. It returns the time until it was ready, which is 0 for kinds that do not get ready.
func (s *startTrial) run() (time.Duration, error) {
	addr := fmt.Sprint("127.0.0.1:", firstPort+s.number%portCount)
	if s.kind == startTaken {
		addr = s.server
	}
	name := fmt.Sprint("start-", s.worker) // the starts of a worker share a folder
	path := filepath.Join(s.cluster.Dir, fmt.Sprint("config-", s.worker, ".json"))
	if s.kind == startBroken {
		path += ".none"
	} else if err := os.WriteFile(path, []byte(s.config(addr)), 0o600); err != nil {
		return 0, err
	}
	env := []string{"RELAY_CONFIG=" + path, "GOTRACEBACK=all"}
	if s.number%2 == 1 {
		env = append(env, "GOMAXPROCS=1")
	}
	p, err := s.cluster.Start(testcluster.ProcessSpec{
		Name: name, Path: "/bin/sh", Args: []string{"-c", s.command}, Env: env, MaxDescriptors: 256,
	})
	if err != nil {
		return 0, err
	}
	defer func() { s.output = p.Output.String() }()
	defer p.Kill()
	early := time.Duration(s.random.Int64N(int64(maxSignalDelay)))
	switch s.kind {
	case startTerm:
		time.Sleep(early)
		_ = p.Signal(syscall.SIGTERM) // signals fail for a process that has ended, which the waits below detect
		return 0, s.waitEnd(p, false)
	case startHup:
		time.Sleep(early)
		_ = p.Signal(syscall.SIGHUP)
	case startStop:
		time.Sleep(early)
		_ = p.Suspend()
		time.Sleep(100 * time.Millisecond)
		_ = p.Resume()
	case startTaken, startBroken:
		return 0, s.waitEnd(p, true)
	}
	if err := s.waitReady(p, addr); err != nil {
		s.dumpGoroutines(p)
		return 0, err
	}
	took := p.Lifetime()
	_ = p.Signal(syscall.SIGTERM)
	return took, s.waitEnd(p, false)
}

// waitEnd waits for the end of the process, and with withError also checks that it ended with an error.
func (s *startTrial) waitEnd(p *testcluster.Process, withError bool) error {
	select {
	case <-p.Ended():
	case <-time.After(s.timeout):
		s.dumpGoroutines(p)
		return fmt.Errorf("the process has not ended within %v", s.timeout)
	}
	if withError && (p.ExitCode() != 1 || !strings.Contains(p.Output.String(), "milletmast:")) {
		return fmt.Errorf("the process ended without status 1 and an error message: %s", p.Status())
	}
	return nil
}

// dumpGoroutines makes a process that hangs print its goroutines.
func (s *startTrial) dumpGoroutines(p *testcluster.Process) {
	if p.Signal(syscall.SIGQUIT) == nil {
		select {
		case <-p.Ended():
		case <-time.After(5 * time.Second):
		}
	}
}

// errNotReady is wrapped by the error of a process that is not ready in time.
var errNotReady = errors.New("not ready")

// waitReady waits until the process reports that it is ready.
func (s *startTrial) waitReady(p *testcluster.Process, addr string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for p.Lifetime() < s.timeout {
		if !p.IsRunning() {
			return fmt.Errorf("the process ended before it was ready: %s", p.Status())
		}
		if res, err := client.Get("http://" + addr + "/-/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("%w within %v", errNotReady, s.timeout)
}

// config returns the configuration of the program.
func (s *startTrial) config(addr string) string {
	return fmt.Sprintf(`{"name":"m","listen":%q,"discovery":"127.0.0.1:1","seed":"1",
		"limits":{"memory_mb":64,"sockets":256},"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":%q,"az":"z","state":"Ready"}]},
		"settings":{"stages":["a"],"zones":["z"],"membershipMode":"on_request","limits":{"maxAttempts":4,"cancel":true},
		"safety":{"askEvery":1000000},"classes":[{"name":"read","aim":500,"giveUp":2000,"effect":"read_like"}]}}`, addr, s.server)
}
