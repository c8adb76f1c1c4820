package operator

import (
	"milletmast/internal/vhost"
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

// matcher returns the key, the kind and the path by which a location is chosen. Key is "" unless exactly one is given.
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
