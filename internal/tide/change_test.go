package tide

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTriedBefore: the first try of an order was chosen without its proposer's knowing (another decided it anew) and followed by another
// order; the order's next try does not take effect a second time, and is not refused.
func TestTriedBefore(t *testing.T) {
	for _, kind := range []Kind{Assign, Swap} {
		ours := Change{Kind: kind, Key: "k", Body: []byte("ours"), By: "a"}
		first, _ := ours.Apply(nil)
		ours.Tried = append(ours.Tried, first.Stamp)
		theirs := Change{Kind: Assign, Key: "k", Body: []byte("theirs"), By: "b"}
		held, _ := theirs.Apply(first)
		if next, end := ours.Apply(held); next != held || end != Done {
			t.Errorf("kind %d: the second try gives %+v and outcome %d", kind, next, end)
		}
		ours.Tried = nil
		if next, end := ours.Apply(held); kind == Assign && next == held || kind == Swap && end != Conflict {
			t.Errorf("kind %d: an order that was not tried gives %+v and outcome %d", kind, next, end)
		}
	}
}

// TestApplyAgain: a change that is applied to what it has made gives the same value and the same outcome; an outcome that is a conflict
// makes nothing.
func TestApplyAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 2)
		number := rapid.Uint64Range(0, 4)
		by := rapid.SampledFrom([]string{"p", "q"})
		draw := func() Change {
			return Change{
				Kind: Kind(rapid.IntRange(int(Read), int(Swap)).Draw(t, "kind")), Key: "k", Body: body.Draw(t, "body"), By: by.Draw(t, "by"),
				Stamp: Stamp{Number: number.Draw(t, "number")},
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
		if next != held && held != nil && next.Stamp.Compare(held.Stamp) <= 0 {
			t.Fatalf("%+v after %+v is not newer", next, held)
		}
	})
}
