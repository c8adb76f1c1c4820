package operator

import (
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"

	"whinknot/internal/level"
)

// Level is a level of reduced service (package level).
type Level struct {
	Name     string           `toml:"name"`
	Enter    []LevelCondition `toml:"enter"`    // any of these,
	For      Duration         `toml:"for"`      // for so long
	Leave    []LevelCondition `toml:"leave"`    // all of these; none for those of enter, cleared by band,
	Calm     Duration         `toml:"calm"`     // for so long
	Band     float64          `toml:"band"`     // share of what lies between a bound and the signal's best value
	Least    Duration         `toml:"least"`    // it is not left sooner
	Off      Duration         `toml:"off"`      // nor entered again sooner
	Ramp     Duration         `toml:"ramp"`     // in which what it sheds comes back
	Shed     []LevelShed      `toml:"shed"`     // what it turns away
	Attempts int              `toml:"attempts"` // of one request; 0 for the pool's
	Deadline float64          `toml:"deadline"` // share of the time that a class gives
}

// LevelCondition is one on a signal: over a bound, or under it.
type LevelCondition struct {
	Signal string   `toml:"signal"`
	Over   *float64 `toml:"over"`
	Under  *float64 `toml:"under"`
}

// LevelShed turns a share of the callers of a class away.
type LevelShed struct {
	Class      string   `toml:"class"`
	Share      float64  `toml:"share"`
	Status     int      `toml:"status"` // 0 for that of a refusal, 503
	Body       string   `toml:"body"`
	Type       string   `toml:"type"`        // of the body
	Warning    string   `toml:"warning"`     // the header of that name
	RetryAfter Duration `toml:"retry_after"` // 0 for what refusals say
}

func (l *Level) SetDefaults() {
	*l = Level{
		For: Duration(300 * time.Millisecond), Calm: Duration(time.Second), Band: 0.3, Least: Duration(5 * time.Second),
		Off: Duration(5 * time.Second), Ramp: Duration(3 * time.Second),
	}
}
func (s *LevelShed) SetDefaults() { *s = LevelShed{Share: 1} }

// Ladder is the pool's levels for package level. The file has been checked.
func (p *Pool) Ladder() level.Ladder {
	out := make(level.Ladder, len(p.Levels))
	for i := range p.Levels {
		v := &p.Levels[i]
		out[i] = level.Level{
			Name: v.Name, Enter: levelConditions(v.Enter), For: time.Duration(v.For), Leave: levelConditions(v.Leave), Calm: time.Duration(v.Calm), Band: v.Band,
			Least: time.Duration(v.Least), Off: time.Duration(v.Off), Ramp: time.Duration(v.Ramp), Attempts: v.Attempts, Deadline: v.Deadline,
		}
		for _, s := range v.Shed {
			out[i].Shed = append(out[i].Shed, level.Shed{
				Class: slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == s.Class }), Share: s.Share,
				Reply: level.Reply{Status: s.Status, Body: s.Body, Type: s.Type, Warning: s.Warning, After: time.Duration(s.RetryAfter)},
			})
		}
	}
	return out
}

func levelConditions(list []LevelCondition) []level.Condition {
	var out []level.Condition
	for _, c := range list {
		s, ok := level.ParseSignal(c.Signal)
		if !ok {
			s = level.Signals // Check tells of it
		}
		k := level.Condition{Signal: s, Under: c.Under != nil}
		if c.Under != nil {
			k.Bound = *c.Under
		} else if c.Over != nil {
			k.Bound = *c.Over
		}
		out = append(out, k)
	}
	return out
}

// SameLevels tells whether two pools have the same levels of reduced service.
func (p *Pool) SameLevels(q *Pool) bool {
	return p.LevelWindow == q.LevelWindow && p.LevelCaller == q.LevelCaller && reflect.DeepEqual(p.Levels, q.Levels)
}

// levels checks those of a pool.
func (c *checker) levels(path string, p *Pool) {
	c.within(path+".level_window", p.LevelWindow, 100*time.Millisecond, time.Minute)
	if name := p.LevelCaller; name != "" {
		if !metadata.MatchString(strings.ToLower(name)) {
			c.complainf(path+".level_caller", "%q is no name of a header", name)
		}
		p.LevelCaller = http.CanonicalHeaderKey(name)
	}
	unknown := false
	for i := range p.Levels {
		v, at := &p.Levels[i], fmt.Sprintf("%s.level[%d]", path, i)
		if v.Name != "" && !names.MatchString(v.Name) {
			c.complainf(at+".name", "%q is no name: letters, digits and . _ : - are allowed, 64 at most", v.Name)
		}
		for _, list := range []struct {
			field string
			of    []LevelCondition
		}{{"enter", v.Enter}, {"leave", v.Leave}} {
			for k, n := range list.of {
				here := fmt.Sprintf("%s.%s[%d]", at, list.field, k)
				if _, ok := level.ParseSignal(n.Signal); !ok {
					unknown = true
					c.complainf(here+".signal", "%q is no signal: there are p95, late, wait, refused, failed, worth, usable and warm", n.Signal)
				}
				if (n.Over == nil) == (n.Under == nil) {
					unknown = true
					c.complain(here, errors.New("needs a bound: one of over and under"))
				}
			}
		}
		for k, s := range v.Shed {
			if !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == s.Class }) {
				unknown = true
				c.complainf(fmt.Sprintf("%s.shed[%d].class", at, k), "the pool has no class %q", s.Class)
			}
			if p.Protocol == GRPC && (s.Status != 0 || s.Body != "" || s.Type != "") {
				c.complain(fmt.Sprintf("%s.shed[%d]", at, k), errors.New("a gRPC call is told a status of its own: there is no answer to give"))
			}
			for _, f := range []struct{ name, text string }{{"warning", s.Warning}, {"type", s.Type}} {
				if strings.ContainsFunc(f.text, unicode.IsControl) {
					c.complain(fmt.Sprintf("%s.shed[%d].%s", at, k, f.name), errors.New("holds a control character"))
				}
			}
		}
	}
	if unknown { // what it names by a wrong name would be told twice
		return
	}
	for _, err := range p.Ladder().Check(len(p.Classes)) {
		c.complain(fmt.Sprintf("%s.level[%d].%s", path, err.Level, err.Field), err.Err)
	}
}
