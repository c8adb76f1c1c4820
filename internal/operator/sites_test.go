package operator

import (
	"errors"
	"strings"
	"testing"

	"milletmast/internal/vhost"
)

const siteFile = minimalFile + `
[[site]]
name = "shop"
hosts = ["shop.example.org", "*.shop.example.org", "~^s\\d+\\.example"]
[[site.step]]
match = "^/old/(.*)"
to = "/new/{1}"
then = "permanent"
[[site.location]]
name = "root"
begins = "/"
pool = "box"
class = "read"
[[site.location.location]]
name = "pictures"
regex_any = "\\.(gif|png)$"
pool = "box"
class = "read"
target = "/pictures{path}"
[[site.location]]
name = "home"
exact = "/"
[[site.location.step]]
status = 302
redirect = "/shop/"
`

func TestSites(t *testing.T) {
	cfg, err := Parse("f", []byte(siteFile))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/": "302 /shop/", "/a": "root /a", "/a.GIF": "pictures /pictures/a.GIF", "/old/x": "301 /new/x"} {
		out := cfg.SiteTables["in"].Decide(&vhost.Request{Method: "GET", Host: "a.shop.example.org", Path: path, Raw: path})
		got := out.Location + " " + out.Target
		if out.Answer != nil {
			got = strings.Join([]string{map[int]string{301: "301", 302: "302"}[out.Answer.Status], out.Answer.Location}, " ")
		}
		if got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	if cfg, err = Parse("f", []byte(minimalFile)); err != nil || cfg.SiteTables["in"] != nil {
		t.Errorf("without sites: %v, %v", cfg.Sites, err)
	}
}

// TestSiteErrors guards against errors of sites that are reported without their line and field.
func TestSiteErrors(t *testing.T) {
	for _, c := range []struct{ old, text, field string }{
		{`begins = "/"`, `prefix = "/"`, "site[0].location[0].prefix"},
		{`begins = "/"`, `only = "/"` + "\nexact = \"/x\"", "site[0].location[0]"},
		{`regex_any = "\\.(gif|png)$"`, `regex = "(?!x)"`, "site[0].location[0].location[0].regex"},
		{`name = "home"`, `name = "pictures"`, "site[0].location[1].name"},
		{`target = "/pictures{path}"`, `target = "/pictures{path"`, "site[0].location[0].location[0].target"},
		{`target = "/pictures{path}"`, `replace = "/x"`, "site[0].location[0].location[0].replace"},
		{`then = "permanent"`, `then = "for ever"`, "site[0].step[0].then"},
		{`status = 302`, `status = 200`, "site[0].location[1].step[0]"},
		{`hosts = [`, `listeners = ["out"]` + "\nhosts = [", "site[0].listeners[0]"},
		{`hosts = [`, `hosts = ["a*b", `, "site[0].hosts"},
		{"name = \"pictures\"\n", "name = \"pictures\"\nother = \"write\"\n", "site[0].location[0].location[0].other"},
		{"exact = \"/\"\n", "exact = \"/\"\nclass = \"read\"\n", "site[0].location[1].pool"},
	} {
		text := strings.Replace(siteFile, c.old, c.text, 1)
		_, err := Parse("f", []byte(text))
		var all Errors
		if !errors.As(err, &all) || text == siteFile {
			t.Errorf("%s: %v", c.text, err)
			continue
		}
		found := false
		for _, e := range all {
			found = found || e.Field == c.field && e.Line > strings.Count(minimalFile, "\n")
		}
		if !found {
			t.Errorf("%s: %v, want %s", c.text, err, c.field)
		}
	}
}
