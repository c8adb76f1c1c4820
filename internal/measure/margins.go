package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"whinknot/internal/operator"
	"whinknot/internal/sidecar"
	"whinknot/internal/standin"
)

const (
	listEvery  = 10 * time.Millisecond // between two looks of a sidecar at the list
	marginAim  = 250 * time.Millisecond
	marginWait = 600 * time.Millisecond // a client's time
	marginWork = 15 * time.Millisecond
	coldRamp   = 3 * time.Second
	coldFrom   = 0.3
)

// margins tells how near many small sidecars come to breaking the rules, over sockets: half of the servers are replaced, one by one, under
// a load that ends in an overload. It is for comparing builds within a minute, not a test.
func margins(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("margins", flag.ContinueOnError)
	copies := flags.Int("copies", 20, "sidecars")
	servers := flags.Int("servers", 12, "")
	length := flags.Duration("for", 20*time.Second, "")
	load := flags.Float64("load", 0.7, "of what the servers can do; doubled in the last quarter")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *copies < 1 || *copies > 200 || *servers < 2 || *servers > 100 || *length < 4*time.Second || *length > 10*time.Minute || !(*load > 0 && *load <= 2) {
		return fmt.Errorf("copies within 1 and 200, servers within 2 and 100, 4 s to 10 min and a load of up to 2 are allowed")
	}
	dir, err := os.MkdirTemp("", "margins")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &site{list: filepath.Join(dir, "servers.toml"), begun: time.Now()}
	for i := range *servers {
		if err := s.add(fmt.Sprint("s", i), time.Time{}); err != nil {
			return err
		}
	}
	defer func() {
		for _, m := range s.members {
			m.server.Close()
		}
	}()
	if err := s.write(); err != nil {
		return err
	}
	var addrs []string
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); running.Wait() }()
	var instances []*sidecar.Instance
	for i := range *copies {
		cfg, err := operator.Parse(filepath.Join(dir, "margins.toml"), []byte(s.file(i, *copies)))
		if err != nil {
			return err
		}
		one, err := sidecar.NewInstance(cfg, nil)
		if err != nil {
			return err
		}
		running.Go(func() { one.Run(ctx) })
		instances, addrs = append(instances, one), append(addrs, one.Addresses()["in"])
	}
	rate := *load * float64(*servers*2) / marginWork.Seconds()
	told := s.play(addrs, rate, *length, instances)
	s.report(out, told)
	return nil
}

// member is a server and what became of it.
type member struct {
	server  *standin.Server
	started time.Time // of a cold one
	drained time.Time // when the list said so
	gone    bool
}

// site is the servers and the list that tells of them.
type site struct {
	list    string
	begun   time.Time
	members []*member

	mu                                     sync.Mutex
	asked, served, refused, failed, broken int
	inTime                                 int           // of those served
	latest                                 time.Duration // answer past its client's time
	conns, callers                         int           // most of one sidecar
	heap                                   uint64
}

func (s *site) add(name string, started time.Time) error {
	v, err := standin.NewServer(name)
	if err != nil {
		return err
	}
	v.Cores(2)
	draw := standin.Exponential(marginWork, uint64(len(s.members)))
	v.WorkBy(func() time.Duration { return time.Duration(float64(draw()) / warmth(started, time.Now())) })
	s.members = append(s.members, &member{server: v, started: started})
	return nil
}

// warmth is the part of its capacity that a server has at a time.
func warmth(started, now time.Time) float64 {
	if started.IsZero() || now.Sub(started) >= coldRamp {
		return 1
	}
	return coldFrom + (1-coldFrom)*max(now.Sub(started).Seconds(), 0)/coldRamp.Seconds()
}

// write tells all sidecars of the servers at once.
func (s *site) write() error {
	var b strings.Builder
	for _, m := range s.members {
		if m.gone {
			continue
		}
		fmt.Fprintf(&b, "[[server]]\nid = %q\naddress = %q\n", m.server.Name, m.server.Addr())
		if !m.drained.IsZero() {
			b.WriteString("state = \"draining\"\n")
		}
		if !m.started.IsZero() {
			fmt.Fprintf(&b, "started = %q\n", m.started.UTC().Format(time.RFC3339Nano))
		}
	}
	next := s.list + ".next"
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.list)
}

func (s *site) file(rank, copies int) string {
	return fmt.Sprintf(`[limits]
drain = "500ms"
sockets = 256
cores = 8
[[listener]]
name = "in"
address = "127.0.0.1:0"
[[pool]]
name = "p"
copies = %d
rank = %d
ramp = %q
cold_from = %v
connect_timeout = "100ms"
[pool.source]
type = "file"
path = %q
every = %q
[[pool.class]]
name = "read"
aim = %q
give_up = %q
effect = "safe"
[[route]]
name = "all"
prefix = "/"
pool = "p"
class = "read"
`, copies, rank, coldRamp, coldFrom, s.list, listEvery, marginAim, marginWait)
}

// play sends the load and replaces half of the servers meanwhile.
func (s *site) play(addrs []string, rate float64, length time.Duration, instances []*sidecar.Instance) (replaced int) {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var open sync.WaitGroup
	half := len(s.members) / 2
	open.Go(func() {
		tick := time.NewTicker(length / 2 / time.Duration(half))
		defer tick.Stop()
		for i := range half {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			s.members[i].drained = time.Now()
			if s.add(fmt.Sprint("n", i), time.Now()) != nil || s.write() != nil {
				return
			}
			replaced++
		}
	})
	open.Go(func() {
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
			s.heap = max(s.heap, m.HeapInuse)
			for _, i := range instances {
				st := i.Status()
				s.callers, s.conns = max(s.callers, st.Callers), max(s.conns, st.Pools[0].Connections)
			}
		}
	})
	r := rand.New(rand.NewPCG(1, 1))
	for at := time.Duration(0); ; {
		now := rate
		if at > length*3/4 {
			now *= 2
		}
		at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		addr := addrs[r.IntN(len(addrs))]
		select {
		case <-time.After(time.Until(s.begun.Add(at))):
			open.Go(func() { s.ask(addr) })
			continue
		case <-ctx.Done():
		}
		break
	}
	open.Wait()
	return replaced
}

// ask sends one request on a connection of its own.
func (s *site) ask(addr string) {
	c, err := net.Dial("tcp", addr)
	status := 0
	began := time.Now()
	if err == nil {
		defer c.Close()
		c.SetDeadline(began.Add(marginWait + 2*time.Second))
		fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\nX-Deadline: %.3f\r\n\r\n", marginWait.Seconds())
		var res *http.Response
		if res, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			status = res.StatusCode
			res.Body.Close()
		}
	}
	late := time.Since(began) - marginWait
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	switch {
	case err != nil:
		s.broken++
		return
	case status == http.StatusOK:
		s.served++
		if late+marginWait <= marginAim {
			s.inTime++
		}
	case status == http.StatusServiceUnavailable:
		s.refused++
	default:
		s.failed++
	}
	s.latest = max(s.latest, late)
}

// report tells the margins.
func (s *site) report(out io.Writer, replaced int) {
	lastNew, cold := time.Duration(0), 0.0
	for _, m := range s.members {
		records := m.server.Records()
		for _, r := range records {
			if !m.drained.IsZero() && r.At.After(m.drained) {
				lastNew = max(lastNew, r.At.Sub(m.drained))
			}
		}
		if m.started.IsZero() {
			continue
		}
		slices.SortFunc(records, func(a, b standin.Record) int { return a.At.Compare(b.At) })
		from := 0
		for to, r := range records {
			for r.At.Sub(records[from].At) > time.Second {
				from++
			}
			if r.At.Sub(m.started) < coldRamp {
				cold = max(cold, float64(to-from+1)*marginWork.Seconds()/(2*warmth(m.started, r.At)))
			}
		}
	}
	fmt.Fprintf(out, "requests asked=%d served=%.4f refused=%.4f failed=%.4f unanswered=%d\n", s.asked,
		float64(s.served)/float64(max(s.asked, 1)), float64(s.refused)/float64(max(s.asked, 1)), float64(s.failed)/float64(max(s.asked, 1)), s.broken)
	fmt.Fprintf(out, "rule 1: latest answer past its client's time: %v\n", s.latest.Round(100*time.Microsecond))
	fmt.Fprintf(out, "rule 2: latest request to a server after the list said that it drains: %v of %v, %d replaced, lists read each %v\n",
		lastNew.Round(100*time.Microsecond), 500*time.Millisecond, replaced, listEvery)
	fmt.Fprintf(out, "rule 3: most work that reached a cold server within 1 s: %.2f times what it can do, of 2.5\n", cold)
	fmt.Fprintf(out, "one sidecar's most: connections of callers=%d, to servers=%d; heap of all, with servers and load: %.1f MB\n", s.callers, s.conns, float64(s.heap)/1e6)
}
