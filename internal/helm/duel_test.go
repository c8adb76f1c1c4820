package helm

import (
	"testing"
	"time"

	"whinknot/internal/tide"
)

// A member that does not hear the holder, while a quorum does, unseats it not: neither as it comes back from a cut and has no connection to
// the holder yet, nor where the link between the two stays down. Before, the two took the duty from each other up to ten times in a third
// of a second.
func TestAHolderThatAQuorumHearsStays(t *testing.T) {
	now := time.Unix(1, 0)
	set := tide.Set{Epoch: 3, Holder: "a"}
	for _, disk := range []string{"a", "b", "c"} {
		set.Members = append(set.Members, tide.Member{Disk: disk, Addr: disk, Counts: true})
	}
	replicas, machines := map[string]*tide.Replica{}, map[string]*Machine{}
	for _, m := range set.Members {
		r := tide.NewReplica(m, tide.Settings{Lease: 2 * time.Second, Order: time.Second}, set, nil)
		replicas[m.Addr], machines[m.Addr] = r, New(now, r, 1)
	}
	down := func(x, y string) bool { return x != y && x != "c" && y != "c" } // between a and b
	var carry func(by *tide.Replica, out tide.Out)
	carry = func(by *tide.Replica, out tide.Out) {
		for _, a := range out.Asks {
			if other := replicas[a.To]; other != nil && !down(by.Me().Addr, a.To) {
				tell, more := other.Answer(now, &a)
				carry(other, more)
				carry(by, by.Told(now, &tell))
			}
		}
	}
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			for _, addr := range []string{"b", "c", "a"} {
				if replicas[addr] != nil {
					carry(replicas[addr], machines[addr].Tick(now))
				}
			}
		}
	}
	pass(20 * time.Second)
	for addr, r := range replicas {
		if s := r.Set(); s.Epoch != 3 || s.Holder != "a" {
			t.Errorf("%s goes by %+v", addr, s)
		}
	}
	delete(replicas, "a")
	pass(4 * time.Second)
	if s := replicas["c"].Set(); s.Epoch != 4 || s.Holder == "a" {
		t.Errorf("nobody followed a holder that is gone, or more than one: %+v", s)
	}
}
