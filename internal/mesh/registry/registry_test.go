package registry

import (
	"testing"
	"time"
)

func TestNodesBecomeUnreachableAndReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(Limits{Unreachable: 2 * time.Second, Forget: 10 * time.Second})
	record := NodeRecord{Node: "n", Incarnation: 7, Sequence: 1}
	if !r.Update(now, record) || r.Update(now, record) {
		t.Fatal("want a change by the first record, and none by the same record again")
	}
	if old := (NodeRecord{Node: "n", Incarnation: 6, Sequence: 9}); r.Update(now, old) {
		t.Fatal("a record of an earlier incarnation is stored")
	}
	if got := r.Expire(now.Add(3*time.Second), false); len(got) > 0 {
		t.Fatalf("without contact %v are marked unreachable", got)
	}
	if got := r.Expire(now.Add(6*time.Second), true); len(got) != 1 {
		t.Fatalf("marked unreachable: %v, want one node", got)
	}
	if got := r.NodesByHash([]uint64{IncarnationHash("n", 7)}); len(got) != 1 || !r.Confirm(now.Add(7*time.Second), "n", 7) {
		t.Fatalf("nodes by hash %v, want one, which was unreachable before its confirmation", got)
	}
	if k, _ := r.Get("n"); k.Unreachable {
		t.Fatal("unreachable although its incarnation was confirmed")
	}
	if len(r.NodesByHash([]uint64{IncarnationHash("n", 6)})) > 0 || r.Confirm(now, "n", 6) {
		t.Fatal("an earlier incarnation is confirmed")
	}
	r.Expire(now.Add(20*time.Second), true)
	if len(r.All()) > 0 {
		t.Fatal("a node is kept for longer than Limits.Forget")
	}
}
