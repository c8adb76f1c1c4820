package rules

import (
	"strings"
	"testing"
)

// Each thing that an answer may not say is found, and nothing beside it.
func TestAnswers(t *testing.T) {
	good, other := Response{200, "s1", "x"}, Response{200, "s2", "x"}
	for name, c := range map[string]struct {
		play func(a *Answers)
		says string // "" for nothing
	}{
		"served":  {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", good) }, ""},
		"refused": {func(a *Answers) { a.RecordResponse("once", Response{Status: 503}) }, ""},
		"unclear": {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", Response{Status: 502}) }, ""},
		"safe, run twice": {func(a *Answers) {
			a.RecordExecution("safe", good)
			a.RecordExecution("safe", other)
			a.RecordResponse("safe", other)
		}, ""},
		"safe, run, then refused":  {func(a *Answers) { a.RecordExecution("safe", good); a.RecordResponse("safe", Response{Status: 503}) }, ""},
		"run twice":                {func(a *Answers) { a.RecordExecution("once", good); a.RecordExecution("once", other) }, "runs 2 times"},
		"unasked":                  {func(a *Answers) { a.RecordExecution("x", good) }, "nobody has asked"},
		"refused, had run":         {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", Response{Status: 408}) }, "had run"},
		"refused, runs":            {func(a *Answers) { a.RecordResponse("once", Response{Status: 421}); a.RecordExecution("once", good) }, "was told 421"},
		"said never, had run":      {func(a *Answers) { a.RecordExecution("safe", good); a.RecordNotExecuted("safe", "never") }, "had run"},
		"another's answer":         {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", other) }, "endpoints gave it"},
		"served by nobody":         {func(a *Answers) { a.RecordResponse("once", Response{Status: 204}) }, "endpoints gave it"},
		"a seal of another status": {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", Response{500, "s1", "x"}) }, "endpoints gave it"},
	} {
		var a Answers
		a.RecordRequest("once", true)
		a.RecordRequest("safe", false)
		c.play(&a)
		wrong, n := a.Violations()
		if n != min(len(c.says), 1) || n > 0 && !strings.Contains(wrong[0], c.says) {
			t.Errorf("%s: %q, want %q", name, wrong, c.says)
		}
	}
}
