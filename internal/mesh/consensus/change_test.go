package consensus

import (
	"testing"

	"pgregory.net/rapid"
)

// The first attempt of a change was committed by another proposer, without an acknowledgement to its own, and another change followed it.
// The next attempt is recognized: it neither takes effect a second time nor conflicts.
func TestEarlierAttemptIsRecognized(t *testing.T) {
	for _, kind := range []ChangeKind{Put, CompareAndSwap} {
		first := Change{Kind: kind, Key: "k", Body: []byte("ours"), Proposer: "a"}
		firstValue, _ := first.Apply(nil)
		first.Attempted = append(first.Attempted, firstValue.Version)
		second := Change{Kind: Put, Key: "k", Body: []byte("theirs"), Proposer: "b"}
		current, _ := second.Apply(firstValue)
		if next, outcome := first.Apply(current); next != current || outcome != Committed {
			t.Errorf("kind %d: the second attempt results in %+v and outcome %d", kind, next, outcome)
		}
		first.Attempted = nil
		if next, outcome := first.Apply(current); kind == Put && next == current || kind == CompareAndSwap && outcome != Conflict {
			t.Errorf("kind %d: a change without earlier attempts results in %+v and outcome %d", kind, next, outcome)
		}
	}
}

// A change that is applied to its own result returns the same value and the same outcome. A conflict leaves the value as it is, and a new
// value has a higher version.
func TestApplyIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 2)
		number := rapid.Uint64Range(0, 4)
		proposer := rapid.SampledFrom([]string{"p", "q"})
		draw := func() Change {
			return Change{
				Kind: ChangeKind(rapid.IntRange(int(Read), int(CompareAndSwap)).Draw(t, "kind")), Key: "k", Body: body.Draw(t, "body"), Proposer: proposer.Draw(t, "proposer"),
				Version: Version{Number: number.Draw(t, "number")},
			}
		}
		var current *Value
		for range rapid.IntRange(0, 4).Draw(t, "before") {
			c := draw()
			current, _ = c.Apply(current)
		}
		c := draw()
		next, outcome := c.Apply(current)
		again, outcomeAgain := c.Apply(next)
		if again != next || outcomeAgain != outcome {
			t.Fatalf("%+v on %+v: first %+v, %d, then %+v, %d", c, current, next, outcome, again, outcomeAgain)
		}
		if outcome == Conflict && next != current {
			t.Fatalf("%+v on %+v conflicts, but changes the value to %+v", c, current, next)
		}
		if next != current && current != nil && next.Version.Compare(current.Version) <= 0 {
			t.Fatalf("%+v after %+v is not newer", next, current)
		}
	})
}
