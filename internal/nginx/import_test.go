package nginx

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// importText translates a text and checks that the report has each directive once.
func importText(t testing.TB, text string) (string, *Report) {
	t.Helper()
	list, err := Parse("f", text)
	if err != nil {
		t.Fatal(err)
	}
	out, report := Import(&File{Directives: list})
	checkReport(t, list, nil, report)
	return out, report
}

// checkReport checks that the report has each input directive exactly once, and that its totals are right.
func checkReport(t testing.TB, list, includes []*Directive, r *Report) {
	t.Helper()
	want := map[string]int{}
	count := func(d *Directive) { want[d.Pos.String()]++ }
	Walk(list, count)
	for _, d := range includes {
		count(d)
	}
	totals := map[Outcome]int{}
	for _, e := range r.Entries {
		key := Pos{e.File, e.Line, e.Column}.String()
		if want[key]--; want[key] < 0 {
			t.Errorf("%s is reported more often than it is in the file", key)
		}
		totals[e.Outcome]++
		if e.Outcome != Translated && e.Note == "" {
			t.Errorf("%s: %s without a note", key, e.Outcome)
		}
	}
	for key, n := range want {
		if n > 0 {
			t.Errorf("%s is not reported", key)
		}
	}
	for _, f := range []Outcome{Translated, Differs, Dropped} {
		if totals[f] != r.Totals[f] {
			t.Errorf("%s: %d entries, total %d", f, totals[f], r.Totals[f])
		}
	}
}

// entryOf returns the entry of the directive that begins with a text.
func (r *Report) entryOf(t testing.TB, begins string) Entry {
	t.Helper()
	for _, e := range r.Entries {
		if strings.HasPrefix(e.Directive, begins) {
			return e
		}
	}
	t.Fatalf("no entry of %q", begins)
	return Entry{}
}

const fullConfig = `user www;
events { worker_connections 1024; }
http {
    include mime.types.inc;
    map $geo $up { default one; north two; }
    proxy_read_timeout 5s;
    client_max_body_size 2m;
    upstream shelf {
        zone shelf 64k;
        least_conn;
        server 127.0.0.1:9001 weight=3 max_fails=2;
        server 127.0.0.1:9002 backup;
        server [::1]:9003 down;
        server unix:/run/x.sock;
        keepalive 16;
    }
    upstream box.example.org { server 127.0.0.1:9004; ip_hash; }
    server {
        listen 8080 default_server;
        listen [::]:8080;
        server_name shop.example.org *.shop.example.org "~^(?<town>\w+)\.shops$";
        set $geo north;
        rewrite ^/old/(.*)$ /new/$1 permanent;
        proxy_set_header X-Town $town;
        proxy_set_header Host $host;
        location / { proxy_pass http://shelf; proxy_next_upstream error non_idempotent; proxy_next_upstream_tries 2; }
        location /api/ {
            proxy_pass http://box.example.org/v2/;
            proxy_read_timeout 30;
            proxy_set_header Connection "";
            proxy_set_header X-Real-IP $remote_addr;
            location ~ ^/api/item/(\d+)$ { proxy_pass http://127.0.0.1:9005/i?id=$1&all=$args; }
            if ($request_method = POST) { return 405; }
        }
        location ^~ /pictures/ { root /srv; location ~ \.php$ { proxy_pass http://unix:/run/php.sock; } }
        location ~ (?=x) { proxy_pass http://shelf; }
        location = /up { proxy_pass http://127.0.0.1:9006/$up; }
        location = /lua { content_by_lua_block { ngx.say("x") } }
        location @later { proxy_pass http://127.0.0.1:9007; }
        error_page 502 @later;
        limit_req zone=a;
    }
    server { listen 8080; server_name shop.example.org other.example.org; return 301 https://$host$request_uri; }
    server { listen 127.0.0.1:8081; location / { proxy_pass http://$backend; resolver 10.0.0.1; } }
}
`

func TestImport(t *testing.T) {
	out, r := importText(t, fullConfig)
	for begins, want := range map[string]Outcome{
		"user": Dropped, "events": Dropped, "worker_connections": Dropped, "http": Translated, "map": Differs, "upstream shelf": Translated,
		"zone": Differs, "least_conn": Differs, "server 127.0.0.1:9001": Differs, "server 127.0.0.1:9002": Translated, "server [::1]:9003": Translated,
		"server unix:": Dropped, "keepalive": Differs, "ip_hash": Dropped, "listen 8080": Translated, "listen [::]:8080": Differs,
		"server_name shop.example.org *": Translated, "set": Differs, "rewrite": Translated, "proxy_set_header X-Town": Translated,
		"proxy_pass http://shelf": Translated, "proxy_next_upstream error": Differs, "proxy_next_upstream_tries": Translated,
		"proxy_pass http://box": Translated, "proxy_read_timeout 30": Differs, "proxy_set_header Connection": Dropped,
		"proxy_pass http://127.0.0.1:9005": Translated, "if": Dropped, "return 405": Dropped, "root": Dropped, "proxy_pass http://unix:": Dropped,
		"location ~ (?=x)": Dropped, "proxy_pass http://127.0.0.1:9006": Translated, "content_by_lua_block": Dropped, "location @later": Translated,
		"error_page": Translated, "limit_req": Dropped, "server_name shop.example.org other": Dropped, "return 301": Translated,
		"proxy_pass http://$backend": Dropped, "resolver": Dropped, "client_max_body_size": Translated, "proxy_read_timeout 5s": Differs,
	} {
		if e := r.entryOf(t, begins); e.Outcome != want || want == Translated && e.Output == 0 {
			t.Errorf("%s: %s at %d (%s), want %s", begins, e.Outcome, e.Output, e.Note, want)
		}
	}
	lines := strings.Split(out, "\n")
	for begins, want := range map[string]string{
		"server 127.0.0.1:9002": `address = "127.0.0.1:9002"`, "proxy_pass http://box": `pool = "box.example.org"`, "location ^~": "[[site.location]]",
		`location ~ "^/api`: "[[site.location.location]]", "return 301": "[[site.step]]", "proxy_set_header X-Town": `name = "X-Town"`,
	} {
		if e := r.entryOf(t, begins); !strings.Contains(strings.Join(lines[max(e.Output-2, 0):e.Output+1], "\n"), want) {
			t.Errorf("%s: the report gives line %d, which is %q", begins, e.Output, lines[e.Output-1])
		}
	}
	for _, want := range []string{
		`target = "/i?id={1}&all={query}"`, `backup = true`, `state = "draining"`, `weight = 3`, `replace = "/v2/"`, `target = "/two"`,
		`hosts = ["other.example.org"]`, `redirect = "https://{host}{raw}"`, `to = "/new/{1}"`, `value = "{town}"`, `value = "{caller}"`, `class = "read-5s"`,
	} {
		if !strings.Contains(out, want) {
			t.Errorf("no %s in\n%s", want, out)
		}
	}
	if e := r.entryOf(t, "proxy_next_upstream error"); !strings.Contains(e.Note, "non_idempotent is not carried") || strings.Contains(out, `effect = "keyed"`) {
		t.Errorf("non_idempotent: %q", e.Note)
	}
	if e := r.entryOf(t, "return 405"); !strings.Contains(e.Note, "within if of line") {
		t.Errorf("under if: %q", e.Note)
	}
}

// TestImportFiles checks files that include others, and errors for files that are truncated or include themselves or a missing file.
func TestImportFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("sites/a.conf", "server { listen 81; include parts.conf; }")
	write("sites/b.conf", "server { listen 82; }")
	write("parts.conf", "location / { proxy_pass http://127.0.0.1:9001; }")
	f, err := Load(write("main.conf", "include sites/*.conf;\ninclude none/*.conf;\n"))
	if err != nil {
		t.Fatal(err)
	}
	out, r := Import(f)
	checkReport(t, f.Directives, f.Includes, r)
	if len(f.Includes) != 3 || strings.Count(out, "[[site]]") != 2 {
		t.Errorf("%d includes, output\n%s", len(f.Includes), out)
	}
	for text, want := range map[string]string{
		"include main2.conf;":                 "includes itself",
		"server { location / {":               "not closed",
		"server { listen 80":                  "not ended",
		"server { location / { return 200 \"": "",
		"include nowhere.conf;":               "nowhere.conf",
	} {
		if _, err := Load(write("main2.conf", text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "main2.conf:1") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func largeConfig(locations int) string {
	var b strings.Builder
	b.WriteString("upstream u { server 127.0.0.1:9001; }\nserver {\nlisten 8080;\n")
	for i := range locations {
		fmt.Fprintf(&b, "location /shop/%d/ {\n    proxy_pass http://u;\n}\n", i)
	}
	b.WriteString("}\n")
	return b.String()
}

func TestLargeFile(t *testing.T) {
	text := largeConfig(6700) // over 20,000 lines
	start := time.Now()
	out, r := importText(t, text)
	if n := strings.Count(text, "\n"); n < 20_000 || r.Totals[Dropped] != 0 || strings.Count(out, "pool = ") != 6700 {
		t.Errorf("%d lines, %v", n, r.Totals)
	}
	if took := time.Since(start); took > 20*time.Second {
		t.Errorf("took %v", took)
	}
}

// FuzzImport checks for any text that the report has each directive exactly once.
func FuzzImport(f *testing.F) {
	f.Add(fullConfig)
	f.Add(largeConfig(3))
	f.Add("map $a $a { default $a; } server { location / { proxy_pass http://$a; } }")
	f.Add("map $a $a { default $a$a$a$a; } map $b $c { default $a$a$a; } server { location / { proxy_pass http://$a$c; } }")
	f.Add("server { location /a { location /b { } } location ~ x { location = x { return 200 $1; } } }")
	f.Add("error_page 404 =200 /x; server { error_page 500 501 @a; location @a { internal; location ~ b { } } location @b { error_page 1 = @c; } }")
	f.Add("server { listen unix:/x; server_name .a *.a a; rewrite (x) $1$is_args$args? last; break; return 444; }")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := Parse("f", text)
		if err != nil {
			return
		}
		_, r := Import(&File{Directives: list})
		checkReport(t, list, nil, r)
	})
}

func BenchmarkImport(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		text := largeConfig(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				list, err := Parse("f", text)
				if err != nil {
					b.Fatal(err)
				}
				if out, _ := Import(&File{Directives: list}); out == "" {
					b.Fatal("the output is empty")
				}
			}
		})
	}
}

// TestImportErrorPages checks that error pages are imported with their levels, named locations and statuses, and that those without a
// counterpart are reported as dropped or different.
func TestImportErrorPages(t *testing.T) {
	out, r := importText(t, `error_page 500 /all.html;
proxy_intercept_errors on;
server {
    listen 8080;
    recursive_error_pages off;
    error_page 404 410 = /missing?of=$uri;
    error_page 502 503 @later;
    error_page 401 =200 /in.html;
    error_page 402 =301 https://pay.example/$host;
    error_page 403 @never;
    error_page 413 /large.html;
    error_page 405 =204 /x;
    error_page 406 =200 https://no.example/;
    error_page nonsense /x;
    error_page 407 $unknown;
    location / { proxy_pass http://127.0.0.1:9001; }
    location /own/ { error_page 504 /slow.html; proxy_intercept_errors off; proxy_pass http://127.0.0.1:9001; location /own/in { proxy_pass http://127.0.0.1:9001; } }
    location = /in.html { internal; return 200 "in\n"; }
    location @later { proxy_pass http://127.0.0.1:9002; location ~ /x { } }
    location @uri { proxy_pass http://127.0.0.1:9002/x; }
    location /deep { location @no { return 200; } }
}
server { listen 8081; recursive_error_pages on; location / { proxy_pass http://127.0.0.1:9001; } }
`)
	for begins, want := range map[string]Outcome{
		"error_page 500": Translated, "proxy_intercept_errors on": Translated, "proxy_intercept_errors off": Translated, "recursive_error_pages off": Translated,
		"recursive_error_pages on": Dropped, "error_page 404": Translated, "error_page 502": Translated, "error_page 401": Translated, "error_page 402": Translated,
		"error_page 403": Dropped, "error_page 413": Differs, "error_page 405": Dropped, "error_page 406": Dropped, "error_page nonsense": Dropped,
		"error_page 407": Dropped, "error_page 504": Translated, "internal": Translated, "location @later": Translated, "location @no": Dropped,
		"proxy_pass http://127.0.0.1:9002/x": Dropped, "location ~ /x": Dropped,
	} {
		if e := r.entryOf(t, begins); e.Outcome != want || want == Translated && e.Output == 0 {
			t.Errorf("%s: %s at %d (%s), want %s", begins, e.Outcome, e.Output, e.Note, want)
		}
	}
	for want, count := range map[string]int{
		"codes = [500]\npage = \"/all.html\"": 1, "codes = [404, 410]\nown_status = true\npage = \"/missing?of={path}\"": 1,
		"codes = [502, 503]\nnamed = \"later\"": 1, "codes = [401]\nstatus = 200\npage = \"/in.html\"": 1,
		"codes = [402]\nstatus = 301\nredirect = \"https://pay.example/{host}\"": 1, "codes = [504]\npage = \"/slow.html\"": 1,
		"internal = true": 1, "named = \"later\"\npool": 1, "intercept = true": 3,
	} {
		if n := strings.Count(out, want); n != count {
			t.Errorf("%d times, want %d: %s in\n%s", n, count, want, out)
		}
	}
}
