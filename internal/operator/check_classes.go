package operator

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of the classes of a pool.
const (
	maxClasses     = 1000
	maxClassWeight = 1e9
	maxKeyWindow   = 24 * time.Hour
)

func (c *checker) checkClasses(path string, p *Pool) {
	if len(p.Classes) == 0 {
		c.report(path+".class", errors.New("the pool has no class: at least one is required"))
	}
	c.checkCount(path+".class", len(p.Classes), maxClasses)
	seen := map[string]string{}
	for i := range p.Classes {
		class, at := &p.Classes[i], fmt.Sprintf("%s.class[%d]", path, i)
		c.checkUniqueName(at, class.Name, seen)
		c.checkDuration(at+".aim", class.Aim, time.Millisecond, maxTime)
		c.checkDuration(at+".give_up", class.GiveUp, time.Millisecond, maxTime)
		if class.Aim > class.GiveUp {
			c.reportf(at+".aim", "%v is longer than the give_up of %v", class.Aim, class.GiveUp)
		}
		if p.ConnectTimeout >= class.GiveUp && class.GiveUp > 0 {
			c.reportf(path+".connect_timeout", "%v is not shorter than the give_up of class %q, %v", p.ConnectTimeout, class.Name, class.GiveUp)
		}
		checkRange(c.document, at+".worth", class.Worth, 0, maxClassWeight)
		checkRange(c.document, at+".late_worth", class.Late, 0, 1)
		c.checkEffect(at, class)
	}
}

// checkEffect checks the effect of a class, which says whether its requests may be repeated, and the settings that depend on it.
func (c *checker) checkEffect(at string, class *Class) {
	if _, ok := effects[class.Effect]; !ok {
		c.reportf(at+".effect", "%q is unknown: must be safe (may be repeated), keyed (repeats are dropped) or unsafe", class.Effect)
		return
	}
	if class.Effect != effectKeyed {
		if class.Group != "" || class.Window != 0 {
			c.report(at+".group", errors.New("only a keyed class has a group and a window"))
		}
		if class.Key != "" {
			c.report(at+".key", errors.New("only a keyed class has a key"))
		}
		return
	}
	if class.Key != "" && !namePattern.MatchString(class.Key) {
		c.reportf(at+".key", "%q is not a valid header name", class.Key)
	}
	if _, ok := groups[class.Group]; !ok {
		c.reportf(at+".group", "%q is unknown: must be all, zone or cell (the servers among which repeats are dropped)", class.Group)
	}
	c.checkDuration(at+".window", class.Window, time.Millisecond, maxKeyWindow)
}
