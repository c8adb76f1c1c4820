package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeBackend is a backend with two endpoints, s-1 and "s/2 ä".
type fakeBackend struct {
	mu    sync.Mutex
	ready bool
	held  map[string]bool
	stuck bool // Hold and Release take no effect
}

func (d *fakeBackend) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

func (d *fakeBackend) Stats() *Stats {
	return &Stats{
		Classes:  []Class{{"browse", 812, 3, 1}, {`odd"class\`, 0, 0, 2}},
		Attempts: 900, Pending: 14, Endpoints: 40, Unavailable: 2, Held: 1, Reloads: 5, ReloadErrors: 6,
	}
}

func (d *fakeBackend) Hold(ctx context.Context, id string) error { return d.set(ctx, id, true) }

func (d *fakeBackend) Release(ctx context.Context, id string) error { return d.set(ctx, id, false) }

func (d *fakeBackend) set(ctx context.Context, id string, held bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stuck {
		<-ctx.Done()
		return ctx.Err()
	}
	if id != "s-1" && id != "s/2 ä" {
		return fmt.Errorf("%q: %w", id, ErrUnknownEndpoint)
	}
	d.held[id] = held
	return nil
}

// serve serves the API for a new backend until the test ends, and returns its address.
func serve(t *testing.T) (*fakeBackend, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeBackend{ready: true, held: map[string]bool{}}
	ended := make(chan error)
	go func() { ended <- Serve(ln, d) }()
	t.Cleanup(func() {
		ln.Close()
		if err := <-ended; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	})
	return d, ln.Addr().String()
}

// call sends one request on a new connection and reads until the server closes it.
func call(t *testing.T, addr, method, uri string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n", method, uri)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, uri, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("%s %s: %v", method, uri, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("%s %s: read after the response: %v, want the end of the connection", method, uri, err)
	}
	return res.StatusCode, string(body)
}

func TestRequests(t *testing.T) {
	d, addr := serve(t)
	for _, c := range []struct {
		method, uri string
		want        int
	}{
		{"GET", "/admin/health", 200},
		{"GET", "/admin/stats", 200},
		{"POST", "/admin/cordon?name=s-1", 200},
		{"POST", "/admin/cordon?name=s-1", 200},
		{"POST", "/admin/cordon?name=s%2F2%20%C3%A4", 200},
		{"POST", "/admin/cordon?name=s-9", 404},
		{"POST", "/admin/cordon", 400},
		{"POST", "/admin/cordon?name=", 400},
		{"POST", "/admin/cordon?name=s-1&name=s-2", 400},
		{"POST", "/admin/cordon?name=%zz", 400},
		{"POST", "/admin/cordon?name=" + strings.Repeat("x", maxIDBytes+1), 400},
		{"GET", "/admin/cordon?name=s-1", 405},
		{"POST", "/admin/stats", 405},
		{"GET", "/admin/nothing", 404},
		{"GET", "/", 404},
		{"POST", "/admin/uncordon?name=s-9", 404},
		{"POST", "/admin/uncordon?name=s-1", 200},
	} {
		if got, text := call(t, addr, c.method, c.uri); got != c.want {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.uri, got, text, c.want)
		}
	}
	if d.held["s-1"] || !d.held["s/2 ä"] {
		t.Errorf("held: %v", d.held)
	}
	d.mu.Lock()
	d.ready = false
	d.mu.Unlock()
	if got, _ := call(t, addr, "GET", "/admin/health"); got != 503 {
		t.Errorf("health while not ready: status %d", got)
	}
}

func TestStatsFormat(t *testing.T) {
	_, addr := serve(t)
	_, text := call(t, addr, "GET", "/admin/stats")
	for _, want := range []string{
		`sidecar_downstream_requests_total{lane="browse",result="completed"} 812`,
		`sidecar_downstream_requests_total{lane="browse",result="rejected"} 3`,
		`sidecar_downstream_requests_total{lane="browse",result="failed"} 1`,
		`sidecar_downstream_requests_total{lane="odd\"class\\",result="failed"} 2`,
		"sidecar_upstream_requests_total 900", "sidecar_pending 14", "sidecar_members 40", "sidecar_members_unavailable 2",
		"sidecar_members_held 1", "sidecar_config_reloads_total 5", "sidecar_config_reload_errors_total 6",
		"# TYPE sidecar_pending gauge", "# TYPE sidecar_upstream_requests_total counter",
	} {
		if !strings.Contains(text, "\n"+want+"\n") {
			t.Errorf("no line %s in\n%s", want, text)
		}
	}
	if strings.Count(text, "# TYPE ") != strings.Count(text, "# HELP ") {
		t.Errorf("a metric has no HELP line:\n%s", text)
	}
}

// Clients that send nothing, or only a part of a request, must not delay other requests, and must be disconnected.
func TestIdleClients(t *testing.T) {
	_, addr := serve(t)
	var idle []net.Conn
	for i := range 5 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 > 0 {
			_, _ = io.WriteString(c, "GET /admin/health HTTP/1.1\r\nX-Pa") // the server may have closed it already
		}
		idle = append(idle, c)
	}
	for range 3 {
		start := time.Now()
		if got, _ := call(t, addr, "GET", "/admin/health"); got != 200 {
			t.Errorf("status %d", got)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("the response took %v", took)
		}
	}
	for _, c := range idle { // all of them are closed
		if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Fatalf("an idle connection is still open: %v", err)
		}
	}
}

// An action that takes no effect in time must fail with status 503, in time.
func TestActionTimeout(t *testing.T) {
	d, addr := serve(t)
	d.mu.Lock()
	d.stuck = true
	d.mu.Unlock()
	start := time.Now()
	if got, _ := call(t, addr, "POST", "/admin/cordon?name=s-1"); got != 503 {
		t.Errorf("status %d", got)
	}
	if took := time.Since(start); took < actionTimeout || took > time.Second+500*time.Millisecond {
		t.Errorf("the response took %v", took)
	}
}
