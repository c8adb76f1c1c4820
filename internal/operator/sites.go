package operator

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"whinknot/internal/vhost"
)

// Site is a virtual server with ordered locations (package vhost), as an import of another program's routing gives it. What
// no route of a listener matches is looked up in its sites.
type Site struct {
	Name      string         `toml:"name"`
	Listeners []string       `toml:"listeners"` // none for all that take HTTP/1.1
	Hosts     []string       `toml:"hosts"`     // NAME, *.NAME, NAME.*, .NAME or ~EXPRESSION
	Default   bool           `toml:"default"`   // takes what no site's hosts match; else the first site does
	Steps     []SiteStep     `toml:"step"`
	Errors    []SiteError    `toml:"error"`
	Locations []SiteLocation `toml:"location"`
}

// SiteError says what stands in for an error, by one of page, named and redirect. Those of a location stand for those around it.
type SiteError struct {
	Codes     []int  `toml:"codes"`
	Page      string `toml:"page"`       // a template for path and query
	Named     string `toml:"named"`      // the named of a location
	Redirect  string `toml:"redirect"`   // a template for a URL
	Status    int    `toml:"status"`     // of the final answer; 0 for that of the error
	OwnStatus bool   `toml:"own_status"` // it has that of what stands in
}

// SiteStep rewrites (match, to, then), stops the steps (stop) or answers (status, body, redirect).
type SiteStep struct {
	Match    string `toml:"match"`
	To       string `toml:"to"`
	Then     string `toml:"then"` // "" for the next step, last, break, redirect (302) or permanent (301)
	Stop     bool   `toml:"stop"`
	Status   int    `toml:"status"`
	Body     string `toml:"body"`
	Redirect string `toml:"redirect"`
}

// SiteLocation is chosen by one of exact, begins, only, regex, regex_any and named, and sends to a pool; with none it answers 404,
// unless a step answers.
type SiteLocation struct {
	Name     string `toml:"name"`
	Exact    string `toml:"exact"`
	Begins   string `toml:"begins"`    // a prefix of bytes; expressions go before it
	Only     string `toml:"only"`      // a prefix of bytes before which no expression goes
	Regex    string `toml:"regex"`     // RE2, not anchored; the first that matches
	RegexAny string `toml:"regex_any"` // likewise, whatever the case of letters
	Named    string `toml:"named"`     // reached by errors only

	Pool    string       `toml:"pool"`
	Class   string       `toml:"class"`
	Other   string       `toml:"other"`   // class of methods that are not safe; class if absent
	Replace string       `toml:"replace"` // stands for the prefix on the way to the server
	Target  string       `toml:"target"`  // a template for path and query, instead
	Headers []SiteHeader `toml:"headers"`
	MaxBody Size         `toml:"max_body"` // of a request; 0 for the listener's
	Steps   []SiteStep   `toml:"step"`

	Internal  bool        `toml:"internal"`  // reached by rewrites and errors only
	Intercept bool        `toml:"intercept"` // errors that servers answer are replaced too
	Errors    []SiteError `toml:"error"`

	Within []SiteLocation `toml:"location"`
}

// SiteHeader is a header that is set on the way to the server; an empty value takes it away.
type SiteHeader struct {
	Name  string `toml:"name"`
	Value string `toml:"value"` // a template
}

const (
	maxSites     = 1024
	maxLocations = 20_000
)

var thens = map[string]vhost.Then{
	"": vhost.Next, "last": vhost.Last, "break": vhost.Break, "redirect": vhost.Redirect, "permanent": vhost.Moved,
}

// sites checks the sites and compiles them for each listener.
func (c *checker) sites() {
	list := c.cfg.File.Sites
	if len(list) > maxSites {
		c.complainf("site", "%d of them, over the %d allowed", len(list), maxSites)
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
			Name: list[i].Name, Hosts: list[i].Hosts, Default: list[i].Default, Steps: s.steps(path, list[i].Steps),
			Errors: s.errors(path, list[i].Errors), Locations: s.locations(path, list[i].Locations),
		}
		for j, name := range list[i].Listeners {
			if l := listeners[name]; l == nil {
				c.complainf(fmt.Sprintf("%s.listeners[%d]", path, j), "there is no listener %q", name)
			} else if !l.carries(HTTP) {
				c.complainf(fmt.Sprintf("%s.listeners[%d]", path, j), "listener %q takes no HTTP/1.1", name)
			}
		}
	}
	if s.count > maxLocations {
		c.complainf("site", "%d locations, over the %d allowed", s.count, maxLocations)
		return
	}
	told := map[string]bool{} // a site stands in the tables of several listeners
	for _, l := range c.cfg.Listeners {
		if l.carries(HTTP) {
			c.cfg.Sites[l.Name] = c.siteTable(l.Name, servers, told)
		}
	}
}

// siteTable compiles the sites of a listener; nil for none.
func (c *checker) siteTable(listener string, servers []vhost.Server, told map[string]bool) *vhost.Table {
	var own []vhost.Server
	var places []int
	for i, s := range c.cfg.File.Sites {
		if len(s.Listeners) == 0 || slices.Contains(s.Listeners, listener) {
			own, places = append(own, servers[i]), append(places, i)
		}
	}
	if len(own) == 0 {
		return nil
	}
	table, errs := vhost.Compile(own)
	for _, err := range errs {
		path := fmt.Sprintf("site[%d]", places[err.Server])
		field := err.Field
		if len(err.Location) > 0 {
			list := c.cfg.File.Sites[places[err.Server]].Locations
			var last *SiteLocation
			for _, n := range err.Location {
				path += fmt.Sprintf(".location[%d]", n)
				last, list = &list[n], list[n].Within
			}
			if field == "path" {
				field, _, _ = last.chosen()
			}
		}
		if key := path + "." + field + err.Err.Error(); !told[key] {
			told[key] = true
			c.complain(path+"."+field, err.Err)
		}
	}
	return table
}

// chosen tells by what a location is chosen; field is "" if that is not one thing.
func (l *SiteLocation) chosen() (field string, kind vhost.Kind, path string) {
	for _, k := range [...]struct {
		field, path string
		kind        vhost.Kind
	}{
		{"exact", l.Exact, vhost.Equals}, {"begins", l.Begins, vhost.Begins}, {"only", l.Only, vhost.BeginsOnly},
		{"regex", l.Regex, vhost.Matches}, {"regex_any", l.RegexAny, vhost.MatchesAny}, {"named", l.Named, vhost.Named},
	} {
		if k.path == "" {
			continue
		}
		if field != "" {
			return "", 0, ""
		}
		field, kind, path = k.field, k.kind, k.path
	}
	return field, kind, path
}

type siteChecker struct {
	*checker
	pools map[string]*Pool
	count int // locations
}

func (s *siteChecker) steps(path string, list []SiteStep) []vhost.Step {
	out := make([]vhost.Step, len(list))
	for i, k := range list {
		then, ok := thens[k.Then]
		if !ok {
			s.complainf(fmt.Sprintf("%s.step[%d].then", path, i), "%q is unknown: there are \"last\", \"break\", \"redirect\" and \"permanent\"", k.Then)
		}
		out[i] = vhost.Step{
			Match: k.Match, To: k.To, Then: then, Stop: k.Stop, Answer: vhost.Answer{Status: k.Status, Body: k.Body, Location: k.Redirect},
		}
	}
	return out
}

func (s *siteChecker) locations(path string, list []SiteLocation) []vhost.Location {
	out := make([]vhost.Location, len(list))
	for i := range list {
		s.count++
		l, here := &list[i], fmt.Sprintf("%s.location[%d]", path, i)
		field, kind, text := l.chosen()
		if field == "" {
			s.complain(here, errors.New("needs one of exact, begins, only, regex, regex_any and named"))
			text = fmt.Sprintf("/%d", i) // so that nothing else is told of it
		}
		out[i] = vhost.Location{
			Name: l.Name, Kind: kind, Path: text, Steps: s.steps(here, l.Steps), Do: s.action(here, l), Within: s.locations(here, l.Within),
			Internal: l.Internal, Intercept: l.Intercept, Errors: s.errors(here, l.Errors),
		}
	}
	return out
}

func (s *siteChecker) errors(path string, list []SiteError) []vhost.ErrorPage {
	out := make([]vhost.ErrorPage, len(list))
	for i, e := range list {
		out[i] = vhost.ErrorPage{Codes: e.Codes, Page: e.Page, Named: e.Named, Redirect: e.Redirect, Status: e.Status}
		if e.OwnStatus {
			out[i].Status = vhost.Own
		}
		if e.OwnStatus && e.Status != 0 || e.Status < 0 {
			s.complain(fmt.Sprintf("%s.error[%d].status", path, i), errors.New("it has a status, or the own of what stands in"))
		}
	}
	return out
}

func (s *siteChecker) action(path string, l *SiteLocation) *vhost.Action {
	if l.Pool == "" {
		if l.Class != "" || l.Other != "" || l.Replace != "" || l.Target != "" || len(l.Headers) > 0 {
			s.complain(path+".pool", errors.New("is missing: the rest says how requests go there"))
		}
		return nil
	}
	p := s.pools[l.Pool]
	switch {
	case p == nil:
		s.complainf(path+".pool", "there is no pool %q", l.Pool)
	case p.Protocol != HTTP:
		s.complainf(path+".pool", "pool %q speaks gRPC", l.Pool)
	}
	a := &vhost.Action{Pool: l.Pool, Class: l.Class, Other: l.Other, Replace: l.Replace, Target: l.Target, MaxBody: int64(l.MaxBody)}
	if a.Other == "" {
		a.Other = a.Class
	}
	for _, k := range [...]struct{ field, class string }{{"class", a.Class}, {"other", a.Other}} {
		if p != nil && !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == k.class }) {
			s.complainf(path+"."+k.field, "pool %q has no class %q", l.Pool, k.class)
			break
		}
	}
	for _, h := range l.Headers {
		a.Headers = append(a.Headers, vhost.Header{Name: http.CanonicalHeaderKey(h.Name), Value: h.Value})
	}
	return a
}
