package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// import writes a valid operator file, returns errDropped if a directive was dropped, and with --strict writes no file then.
func TestImportNginx(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const validConfig = "upstream u { server 127.0.0.1:9001; server 127.0.0.1:9002 backup; }\nserver { listen 8080; server_name a.example;\n" +
		"location / { proxy_pass http://u; }\nlocation ~ ^/x { proxy_pass http://u; } }\n"
	good, bad, broken := write("good.conf", validConfig), write("bad.conf", validConfig+"gzip on;\n"), write("broken.conf", validConfig+"server {")
	out, report := filepath.Join(dir, "out.toml"), filepath.Join(dir, "report.json")
	text, errOut, err := runCommand(t, "import", "nginx", good, "-o", out, "--report", report, "--strict")
	if err != nil || text != "" || !strings.Contains(errOut, "directives: 10; carried: 10, with a difference: 0, dropped: 0") {
		t.Fatalf("%v, printed %q and %q", err, text, errOut)
	}
	if printed, _, err := runCommand(t, "check", "-f", out); err != nil || !strings.Contains(printed, "pools=1") {
		t.Errorf("check: %v, %q", err, printed)
	}
	if printed, _, err := runCommand(t, "route", "-f", out, "POST", "http://a.example:8080/x/y"); err != nil || printed != "pool=u class=write site=a.example location=line-4 path=/x/y\n" {
		t.Errorf("route: %v, %q", err, printed)
	}
	var r struct {
		Totals     map[string]int
		Directives []struct{ Directive, Fate string }
	}
	if got, err := os.ReadFile(report); err != nil || json.Unmarshal(got, &r) != nil || len(r.Directives) != 10 || r.Totals["carried"] != 10 {
		t.Errorf("report %s, %v", got, err)
	}
	other := filepath.Join(dir, "other.toml")
	if _, errOut, err := runCommand(t, "import", "nginx", bad, "-o", other, "--strict"); !errors.Is(err, errDropped) || !strings.Contains(errOut, "gzip on") {
		t.Errorf("strict: %v, %q", err, errOut)
	}
	if _, err := os.Stat(other); err == nil {
		t.Error("strict wrote a file though something was dropped")
	}
	if text, _, err := runCommand(t, "import", "nginx", bad); !errors.Is(err, errDropped) || !strings.Contains(text, "[[site]]") {
		t.Errorf("to standard output: %v, %q", err, text)
	}
	if _, _, err := runCommand(t, "import", "nginx", broken, "-o", other); err == nil || errors.Is(err, errDropped) || !strings.Contains(err.Error(), "broken.conf:5") {
		t.Errorf("truncated file: %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*.toml.*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}
