package helm

import (
	"testing"
	"time"

	"whinknot/internal/tide"
)

// TestWhoLeavesIsReplacedWhileItIsThere: a member that says that it is about to end is replaced in one step while it still answers, if
// another waits; with none waiting it stays a member, and no newcomer is one that leaves itself.
func TestWhoLeavesIsReplacedWhileItIsThere(t *testing.T) {
	member := func(disk string) tide.Member { return tide.Member{Disk: disk, Addr: disk, Counts: true} }
	members := []tide.Member{member("a"), member("b"), member("c")}
	sight := func(disk string, leaves bool) Sight {
		return Sight{Member: member(disk), Alive: true, Holds: true, Leaves: leaves, Absent: time.Duration(0)}
	}
	for name, c := range map[string]struct {
		seen []Sight
		want string
	}{
		"another waits":                 {[]Sight{sight("a", true), sight("b", false), sight("c", false), sight("d", false)}, "bcd"},
		"nobody waits":                  {[]Sight{sight("a", true), sight("b", false), sight("c", false)}, ""},
		"the one that waits leaves":     {[]Sight{sight("a", true), sight("b", false), sight("c", false), sight("d", true)}, ""},
		"two leave, and two wait":       {[]Sight{sight("a", true), sight("b", true), sight("c", false), sight("d", false), sight("e", false)}, "cde"},
		"two leave, and only one waits": {[]Sight{sight("a", true), sight("b", true), sight("c", false), sight("d", false)}, "cdb"},
	} {
		got := ""
		for _, x := range Next(members, c.seen, 1) {
			got += x.Disk
		}
		if got != c.want {
			t.Errorf("%s: next %q, want %q", name, got, c.want)
		}
	}
}
