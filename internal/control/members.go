package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"milletmast/internal/control/controlpb"
)

// MembersRow returns the row of an instance's cluster view, in the columns of MembersHeader.
func MembersRow(name string, s *controlpb.MembersStatus, now time.Time) []string {
	if s == nil {
		return []string{name, "none", "", "", "", "", "", ""}
	}
	reachable := 0
	for _, m := range s.Members {
		if isReachable(m.State) {
			reachable++
		}
	}
	return []string{
		name, s.Standing, ago(s.SinceMs, now), fmt.Sprint(s.Copies), fmt.Sprint(s.Rank), fmt.Sprintf("%d of %d", reachable, len(s.Members)),
		fmt.Sprintf("%016x", s.Hash), s.Why,
	}
}

// MembersHeader returns the column names of MembersRow.
func MembersHeader() []string {
	return []string{"name", "standing", "since", "copies", "rank", "in sight", "hash", "why"}
}

func isReachable(state string) bool { return state == "alive" || state == "suspected" }

func ago(ms int64, now time.Time) string {
	return now.Sub(time.UnixMilli(ms)).Round(time.Second).String()
}

// DescribeMember returns the state that an instance assigns to a member, and for how long it has.
func DescribeMember(m *controlpb.MemberView, now time.Time) string {
	return memberState(m) + " for " + ago(m.SinceMs, now)
}

func memberState(m *controlpb.MemberView) string {
	if m.Damped {
		return m.State + ", damped"
	}
	return m.State
}

// Disagreements compares the cluster views of instances: for each member that not all of them consider
// alive, or not as the same process, it returns a row per instance with the state that it assigns to the
// member. No rows means that they agree.
func Disagreements(views []*controlpb.MembersStatus, now time.Time) (rows [][]string) {
	type memberReport struct{ instance, text, key string }
	reports := map[string][]memberReport{}
	for _, v := range views {
		for _, m := range v.GetMembers() {
			reports[m.Name] = append(reports[m.Name], memberReport{v.Name, DescribeMember(m, now), fmt.Sprint(memberState(m), m.Start)})
		}
	}
	for name, all := range reports {
		agree := len(all) == len(views)
		for _, s := range all {
			agree = agree && s.key == all[0].key && strings.HasPrefix(s.text, "alive for")
		}
		if agree {
			continue
		}
		seen := map[string]bool{}
		for _, s := range all {
			seen[s.instance] = true
			rows = append(rows, []string{name, s.instance, s.text})
		}
		for _, v := range views {
			if !seen[v.Name] {
				rows = append(rows, []string{name, v.Name, "never heard of"})
			}
		}
	}
	slices.SortFunc(rows, slices.Compare)
	return rows
}

// DescribeAllot describes the load shedding that a pool's replicas have agreed on, in rows of a name and
// a value.
func DescribeAllot(s *controlpb.AllotStatus) [][]string {
	rows := [][]string{{"members heard", fmt.Sprint(s.Heard)}, {"demand", fmt.Sprintf("%.2f s of work a second", s.Demand)}}
	if s.Price == 0 {
		return append(rows, []string{"let through", "all"})
	}
	var parts []string
	for _, p := range s.Pass {
		parts = append(parts, fmt.Sprintf("%s %.0f%%", p.Class, 100*p.Part))
	}
	return append(
		rows,
		[]string{"let through", strings.Join(parts, ", ")},
		[]string{"price", fmt.Sprintf("%.4g for a second of work", s.Price)},
		[]string{"refused of that", fmt.Sprintf("%.1f%%", 100*s.Refused)},
	)
}
