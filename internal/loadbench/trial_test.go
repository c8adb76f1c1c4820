package loadbench

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletmast/internal/degradation"
	"milletmast/internal/operator"
	"milletmast/internal/testcluster"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pairs plays each seed without levels and with them, both at once, so that they share what the machine does.
func pairs(t *testing.T, seeds int, spec func(seed uint64) Spec) (without, with []*Result) {
	t.Helper()
	without, with = make([]*Result, seeds), make([]*Result, seeds)
	var all sync.WaitGroup
	for seed := range seeds {
		for _, levels := range []bool{false, true} {
			all.Go(func() {
				s := spec(uint64(seed))
				into := with
				if !levels {
					s.Levels, into = "", without
				}
				r, err := Run(context.Background(), s)
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
					r = &Result{}
				}
				into[seed] = r
			})
		}
	}
	all.Wait()
	return without, with
}

// small is a trial that the machines of CI can play ten times at once.
func small(seed uint64, length time.Duration, speeds ...float64) Spec {
	swing := SwingingSpeed(seed, time.Second, 3*time.Second, length, speeds...)
	return Spec{
		Seed: seed, Duration: length, Classes: ShopClasses(), Rate: 60, Callers: 100, Servers: 3, Cores: 2, Levels: ShopLevels, LevelWindow: 500 * time.Millisecond,
		Speed: func(at time.Duration) float64 {
			if at < 2*time.Second {
				return 1 // whatever comes later, a start in overload is another matter
			}
			return swing(at)
		},
	}
}

// While the speed of the servers swings, levels serve more worth than none on eight of ten seeds at least, within the stated rate of
// changes; each request has its answer.
func TestLevelsServeMoreWorth(t *testing.T) {
	const length = 24 * time.Second // a shorter swing may bring a seed hardly any overload
	without, with := pairs(t, 10, func(seed uint64) Spec { return small(seed, length, 1, 0.35, 0.2) })
	better, changes := 0, uint64(0)
	for seed := range with {
		a, b := without[seed], with[seed]
		t.Logf("seed %d: %.3f without, %.3f with levels, %d changes", seed, a.WorthRatio(), b.WorthRatio(), b.LevelChangeCount)
		if b.WorthRatio() > a.WorthRatio() {
			better++
		}
		changes += b.LevelChangeCount
		if most := ladder(t).MaxChanges(length + time.Second); int(b.LevelChangeCount) > most {
			t.Errorf("seed %d: %d changes, %d at most", seed, b.LevelChangeCount, most)
		}
		if a.Unanswered+b.Unanswered > 0 {
			t.Errorf("seed %d: requests without an answer: %d and %d", seed, a.Unanswered, b.Unanswered)
		}
	}
	if better < 8 {
		t.Errorf("levels are better on %d of 10 seeds", better)
	}
	if changes == 0 {
		t.Error("no level was ever entered")
	}
}

// On calm days levels cost little. The seeds are played one after the other, and a play counts only if the machine itself
// was calm during it: servers and sidecars share its processors, an aim is missed when it stands still, and levels are right to act.
func TestLevelsOnACalmDay(t *testing.T) {
	const (
		still = 20 * time.Millisecond
		slow  = 450 * time.Millisecond // what answers take then tells of the machine, not of the servers
	)
	if runtime.GOMAXPROCS(0) < 4 {
		t.Skip("six servers' cores, two sidecars and the callers of both plays are no calm day on fewer than four processors")
	}
	const tries = 3 // what the machine does differs from one to the next, what levels cost does not
	for try := 1; ; try++ {
		a, b, counted := calmDays(t, still, slow)
		switch {
		case counted == 0:
			t.Skip("the machine was never calm")
		case b >= 0.9*a: // 0.94 was seen where the machine was calm by these signs: why, is open (docs/design/many-sidecars.md)
			return
		case try == tries:
			t.Fatalf("%.3f with levels, %.3f without", b/float64(counted), a/float64(counted))
		}
	}
}

// calmDays plays four seeds and gives what they served without levels and with, of those that count.
func calmDays(t *testing.T, still, slow time.Duration) (a, b float64, counted int) {
	t.Helper()
	for seed := range uint64(4) {
		for range 3 {
			var without, with []*Result
			stood := testcluster.MeasureStalls(context.Background())
			without, with = pairs(t, 1, func(uint64) Spec { return small(seed, 5*time.Second, 2) })
			late := stood()
			t.Logf("seed %d: naps up to %v late, p99 of %v without levels", seed, late, without[0].P99)
			if late > still || without[0].P99 > slow {
				continue
			}
			a, b, counted = a+without[0].WorthRatio(), b+with[0].WorthRatio(), counted+1
			break
		}
	}
	return a, b, counted
}

// A site that goes and comes back cold just as load falls: the level is entered while it is gone, and in the end all is served.
func TestSiteComesBackCold(t *testing.T) {
	s := small(1, 9*time.Second, 0.9)
	s.Servers, s.Rate = 4, 75
	s.Speed = func(time.Duration) float64 { return 0.9 }
	s.SampleInterval = 100 * time.Millisecond
	s.Actions = map[time.Duration]func(*RunningTrial){
		2 * time.Second: func(r *RunningTrial) { r.Servers[0].Close(); r.Servers[1].Close(); r.Servers[2].Close() },
		5 * time.Second: func(r *RunningTrial) {
			for _, v := range r.Servers[:3] {
				if err := v.Restart(); err != nil {
					t.Error(err)
				}
			}
		},
	}
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	reduced := false
	for _, p := range r.Samples {
		reduced = reduced || p.Level != degradation.Normal
	}
	if !reduced {
		t.Error("the level stayed normal while three of four servers were gone")
	}
	if most := ladder(t).MaxChanges(10 * time.Second); int(r.LevelChangeCount) > most || r.Unanswered > 0 {
		t.Errorf("%d changes, %d at most; %d without an answer", r.LevelChangeCount, most, r.Unanswered)
	}
}

func TestSwingIsSeeded(t *testing.T) {
	a, b := SwingingSpeed(1, time.Second, 2*time.Second, time.Minute, 1, 2, 3), SwingingSpeed(1, time.Second, 2*time.Second, time.Minute, 1, 2, 3)
	changes := 0
	last := a(0)
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		if a(at) != b(at) {
			t.Fatalf("%v and %v at %v", a(at), b(at), at)
		}
		if a(at) != last {
			changes++
			last = a(at)
		}
	}
	if changes < 29 || changes > 60 {
		t.Errorf("%d changes in a minute", changes)
	}
}

// ladder is that of ShopLevels.
func ladder(t *testing.T) degradation.Ladder {
	t.Helper()
	s := small(0, time.Second, 1)
	cfg, err := operator.Parse("f", []byte(s.OperatorConfig(nil)))
	if err != nil {
		t.Fatal(err)
	}
	return cfg.Pools[0].Ladder()
}
