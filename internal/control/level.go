package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"milletmast/internal/control/controlpb"
)

// Shedding returns the classes that a degradation level sheds, each with the fraction of its callers.
func Shedding(s *controlpb.LevelStatus) string {
	list := make([]string, len(s.Shedding))
	for i, k := range s.Shedding {
		list[i] = fmt.Sprintf("%s %.0f%%", k.Class, 100*k.Share)
	}
	return strings.Join(list, ", ")
}

// DescribeLevel describes the degradation level of a pool, in rows of a name and a value. Times are
// relative to now.
func DescribeLevel(s *controlpb.LevelStatus, now time.Time) [][]string {
	ago := func(ms int64) string { return now.Sub(time.UnixMilli(ms)).Round(100 * time.Millisecond).String() }
	in := func(ms int64) string { return max(time.UnixMilli(ms).Sub(now).Round(100*time.Millisecond), 0).String() }
	rows := [][]string{
		{"level", s.Level + " of " + strings.Join(s.Ladder, ", ")},
		{"since", ago(s.SinceMs) + ", by " + s.By},
		{"why", s.Why},
	}
	if s.PinnedUntilMs != 0 {
		rows = append(rows, []string{"pinned", "for " + in(s.PinnedUntilMs) + " more"})
	}
	if len(s.Shedding) > 0 {
		rows = append(rows, []string{"shed", Shedding(s) + " of the callers"})
	}
	if s.Back < 1 {
		rows = append(rows, []string{"back", fmt.Sprintf("%.0f%% of what was shed", 100*s.Back)})
	}
	switch {
	case s.EarliestMs == 0:
	case s.Waits != "":
		rows = append(rows, []string{"leaves", "in " + in(s.EarliestMs) + " at the earliest; waits for " + s.Waits})
	default:
		rows = append(rows, []string{"leaves", "in " + in(s.EarliestMs) + " if it stays like this"})
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(s.Signals)) {
		list = append(list, fmt.Sprintf("%s %.3g", name, s.Signals[name]))
	}
	rows = append(rows, []string{"signals", strings.Join(list, ", ")})
	for _, c := range slices.Backward(s.Changes) {
		rows = append(rows, []string{ago(c.AtMs) + " ago", fmt.Sprintf("%s -> %s, by %s: %s", c.From, c.To, c.By, c.Why)})
	}
	return rows
}
