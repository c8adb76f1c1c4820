package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// For any order and delay of acknowledgements, the lease is held only for the remaining time that the store reported, counted from when the
// newest acknowledged heartbeat was sent.
func TestLeaseCountsFromTheHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		now := start
		sentAt := map[uint64]time.Time{}
		var newest uint64
		var until time.Time
		revoked := uint64(0) // the last heartbeat before the last Revoke
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			was := l.IsHeld(now)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := l.StartHeartbeat(now)
				if _, reused := sentAt[n]; reused {
					t.Fatalf("heartbeat number %d is reused", n)
				}
				sentAt[n] = now
			case 1, 2:
				n := uint64(rapid.IntRange(0, len(sentAt)+1).Draw(t, "heartbeat"))
				d := time.Duration(rapid.IntRange(-1, 3000).Draw(t, "remaining")) * time.Millisecond
				gained := l.HeartbeatAcked(now, n, d)
				if at, ok := sentAt[n]; ok && n > newest && n > revoked && uint64(len(sentAt))-n < maxPending {
					newest, until = n, at.Add(max(d, 0))
				}
				if gained != (!was && l.IsHeld(now)) {
					t.Fatalf("gained %v, held %v before and %v after", gained, was, l.IsHeld(now))
				}
			case 3: // time passes; long steps stand for a stalled process
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 2000, 20000}).Draw(t, "ms")) * time.Millisecond)
			case 4:
				l.Revoke(now)
				revoked, until = uint64(len(sentAt)), time.Time{}
			}
			if l.IsHeld(now) != now.Before(until) {
				t.Fatalf("held %v, but the newest acknowledgement is valid until %v, now %v", l.IsHeld(now), until, now)
			}
		}
	})
}

// A control plane that was stalled for twenty seconds receives acknowledgements that waited in its socket: they do not renew the lease. The
// acknowledgement of a heartbeat that is sent after the stall does.
func TestAcknowledgementsFromBeforeAStall(t *testing.T) {
	const storeRemaining = 2 * time.Second
	var l Lease
	now := start
	before := []uint64{l.StartHeartbeat(now), l.StartHeartbeat(now.Add(500 * time.Millisecond))}
	if !l.HeartbeatAcked(now.Add(time.Millisecond), before[0], storeRemaining) || !l.IsHeld(now.Add(storeRemaining-time.Millisecond)) || l.IsHeld(now.Add(storeRemaining)) {
		t.Fatal("the lease does not last for the remaining time of the store, from when the heartbeat was sent")
	}
	now = now.Add(20 * time.Second)
	if l.IsHeld(now) {
		t.Error("the lease is still held after the stall")
	}
	if l.HeartbeatAcked(now, before[1], storeRemaining) || l.IsHeld(now) {
		t.Error("an acknowledgement from before the stall renews the lease")
	}
	n := l.StartHeartbeat(now)
	if !l.HeartbeatAcked(now.Add(time.Millisecond), n, storeRemaining) || !l.IsHeld(now.Add(time.Second)) {
		t.Error("the acknowledgement of a heartbeat after the stall does not renew the lease")
	}
}
