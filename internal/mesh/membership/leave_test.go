package membership

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestWhoLeavesIsReplacedWhileItIsThere: a member that says that it is about to end is replaced in one step while it still answers, if
// another waits; with none waiting it stays a member, and no newcomer is one that leaves itself.
func TestLeavingVoterIsReplaced(t *testing.T) {
	member := func(disk string) consensus.Member { return consensus.Member{DiskID: disk, Addr: disk, InQuorum: true} }
	members := []consensus.Member{member("a"), member("b"), member("c")}
	sight := func(disk string, leaves bool) MemberView {
		return MemberView{Member: member(disk), Alive: true, InSync: true, Leaving: leaves, UnreachableFor: time.Duration(0)}
	}
	for name, c := range map[string]struct {
		seen []MemberView
		want string
	}{
		"another waits":                 {[]MemberView{sight("a", true), sight("b", false), sight("c", false), sight("d", false)}, "bcd"},
		"nobody waits":                  {[]MemberView{sight("a", true), sight("b", false), sight("c", false)}, ""},
		"the one that waits leaves":     {[]MemberView{sight("a", true), sight("b", false), sight("c", false), sight("d", true)}, ""},
		"two leave, and two wait":       {[]MemberView{sight("a", true), sight("b", true), sight("c", false), sight("d", false), sight("e", false)}, "cde"},
		"two leave, and only one waits": {[]MemberView{sight("a", true), sight("b", true), sight("c", false), sight("d", false)}, "cdb"},
	} {
		got := ""
		for _, x := range NextVoters(members, c.seen, 1) {
			got += x.DiskID
		}
		if got != c.want {
			t.Errorf("%s: next %q, want %q", name, got, c.want)
		}
	}
}
