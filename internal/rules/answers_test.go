package rules

import (
	"strings"
	"testing"
)

// Each thing that an answer may not say is found, and nothing beside it.
func TestAnswers(t *testing.T) {
	good, other := Given{200, "s1", "x"}, Given{200, "s2", "x"}
	for name, c := range map[string]struct {
		play func(a *Answers)
		says string // "" for nothing
	}{
		"served":                   {func(a *Answers) { a.Ran("once", good); a.Told("once", good) }, ""},
		"refused":                  {func(a *Answers) { a.Told("once", Given{Status: 503}) }, ""},
		"unclear":                  {func(a *Answers) { a.Ran("once", good); a.Told("once", Given{Status: 502}) }, ""},
		"safe, run twice":          {func(a *Answers) { a.Ran("safe", good); a.Ran("safe", other); a.Told("safe", other) }, ""},
		"safe, run, then refused":  {func(a *Answers) { a.Ran("safe", good); a.Told("safe", Given{Status: 503}) }, ""},
		"run twice":                {func(a *Answers) { a.Ran("once", good); a.Ran("once", other) }, "runs 2 times"},
		"unasked":                  {func(a *Answers) { a.Ran("x", good) }, "nobody has asked"},
		"refused, had run":         {func(a *Answers) { a.Ran("once", good); a.Told("once", Given{Status: 408}) }, "had run"},
		"refused, runs":            {func(a *Answers) { a.Told("once", Given{Status: 421}); a.Ran("once", good) }, "was told 421"},
		"said never, had run":      {func(a *Answers) { a.Ran("safe", good); a.Never("safe", "never") }, "had run"},
		"another's answer":         {func(a *Answers) { a.Ran("once", good); a.Told("once", other) }, "endpoints gave it"},
		"served by nobody":         {func(a *Answers) { a.Told("once", Given{Status: 204}) }, "endpoints gave it"},
		"a seal of another status": {func(a *Answers) { a.Ran("once", good); a.Told("once", Given{500, "s1", "x"}) }, "endpoints gave it"},
	} {
		var a Answers
		a.Asked("once", true)
		a.Asked("safe", false)
		c.play(&a)
		wrong, n := a.Wrong()
		if n != min(len(c.says), 1) || n > 0 && !strings.Contains(wrong[0], c.says) {
			t.Errorf("%s: %q, want %q", name, wrong, c.says)
		}
	}
}
