package balancer

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		name, want string
		invalidate func(*Settings)
	}{
		{"no classes", "Classes", func(s *Settings) { s.Classes = nil }},
		{"negative time", "Timeout -1", func(s *Settings) { s.Classes[0].Timeout = -1 }},
		{"negative window", "DedupWindow -2", func(s *Settings) { s.Classes[1].DedupWindow = -2 }},
		{"unknown effect", "Effect 9", func(s *Settings) { s.Classes[0].Effect = 9 }},
		{"tier out of range", "Tier 3", func(s *Settings) { s.Tier, s.Tiers = 3, 3 }},
		{"negative slow start time", "SlowStartTime -5", func(s *Settings) { s.Safety.SlowStartTime = -5 }},
		{"not a number", "SlowStartShare NaN", func(s *Settings) { s.Safety.SlowStartShare = math.NaN() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			c.invalidate(&set)
			if _, err := New(set, 1, 0); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one with %q", err, c.want)
			}
		})
	}
}
