package clusterview

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func name(i int) string { return fmt.Sprintf("m%04d", i) }

// trackers returns the trackers of n replicas that have all seen each other.
func trackers(t rapid.TB, n int) []*Tracker {
	t.Helper()
	var all []*Tracker
	for i := range n {
		config := DefaultConfig()
		config.ConfiguredReplicas, config.ConfiguredRank = n, i
		m, err := NewTracker(config, name(i), 1, "1", epoch)
		if err != nil {
			t.Fatal(err)
		}
		for k := range n {
			m.HandleEvent(Event{Name: name(k), Incarnation: 1, Version: "1", State: Alive}, epoch)
		}
		m.Tick(at(2))
		all = append(all, m)
	}
	return all
}

// Replicas that see the same members agree on their number and hash, and each has a rank of its own.
func TestAgreement(t *testing.T) {
	ranks, hashes := map[int]bool{}, map[uint64]bool{}
	for _, m := range trackers(t, 50) {
		v := m.View()
		if v.Confidence != Agreed || v.Replicas != 50 {
			t.Fatalf("%v with %d replicas", v.Confidence, v.Replicas)
		}
		ranks[v.Rank], hashes[v.Hash] = true, true
	}
	if len(ranks) != 50 || len(hashes) != 1 {
		t.Errorf("%d ranks and %d hashes", len(ranks), len(hashes))
	}
}

// A fleet is partitioned in two. However late and in whatever order each replica detects the failures, the shares of all add up
// to at most MaxTotalShare. After healing all agree again.
func TestTotalShareIsBoundedDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(t, "members") // the work grows with its cube
		side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		all := trackers(t, n)
		const partitioned, healed, maxDelay = 10.0, 70.0, 4.0 // seconds; a failure is detected within maxDelay
		detectedAt := map[[2]int]float64{}
		for i := range n {
			for k := range n {
				if side[i] != side[k] {
					detectedAt[[2]int{i, k}] = partitioned + maxDelay*r.Float64()
				}
			}
		}
		reported := map[[2]int]bool{}
		for now := partitioned; now < healed+20; now += 0.5 {
			sum := 0.0
			for i, m := range all {
				for k := range n {
					if when, ok := detectedAt[[2]int{i, k}]; !ok {
						continue
					} else if now >= healed+when-partitioned && reported[[2]int{i, k}] {
						m.HandleEvent(Event{Name: name(k), Incarnation: 1, State: Alive}, at(now))
						delete(reported, [2]int{i, k})
					} else if now >= when && now < healed && !reported[[2]int{i, k}] {
						reported[[2]int{i, k}] = true
						m.HandleEvent(Event{Name: name(k), Incarnation: 1, State: Failed}, at(now))
					}
				}
				m.Tick(at(now))
				v := m.View()
				if v.Replicas < 1 || v.Rank < 0 || v.Rank >= v.Replicas {
					t.Fatalf("at %.1f s %s has rank %d of %d replicas (%s)", now, m.self, v.Rank, v.Replicas, v.Reason)
				}
				sum += 1 / float64(v.Replicas)
			}
			if sum > MaxTotalShare+1e-9 {
				t.Fatalf("at %.1f s the shares add up to %.3f", now, sum)
			}
		}
		hashes := map[uint64]bool{}
		for _, m := range all {
			v := m.View()
			hashes[v.Hash] = true
			if v.Confidence != Agreed || v.Replicas != n {
				t.Fatalf("%s has not healed: %v, %d of %d replicas (%s)", m.self, v.Confidence, v.Replicas, n, v.Reason)
			}
		}
		if len(hashes) != 1 {
			t.Fatalf("%d hashes after healing", len(hashes))
		}
	})
}

// The view does not depend on the order of events or on duplicates, and events of an earlier incarnation change nothing.
func TestOrderOfEventsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type memberEvent struct {
			member      int
			incarnation uint64
			state       State
		}
		var last []memberEvent // the last event of each member
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			last = append(last, memberEvent{i + 1, rapid.Uint64Range(2, 4).Draw(t, "incarnation"), State(rapid.IntRange(1, 4).Draw(t, "state"))})
		}
		apply := func(seed uint64) View {
			r := rand.New(rand.NewPCG(seed, 2))
			config := DefaultConfig()
			config.ConfiguredReplicas = 20
			m, err := NewTracker(config, name(0), 1, "1", epoch)
			if err != nil {
				t.Fatal(err)
			}
			for _, k := range r.Perm(len(last)) {
				e := last[k]
				m.HandleEvent(Event{Name: name(e.member), Incarnation: e.incarnation, State: Alive}, epoch)
				for range 1 + r.IntN(2) {
					m.HandleEvent(Event{Name: name(e.member), Incarnation: e.incarnation, State: e.state}, epoch)
					m.HandleEvent(Event{Name: name(e.member), Incarnation: e.incarnation - 1, State: Alive}, epoch)
				}
			}
			m.Tick(at(3600))
			return m.View()
		}
		a, b := apply(1), apply(2)
		if a.Hash != b.Hash || a.Replicas != b.Replicas || a.Rank != b.Rank || a.Confidence != b.Confidence {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
}

// A replica that fails is left out soon; one that restarts is a new incarnation; one that leaves is left out at once.
func TestFailureRestartAndLeave(t *testing.T) {
	m := trackers(t, 10)[3]
	m.HandleEvent(Event{Name: name(7), Incarnation: 1, State: Suspect}, at(10))
	m.Tick(at(12))
	if v := m.View(); v.Replicas != 10 || v.Confidence != Agreed {
		t.Errorf("one is suspected: %d replicas, %v", v.Replicas, v.Confidence)
	}
	m.HandleEvent(Event{Name: name(7), Incarnation: 1, State: Failed}, at(13))
	if v := m.View(); v.Replicas != 10 || v.Confidence != Changing {
		t.Errorf("one has just failed: %d replicas, %v", v.Replicas, v.Confidence)
	}
	m.HandleEvent(Event{Name: name(8), Incarnation: 1, State: Suspect}, at(17))
	m.Tick(at(18.1))
	if v := m.View(); v.Replicas != 10 || v.Confidence != Changing {
		t.Errorf("one has failed and another is suspected: %d replicas, %v", v.Replicas, v.Confidence)
	}
	m.HandleEvent(Event{Name: name(8), Incarnation: 1, State: Alive}, at(18.1))
	before := m.View()
	if before.Replicas != 9 || before.Confidence != Agreed || before.Rank != 3 {
		t.Errorf("one has failed: %+v", before.Position)
	}
	m.HandleEvent(Event{Name: name(7), Incarnation: 2, State: Alive}, at(19))
	if v := m.View(); v.Replicas != 10 {
		t.Errorf("one has restarted: %d replicas", v.Replicas)
	}
	m.Tick(at(20.5))
	if m.HandleEvent(Event{Name: name(7), Incarnation: 1, State: Failed}, at(21)) {
		t.Error("an event of an earlier incarnation is applied")
	}
	for i := range 3 {
		m.HandleEvent(Event{Name: name(i), Incarnation: 1, State: Left}, at(22))
	}
	m.Tick(at(24))
	if v := m.View(); v.Replicas != 7 || v.Confidence != Agreed || v.Rank != 0 {
		t.Errorf("three of ten have left: %v, rank %d of %d", v.Confidence, v.Rank, v.Replicas)
	}
	if m.HandleEvent(Event{Name: name(3), Incarnation: 9, State: Failed}, at(30)) {
		t.Error("a replica applies an event about itself")
	}
}

// A replica that is alone uses its configured position. Of two that lose contact each keeps its share. After the loss of many at once
// the position is held at first; later the side without a quorum assumes a partition, and the side with one accepts the loss.
func TestPartitions(t *testing.T) {
	config := DefaultConfig()
	config.ConfiguredReplicas, config.ConfiguredRank = 12, 5
	alone, err := NewTracker(config, "a", 1, "1", epoch)
	if err != nil {
		t.Fatal(err)
	}
	alone.Tick(at(100))
	if v := alone.View(); v.Replicas != 12 || v.Rank != 5 || v.Confidence != Alone {
		t.Errorf("alone: %+v", v.Position)
	}
	two := trackers(t, 2)[1]
	two.HandleEvent(Event{Name: name(0), Incarnation: 1, State: Failed}, at(5))
	two.Tick(at(500))
	if v := two.View(); v.Replicas != 2 || v.Confidence != Uncertain {
		t.Errorf("one of two: %+v", v.Position)
	}
	for _, c := range []struct {
		lost, soon, later int
		confidence        Confidence
	}{{20, 40, 30, Agreed}, {30, 50, 100, Uncertain}, {5, 50, 45, Agreed}} {
		m := trackers(t, 50)[49]
		for i := range c.lost {
			m.HandleEvent(Event{Name: name(i), Incarnation: 1, State: Failed}, at(10))
		}
		m.Tick(at(12))
		soon := m.View().Replicas
		m.Tick(at(21))
		m.Tick(at(31))
		m.Tick(at(36))
		if v := m.View(); soon != c.soon || v.Replicas != c.later || v.Confidence != c.confidence {
			t.Errorf("%d of 50 are lost: %d replicas soon, then %d, %v, want %+v", c.lost, soon, v.Replicas, v.Confidence, c)
		}
	}
}

// Of twelve replicas that start at once one sees only three others at first: it uses its configured position until HoldTime.
func TestConcurrentStart(t *testing.T) {
	config := DefaultConfig()
	config.ConfiguredReplicas = 12
	m, err := NewTracker(config, name(0), 1, "1", epoch)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		m.HandleEvent(Event{Name: name(i + 1), Incarnation: 1, State: Alive}, at(1))
	}
	m.Tick(at(5))
	if v := m.View(); v.Replicas != 12 || v.Confidence != Changing {
		t.Errorf("soon: %+v, %v", v.Position, v.Confidence)
	}
	m.Tick(at(12))
	if v := m.View(); v.Replicas != 4 || v.Confidence != Agreed {
		t.Errorf("later: %+v, %v", v.Position, v.Confidence)
	}
}

// A member that alternates between alive and failed counts as present until it stays failed.
func TestFlapping(t *testing.T) {
	m := trackers(t, 10)[0]
	for i := range 6 {
		m.HandleEvent(Event{Name: name(5), Incarnation: 1, State: []State{Failed, Alive}[i%2]}, at(10+float64(i)))
	}
	m.HandleEvent(Event{Name: name(5), Incarnation: 1, State: Failed}, at(17))
	epochs := m.View().Epoch
	for i := range 10 {
		m.HandleEvent(Event{Name: name(5), Incarnation: 1, State: []State{Alive, Failed}[i%2]}, at(20+float64(i)))
	}
	if v := m.View(); v.Epoch != epochs || v.Replicas != 10 || !v.Members[5].Damped {
		t.Errorf("it flaps: epoch %d, then %d, %d replicas", epochs, v.Epoch, v.Replicas)
	}
	next := m.Tick(at(40))
	for range 50 {
		if next.IsZero() {
			break
		}
		next = m.Tick(next)
	}
	if v := m.View(); v.Replicas != 9 || v.Members[5].Damped {
		t.Errorf("it stays failed: %d replicas, damped %v", v.Replicas, v.Members[5].Damped)
	}
}

func TestInvalidConfig(t *testing.T) {
	for _, change := range []func(*Config){
		func(s *Config) { s.ConfiguredReplicas = 0 }, func(s *Config) { s.ConfiguredRank = 1 }, func(s *Config) { s.HoldTime = s.SettleTime }, func(s *Config) { s.MaxSuddenLoss = 0.3 },
		func(s *Config) { s.MaxFlaps = 1 },
	} {
		config := DefaultConfig()
		change(&config)
		if _, err := NewTracker(config, "a", 1, "1", epoch); err == nil {
			t.Errorf("%+v is accepted", config)
		}
	}
}
