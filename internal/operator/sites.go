package operator

import (
	"milletmast/internal/vhost"
)

// Site is a virtual server with ordered locations (package vhost), such as one imported from the configuration of another proxy.
// Requests that no route of a listener matches are looked up in its sites.
type Site struct {
	Name      string         `toml:"name"`
	Listeners []string       `toml:"listeners"` // empty for all that accept HTTP/1.1
	Hosts     []string       `toml:"hosts"`     // NAME, *.NAME, NAME.*, .NAME or ~EXPRESSION
	Default   bool           `toml:"default"`   // gets requests whose host no site matches; without a default the first site gets them
	Steps     []SiteStep     `toml:"step"`
	Errors    []SiteError    `toml:"error"`
	Locations []SiteLocation `toml:"location"`
}

// SiteError replaces error responses by one of page, named and redirect. The errors of a location replace those of the levels
// around it.
type SiteError struct {
	Codes     []int  `toml:"codes"`
	Page      string `toml:"page"`       // a template for path and query
	Named     string `toml:"named"`      // the key named of a location
	Redirect  string `toml:"redirect"`   // a template for a URL
	Status    int    `toml:"status"`     // status of the final response; 0 for that of the error
	OwnStatus bool   `toml:"own_status"` // the status is that of the replacement
}

// SiteStep rewrites (match, to, then), stops the steps (stop) or answers (status, body, redirect).
type SiteStep struct {
	Match    string `toml:"match"`
	To       string `toml:"to"`
	Then     string `toml:"then"` // "" (continues with the next step), last, break, redirect (302) or permanent (301)
	Stop     bool   `toml:"stop"`
	Status   int    `toml:"status"`
	Body     string `toml:"body"`
	Redirect string `toml:"redirect"`
}

// SiteLocation is chosen by one of exact, begins, only, regex, regex_any and named, and sends requests to a pool. Without a pool it
// responds with 404, unless a step responds.
type SiteLocation struct {
	Name     string `toml:"name"`
	Exact    string `toml:"exact"`
	Begins   string `toml:"begins"`    // a prefix of bytes; expressions that match take precedence
	Only     string `toml:"only"`      // a prefix of bytes that takes precedence over expressions
	Regex    string `toml:"regex"`     // RE2, not anchored; the first one that matches is chosen
	RegexAny string `toml:"regex_any"` // like regex, but ignores case
	Named    string `toml:"named"`     // reached only by errors

	Pool    string       `toml:"pool"`
	Class   string       `toml:"class"`
	Other   string       `toml:"other"`   // class of requests with unsafe methods; if absent, that of class
	Replace string       `toml:"replace"` // replaces the prefix in requests to the server
	Target  string       `toml:"target"`  // a template for path and query, instead of replace
	Headers []SiteHeader `toml:"headers"`
	MaxBody Size         `toml:"max_body"` // of a request; 0 for that of the listener
	Steps   []SiteStep   `toml:"step"`

	Internal  bool        `toml:"internal"`  // reached only by rewrites and errors
	Intercept bool        `toml:"intercept"` // error responses of servers are replaced too
	Errors    []SiteError `toml:"error"`

	Within []SiteLocation `toml:"location"`
}

// SiteHeader is a header that is set in requests to the server. An empty value removes the header.
type SiteHeader struct {
	Name  string `toml:"name"`
	Value string `toml:"value"` // a template
}

// matcher returns the key, the kind and the path by which a location is chosen. key is "" unless exactly one is set.
func (l *SiteLocation) matcher() (key string, kind vhost.Kind, path string) {
	for _, k := range [...]struct {
		key, path string
		kind      vhost.Kind
	}{
		{"exact", l.Exact, vhost.Equals}, {"begins", l.Begins, vhost.Begins}, {"only", l.Only, vhost.BeginsOnly},
		{"regex", l.Regex, vhost.Matches}, {"regex_any", l.RegexAny, vhost.MatchesAny}, {"named", l.Named, vhost.Named},
	} {
		if k.path == "" {
			continue
		}
		if key != "" {
			return "", 0, ""
		}
		key, kind, path = k.key, k.kind, k.path
	}
	return key, kind, path
}
