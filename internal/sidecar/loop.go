package sidecar

import (
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"milletmast/balancer"
	"milletmast/internal/decimal"
	"milletmast/internal/override"
)

// eventLoop owns the decision module and the state of all calls: one goroutine runs it, and others post functions to it. It never
// waits for a socket.
type eventLoop struct {
	start         time.Time
	startMS       float64 // start as Unix time
	balancer      *balancer.Balancer
	seed          uint64 // of the decision module
	panics        panicCount
	actions       []balancer.Action // reused
	posted        chan func()
	stop          chan struct{}  // closed by the owner to end the loop
	stopped       chan struct{}  // closed once no posted function runs any more
	attempts      sync.WaitGroup // goroutines of attempts
	upstream      *upstream
	startWatch    func() // starts to watch the list of servers
	calls         map[uint32]*call
	openIDs       map[string]bool // the clients' ids of open calls
	lastID        uint32
	timers        timerHeap
	timer         *time.Timer
	timerAt       float64 // ms, when the timer fires
	serverIDs     *serverIDs
	listed        map[uint32]bool   // the servers that the decision module has, and whether they are ready
	usable        int               // servers that are ready
	targets       map[string]Target // the list as it was received, by uid
	overrides     override.Set      // servers that operators have taken out of use
	counts        *loopCounters
	settings      *balancer.Settings
	levels        *levelState            // nil without levels of reduced service
	subset        *serverSubset          // nil if requests are sent to all servers
	replicas      int                    // that send to these servers, as agreed on by the members; 0 for the number of the settings
	rank          int                    // of this replica, if replicas is set
	fleetShedding *fleetShedding         // nil if replicas do not shed load together
	callerHeader  atomic.Pointer[string] // the header that names a caller; nil if callers are not distinguished

	served, refused, failures uint64    // calls by their final response
	recentLatencies           []float32 // in ms, of the latest served calls of operator listeners; a ring buffer
	latencyCount              int
}

const (
	postedQueueLength  = 256
	recentLatencyCount = 512
)

func newEventLoop(cfg *Config, up *upstream) (*eventLoop, error) {
	now := time.Now()
	l := &eventLoop{
		start:      now,
		startMS:    float64(now.UnixMicro()) / 1000,
		posted:     make(chan func(), postedQueueLength),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		seed:       cfg.Seed,
		upstream:   up,
		startWatch: func() {},
		calls:      map[uint32]*call{},
		openIDs:    map[string]bool{},
		timer:      time.NewTimer(time.Hour),
		timerAt:    math.Inf(1),
		serverIDs:  newServerIDs(cfg.Site.Zones, cfg.Site.Kinds),
		listed:     map[uint32]bool{},
		targets:    map[string]Target{},
		counts:     newLoopCounters(len(cfg.Site.Settings.Classes)),
	}
	settings := cfg.Site.Settings
	l.settings = &settings
	settings.Limits.CanProbe = false // this sidecar sends no probes
	settings.Limits.ConnIdleTimeout = inMillis(up.idleLimit)
	if capacity := up.capacity(); settings.Limits.MaxRequests == 0 || settings.Limits.MaxRequests > capacity {
		settings.Limits.MaxRequests = capacity // each open request may need a connection, or a stream of one
	}
	var err error
	l.balancer, err = balancer.New(settings, cfg.Seed, l.now())
	return l, err
}

// post makes the event loop run f, unless the event loop ends before. It waits while the queue is full, but not for f.
func (l *eventLoop) post(f func()) {
	select {
	case l.posted <- f:
	case <-l.stopped:
	}
}

// tryPost makes the event loop run f, unless the queue is full.
func (l *eventLoop) tryPost(f func()) {
	select {
	case l.posted <- f:
	default:
	}
}

// do makes the event loop run f and waits for its end. It returns false if the event loop has stopped and f never runs.
func (l *eventLoop) do(f func()) bool { return l.doContext(context.Background(), f) == nil }

// errLoopStopped is returned if a function was not run because the event loop has stopped.
var errLoopStopped = errors.New("it has ended")

// doContext is like do, but returns when ctx ends. Then f may still run later, so that the caller must not read what f writes.
func (l *eventLoop) doContext(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.posted <- func() { defer close(done); f() }:
	case <-l.stopped:
		return errLoopStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	select { // f may have been the last function that the loop ran
	case <-done:
		return nil
	default:
		return errLoopStopped
	}
}

// pollResponse returns the response to a call, if there is one already. It is used when the event loop has stopped or a wait was
// interrupted, as the response may have been sent at the same time.
func pollResponse(responded <-chan response) (response, bool) {
	select {
	case r := <-responded:
		return r, true
	default:
		return response{}, false
	}
}

// now returns the time of the decision module's clock: Unix time in ms, as servers report their start, but monotonic.
func (l *eventLoop) now() float64 { return l.toMillis(time.Now()) }

func (l *eventLoop) toMillis(t time.Time) float64 {
	return l.startMS + float64(t.Sub(l.start).Microseconds())/1000
}

func (l *eventLoop) toTime(ms float64) time.Time { return l.start.Add(millis(ms - l.startMS)) }

// millis converts a number of milliseconds to the nearest duration.
func millis(ms float64) time.Duration { return decimal.Duration(ms, time.Millisecond) }

// run runs the loop until stop is closed.
func (l *eventLoop) run() {
	defer close(l.stopped)
	for {
		select {
		case <-l.stop:
			return
		case f := <-l.posted:
			l.runRecovered(f)
		case <-l.timer.C:
			l.timerAt = math.Inf(1)
		}
		l.runRecovered(l.runDueTasks)
		if len(l.timers) > 0 && l.timers[0].at < l.timerAt {
			l.timerAt = l.timers[0].at
			l.timer.Reset(time.Until(l.toTime(l.timerAt)))
		}
	}
}

// handle passes an event to the decision module and executes the resulting actions.
func (l *eventLoop) handle(ev *balancer.Event) {
	l.actions = l.balancer.Handle(l.now(), ev, l.actions[:0])
	for i := range l.actions {
		l.execute(&l.actions[i])
	}
	l.counts.avoided.Store(int64(len(l.listed) - l.usable + l.balancer.EjectedServers()))
}

// execute executes an action of the decision module.
func (l *eventLoop) execute(a *balancer.Action) {
	c := l.calls[a.Request]
	switch a.Kind {
	case balancer.ActSend:
		if c != nil {
			l.startAttempt(c, a.Server, a.Deadline)
		}
	case balancer.ActReject:
		if c != nil {
			l.finish(c, c.rejection(a.Delay))
		}
	case balancer.ActFail:
		l.finish(c, c.failureResponse())
	case balancer.ActCancel:
		if c != nil && int(a.Attempt) < len(c.attempts) {
			c.attempts[a.Attempt].abort()
		}
	case balancer.ActTimer:
		heap.Push(&l.timers, &timedTask{at: l.now() + a.Delay, token: a.Token})
	case balancer.ActSubscribe:
		l.startWatch()
	case balancer.ActCloseIdle:
		l.upstream.closeIdleConns(a.Server)
	case balancer.ActLog:
		slog.Info(a.Text)
	}
}
