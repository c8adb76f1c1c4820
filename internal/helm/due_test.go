package helm

import (
	"fmt"
	"testing"
	"time"

	"whinknot/internal/tide"
)

// A holder that nobody hears is followed by one member, not sooner than it may have been away, and by nobody who does not count; who is
// reached by no quorum never stands for the duty.
func TestOnlyMembersAskAndNotTogether(t *testing.T) {
	for _, reached := range []int{4, 1} { // members that can be reached, of five; the holder is none of them
		now := time.Unix(1, 0)
		begun := now
		set := tide.Set{Epoch: 3, Holder: "d0"}
		for i := range 5 {
			set.Members = append(set.Members, tide.Member{Disk: fmt.Sprint("d", i), Addr: fmt.Sprint("d", i), Counts: true})
		}
		replicas, machines := map[string]*tide.Replica{}, map[string]*Machine{}
		for _, m := range append(set.Members[1:1+reached:1+reached], tide.Member{Disk: "learner", Addr: "learner"}) {
			r := tide.NewReplica(m, tide.Settings{Lease: 2 * time.Second, Order: time.Second}, set, nil)
			replicas[m.Addr], machines[m.Addr] = r, New(now, r, 2)
		}
		asked := map[string]time.Duration{}
		var carry func(by *tide.Replica, out tide.Out)
		carry = func(by *tide.Replica, out tide.Out) {
			for _, a := range out.Asks {
				if a.Query == tide.Prepare && a.Key == tide.SetKey && asked[by.Me().Disk] == 0 {
					asked[by.Me().Disk] = now.Sub(begun)
				}
				if other := replicas[a.To]; other != nil {
					tell, more := other.Answer(now, &a)
					carry(other, more)
					carry(by, by.Told(now, &tell))
				}
			}
		}
		for now.Sub(begun) < 6*time.Second {
			now = now.Add(25 * time.Millisecond)
			for _, addr := range []string{"learner", "d4", "d3", "d2", "d1"} {
				if m := machines[addr]; m != nil {
					carry(replicas[addr], m.Tick(now))
				}
			}
			if len(asked) > 0 {
				break
			}
		}
		if reached == 1 {
			if len(asked) > 0 {
				t.Errorf("one that reaches nobody asks: %v", asked)
			}
			continue
		}
		if len(asked) != 1 || asked["learner"] > 0 {
			t.Fatalf("%v ask", asked)
		}
		for disk, after := range asked {
			if s := replicas[disk].Set(); s.Epoch != 4 || s.Holder != disk || after <= lostAfter {
				t.Errorf("%s asks after %v, and the set is %+v", disk, after, s)
			}
		}
	}
}
