package operator

import (
	"reflect"
	"slices"
	"time"

	"milletmast/internal/degradation"
)

// Level is a level of reduced service (package degradation).
type Level struct {
	Name     string           `toml:"name"`
	Enter    []LevelCondition `toml:"enter"` // the level is entered after one of these has held for For
	For      Duration         `toml:"for"`
	Leave    []LevelCondition `toml:"leave"` // all must hold for Calm to leave it; if empty, enter is cleared by band
	Calm     Duration         `toml:"calm"`
	Band     float64          `toml:"band"`     // hysteresis, as a share of the distance between a bound and the signal's best value
	Least    Duration         `toml:"least"`    // minimum time in the level
	Off      Duration         `toml:"off"`      // minimum time before the level is entered again
	Ramp     Duration         `toml:"ramp"`     // time in which the shed share is restored after the level is left
	Shed     []LevelShed      `toml:"shed"`     // requests that are refused in the level
	Attempts int              `toml:"attempts"` // maximum attempts of one request; 0 for those of the pool
	Deadline float64          `toml:"deadline"` // share of the deadline of each class
}

// LevelCondition holds while a signal is over a bound, or under it.
type LevelCondition struct {
	Signal string   `toml:"signal"`
	Over   *float64 `toml:"over"`
	Under  *float64 `toml:"under"`
}

// LevelShed refuses a share of the callers of a class.
type LevelShed struct {
	Class      string   `toml:"class"`
	Share      float64  `toml:"share"`
	Status     int      `toml:"status"` // 0 for 503, the status of refusals
	Body       string   `toml:"body"`
	Type       string   `toml:"type"`        // content type of the body
	Warning    string   `toml:"warning"`     // value of the header Warning
	RetryAfter Duration `toml:"retry_after"` // 0 for that of other refusals
}

// Ladder returns the levels of the pool for package degradation. The file has been checked.
func (p *Pool) Ladder() degradation.Ladder {
	out := make(degradation.Ladder, len(p.Levels))
	for i := range p.Levels {
		v := &p.Levels[i]
		out[i] = degradation.Level{
			Name:          v.Name,
			EnterIf:       levelConditions(v.Enter),
			EnterAfter:    time.Duration(v.For),
			LeaveIf:       levelConditions(v.Leave),
			LeaveAfter:    time.Duration(v.Calm),
			Hysteresis:    v.Band,
			MinTime:       time.Duration(v.Least),
			MinTimeOff:    time.Duration(v.Off),
			RestoreTime:   time.Duration(v.Ramp),
			MaxAttempts:   v.Attempts,
			DeadlineShare: v.Deadline,
		}
		for _, s := range v.Shed {
			out[i].Shedding = append(out[i].Shedding, degradation.ShedRule{
				Class: slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == s.Class }),
				Share: s.Share,
				Response: degradation.Response{
					Status:      s.Status,
					Body:        s.Body,
					ContentType: s.Type,
					Warning:     s.Warning,
					RetryAfter:  time.Duration(s.RetryAfter),
				},
			})
		}
	}
	return out
}

func levelConditions(list []LevelCondition) []degradation.Condition {
	var out []degradation.Condition
	for _, c := range list {
		s, ok := degradation.ParseSignal(c.Signal)
		if !ok {
			s = degradation.SignalCount // checkLevels reports it
		}
		k := degradation.Condition{Signal: s, Below: c.Under != nil}
		if c.Under != nil {
			k.Bound = *c.Under
		} else if c.Over != nil {
			k.Bound = *c.Over
		}
		out = append(out, k)
	}
	return out
}

// SameLevels reports whether two pools have the same levels of reduced service.
func (p *Pool) SameLevels(q *Pool) bool {
	return p.LevelWindow == q.LevelWindow && p.LevelCaller == q.LevelCaller && reflect.DeepEqual(p.Levels, q.Levels)
}
