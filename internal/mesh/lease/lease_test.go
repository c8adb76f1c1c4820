package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Whatever answers come in whatever order and however late: a lease is held only for as long as the store's, counted from when the
// newest heartbeat that it answered left.
func TestLeaseCountsFromTheHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		now := start
		left := map[uint64]time.Time{}
		var newest uint64
		var until time.Time
		alive := uint64(0) // beats up to it belong to a connection that ended
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			was := l.IsHeld(now)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := l.StartHeartbeat(now)
				if _, again := left[n]; again {
					t.Fatalf("beat %d is numbered twice", n)
				}
				left[n] = now
			case 1, 2:
				n := uint64(rapid.IntRange(0, len(left)+1).Draw(t, "beat"))
				d := time.Duration(rapid.IntRange(-1, 3000).Draw(t, "left")) * time.Millisecond
				gained := l.HeartbeatAcked(now, n, d)
				if at, ok := left[n]; ok && n > newest && n > alive && uint64(len(left))-n < maxPending {
					newest, until = n, at.Add(max(d, 0))
				}
				if gained != (!was && l.IsHeld(now)) {
					t.Fatalf("gained %v, held %v before and %v after", gained, was, l.IsHeld(now))
				}
			case 3: // it stands still, at times for long
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 2000, 20000}).Draw(t, "ms")) * time.Millisecond)
			case 4:
				l.Revoke(now)
				alive, until = uint64(len(left)), time.Time{}
			}
			if l.IsHeld(now) != now.Before(until) {
				t.Fatalf("held %v, but the newest answer is good until %v, now %v", l.IsHeld(now), until, now)
			}
		}
	})
}

// A control plane that was frozen for twenty seconds finds answers in its socket from before: none of them renews the lease, and the first
// to a heartbeat that left after it woke does.
func TestAcknowledgementsFromBeforeAFreeze(t *testing.T) {
	const storeRemaining = 2 * time.Second
	var l Lease
	now := start
	before := []uint64{l.StartHeartbeat(now), l.StartHeartbeat(now.Add(500 * time.Millisecond))}
	if !l.HeartbeatAcked(now.Add(time.Millisecond), before[0], storeRemaining) || !l.IsHeld(now.Add(storeRemaining-time.Millisecond)) || l.IsHeld(now.Add(storeRemaining)) {
		t.Fatal("the lease is not the store's from when the beat left")
	}
	now = now.Add(20 * time.Second)
	if l.IsHeld(now) {
		t.Error("it wakes with a lease")
	}
	if l.HeartbeatAcked(now, before[1], storeRemaining) || l.IsHeld(now) {
		t.Error("an answer from before the freeze renews the lease")
	}
	n := l.StartHeartbeat(now)
	if !l.HeartbeatAcked(now.Add(time.Millisecond), n, storeRemaining) || !l.IsHeld(now.Add(time.Second)) {
		t.Error("an answer to a beat after it woke gives no lease")
	}
}
