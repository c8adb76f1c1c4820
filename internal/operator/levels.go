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
	Enter    []LevelCondition `toml:"enter"`    // any of these,
	For      Duration         `toml:"for"`      // for so long
	Leave    []LevelCondition `toml:"leave"`    // all of these; none for those of enter, cleared by band,
	Calm     Duration         `toml:"calm"`     // for so long
	Band     float64          `toml:"band"`     // share of what lies between a bound and the signal's best value
	Least    Duration         `toml:"least"`    // it is not left sooner
	Off      Duration         `toml:"off"`      // nor entered again sooner
	Ramp     Duration         `toml:"ramp"`     // over which what it sheds is restored
	Shed     []LevelShed      `toml:"shed"`     // what it refuses
	Attempts int              `toml:"attempts"` // of one request; 0 for the pool's
	Deadline float64          `toml:"deadline"` // share of the deadline of a class
}

// LevelCondition is one on a signal: over a bound, or under it.
type LevelCondition struct {
	Signal string   `toml:"signal"`
	Over   *float64 `toml:"over"`
	Under  *float64 `toml:"under"`
}

// LevelShed refuses a share of the callers of a class.
type LevelShed struct {
	Class      string   `toml:"class"`
	Share      float64  `toml:"share"`
	Status     int      `toml:"status"` // 0 for that of a refusal, 503
	Body       string   `toml:"body"`
	Type       string   `toml:"type"`        // of the body
	Warning    string   `toml:"warning"`     // the header of that name
	RetryAfter Duration `toml:"retry_after"` // 0 for what refusals say
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
