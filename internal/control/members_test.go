package control

import (
	"fmt"
	"testing"
	"time"

	"milletmast/internal/control/controlpb"
)

// Disagreements returns no rows if all instances consider all members alive, and otherwise one row per instance for each
// disputed member, also for an instance that does not list the member.
func TestDisagreements(t *testing.T) {
	now := time.UnixMilli(10_000)
	member := func(name, state string, start uint64) *controlpb.MemberView {
		return &controlpb.MemberView{Name: name, State: state, Start: start, SinceMs: 4000}
	}
	a := &controlpb.MembersStatus{Name: "a", Members: []*controlpb.MemberView{member("a", "alive", 1), member("b", "alive", 1)}}
	b := &controlpb.MembersStatus{Name: "b", Members: []*controlpb.MemberView{member("a", "alive", 1), member("b", "alive", 1)}}
	if rows := Disagreements([]*controlpb.MembersStatus{a, b}, now); rows != nil {
		t.Errorf("rows %v of two instances that agree", rows)
	}
	b.Members[0].State = "failed"
	a.Members = append(a.Members, member("c", "alive", 1))
	want := "[[a a alive for 6s] [a b failed for 6s] [c a alive for 6s] [c b never heard of]]"
	if rows := Disagreements([]*controlpb.MembersStatus{a, b}, now); fmt.Sprint(rows) != want {
		t.Errorf("rows %v, want %v", rows, want)
	}
	b.Members[0].State, b.Members[0].Start = "alive", 2
	if rows := Disagreements([]*controlpb.MembersStatus{a, b}, now); len(rows) != 4 {
		t.Errorf("rows %v of two instances that list different processes of a member", rows)
	}
	if row := MembersRow("a", a, now); row[5] != "3 of 3" {
		t.Errorf("row %v, want 3 of 3 members reachable", row)
	}
}
