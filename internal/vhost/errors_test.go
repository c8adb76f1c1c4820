package vhost

import (
	"strings"
	"testing"
)

// sendTo returns an action that sends requests to a pool.
func sendTo(pool string) *Action { return &Action{Pool: pool, Class: "read", Other: "write"} }

// errorSite returns a server with error pages, a location with its own error page, named locations, and an internal location.
func errorSite() []Server {
	return []Server{{
		Name: "s",
		Errors: []ErrorPage{
			{Codes: []int{404}, Page: "/missing?of={path}"},
			{Codes: []int{502, 504}, Named: "spare"},
			{Codes: []int{403}, Page: "/calm", Status: 200},
			{Codes: []int{410}, Redirect: "http://{host}/gone", Status: 301},
			{Codes: []int{411}, Page: "/teapot", Status: ReplacementStatus},
			{Codes: []int{500}, Page: "/nowhere"},
		},
		Locations: []Location{
			{Name: "missing", Kind: Equals, Path: "/missing", Do: sendTo("pages")},
			{Name: "calm", Kind: Equals, Path: "/calm", Internal: true, Steps: []Step{{Answer: Answer{Status: 599, Body: "calm"}}}},
			{Name: "teapot", Kind: Equals, Path: "/teapot", Steps: []Step{{Answer: Answer{Status: 418, Body: "tea"}}}},
			{Name: "shop", Kind: Begins, Path: "/shop", Do: &Action{Pool: "shop", Class: "read", Other: "write", Replace: "/v2"}},
			{Name: "moved", Kind: Begins, Path: "/moved", Steps: []Step{{Match: "^/moved(.*)$", To: "/new$1{1}", Then: Break}}, Do: sendTo("shop")},
			{Name: "to-calm", Kind: Begins, Path: "/to-calm", Steps: []Step{{Match: ".*", To: "/calm", Then: Last}}},
			{Name: "forbidden", Kind: Begins, Path: "/403", Steps: []Step{{Answer: Answer{Status: 403}}}},
			{Name: "worded", Kind: Begins, Path: "/worded", Steps: []Step{{Answer: Answer{Status: 403, Body: "no"}}}},
			{Name: "gone", Kind: Begins, Path: "/410", Steps: []Step{{Answer: Answer{Status: 410}}}},
			{Name: "own", Kind: Begins, Path: "/411", Steps: []Step{{Answer: Answer{Status: 411}}}},
			{Name: "lost", Kind: Begins, Path: "/500", Steps: []Step{{Answer: Answer{Status: 500}}}},
			{Name: "nowhere", Kind: Equals, Path: "/nowhere", Steps: []Step{{Answer: Answer{Status: 404}}}},
			{Name: "other", Kind: Begins, Path: "/other", Do: sendTo("shop"), Intercept: true, Errors: []ErrorPage{{Codes: []int{503}, Named: "again"}},
				Within: []Location{{Name: "inner", Kind: Begins, Path: "/other/in", Do: sendTo("shop")}}},
			{Name: "spare", Kind: Named, Path: "spare", Do: sendTo("spare")},
			{Name: "again", Kind: Named, Path: "again", Steps: []Step{{Match: "^/other(.*)$", To: "/shop{1}", Then: Last}}},
		},
	}}
}

func request(method, path string) *Request {
	return &Request{Method: method, Host: "h", Path: path, Raw: path + "?q", Query: "q", Header: func(string) string { return "" }}
}

// Error responses of the table itself that have no body are replaced by error pages, and replacements are not replaced again.
func TestTableErrorsAreReplaced(t *testing.T) {
	table := mustCompile(t, errorSite())
	for _, k := range []struct {
		method, path string
		status       int
		body, to     string
		pool, target string
		nextMethod   string
	}{
		{"GET", "/none", 404, "", "", "pages", "/missing?of=/none", "GET"},
		{"HEAD", "/none", 404, "", "", "pages", "/missing?of=/none", "HEAD"},
		{"POST", "/none", 404, "", "", "pages", "/missing?of=/none", "GET"},
		{"GET", "/403", 200, "calm", "", "", "", ""},
		{"GET", "/worded", 403, "no", "", "", "", ""},
		{"GET", "/410", 301, "", "http://h/gone", "", "", ""},
		{"GET", "/411", 418, "tea", "", "", "", ""},
		{"GET", "/500", 500, "", "", "", "", ""},                                 // the replacement is an error too: the original error stays
		{"GET", "/nowhere", 404, "", "", "pages", "/missing?of=/nowhere", "GET"}, // only replacements are not replaced
		{"GET", "/calm", 404, "", "", "pages", "/missing?of=/calm", "GET"},       // an internal location is not reachable from outside
		{"GET", "/to-calm", 599, "calm", "", "", "", ""},                         // reached by a rewrite
	} {
		out := table.Decide(request(k.method, k.path))
		if a := out.Answer; a != nil {
			if a.Status != k.status || a.Body != k.body || a.Location != k.to {
				t.Errorf("%s %s: %+v", k.method, k.path, *a)
			}
			continue
		}
		if out.Status != k.status || out.Do.Pool != k.pool || out.Target != k.target || out.Method != k.nextMethod || !out.Page || out.Class != "read" {
			t.Errorf("%s %s: status %d, %s%s by %s, page %v", k.method, k.path, out.Status, out.Do.Pool, out.Target, out.Method, out.Page)
		}
	}
}

// Errors of servers are replaced by the error pages that apply in the location of the request.
func TestServerErrorsAreReplaced(t *testing.T) {
	table := mustCompile(t, errorSite())
	for _, k := range []struct {
		method, path string
		statuses     []int
		pool, target string // "" if the error is not replaced
		class        string
		intercepts   bool
	}{
		{"GET", "/shop/a", []int{502}, "spare", "/shop/a?q", "read", false},
		{"POST", "/shop/a", []int{503, 504}, "spare", "/shop/a?q", "write", false}, // the first status that has a page
		{"GET", "/shop/a", []int{503}, "", "", "", false},
		{"GET", "/shop/a", nil, "", "", "", false},
		{"GET", "/moved/x", []int{504}, "spare", "/new$1/x?q", "read", false},   // the rewritten path
		{"GET", "/other/x", []int{503}, "shop", "/v2/x?q", "read", true},        // a rewrite leads to another location
		{"GET", "/other/in/x", []int{503}, "shop", "/v2/in/x?q", "read", false}, // pages are inherited, Intercept is not
		{"GET", "/other/x", []int{502}, "", "", "", true},                       // pages of the location replace those of the server
	} {
		out := table.Decide(request(k.method, k.path))
		if out.Do == nil || !out.Replaces() || out.Intercepts() != k.intercepts {
			t.Fatalf("%s: %+v", k.path, out)
		}
		next, ok := out.Recover(k.statuses...)
		if ok != (k.pool != "") {
			t.Errorf("%s %v: replaced: %v", k.path, k.statuses, ok)
			continue
		}
		if ok && (next.Do.Pool != k.pool || next.Target != k.target || next.Class != k.class || next.Method != k.method || next.Page || next.Replaces()) {
			t.Errorf("%s %v: %s%s class %s by %s", k.path, k.statuses, next.Do.Pool, next.Target, next.Class, next.Method)
		}
	}
	if out := mustCompile(t, []Server{{Name: "s", Locations: []Location{{Name: "l", Kind: Begins, Path: "/", Do: sendTo("p")}}}}).Decide(request("GET", "/")); out.Replaces() {
		t.Error("a server without error pages replaces errors")
	}
}

func TestInvalidErrorPages(t *testing.T) {
	deep := Location{Name: "in", Kind: Begins, Path: "/a/b", Do: sendTo("p")}
	for want, change := range map[string]func(*Server){
		"one of a page":              func(s *Server) { s.Errors[0].Named = "spare" },
		"does not begin with /":      func(s *Server) { s.Errors[0].Page = "missing" },
		"no status of a redirect":    func(s *Server) { s.Errors[3].Status = 200 },
		"an answer with a body":      func(s *Server) { s.Errors[0].Status = 204 },
		"names no status":            func(s *Server) { s.Errors[0].Codes = nil },
		"no status of an error":      func(s *Server) { s.Errors[0].Codes = []int{200} },
		`no location named "sparer"`: func(s *Server) { s.Errors[1].Named = "sparer" },
		`is named "spare" already`:   func(s *Server) { s.Locations[14].Path = "spare" },
		"holds no others":            func(s *Server) { s.Locations[13].Within = []Location{deep} },
		"no prefix to replace":       func(s *Server) { s.Locations[13].Do = &Action{Pool: "p", Class: "c", Replace: "/x"} },
		"not within a location": func(s *Server) {
			s.Locations[3].Within = []Location{{Name: "n", Kind: Named, Path: "n", Do: sendTo("p")}}
		},
		"over the 64":       func(s *Server) { s.Errors = make([]ErrorPage, 65) },
		"is no placeholder": func(s *Server) { s.Errors[0].Page = "/{none such}" },
	} {
		servers := errorSite()
		change(&servers[0])
		_, errs := Compile(servers)
		got := ""
		for _, e := range errs {
			got += e.Error() + "\n"
		}
		if !strings.Contains(got, want) {
			t.Errorf("got errors %q, want %q", got, want)
		}
	}
}
