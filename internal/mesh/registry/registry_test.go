package registry

import (
	"testing"
	"time"
)

func TestNodesBecomeUnreachableAndReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(Limits{Unreachable: 2 * time.Second, Forget: 10 * time.Second})
	s := NodeRecord{Node: "n", Incarnation: 7, Sequence: 1}
	if !r.Update(now, s) || r.Update(now, s) {
		t.Fatal("the first sheet changes, the same one again does not")
	}
	if old := (NodeRecord{Node: "n", Incarnation: 6, Sequence: 9}); r.Update(now, old) {
		t.Fatal("a sheet of an earlier life counts")
	}
	if got := r.Expire(now.Add(3*time.Second), false); len(got) > 0 {
		t.Fatalf("one that sees nobody turns %v dark", got)
	}
	if got := r.Expire(now.Add(6*time.Second), true); len(got) != 1 {
		t.Fatalf("dark: %v", got)
	}
	if got := r.NodesByHash([]uint64{IncarnationHash("n", 7)}); len(got) != 1 || !r.Confirm(now.Add(7*time.Second), "n", 7) {
		t.Fatalf("marked %v", got)
	}
	if k, _ := r.Get("n"); k.Unreachable {
		t.Fatal("dark although vouched for")
	}
	if len(r.NodesByHash([]uint64{IncarnationHash("n", 6)})) > 0 || r.Confirm(now, "n", 6) {
		t.Fatal("an earlier life is vouched for")
	}
	r.Expire(now.Add(20*time.Second), true)
	if len(r.All()) > 0 {
		t.Fatal("not forgotten")
	}
}
