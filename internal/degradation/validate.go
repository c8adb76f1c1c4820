package degradation

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// Error is an invalid field of a level.
type Error struct {
	Level int // index in the ladder
	Field string
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("level %d: %s: %v", e.Level, e.Field, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// validator collects the errors of one level.
type validator struct {
	index  int
	level  *Level
	errors []*Error
}

func (v *validator) add(field, format string, args ...any) {
	v.errors = append(v.errors, &Error{v.index, field, fmt.Errorf(format, args...)})
}

// Validate returns all errors of a ladder for a pool with a number of classes.
func (l Ladder) Validate(classes int) []*Error {
	var errs []*Error
	if len(l) > MaxLevels {
		errs = append(errs, &Error{0, "name", fmt.Errorf("%d levels, over the %d allowed", len(l), MaxLevels)})
	}
	names := map[string]bool{Normal: true}
	for i := range l {
		v := &validator{index: i, level: &l[i]}
		if name := l[i].Name; name == "" || names[name] {
			v.add("name", "%q is missing, comes twice or is that of no reduction", name)
		}
		names[l[i].Name] = true
		v.checkConditions()
		v.checkNumbers()
		v.checkShedding(classes)
		if i > 0 {
			v.checkNotMilderThan(&l[i-1])
		}
		errs = append(errs, v.errors...)
	}
	return errs
}

// checkConditions checks when the level is entered and left.
func (v *validator) checkConditions() {
	if len(v.level.EnterIf) == 0 {
		v.add("enter", "there is no condition: the level could be entered by command only, and never be left")
	}
	for _, c := range v.level.EnterIf {
		v.checkCondition("enter", c)
	}
	for _, c := range v.level.LeaveIf {
		v.checkCondition("leave", c)
	}
	for _, leave := range v.level.LeaveIf {
		for _, enter := range v.level.EnterIf {
			if leave.contradicts(enter) {
				v.add("leave", "%v holds already where %v does: the level would be left as it is entered", leave, enter)
			}
		}
	}
}

// checkCondition checks one condition of a field.
func (v *validator) checkCondition(field string, c Condition) {
	isEnter := field == "enter"
	switch {
	case c.Signal >= SignalCount:
		v.add(field, "there is no such signal")
	case !(c.Bound >= 0) || math.IsInf(c.Bound, 0): // also if it is NaN
		v.add(field, "%v: the bound is no number of 0 or more", c)
	case c.Below && c.Bound == 0, c.Signal.isShare() && (c.Bound > 1 || !c.Below && c.Bound == 1):
		v.add(field, "%v can never hold", c)
	case isEnter && !c.Below && c.Bound == 0, isEnter && c.Below && c.Signal.isShare() && c.Bound == 1:
		v.add(field, "%v leaves no room to clear it", c)
	case isEnter && c.Below && !c.Signal.isShare():
		v.add(field, "%v: service is not reduced because it is quick", c)
	}
}

// checkNumbers checks times and limits.
func (v *validator) checkNumbers() {
	level := v.level
	if !(level.Hysteresis > 0 && level.Hysteresis < 1) {
		v.add("band", "%v is not within 0 and 1", level.Hysteresis)
	}
	for _, t := range []struct {
		field         string
		minimum, time time.Duration
	}{
		{"for", 0, level.EnterAfter},
		{"calm", 0, level.LeaveAfter},
		{"ramp", 0, level.RestoreTime},
		{"least", minMinTime, level.MinTime},
		{"off", minMinTime, level.MinTimeOff},
	} {
		if t.time < t.minimum || t.time > MaxTime {
			v.add(t.field, "%v is not within %v and %v", t.time, t.minimum, MaxTime)
		}
	}
	if level.MaxAttempts < 0 {
		v.add("attempts", "%d is negative", level.MaxAttempts)
	}
	if !(level.DeadlineShare >= 0 && level.DeadlineShare <= 1) {
		v.add("deadline", "%v is not within 0 and 1", level.DeadlineShare)
	}
}

// checkShedding checks which requests the level sheds.
func (v *validator) checkShedding(classes int) {
	seen := map[int]bool{}
	for _, rule := range v.level.Shedding {
		switch {
		case rule.Class < 0 || rule.Class >= classes:
			v.add("shed", "there is no class %d", rule.Class)
		case seen[rule.Class]:
			v.add("shed", "class %d comes twice", rule.Class)
		case !(rule.Share > 0 && rule.Share <= 1):
			v.add("shed", "a share of %v is not within 0 and 1", rule.Share)
		}
		seen[rule.Class] = true
		if status := rule.Response.Status; status != 0 && !mayHaveBody(status) {
			v.add("shed", "%d is no status of an answer with a body", status)
		} else if after := rule.Response.RetryAfter; after < 0 || after > MaxTime {
			v.add("shed", "a time to come back of %v is not within 0 and %v", after, MaxTime)
		}
	}
}

// mayHaveBody reports whether a status is that of a final response that may have a body.
func mayHaveBody(status int) bool {
	switch status {
	case http.StatusNoContent, http.StatusResetContent, http.StatusNotModified:
		return false
	}
	return status >= 200 && status <= 599
}

// checkNotMilderThan checks that the level reduces no less than the one before: a step up must never admit more.
func (v *validator) checkNotMilderThan(before *Level) {
	for _, rule := range before.Shedding {
		if ratio := v.level.shedRatio(rule.Class); ratio < rule.Share {
			v.add("shed", "%v of class %d are shed, fewer than the %v of level %s before", ratio, rule.Class, rule.Share, before.Name)
		}
	}
	if before.MaxAttempts > 0 && (v.level.MaxAttempts == 0 || v.level.MaxAttempts > before.MaxAttempts) {
		v.add("attempts", "%d are more than the %d of level %s before", v.level.MaxAttempts, before.MaxAttempts, before.Name)
	}
	if before.deadlineShare() < v.level.deadlineShare() {
		v.add("deadline", "%v is more than the %v of level %s before", v.level.deadlineShare(), before.deadlineShare(), before.Name)
	}
}
