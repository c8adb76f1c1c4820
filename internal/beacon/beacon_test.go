package beacon

import (
	"testing"
	"time"
)

func TestPilotsTurnDarkAndAreForgottenAndComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(Limits{Dark: 2 * time.Second, Forget: 10 * time.Second})
	s := Sheet{Node: "n", Life: 7, Number: 1}
	if !r.Put(now, s) || r.Put(now, s) {
		t.Fatal("the first sheet changes, the same one again does not")
	}
	if old := (Sheet{Node: "n", Life: 6, Number: 9}); r.Put(now, old) {
		t.Fatal("a sheet of an earlier life counts")
	}
	if got := r.Age(now.Add(3*time.Second), false); len(got) > 0 {
		t.Fatalf("one that sees nobody turns %v dark", got)
	}
	if got := r.Age(now.Add(6*time.Second), true); len(got) != 1 {
		t.Fatalf("dark: %v", got)
	}
	if got := r.Marked([]uint64{Mark("n", 7)}); len(got) != 1 || !r.Vouch(now.Add(7*time.Second), "n", 7) {
		t.Fatalf("marked %v", got)
	}
	if k, _ := r.Get("n"); k.Dark {
		t.Fatal("dark although vouched for")
	}
	if len(r.Marked([]uint64{Mark("n", 6)})) > 0 || r.Vouch(now, "n", 6) {
		t.Fatal("an earlier life is vouched for")
	}
	r.Age(now.Add(20*time.Second), true)
	if len(r.All()) > 0 {
		t.Fatal("not forgotten")
	}
}
