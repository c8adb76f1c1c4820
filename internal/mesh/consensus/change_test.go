package consensus

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTriedBefore: the first try of an order was chosen without its proposer's knowing (another decided it anew) and followed by another
// order; the order's next try does not take effect a second time, and is not refused.
func TestEarlierAttemptIsRecognized(t *testing.T) {
	for _, kind := range []ChangeKind{Put, CompareAndSwap} {
		ours := Change{Kind: kind, Key: "k", Body: []byte("ours"), Proposer: "a"}
		first, _ := ours.Apply(nil)
		ours.Attempted = append(ours.Attempted, first.Version)
		theirs := Change{Kind: Put, Key: "k", Body: []byte("theirs"), Proposer: "b"}
		held, _ := theirs.Apply(first)
		if next, end := ours.Apply(held); next != held || end != Committed {
			t.Errorf("kind %d: the second try gives %+v and outcome %d", kind, next, end)
		}
		ours.Attempted = nil
		if next, end := ours.Apply(held); kind == Put && next == held || kind == CompareAndSwap && end != Conflict {
			t.Errorf("kind %d: an order that was not tried gives %+v and outcome %d", kind, next, end)
		}
	}
}

// TestApplyAgain: a change that is applied to what it has made gives the same value and the same outcome; an outcome that is a conflict
// makes nothing.
func TestApplyIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 2)
		number := rapid.Uint64Range(0, 4)
		by := rapid.SampledFrom([]string{"p", "q"})
		draw := func() Change {
			return Change{
				Kind: ChangeKind(rapid.IntRange(int(Read), int(CompareAndSwap)).Draw(t, "kind")), Key: "k", Body: body.Draw(t, "body"), Proposer: by.Draw(t, "by"),
				Version: Version{Number: number.Draw(t, "number")},
			}
		}
		var held *Value
		for range rapid.IntRange(0, 4).Draw(t, "before") {
			c := draw()
			held, _ = c.Apply(held)
		}
		c := draw()
		next, end := c.Apply(held)
		again, same := c.Apply(next)
		if again != next || same != end {
			t.Fatalf("%+v on %+v: first %+v, %d, then %+v, %d", c, held, next, end, again, same)
		}
		if end == Conflict && next != held {
			t.Fatalf("%+v on %+v is refused, and makes %+v", c, held, next)
		}
		if next != held && held != nil && next.Version.Compare(held.Version) <= 0 {
			t.Fatalf("%+v after %+v is not newer", next, held)
		}
	})
}
