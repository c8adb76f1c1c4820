package main

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"milletmast/internal/fakeserver"
)

// runCommand runs a subcommand in this process and returns its output.
func runCommand(t *testing.T, args ...string) (out, errOut string, err error) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(&stdout)
	cmd.SetErr(&stderr)
	err = cmd.Execute()
	return stdout.String(), stderr.String(), err
}

const example = "../../deploy/operator.toml"

// editedExample writes a copy of the example with text replaced, and returns its path.
func editedExample(t *testing.T, pairs ...string) string {
	t.Helper()
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheck(t *testing.T) {
	if out, _, err := runCommand(t, "check", "-f", example); err != nil || !strings.Contains(out, "listeners=2 pools=3 routes=9") {
		t.Errorf("printed %q, %v", out, err)
	}
	bad := editedExample(t, `effect = "safe"`, `effect = "mild"`, `pool = "stock"`, `pool = "stok"`, `:8080"`, `"`)
	out, errOut, err := runCommand(t, "check", "-f", bad)
	if err == nil || out != "" || strings.Count(errOut, "operator.toml:") != 5 { // three classes are safe
		t.Errorf("printed %q and %q, %v, want five errors", out, errOut, err)
	}
	if _, _, err := runCommand(t, "check"); err == nil || !strings.Contains(err.Error(), "file") {
		t.Errorf("no file: %v", err)
	}
	if _, _, err := runCommand(t, "check", "-f", filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing file has passed the check")
	}
}

func TestRoute(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"GET", "/items/7?a=b"}, "pool=box class=browse route=browse path=/items/7"},
		{[]string{"POST", "http://shop.example.org:8080//plan/./7"}, "pool=box class=plan-save route=plan-save path=/plan/7"},
		{[]string{"GET", "http://eu.stock.example.org/v1/items"}, "pool=stock class=look route=stock path=/items"},
		{[]string{"GET", "/v1/items", "-H", "Host: eu.stock.example.org", "-H", "X-Preview: 1"}, "pool=box class=browse route=browse path=/v1/items"},
		{[]string{"DELETE", "/items"}, "status=404"},
		{[]string{"GET", "http://h/shop/x?y"}, "status=301 location=https://h/shop/x?y"},
		{[]string{"GET", "/robots.txt"}, "status=200"},
		{[]string{"GET", "/a%2Fb"}, "status=400"},
		{[]string{"--grpc", "/box.Stock/Look"}, "pool=box-stock class=look route=stock-look path=/box.Stock/Look"},
		{[]string{"--grpc", "/box.Stock/Watch"}, "pool=box-stock class=watch route=stock-watch path=/box.Stock/Watch"},
		{[]string{"--grpc", "/items"}, "status=404"},
	} {
		out, _, err := runCommand(t, append([]string{"route", "-f", example}, c.args...)...)
		if err != nil || out != c.want+"\n" {
			t.Errorf("%v: %q, %v, want %q", c.args, out, err, c.want)
		}
	}
	if _, _, err := runCommand(t, "route", "-f", example, "GET", "/", "--listener", "none"); err == nil {
		t.Error("an unknown listener has a route")
	}
	if _, _, err := runCommand(t, "route", "-f", example, "--grpc", "/a.B/C", "--listener", "public"); err == nil {
		t.Error("a listener of HTTP/1.1 has a route for gRPC")
	}
}

func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	record := `{"root":"0123456789abcdef","parent":"00000000","call":"1","id":"2","sidecar":"front","pool":"p","class":"c","server":"s","outcome":"ok"}`
	if err := os.WriteFile(path, []byte(record+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, _, err := runCommand(t, "trace", path, "--root", "0123456789abcdef")
	if want := "0123456789abcdef: attempts 1\n  front p/c at s, attempt 1: ok, 0.0 ms\n"; err != nil || out != want {
		t.Errorf("printed %q, %v, want %q", out, err, want)
	}
	if _, _, err := runCommand(t, "trace", path+"-none"); err == nil {
		t.Error("a missing file was read")
	}
}

func TestDiff(t *testing.T) {
	out, _, err := runCommand(t, "diff", "-f", example, editedExample(t, `"127.0.0.1:9101"`, `"127.0.0.1:9102"`, `name = "robots"`, `name = "bots"`))
	want := "pool stock: changed (server: 1 -> 1 entries): measurements and connections are kept\nroute bots: added\nroute robots: removed\n"
	if err != nil || out != want {
		t.Errorf("printed %q, %v, want %q", out, err, want)
	}
	if out, _, err := runCommand(t, "diff", "-f", example, example); err != nil || out != "no changes\n" {
		t.Errorf("diff of a file with itself: %q, %v", out, err)
	}
}

func TestDemo(t *testing.T) {
	out, _, err := runCommand(t, "demo", "--for", "1500ms", "--every", "300ms", "--rate", "200")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`curl -i http://127\.0\.0\.1:\d+/items/7`, `shelf-3 +browse .* slow`, `desk-3 +plans .* restarts`,
		`(?m)^browse +3 of 3 `, `ended after 1\.\d s`, `browse +served=[1-9]\d+ `, `plans +served=[1-9]\d* `} {
		if !regexp.MustCompile(want).MatchString(out) {
			t.Errorf("the demo does not print %s:\n%s", want, out)
		}
	}
}

// serve accepts requests, reloads its file at SIGHUP unless the file is invalid, and exits with status 0 at SIGTERM.
func TestServe(t *testing.T) {
	server, err := fakeserver.NewServer("one")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	path := editedExample(t, `"127.0.0.1:8080"`, `"127.0.0.1:0"`, `"127.0.0.1:8081"`, `"127.0.0.1:0"`, `"127.0.0.1:9001"`, `"`+server.Addr()+`"`)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(buildProgram(t), "serve", "-f", path)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=/nowhere") // subcommands ignore the variable
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killAtEnd(t, cmd)
	lines := bufio.NewScanner(stderr)
	addr := waitForLog(t, lines, `INFO listen listener=public addr=(\S+)`)
	get := func(path string) int {
		res, err := http.Get("http://" + addr + path)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	if got := get("/items"); got != 200 {
		t.Errorf("status %d", got)
	}
	for _, c := range []struct {
		text, logPattern string
		status           int // of /new
	}{
		{strings.Replace(string(text), `exact = "/robots.txt"`, `exact = "/new"`, 1), `reload configuration.* generation=(2)`, 200},
		{strings.Replace(string(text), `effect = "safe"`, `effect = "mild"`, 1), `reject configuration.*(operator.toml:\d+: pool\[0\].class\[0\].effect)`, 200},
		{strings.Replace(string(text), `exact = "/robots.txt"`, `exact = "/new"`, 1) + "# other\n", `reload configuration.* generation=(3)`, 200},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		waitForLog(t, lines, c.logPattern)
		if got := get("/new"); got != c.status {
			t.Errorf("status %d after %s, want %d", got, c.logPattern, c.status)
		}
	}
	sendSignal(t, cmd, syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}

// With neither RELAY_CONFIG nor a subcommand, the error is one line that names RELAY_CONFIG.
func TestNoSubcommand(t *testing.T) {
	cmd := exec.Command(buildProgram(t))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "RELAY_CONFIG is not set") {
		t.Errorf("%v, printed %q", err, out)
	}
}
