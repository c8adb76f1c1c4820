// Package trial plays a pool of stand-in servers under a seeded load through a real sidecar in this process, on loopback, and
// tells what service callers got by worth. It is for tests and measurements of what is decided above single requests.
package trial

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"whinknot/internal/level"
	"whinknot/internal/operator"
	"whinknot/internal/sidecar"
	"whinknot/internal/standin"
)

// Class is one kind of request of a load.
type Class struct {
	Name   string
	Part   float64       // of the requests
	Work   time.Duration // mean, at a server of speed 1; exponential
	Aim    time.Duration
	GiveUp time.Duration
	Worth  float64
	Effect string
}

// Spec is one trial.
type Spec struct {
	Seed    uint64
	For     time.Duration
	Classes []Class
	Rate    float64 // requests a second, as they come by themselves (a Poisson process)
	Callers int
	Servers int
	Cores   int                          // of each server
	Speed   func(time.Duration) float64  // of all servers at a time from the start
	Levels  string                       // of the pool, in the operator file; "" for none
	Window  time.Duration                // of their signals; 0 for a second
	Every   time.Duration                // between two points of the course; 0 for none
	At      map[time.Duration]func(*Run) // done at these times
}

// Run is a trial under way.
type Run struct {
	Instance *sidecar.Instance
	Servers  []*standin.Server
}

// Point is how things are at one time.
type Point struct {
	At     time.Duration
	Speed  float64
	Level  string
	Asked  float64 // worth a second since the point before
	Earned float64
}

// Outcome is what came of the requests of one class.
type Outcome struct {
	Asked, InTime, Late, Refused, Failed int
	Worth, Earned                        float64
}

// Result is what came of a trial.
type Result struct {
	Classes  map[string]Outcome
	Worth    float64        // asked
	Earned   float64        // answered in time
	P99      time.Duration  // of the answers
	Longest  time.Duration  // that a refusal took to be told
	Changes  []level.Change // the last ones
	Count    uint64         // of changes
	Course   []Point
	Unended  int // requests without an answer when their time was up; there are none
	Attempts int
}

// Share is the worth that was earned of what was asked for.
func (r *Result) Share() float64 { return r.Earned / max(r.Worth, 1e-9) }

// Kept is the part of the requests of a class that were answered in time.
func (r *Result) Kept(class string) float64 {
	o := r.Classes[class]
	return float64(o.InTime) / float64(max(o.Asked, 1))
}

// File is the operator file of a trial over such servers.
func (s Spec) File(servers []*standin.Server) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[limits]\ndrain = \"200ms\"\nsockets = 4096\ncores = 256\n[[listener]]\nname = \"in\"\naddress = \"127.0.0.1:0\"\n")
	fmt.Fprintf(&b, "[[pool]]\nname = \"p\"\nconnect_timeout = \"250ms\"\nlevel_caller = \"X-Caller\"\nlevel_window = %q\n", cmp.Or(s.Window, time.Second))
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "[[pool.class]]\nname = %q\naim = %q\ngive_up = %q\nworth = %v\neffect = %q\n", c.Name, c.Aim, c.GiveUp, c.Worth, c.Effect)
	}
	for _, v := range servers {
		fmt.Fprintf(&b, "[[pool.server]]\naddress = %q\n", v.Addr())
	}
	b.WriteString(s.Levels)
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "\n[[route]]\nname = %q\nprefix = \"/%s\"\npool = \"p\"\nclass = %q\n", c.Name, c.Name, c.Name)
	}
	return b.String()
}

// Play plays a trial to its end.
func Play(ctx context.Context, s Spec) (*Result, error) {
	var servers []*standin.Server
	for i := range s.Servers {
		v, err := standin.NewServer(fmt.Sprint("s", i))
		if err != nil {
			return nil, err
		}
		defer v.Close()
		v.Cores(s.Cores)
		servers = append(servers, v)
	}
	cfg, err := operator.Parse("trial.toml", []byte(s.File(servers)))
	if err != nil {
		return nil, err
	}
	i, err := sidecar.NewInstance(cfg, nil)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); i.Run(running) }()
	defer func() { stop(); <-ended }()

	var speed atomic.Uint64 // of all servers, as the bits of a float
	speed.Store(math.Float64bits(s.Speed(0)))
	for n, v := range servers {
		setWork(v, &s, uint64(n), &speed)
	}
	l := &load{spec: &s, addr: i.Addresses()["in"], result: &Result{Classes: map[string]Outcome{}}}
	defer l.close()
	run := &Run{i, servers}
	begun := time.Now()
	var beside sync.WaitGroup
	course, end := context.WithCancel(ctx)
	beside.Go(func() { follow(course, &s, begun, &speed, l, run) })
	l.run(ctx, begun)
	end()
	beside.Wait()
	st := i.Status().Pools[0]
	if st.Level != nil {
		l.result.Changes, l.result.Count = st.Level.Changes, st.Level.Count
	}
	for _, v := range servers {
		n, _, _, _ := v.Counts()
		l.result.Attempts += n
	}
	if slices.Sort(l.times); len(l.times) > 0 {
		l.result.P99 = l.times[len(l.times)*99/100]
	}
	return l.result, ctx.Err()
}

// setWork has a server take the time of its speed for each request, by a stream of random numbers of its own. A request names its
// own work.
func setWork(v *standin.Server, s *Spec, n uint64, speed *atomic.Uint64) {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(s.Seed, 1000+n))
	mean := 0.0
	for _, c := range s.Classes {
		mean += c.Part * float64(c.Work)
	}
	v.WorkOf(func(path string) time.Duration {
		work := mean
		for _, c := range s.Classes {
			if strings.HasPrefix(path, "/"+c.Name) {
				work = float64(c.Work)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(r.ExpFloat64() * work / math.Float64frombits(speed.Load()))
	})
}

// follow moves the speed and notes the course until the trial ends.
func follow(ctx context.Context, s *Spec, begun time.Time, speed *atomic.Uint64, l *load, run *Run) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var last Point
	done := map[time.Duration]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at := time.Since(begun)
		now := s.Speed(at)
		speed.Store(math.Float64bits(now))
		for when, do := range s.At {
			if at >= when && !done[when] {
				done[when] = true
				do(run)
			}
		}
		if s.Every == 0 || at < last.At+s.Every {
			continue
		}
		p := Point{At: at, Speed: now, Level: level.Normal}
		if st := run.Instance.Status().Pools[0].Level; st != nil {
			p.Level = st.Level
		}
		l.mu.Lock()
		asked, earned := l.result.Worth, l.result.Earned
		l.mu.Unlock()
		seconds := (at - last.At).Seconds()
		p.Asked, p.Earned = (asked-l.askedBefore)/seconds, (earned-l.earnedBefore)/seconds
		l.askedBefore, l.earnedBefore = asked, earned
		l.result.Course = append(l.result.Course, p)
		last = p
	}
}

// Swing is a speed that jumps to another one of a list every few seconds, between two times.
func Swing(seed uint64, from, to, total time.Duration, speeds ...float64) func(time.Duration) float64 {
	type leg struct {
		until time.Duration
		speed float64
	}
	r := rand.New(rand.NewPCG(seed, 2))
	var legs []leg
	last := -1
	for at := time.Duration(0); at < total; {
		at += from + time.Duration(r.Int64N(int64(to-from)))
		n := r.IntN(len(speeds))
		for len(speeds) > 1 && n == last {
			n = r.IntN(len(speeds))
		}
		last = n
		legs = append(legs, leg{at, speeds[n]})
	}
	return func(at time.Duration) float64 {
		i, _ := slices.BinarySearchFunc(legs, at, func(l leg, at time.Duration) int { return int(l.until - at) })
		return legs[min(i, len(legs)-1)].speed
	}
}
