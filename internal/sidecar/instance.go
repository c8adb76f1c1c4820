package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"milletmast/internal/operator"
	"milletmast/internal/state"
)

// Instance is a sidecar that an operator file configures: listeners, routes and pools, in generations. A generation is one loaded file.
// It is built completely before it replaces the current one, in one step. A request belongs to the generation that accepted it
// until it is answered, and a pool ends when no generation that uses it has a request left.
type Instance struct {
	clients     *clientConns
	serverConns *connBudget // of all pools
	openCalls   *connBudget // limits the gRPC calls of all listeners

	applyLimits func(operator.Limits)
	notReady    atomic.Bool // set by command; requests are served nevertheless

	reloadMu sync.Mutex // held during a reload; guards replicas, rank and fleet
	replicas int        // of the fleet, as agreed on by its members; 0 until they agree
	rank     int        // of this replica, from 0
	fleet    *fleetView // nil without members

	shareMu sync.Mutex // held while connections are divided among pools

	mu          sync.Mutex
	current     *generation
	listeners   map[string]*listener // by key
	retiring    map[*listener]bool   // removed listeners whose address is not free yet
	draining    bool
	endedPools  PoolStatus     // counts of the pools that have ended
	pools       map[*pool]bool // that are running
	background  sync.WaitGroup // goroutines that Run waits for
	drained     chan struct{}  // closed once every request is answered or abandoned
	persistence *Persistence   // nil if nothing is kept over a restart
	stateWriter *state.Writer  // nil if nothing is kept over a restart
	startedWarm atomic.Bool    // a pool started with the state that an earlier process had learned
	learnedAge  atomic.Int64   // greatest age of such state, in ns; a reload may add a pool that has some
}

// NewInstance opens the listeners of a file, starts its pools and accepts requests. Run has to be called to end it. Apply
// applies the limits of the process for each file that is loaded; it may be nil.
func NewInstance(cfg *operator.Config, apply func(operator.Limits)) (*Instance, error) {
	return NewPersistentInstance(cfg, apply, nil)
}

// NewPersistentInstance is NewInstance for an instance that keeps its state over restarts, and starts with the state that was kept.
// Persistence may be nil.
func NewPersistentInstance(cfg *operator.Config, apply func(operator.Limits), persistence *Persistence) (*Instance, error) {
	maxClients, _ := cfg.DivideDescriptors()
	i := &Instance{
		clients:     newClientConns(maxClients),
		serverConns: &connBudget{},
		openCalls:   &connBudget{},
		listeners:   map[string]*listener{},
		pools:       map[*pool]bool{},
		retiring:    map[*listener]bool{},
		drained:     make(chan struct{}),
		applyLimits: apply,
		persistence: persistence,
	}
	i.clients.all = map[*clientConn]bool{}
	if err := i.install(cfg); err != nil {
		i.background.Wait()
		return nil, err
	}
	if persistence != nil {
		if err := i.saveLastGood(cfg); err != nil {
			slog.Error("save last good configuration", "err", err)
		}
		i.startPersisting()
	}
	return i, nil
}

var errShuttingDown = errors.New("the instance is ending")

// Reload replaces the current file as a whole, or fails and changes nothing. It returns the number of the generation once new
// requests are accepted under it. A file that has not changed has no effect.
func (i *Instance) Reload(cfg *operator.Config) (uint64, error) {
	i.reloadMu.Lock()
	defer i.reloadMu.Unlock()
	i.mu.Lock()
	current, draining := i.current, i.draining
	i.mu.Unlock()
	switch {
	case draining:
		return current.number, errShuttingDown
	case cfg.Hash == current.cfg.Hash && cfg.Path == current.cfg.Path:
		return current.number, nil
	}
	if err := i.install(cfg); err != nil {
		return current.number, err
	}
	if err := i.saveLastGood(cfg); err != nil { // the file is in use nevertheless
		slog.Error("save last good configuration", "err", err)
	}
	return current.number + 1, nil
}

// SetReplicas sets, for the pools that depend on the members, among how many replicas their servers are shared, and the rank of this
// one, from 0. It also applies to the pools of files that are loaded later.
func (i *Instance) SetReplicas(replicas, rank int) {
	i.reloadMu.Lock()
	defer i.reloadMu.Unlock()
	i.replicas, i.rank = replicas, rank
	for _, p := range i.current.pools {
		p.setReplicas(replicas, rank)
	}
}

// Run serves until ctx ends, and then finishes the requests that were accepted.
func (i *Instance) Run(ctx context.Context) error {
	<-ctx.Done()
	i.reloadMu.Lock() // a reload in progress ends first, and none starts
	defer i.reloadMu.Unlock()
	i.mu.Lock()
	i.draining = true
	g := i.current
	draining, acceptTime := []drainingListener{}, time.Duration(0)
	for _, l := range i.listeners {
		draining = append(draining, drainingListener{l.frontend, l.listener, l.grpc})
		acceptTime = max(acceptTime, l.frontend.acceptTime)
	}
	i.mu.Unlock()
	drainTime := time.Duration(g.cfg.Limits.Drain)
	drainFrontends(draining, i.clients, min(acceptTime, drainTime/4), drainTime, func() {
		i.answerAll()
		for _, l := range draining {
			l.grpc.CancelStreams()
		}
	})
	i.saveFinalSnapshot()
	close(i.drained)
	i.clients.closeAll() // the remaining streams are cut off, which their clients can detect
	for _, l := range draining {
		l.frontend.conns.Wait()
	}
	i.releaseGeneration(g)
	i.background.Wait()
	return nil
}

// answerAll answers every open request.
func (i *Instance) answerAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for p := range i.pools {
		p.loop.post(p.loop.answerAll)
	}
}

// SetNotReady makes the instance report that it is not ready, or that it is ready again. Requests are served nevertheless.
func (i *Instance) SetNotReady(notReady bool) {
	i.notReady.Store(notReady)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, l := range i.listeners {
		l.grpc.HealthChanged()
	}
}
