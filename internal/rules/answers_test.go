package rules

import (
	"strings"
	"testing"
)

// Each response that contradicts the executions is reported, and no other one.
func TestAnswers(t *testing.T) {
	good, other := Response{200, "s1", "x"}, Response{200, "s2", "x"}
	for name, c := range map[string]struct {
		record func(a *Answers)
		want   string // part of the violation; "" for none
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
		"run twice":                {func(a *Answers) { a.RecordExecution("once", good); a.RecordExecution("once", other) }, "executed 2 times"},
		"never requested":          {func(a *Answers) { a.RecordExecution("x", good) }, "never requested"},
		"refused, had run":         {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", Response{Status: 408}) }, "not executed, and it was"},
		"refused, runs":            {func(a *Answers) { a.RecordResponse("once", Response{Status: 421}); a.RecordExecution("once", good) }, "its caller got 421"},
		"reported, had run":        {func(a *Answers) { a.RecordExecution("safe", good); a.RecordNotExecuted("safe", "never") }, "not executed, and it was"},
		"response of another":      {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", other) }, "endpoints returned"},
		"served by no endpoint":    {func(a *Answers) { a.RecordResponse("once", Response{Status: 204}) }, "endpoints returned"},
		"a seal of another status": {func(a *Answers) { a.RecordExecution("once", good); a.RecordResponse("once", Response{500, "s1", "x"}) }, "endpoints returned"},
	} {
		var a Answers
		a.RecordRequest("once", true)
		a.RecordRequest("safe", false)
		c.record(&a)
		violations, n := a.Violations()
		if n != min(len(c.want), 1) || n > 0 && !strings.Contains(violations[0], c.want) {
			t.Errorf("%s: %q, want %q", name, violations, c.want)
		}
	}
}
