package nginx

import (
	"strconv"
	"time"
)

// isInherited reports whether a directive is one of those in settings. Their outcomes are recorded where the settings are used.
func isInherited(name string) bool {
	switch name {
	case "proxy_connect_timeout", "proxy_read_timeout", "proxy_next_upstream", "proxy_next_upstream_tries", "proxy_next_upstream_timeout",
		"client_max_body_size", "proxy_set_header", "ssl_certificate", "ssl_certificate_key",
		"error_page", "proxy_intercept_errors", "recursive_error_pages":
		return true
	}
	return false
}

// readSettings returns the settings of a level: those that it inherits, with its own directives applied.
func (t *importer) readSettings(list []*Directive, s settings) settings {
	var headers, pages []*Directive
	for _, d := range list {
		switch d.Name {
		case "proxy_connect_timeout":
			t.readTimeout(d, &s.connectTime, &s.connect)
		case "proxy_read_timeout":
			t.readTimeout(d, &s.readTime, &s.read)
		case "proxy_next_upstream", "proxy_next_upstream_tries", "proxy_next_upstream_timeout":
			t.readRetrySetting(d, &s)
		case "client_max_body_size":
			n, err := parseSize(firstArg(d))
			if err != nil || len(d.Args) != 1 {
				t.drop(d, "it needs one size, such as 8k, 1m or 1g")
				continue
			}
			s.body, s.bodySize = d, n
		case "proxy_set_header":
			if len(d.Args) != 2 {
				t.drop(d, "a header name and a value are needed")
				continue
			}
			headers = append(headers, d)
		case "error_page":
			pages = append(pages, d)
		case "proxy_intercept_errors":
			s.intercept = d
		case "recursive_error_pages":
			s.recursive = d
		case "ssl_certificate":
			s.certificate = d
		case "ssl_certificate_key":
			s.key = d
		}
	}
	if headers != nil {
		s.headers = headers
	}
	if pages != nil {
		s.pages = pages
	}
	return s
}

// firstArg returns the first parameter; "" for none.
func firstArg(d *Directive) string {
	if len(d.Args) == 0 {
		return ""
	}
	return d.Args[0].Text
}

// readTimeout sets a timeout, and the directive that sets it.
func (t *importer) readTimeout(d *Directive, to *time.Duration, by **Directive) {
	v, err := parseTime(firstArg(d))
	if err != nil || len(d.Args) != 1 || v <= 0 {
		t.drop(d, "it needs one time over 0, such as 30, 500ms or 1h30m")
		return
	}
	*to, *by = v, d
}

// readRetrySetting reads a directive about retries.
func (t *importer) readRetrySetting(d *Directive, s *settings) {
	switch d.Name {
	case "proxy_next_upstream":
		s.nextUpstream = d
		if s.attempts = maxAttempts; firstArg(d) == "off" {
			s.attempts = 1
		}
	case "proxy_next_upstream_tries":
		n, err := strconv.Atoi(firstArg(d))
		if err != nil || n < 0 || len(d.Args) != 1 {
			t.drop(d, "it needs one number of attempts, 0 or more")
			return
		}
		s.tries = d
		if s.attempts = min(n, maxAttempts); n == 0 {
			s.attempts = maxAttempts
		}
	case "proxy_next_upstream_timeout":
		s.nextTimeout = d
	}
}
