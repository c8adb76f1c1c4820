package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Whatever answers come in whatever order and however late: a lease is held only for as long as the keeper's, counted from when the
// newest beat that it answered left.
func TestALeaseIsNeverLongerThanTheKeepersFromTheAsking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		now := start
		left := map[uint64]time.Time{}
		var newest uint64
		var until time.Time
		alive := uint64(0) // beats up to it belong to a connection that ended
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			was := l.Held(now)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := l.Beat(now)
				if _, again := left[n]; again {
					t.Fatalf("beat %d is numbered twice", n)
				}
				left[n] = now
			case 1, 2:
				n := uint64(rapid.IntRange(0, len(left)+1).Draw(t, "beat"))
				d := time.Duration(rapid.IntRange(-1, 3000).Draw(t, "left")) * time.Millisecond
				gained := l.Answered(now, n, d)
				if at, ok := left[n]; ok && n > newest && n > alive && uint64(len(left))-n < mostBeats {
					newest, until = n, at.Add(max(d, 0))
				}
				if gained != (!was && l.Held(now)) {
					t.Fatalf("gained %v, held %v before and %v after", gained, was, l.Held(now))
				}
			case 3: // it stands still, at times for long
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 2000, 20000}).Draw(t, "ms")) * time.Millisecond)
			case 4:
				l.Lost(now)
				alive, until = uint64(len(left)), time.Time{}
			}
			if l.Held(now) != now.Before(until) {
				t.Fatalf("held %v, but the newest answer is good until %v, now %v", l.Held(now), until, now)
			}
		}
	})
}

// A lighthouse that was frozen for twenty seconds finds answers in its socket from before: none of them renews the lease, and the first
// to a beat that left after it woke does.
func TestWordsFromBeforeAFreezeRenewNothing(t *testing.T) {
	const keepers = 2 * time.Second
	var l Lease
	now := start
	before := []uint64{l.Beat(now), l.Beat(now.Add(500 * time.Millisecond))}
	if !l.Answered(now.Add(time.Millisecond), before[0], keepers) || !l.Held(now.Add(keepers-time.Millisecond)) || l.Held(now.Add(keepers)) {
		t.Fatal("the lease is not the keeper's from when the beat left")
	}
	now = now.Add(20 * time.Second)
	if l.Held(now) {
		t.Error("it wakes with a lease")
	}
	if l.Answered(now, before[1], keepers) || l.Held(now) {
		t.Error("an answer from before the freeze renews the lease")
	}
	n := l.Beat(now)
	if !l.Answered(now.Add(time.Millisecond), n, keepers) || !l.Held(now.Add(time.Second)) {
		t.Error("an answer to a beat after it woke gives no lease")
	}
}
