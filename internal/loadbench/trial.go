package loadbench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milletmast/internal/degradation"
	"milletmast/internal/fakeserver"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
)

// speedInterval is the interval at which the servers' speed is updated and actions that are due are called.
const speedInterval = 20 * time.Millisecond

// The streams of random numbers of a trial, for one seed.
const (
	speedStream  = 2
	loadStream   = 3
	serverStream = 1000 // plus the number of the server
)

// Run runs a trial to its end. It returns the result so far and an error if ctx ends first.
func Run(ctx context.Context, spec Spec) (*Result, error) {
	servers, err := startServers(&spec)
	defer closeServers(servers)
	if err != nil {
		return nil, err
	}
	cfg, err := operator.Parse("trial.toml", []byte(spec.OperatorConfig(servers)))
	if err != nil {
		return nil, err
	}
	instance, err := sidecar.NewInstance(cfg, nil)
	if err != nil {
		return nil, err
	}
	stopInstance := instance.RunInBackground()

	var speed serverSpeed
	speed.set(spec.Speed(0))
	for number, server := range servers {
		configureWork(server, &spec, uint64(number), &speed)
	}
	load := newLoadGenerator(&spec, instance.Addresses()[listenerName])
	monitor := &trialMonitor{
		spec: &spec, startedAt: time.Now(), speed: &speed, load: load, trial: &RunningTrial{instance, servers},
		done: map[time.Duration]bool{},
	}
	stopMonitor := monitor.start(ctx)
	load.run(ctx, monitor.startedAt)
	stopMonitor()
	load.close()

	result := load.finish(monitor.samples)
	if level := instance.Status().Pools[0].Level; level != nil {
		result.LevelChanges, result.LevelChangeCount = level.Changes, level.ChangeCount
	}
	for _, server := range servers {
		requests, _, _, _ := server.Counts()
		result.Attempts += requests
	}
	if err := stopInstance(); err != nil {
		return result, fmt.Errorf("stop sidecar: %w", err)
	}
	return result, ctx.Err()
}

// startServers starts the servers of a trial. With an error it returns those that were started.
func startServers(spec *Spec) ([]*fakeserver.Server, error) {
	var servers []*fakeserver.Server
	for number := range spec.Servers {
		server, err := fakeserver.NewServer(fmt.Sprint("s", number))
		if err != nil {
			return servers, err
		}
		server.SetCores(spec.Cores)
		servers = append(servers, server)
	}
	return servers, nil
}

func closeServers(servers []*fakeserver.Server) {
	for _, server := range servers {
		server.Close()
	}
}

// serverSpeed is the speed of all servers. It may be read and set by any goroutine.
type serverSpeed struct{ bits atomic.Uint64 }

func (s *serverSpeed) set(speed float64) { s.bits.Store(math.Float64bits(speed)) }
func (s *serverSpeed) get() float64      { return math.Float64frombits(s.bits.Load()) }

// configureWork makes a server work on each request for a time that is drawn for the request's class, from a stream of random
// numbers of its own, and divided by the speed at the start of the work.
func configureWork(server *fakeserver.Server, spec *Spec, number uint64, speed *serverSpeed) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(spec.Seed, serverStream+number))
	meanOfAll := 0.0
	for _, c := range spec.Classes {
		meanOfAll += c.Share * float64(c.MeanWork)
	}
	server.SetWorkByPath(func(path string) time.Duration {
		mean := meanOfAll
		for _, c := range spec.Classes {
			if strings.HasPrefix(path, "/"+c.Name) {
				mean = float64(c.MeanWork)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.ExpFloat64() * mean / speed.get())
	})
}

// trialMonitor sets the servers' speed, calls the actions of a trial and samples its state.
type trialMonitor struct {
	spec      *Spec
	startedAt time.Time
	speed     *serverSpeed
	load      *loadGenerator
	trial     *RunningTrial
	done      map[time.Duration]bool // actions that were called

	samples                     []Sample
	offeredBefore, earnedBefore float64 // priority weight at the last sample
}

// start runs the monitor until ctx ends or the returned function is called, which waits for its end.
func (m *trialMonitor) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { m.run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

func (m *trialMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(speedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		elapsed := time.Since(m.startedAt)
		m.speed.set(m.spec.Speed(elapsed))
		m.callActions(elapsed)
		if m.sampleDue(elapsed) {
			m.sample(elapsed)
		}
	}
}

// callActions calls the actions whose time has come, each once.
func (m *trialMonitor) callActions(elapsed time.Duration) {
	for at, action := range m.spec.Actions {
		if elapsed >= at && !m.done[at] {
			m.done[at] = true
			action(m.trial)
		}
	}
}

func (m *trialMonitor) sampleDue(elapsed time.Duration) bool {
	return m.spec.SampleInterval > 0 && elapsed >= m.lastSample()+m.spec.SampleInterval
}

// lastSample returns the time of the last sample, 0 before the first.
func (m *trialMonitor) lastSample() time.Duration {
	if len(m.samples) == 0 {
		return 0
	}
	return m.samples[len(m.samples)-1].At
}

func (m *trialMonitor) sample(elapsed time.Duration) {
	sample := Sample{At: elapsed, Speed: m.speed.get(), Level: degradation.Normal}
	if level := m.trial.Instance.Status().Pools[0].Level; level != nil {
		sample.Level = level.Level
	}
	offered, earned := m.load.weights()
	seconds := (elapsed - m.lastSample()).Seconds()
	sample.OfferedWeight, sample.EarnedWeight = (offered-m.offeredBefore)/seconds, (earned-m.earnedBefore)/seconds
	m.offeredBefore, m.earnedBefore = offered, earned
	m.samples = append(m.samples, sample)
}

// SwingingSpeed returns a speed that changes to a random other one of speeds after random intervals between shortest and longest.
// The same seed gives the same speeds.
func SwingingSpeed(seed uint64, shortest, longest, total time.Duration, speeds ...float64) func(time.Duration) float64 {
	type interval struct {
		until time.Duration
		speed float64
	}
	random := rand.New(rand.NewPCG(seed, speedStream))
	var intervals []interval
	last := -1
	for at := time.Duration(0); at < total; {
		at += shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		next := random.IntN(len(speeds))
		for len(speeds) > 1 && next == last {
			next = random.IntN(len(speeds))
		}
		last = next
		intervals = append(intervals, interval{at, speeds[next]})
	}
	return func(at time.Duration) float64 {
		i, _ := slices.BinarySearchFunc(intervals, at, func(each interval, at time.Duration) int { return int(each.until - at) })
		return intervals[min(i, len(intervals)-1)].speed
	}
}
