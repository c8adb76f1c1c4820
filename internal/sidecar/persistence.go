package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"milletmast/balancer"
	"milletmast/internal/operator"
	"milletmast/internal/state"
	"milletmast/internal/warmstart"
)

// Persistence configures where an instance keeps its state across restarts. The instance closes the store when it ends.
type Persistence struct {
	Store    *state.Store
	Loaded   *state.Contents // contents of the store at the start; nil if it was empty
	Interval time.Duration   // between two snapshots
}

// Values of Status.StartKind.
const (
	StartCold = "cold"
	StartWarm = "warm" // with the learned state of an earlier process
)

// settingsHash returns a hash of the settings that measurements depend on: latencies are relative to the latency targets of the
// classes, loads to the number of replicas. It is "" if the settings cannot be encoded.
func settingsHash(set *balancer.Settings) string {
	r := settingsRecord{Replicas: max(set.Replicas, 1)}
	for _, c := range set.Classes {
		r.Classes = append(r.Classes, classRecord(c))
	}
	text, err := json.Marshal(r)
	if err != nil { // JSON has no infinite numbers
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:settingsHashBytes])
}

// settingsRecord is the input of the hash. The names and the order of its encoded fields and of those of classRecord must not change:
// with another hash, the learned state of an earlier version of the program would be discarded.
type settingsRecord struct {
	Replicas int `json:"Copies"`
	Classes  []classRecord
}

type classRecord struct {
	Name           string
	PriorityWeight float64 `json:"Worth"`
	LateShare      float64 `json:"LateWorth"`
	LatencyTarget  float64 `json:"Aim"`
	TargetPerWork  float64 `json:"AimStretch"`
	Timeout        float64 `json:"GiveUp"`
	Effect         balancer.Effect
	DedupGroup     balancer.DedupGroup `json:"Group"`
	DedupWindow    float64             `json:"Window"`
	Streaming      bool                `json:"Stream"`
}

// settingsHashBytes is the length of a settings hash, in bytes.
const settingsHashBytes = 8

// exportLearned returns the learned state of the decision module of a pool, with the uids of its servers. It is empty once the
// pool has ended.
func (p *pool) exportLearned() (s state.PoolState) {
	p.loop.do(func() {
		l := p.loop
		s = state.PoolState{ModuleSettings: settingsHash(&p.settings), Learned: l.balancer.Export()}
		for _, k := range s.Learned.Servers {
			s.Servers = append(s.Servers, l.serverIDs.uids[k.ID])
		}
	})
	return s
}

// importLearned imports learned state, decayed by its age, into a pool that has not started. It returns the age, and whether any of
// the state is used.
func (p *pool) importLearned(s state.PoolState) (age time.Duration, used bool) {
	if s.ModuleSettings != settingsHash(&p.settings) || len(s.Servers) != len(s.Learned.Servers) {
		return 0, false
	}
	l := p.loop
	m, age := warmstart.Decay(s.Learned, l.now())
	for i := range m.Servers {
		m.Servers[i].ID = l.serverIDs.id(s.Servers[i])
	}
	l.balancer.Import(m)
	return age, len(m.Servers) > 0 || m.ConcurrencyPerServer > 0
}

// restoreLearned imports the learned state of the pool that p replaces, or else of an earlier process. The pool p has not started.
func (i *Instance) restoreLearned(p, replaced *pool) {
	if replaced != nil {
		p.importLearned(replaced.exportLearned())
		return
	}
	if i.persistence == nil || i.persistence.Loaded == nil {
		return
	}
	s, ok := i.persistence.Loaded.Pools[p.name]
	if !ok {
		return
	}
	if age, used := p.importLearned(s); used {
		i.learnedAge.Store(max(i.learnedAge.Load(), int64(age))) // the reload mutex is held: no other goroutine stores
		i.startedWarm.Store(true)
		slog.Info("restore learned state", "pool", p.name, "age", age.Round(time.Millisecond), "servers", len(s.Servers))
	}
}

// startPersisting restores the pins of an earlier process, and starts to write snapshots.
func (i *Instance) startPersisting() {
	k := i.persistence
	if k.Loaded != nil {
		for name, pin := range k.Loaded.Pins {
			if left := time.Until(pin.Until); left > 0 {
				if err := i.pin(name, pin.Level, left); err != nil {
					slog.Warn("restore pin", "pool", name, "level", pin.Level, "err", err)
				}
			}
		}
	}
	w := state.NewWriter(k.Store)
	i.stateWriter = w
	i.background.Go(func() {
		defer func() {
			w.Close()
			if err := k.Store.Close(); err != nil {
				slog.Error("persist learned state", "err", err)
			}
		}()
		tick := time.NewTicker(k.Interval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				w.Enqueue(i.snapshot())
			case <-i.drained:
				return
			}
		}
	})
}

// saveFinalSnapshot enqueues a last snapshot to be written.
func (i *Instance) saveFinalSnapshot() {
	if i.stateWriter != nil {
		i.stateWriter.Enqueue(i.snapshot())
	}
}

// snapshot returns the learned state of the pools of the current generation, by name.
func (i *Instance) snapshot() map[string]state.PoolState {
	i.mu.Lock()
	var pools []*pool
	for _, p := range i.current.pools {
		pools = append(pools, p)
	}
	i.mu.Unlock()
	out := map[string]state.PoolState{}
	for _, p := range pools {
		if s := p.exportLearned(); s.ModuleSettings != "" {
			out[p.name] = s
		}
	}
	return out
}

// saveLastGood saves a configuration that has been loaded. It is used if the file is invalid at a restart.
func (i *Instance) saveLastGood(cfg *operator.Config) error {
	if i.persistence == nil {
		return nil
	}
	err := i.persistence.Store.SaveLastGood(&state.OperatorFile{Path: cfg.Path, Hash: cfg.Hash, Text: cfg.Text, AppliedAt: time.Now()})
	if err != nil {
		return fmt.Errorf("in force, but not kept for a restart: %w", err)
	}
	return nil
}

// savePin saves the pin of a pool, or removes it if p is nil.
func (i *Instance) savePin(pool string, p *state.DegradationPin) error {
	if i.persistence == nil {
		return nil
	}
	if err := i.persistence.Store.SavePin(pool, p); err != nil {
		return fmt.Errorf("in force, but not kept for a restart: %w", err)
	}
	return nil
}
