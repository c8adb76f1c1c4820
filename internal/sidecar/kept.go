package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"whinknot"
	"whinknot/internal/learned"
	"whinknot/internal/operator"
	"whinknot/internal/state"
)

// Keeping is where an instance keeps what must survive its restart. The instance closes the store as it ends.
type Keeping struct {
	Store *state.Store
	Had   *state.Contents // what it held at the start; nil for nothing
	Every time.Duration   // between two snapshots of what pools have learned
}

// How an instance has started.
const (
	StartCold = "cold"
	StartWarm = "warm" // with what an earlier process had learned
)

// moduleOf names the settings under which a pool's measurements were taken: ratios are of the aims of its classes, loads are those of
// one of so many copies.
func moduleOf(set *whinknot.Settings) string {
	text, err := json.Marshal(struct {
		Copies  int
		Classes []whinknot.Class
	}{max(set.Copies, 1), set.Classes})
	if err != nil { // an infinite figure: no other is the same
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// learnt is what the pool's module has learned, with its servers by their ids; nothing once the pool has ended.
func (p *pool) learnt() (s state.Pool) {
	p.loop.ask(func() {
		l := p.loop
		s = state.Pool{Module: moduleOf(&p.set), Memory: l.balancer.Export()}
		for _, k := range s.Memory.Servers {
			s.Servers = append(s.Servers, l.directory.taken[k.Server])
		}
	})
	return s
}

// remember gives a pool that has not started what was learned before, by its age, and tells how old that is and whether any of it counts.
func (p *pool) remember(s state.Pool) (age time.Duration, counts bool) {
	if s.Module != moduleOf(&p.set) || len(s.Servers) != len(s.Memory.Servers) {
		return 0, false
	}
	l := p.loop
	m, age := learned.At(s.Memory, l.now())
	for i := range m.Servers {
		m.Servers[i].Server = l.directory.id(s.Servers[i])
	}
	l.balancer.Import(m)
	return age, len(m.Servers) > 0 || m.Room > 0
}

// recall has a pool that is about to start know what the one in whose place it comes has learned, or an earlier process.
func (i *Instance) recall(p, before *pool) {
	if before != nil {
		p.remember(before.learnt())
		return
	}
	if i.keeping == nil || i.keeping.Had == nil {
		return
	}
	s, ok := i.keeping.Had.Pools[p.name]
	if !ok {
		return
	}
	if age, counts := p.remember(s); counts {
		i.oldest.Store(max(i.oldest.Load(), int64(age))) // one reload at a time
		i.warm.Store(true)
		slog.Info("pool starts warm", "pool", p.name, "age", age.Round(time.Millisecond), "servers", len(s.Servers))
	}
}

// keep begins to keep what pools learn, and puts the pins of before in force.
func (i *Instance) keep() {
	k := i.keeping
	if k.Had != nil {
		for name, pin := range k.Had.Pins {
			if left := time.Until(pin.Until); left > 0 {
				if err := i.pin(name, pin.Level, left); err != nil {
					slog.Warn("pin of before is not in force", "pool", name, "level", pin.Level, "err", err)
				}
			}
		}
	}
	w := state.NewWriter(k.Store)
	i.writer = w
	i.ending.Go(func() {
		defer func() {
			w.Close()
			if err := k.Store.Close(); err != nil {
				slog.Error("state", "err", err)
			}
		}()
		tick := time.NewTicker(k.Every)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				w.Offer(i.snapshot())
			case <-i.ended:
				return
			}
		}
	})
}

// lastWord has what pools have learned written before they end.
func (i *Instance) lastWord() {
	if i.writer != nil {
		i.writer.Offer(i.snapshot())
	}
}

// snapshot is what all pools of the generation in force have learned.
func (i *Instance) snapshot() map[string]state.Pool {
	i.mu.Lock()
	var pools []*pool
	for _, p := range i.current.pools {
		pools = append(pools, p)
	}
	i.mu.Unlock()
	out := map[string]state.Pool{}
	for _, p := range pools {
		if s := p.learnt(); s.Module != "" {
			out[p.name] = s
		}
	}
	return out
}

// keepGood keeps the generation that has just come into force.
func (i *Instance) keepGood(cfg *operator.Config) error {
	if i.keeping == nil {
		return nil
	}
	err := i.keeping.Store.PutGood(&state.Generation{Path: cfg.Path, Hash: cfg.Hash, Text: cfg.Text, At: time.Now()})
	if err != nil {
		return fmt.Errorf("in force, but not kept for a restart: %w", err)
	}
	return nil
}

// keepPin keeps a pin, or that there is none any more.
func (i *Instance) keepPin(pool string, p *state.Pin) error {
	if i.keeping == nil {
		return nil
	}
	if err := i.keeping.Store.PutPin(pool, p); err != nil {
		return fmt.Errorf("in force, but not kept for a restart: %w", err)
	}
	return nil
}
