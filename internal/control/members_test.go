package control

import (
	"fmt"
	"testing"
	"time"

	"milletmast/internal/control/controlpb"
)

// Where all see all alive there is nothing to tell; else each one's belief is, also that it has never heard of a member.
func TestSights(t *testing.T) {
	now := time.UnixMilli(10_000)
	member := func(name, state string, start uint64) *controlpb.MemberView {
		return &controlpb.MemberView{Name: name, State: state, Start: start, SinceMs: 4000}
	}
	a := &controlpb.MembersStatus{Name: "a", Members: []*controlpb.MemberView{member("a", "alive", 1), member("b", "alive", 1)}}
	b := &controlpb.MembersStatus{Name: "b", Members: []*controlpb.MemberView{member("a", "alive", 1), member("b", "alive", 1)}}
	if rows := Disagreements([]*controlpb.MembersStatus{a, b}, now); rows != nil {
		t.Errorf("%v of two that agree", rows)
	}
	b.Members[0].State = "failed"
	a.Members = append(a.Members, member("c", "alive", 1))
	want := "[[a a alive for 6s] [a b failed for 6s] [c a alive for 6s] [c b never heard of]]"
	if rows := Disagreements([]*controlpb.MembersStatus{a, b}, now); fmt.Sprint(rows) != want {
		t.Errorf("%v, want %v", rows, want)
	}
	b.Members[0].State, b.Members[0].Start = "alive", 2
	if rows := Disagreements([]*controlpb.MembersStatus{a, b}, now); len(rows) != 4 {
		t.Errorf("%v of two that see different processes", rows)
	}
	if row := MembersRow("a", a, now); row[5] != "3 of 3" {
		t.Errorf("%v", row)
	}
}
