package operator

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"milletmast/internal/vhost"
)

const (
	maxSites     = 1024
	maxLocations = 20_000
)

// thenValues are the values of the key then of a step.
var thenValues = map[string]vhost.Then{
	"": vhost.Next, "last": vhost.Last, "break": vhost.Break, "redirect": vhost.Redirect, "permanent": vhost.Moved,
}

// checkSites checks the sites and compiles them for each listener.
func (c *checker) checkSites() {
	list := c.cfg.Sites
	if c.checkCount("site", len(list), maxSites) {
		return
	}
	pools := map[string]*Pool{}
	for i := range c.cfg.Pools {
		pools[c.cfg.Pools[i].Name] = &c.cfg.Pools[i]
	}
	listeners := map[string]*Listener{}
	for i := range c.cfg.Listeners {
		listeners[c.cfg.Listeners[i].Name] = &c.cfg.Listeners[i]
	}
	s := siteChecker{checker: c, pools: pools}
	servers := make([]vhost.Server, len(list))
	for i := range list {
		path := fmt.Sprintf("site[%d]", i)
		servers[i] = vhost.Server{
			Name: list[i].Name, Hosts: list[i].Hosts, Default: list[i].Default, Steps: s.convertSteps(path, list[i].Steps),
			Errors: s.convertErrors(path, list[i].Errors), Locations: s.convertLocations(path, list[i].Locations),
		}
		for j, name := range list[i].Listeners {
			if l := listeners[name]; l == nil {
				c.reportf(fmt.Sprintf("%s.listeners[%d]", path, j), "there is no listener %q", name)
			} else if !l.accepts(HTTP) {
				c.reportf(fmt.Sprintf("%s.listeners[%d]", path, j), "listener %q does not accept HTTP/1.1", name)
			}
		}
	}
	if s.count > maxLocations {
		c.reportf("site", "%d locations, over the %d allowed", s.count, maxLocations)
		return
	}
	reported := map[string]bool{} // a site may be in the tables of several listeners
	for _, l := range c.cfg.Listeners {
		if l.accepts(HTTP) {
			c.cfg.SiteTables[l.Name] = c.compileSites(l.Name, servers, reported)
		}
	}
}

// compileSites compiles the sites of a listener. It returns nil if there are none.
func (c *checker) compileSites(listener string, servers []vhost.Server, reported map[string]bool) *vhost.Table {
	var own []vhost.Server
	var indexes []int
	for i, s := range c.cfg.Sites {
		if len(s.Listeners) == 0 || slices.Contains(s.Listeners, listener) {
			own, indexes = append(own, servers[i]), append(indexes, i)
		}
	}
	if len(own) == 0 {
		return nil
	}
	table, errs := vhost.Compile(own)
	for _, err := range errs {
		path := fmt.Sprintf("site[%d]", indexes[err.Server])
		field := err.Field
		if len(err.Location) > 0 {
			list := c.cfg.Sites[indexes[err.Server]].Locations
			var last *SiteLocation
			for _, n := range err.Location {
				path += fmt.Sprintf(".location[%d]", n)
				last, list = &list[n], list[n].Within
			}
			if field == "path" {
				field, _, _ = last.matcher()
			}
		}
		if key := path + "." + field + err.Err.Error(); !reported[key] {
			reported[key] = true
			c.report(path+"."+field, err.Err)
		}
	}
	return table
}

// siteChecker checks sites and converts them to those of package vhost.
type siteChecker struct {
	*checker
	pools map[string]*Pool
	count int // locations
}

// convertSteps checks steps and converts them.
func (s *siteChecker) convertSteps(path string, list []SiteStep) []vhost.Step {
	out := make([]vhost.Step, len(list))
	for i, k := range list {
		then, ok := thenValues[k.Then]
		if !ok {
			s.reportf(fmt.Sprintf("%s.step[%d].then", path, i),
				"%q is unknown: must be \"last\", \"break\", \"redirect\" or \"permanent\"", k.Then)
		}
		out[i] = vhost.Step{
			Match: k.Match, To: k.To, Then: then, Stop: k.Stop, Answer: vhost.Answer{Status: k.Status, Body: k.Body, Location: k.Redirect},
		}
	}
	return out
}

// convertLocations checks locations, including the nested ones, and converts them.
func (s *siteChecker) convertLocations(path string, list []SiteLocation) []vhost.Location {
	out := make([]vhost.Location, len(list))
	for i := range list {
		s.count++
		l, here := &list[i], fmt.Sprintf("%s.location[%d]", path, i)
		field, kind, text := l.matcher()
		if field == "" {
			s.report(here, errors.New("needs exactly one of exact, begins, only, regex, regex_any and named"))
			text = fmt.Sprintf("/%d", i) // avoids more errors about this location
		}
		out[i] = vhost.Location{
			Name:      l.Name,
			Kind:      kind,
			Path:      text,
			Steps:     s.convertSteps(here, l.Steps),
			Do:        s.convertAction(here, l),
			Within:    s.convertLocations(here, l.Within),
			Internal:  l.Internal,
			Intercept: l.Intercept,
			Errors:    s.convertErrors(here, l.Errors),
		}
	}
	return out
}

// convertErrors checks error pages and converts them.
func (s *siteChecker) convertErrors(path string, list []SiteError) []vhost.ErrorPage {
	out := make([]vhost.ErrorPage, len(list))
	for i, e := range list {
		out[i] = vhost.ErrorPage{Codes: e.Codes, Page: e.Page, Named: e.Named, Redirect: e.Redirect, Status: e.Status}
		if e.OwnStatus {
			out[i].Status = vhost.ReplacementStatus
		}
		if e.OwnStatus && e.Status != 0 || e.Status < 0 {
			s.report(fmt.Sprintf("%s.error[%d].status", path, i), errors.New("must not be negative, and is not allowed with own_status"))
		}
	}
	return out
}

// convertAction checks what a location does with requests and converts it. It returns nil for a location without a pool.
func (s *siteChecker) convertAction(path string, l *SiteLocation) *vhost.Action {
	if l.Pool == "" {
		if l.Class != "" || l.Other != "" || l.Replace != "" || l.Target != "" || len(l.Headers) > 0 {
			s.report(path+".pool", errors.New("is missing: class, other, replace, target and headers need it"))
		}
		return nil
	}
	p := s.pools[l.Pool]
	switch {
	case p == nil:
		s.reportf(path+".pool", "there is no pool %q", l.Pool)
	case p.Protocol != HTTP:
		s.reportf(path+".pool", "pool %q has protocol \"grpc\": sites need \"http\"", l.Pool)
	}
	a := &vhost.Action{Pool: l.Pool, Class: l.Class, Other: l.Other, Replace: l.Replace, Target: l.Target, MaxBody: int64(l.MaxBody)}
	if a.Other == "" {
		a.Other = a.Class
	}
	for _, k := range [...]struct{ field, class string }{{"class", a.Class}, {"other", a.Other}} {
		if p != nil && !p.hasClass(k.class) {
			s.reportf(path+"."+k.field, "pool %q has no class %q", l.Pool, k.class)
			break
		}
	}
	for _, h := range l.Headers {
		a.Headers = append(a.Headers, vhost.Header{Name: http.CanonicalHeaderKey(h.Name), Value: h.Value})
	}
	return a
}
