package membership

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// A voter that announces its shutdown is replaced in one step while it still responds, if a learner is available. Without one it stays a
// voter. A learner that announces its shutdown replaces no voter.
func TestLeavingVoterIsReplaced(t *testing.T) {
	member := func(disk string) consensus.Member { return consensus.Member{DiskID: disk, Addr: disk, InQuorum: true} }
	voters := []consensus.Member{member("a"), member("b"), member("c")}
	view := func(disk string, leaving bool) MemberView {
		return MemberView{Member: member(disk), Alive: true, InSync: true, Leaving: leaving, UnreachableFor: time.Duration(0)}
	}
	for name, c := range map[string]struct {
		views []MemberView
		want  string
	}{
		"one leaves, one learner": {[]MemberView{view("a", true), view("b", false), view("c", false), view("d", false)}, "bcd"},
		"one leaves, no learner":  {[]MemberView{view("a", true), view("b", false), view("c", false)}, ""},
		"the learner leaves too":  {[]MemberView{view("a", true), view("b", false), view("c", false), view("d", true)}, ""},
		"two leave, two learners": {[]MemberView{view("a", true), view("b", true), view("c", false), view("d", false), view("e", false)}, "cde"},
		"two leave, one learner":  {[]MemberView{view("a", true), view("b", true), view("c", false), view("d", false)}, "cdb"},
	} {
		got := ""
		for _, x := range NextVoters(voters, c.views, 1) {
			got += x.DiskID
		}
		if got != c.want {
			t.Errorf("%s: next voters %q, want %q", name, got, c.want)
		}
	}
}
