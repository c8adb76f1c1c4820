package override

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestHoldTwiceReleaseOnce(t *testing.T) {
	var s Set
	for range 2 {
		var err error
		if s, err = s.Hold("a", 100); err != nil || !s.IsHeld("a") {
			t.Fatalf("%+v, %v", s, err)
		}
	}
	s = s.Release("a", 200)
	if s.IsHeld("a") || s.StartTime("a", 50) != 200 || s.StartTime("a", 300) != 300 || s.StartTime("b", 50) != 50 {
		t.Errorf("released: %+v", s)
	}
	if again := s.Release("a", 900); !reflect.DeepEqual(again, s) {
		t.Errorf("a second release changes the set to %+v", again)
	}
	s, _ = s.Hold("a", 1000)
	if s.StartTime("a", 50) != 50 {
		t.Errorf("held again, but started at %v", s.StartTime("a", 50))
	}
}

func TestHoldLimit(t *testing.T) {
	s := Set{Held: map[string]float64{}}
	for i := range MaxHeld {
		s.Held[fmt.Sprint("s-", i)] = 1
	}
	if got, err := s.Hold("one more", 2); err == nil || got.IsHeld("one more") {
		t.Error("MaxHeld is not enforced")
	}
	if _, err := s.Hold("s-1", 2); err != nil {
		t.Errorf("a server that is held already: %v", err)
	}
}

// TestSetAgainstModel compares a set after random calls with maps of the held servers and of the release times.
func TestSetAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		held, releasedAt := map[string]bool{}, map[string]float64{}
		now := 1e12
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			now += rapid.Float64Range(0, releaseRetentionMS).Draw(t, "later")
			id := rapid.SampledFrom([]string{"a", "b", "c", `"`, "\n"}).Draw(t, "id")
			before, old := s, s
			old.Held, old.ReleasedAt = maps.Clone(s.Held), maps.Clone(s.ReleasedAt)
			if rapid.Bool().Draw(t, "hold") {
				s, _ = s.Hold(id, now)
				held[id] = true
			} else {
				s = s.Release(id, now)
				if held[id] {
					releasedAt[id] = now
				}
				delete(held, id)
			}
			if !reflect.DeepEqual(before, old) {
				t.Fatalf("the set before has changed: %+v, was %+v", before, old)
			}
			for _, id := range []string{"a", "b", "c", `"`, "\n", "d"} {
				want := 0.0
				if now-releasedAt[id] <= releaseRetentionMS && !held[id] {
					want = releasedAt[id]
				}
				if s.IsHeld(id) != held[id] || s.StartTime(id, 0) < want {
					t.Fatalf("%q: held %v and started %v, want %v and %v", id, s.IsHeld(id), s.StartTime(id, 0), held[id], want)
				}
				moved := old.IsHeld(id) != s.IsHeld(id)
				if slices.Contains(ChangedServers(old, s), id) != moved {
					t.Fatalf("changed %v from %+v to %+v", ChangedServers(old, s), old, s)
				}
			}
			text, err := s.Encode()
			if err != nil {
				t.Fatal(err)
			}
			read, err := Parse(text)
			if err != nil || len(ChangedServers(s, read)) > 0 {
				t.Fatalf("%s reads as %+v, %v", text, read, err)
			}
		}
	})
}

// A set that is parsed, encoded and parsed again is the same set.
func FuzzParse(f *testing.F) {
	for _, text := range []string{`{}`, `{"out":{"s-1":1e12},"back":{"s-2":5}}`, `{"out":null}`, `[]`, `{"out":{"a":"b"}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatalf("%+v cannot be written: %v", s, err)
		}
		read, err := Parse(again)
		if err != nil || len(ChangedServers(s, read)) > 0 || len(read.Held) != len(s.Held) || len(read.ReleasedAt) != len(s.ReleasedAt) {
			t.Errorf("%q reads as %+v, then as %+v, %v", text, s, read, err)
		}
	})
}
