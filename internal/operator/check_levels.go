package operator

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"

	"milletmast/internal/degradation"
)

// checkLevels checks the levels of reduced service of a pool.
func (c *checker) checkLevels(path string, p *Pool) {
	c.checkDuration(path+".level_window", p.LevelWindow, 100*time.Millisecond, time.Minute)
	if name := p.LevelCaller; name != "" {
		if !metadataPattern.MatchString(strings.ToLower(name)) {
			c.reportf(path+".level_caller", "%q is not a valid header name", name)
		}
		p.LevelCaller = http.CanonicalHeaderKey(name)
	}
	resolved := true
	for i := range p.Levels {
		resolved = c.checkLevel(fmt.Sprintf("%s.level[%d]", path, i), &p.Levels[i], p) && resolved
	}
	if !resolved { // Validate would report the same errors again
		return
	}
	for _, err := range p.Ladder().Validate(len(p.Classes)) {
		c.report(fmt.Sprintf("%s.level[%d].%s", path, err.Level, err.Field), err.Err)
	}
}

// checkLevel checks one level by itself. It returns false if a signal, a bound or a class could not be resolved.
func (c *checker) checkLevel(at string, v *Level, p *Pool) (resolved bool) {
	if v.Name != "" && !namePattern.MatchString(v.Name) {
		c.reportf(at+".name", "%q is not a valid name: use up to 64 letters, digits and . _ : -, the first a letter or digit", v.Name)
	}
	enter := c.checkLevelConditions(at+".enter", v.Enter)
	leave := c.checkLevelConditions(at+".leave", v.Leave)
	resolved = enter && leave
	for i := range v.Shed {
		resolved = c.checkLevelShed(fmt.Sprintf("%s.shed[%d]", at, i), &v.Shed[i], p) && resolved
	}
	return resolved
}

func (c *checker) checkLevelConditions(path string, list []LevelCondition) (resolved bool) {
	resolved = true
	for i, condition := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := degradation.ParseSignal(condition.Signal); !ok {
			resolved = false
			c.reportf(at+".signal", "%q is not a signal: must be p95, late, wait, refused, failed, worth, usable or warm", condition.Signal)
		}
		if (condition.Over == nil) == (condition.Under == nil) {
			resolved = false
			c.report(at, errors.New("needs a bound: exactly one of over and under"))
		}
	}
	return resolved
}

func (c *checker) checkLevelShed(at string, shed *LevelShed, p *Pool) (resolved bool) {
	resolved = true
	if !p.hasClass(shed.Class) {
		resolved = false
		c.reportf(at+".class", "the pool has no class %q", shed.Class)
	}
	if p.Protocol == GRPC && (shed.Status != 0 || shed.Body != "" || shed.Type != "") {
		c.report(at, errors.New("a refused gRPC call always gets a gRPC status: status, body and type are not allowed"))
	}
	for _, f := range []struct{ key, text string }{{"warning", shed.Warning}, {"type", shed.Type}} {
		if strings.ContainsFunc(f.text, unicode.IsControl) {
			c.report(at+"."+f.key, errors.New("contains a control character"))
		}
	}
	return resolved
}

// hasClass reports whether the pool has a class of this name.
func (p *Pool) hasClass(name string) bool {
	return slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == name })
}
