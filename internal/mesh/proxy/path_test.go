package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"milletmast/internal/fakeserver"
	"milletmast/internal/freeport"
	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/nodeconfig"
)

func TestMain(m *testing.M) {
	// buntdb checks once a second whether its file was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/tidwall/buntdb.(*DB).backgroundManager"))
}

// mesh is a core machine and some proxies with endpoints, each on its own loopback address.
type mesh struct {
	t      *testing.T
	port   int
	client *http.Client
	done   sync.WaitGroup
	// stopCore stops the control plane and the configuration store of the core machine.
	stopCore    func()
	misbehaving func(name string) *fakeserver.MisbehavingServer // creates the endpoints of the service "one"; nil for regular ones
}

const coreIP = "127.0.8.100"

// The ports of a mesh: the listeners of a node use ports down to portsBelowOwn-1 below mesh.port; the programs use the ports next to mesh.port.
const portsBelowOwn, portsPerMesh = 20, 22

func newMesh(t *testing.T) *mesh {
	m := &mesh{t: t, port: freeport.ForTest(t, portsPerMesh).First + portsBelowOwn, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}}
	m.stopCore = m.startCore("core", coreIP, true)
	t.Cleanup(func() {
		m.stopCore()
		m.done.Wait()
		m.client.CloseIdleConnections()
	})
	return m
}

// startCore starts the control plane and the configuration store of a core machine with an empty disk, and returns the function that
// stops them. Bootstrap reports that the machine is the first one of the mesh.
func (m *mesh) startCore(node, ip string, bootstrap bool) (stopCore func()) {
	m.t.Helper()
	s := m.settings(node, ip)
	s.StateDir, s.Bootstrap, s.InQuorum = m.t.TempDir(), bootstrap, true
	return m.runCore(s)
}

// runCore starts the control plane and the configuration store of a core machine with its settings, and returns the function that stops
// them.
func (m *mesh) runCore(s *nodeconfig.Settings) (stopCore func()) {
	m.t.Helper()
	store, err := configstore.New(s, zerolog.Nop())
	if err != nil {
		m.t.Fatal(err)
	}
	controlPlane, err := controlplane.New(s, zerolog.Nop())
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var core sync.WaitGroup
	core.Go(func() { _ = store.Run(ctx) })
	core.Go(func() { _ = controlPlane.Run(ctx) })
	return func() { stop(); core.Wait() }
}

// settings returns the settings of a machine.
func (m *mesh) settings(node, ip string) *nodeconfig.Settings {
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, m.port-10-n) }
	return &nodeconfig.Settings{
		Path: "test", Node: node, IP: ip, Zone: "north", Zones: map[string]string{"north": "land"}, PortFrom: m.port - 1, PortTo: m.port + 1,
		Seeds: []string{coreIP + ":1"}, Control: at(0), Inbound: at(1), Outbound: at(2), Readiness: at(3), LocalApp: at(4), Descriptors: 400,
		MemoryMB: 256,
		Bounds:   nodeconfig.Bounds{Contact: 3 * time.Second, Converge: 2 * time.Second, Drain: 2 * time.Second, Grace: 400 * time.Millisecond, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 50},
	}
}

// endpoint is a fake endpoint beside a proxy.
type endpoint struct {
	m           *mesh
	s           *nodeconfig.Settings
	id          string
	proxy       *Proxy
	stop        func()
	server      *httptest.Server
	misbehaving *fakeserver.MisbehavingServer
	seq         int

	mu      sync.Mutex
	leaving bool // its health check fails
	seen    []http.Header
	do      func(w http.ResponseWriter, r *http.Request, body []byte) // nil for a successful response
}

// start starts a proxy with an endpoint beside it.
func (m *mesh) start(name, ip, target string) *endpoint {
	m.t.Helper()
	e := &endpoint{m: m, s: m.settings(name, ip), id: "i-" + name}
	e.s.Target = target
	stop := e.runProxy(nil)
	ln, err := net.Listen("tcp", e.s.LocalApp)
	if err != nil {
		m.t.Fatal(err)
	}
	if m.misbehaving != nil && target == "one" {
		e.misbehaving = m.misbehaving(name)
		e.misbehaving.Instance = e.id
		e.misbehaving.Serve(ln)
		m.t.Cleanup(func() { stop(); e.misbehaving.Close() })
		return e
	}
	e.server = &httptest.Server{Listener: ln, Config: &http.Server{Handler: http.HandlerFunc(e.serve)}}
	e.server.Start()
	m.t.Cleanup(func() { stop(); e.server.CloseClientConnections(); e.server.Close() })
	return e
}

// runProxy starts a process of the proxy beside the endpoint, and returns the function that stops it. Prepare may change the proxy
// before; nil for no change.
func (e *endpoint) runProxy(prepare func(*Proxy)) (stop func()) {
	e.m.t.Helper()
	p, err := New(e.s, zerolog.Nop())
	if err != nil {
		e.m.t.Fatal(err)
	}
	if prepare != nil {
		prepare(p)
	}
	e.proxy = p
	ctx, stop := context.WithCancel(context.Background())
	e.m.t.Cleanup(stop)
	var ended sync.WaitGroup
	ended.Go(func() { _ = p.Run(ctx) })
	e.stop = func() { stop(); ended.Wait() }
	e.m.done.Go(ended.Wait)
	return stop
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(instanceHeader, e.id)
	if r.URL.Path == "/health" {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	if want := r.Header.Get(targetHeader); want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.seen = append(e.seen, r.Header.Clone())
	do := e.do
	e.mu.Unlock()
	if do != nil {
		do(w, r, body)
		return
	}
	w.Header().Set(sealHeader, "seal")
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// behave sets how the endpoint responds, and forgets the requests that it has received.
func (e *endpoint) behave(do func(http.ResponseWriter, *http.Request, []byte)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.do, e.seen = do, nil
}

// requestCount returns the number of requests that reached the endpoint since the last behave.
func (e *endpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// sendHeartbeat sends a heartbeat with a state until the proxy acknowledges it.
func (e *endpoint) sendHeartbeat(state string) {
	e.m.t.Helper()
	e.seq++
	text := fmt.Sprintf(`{"target":%q,"address":%q,"zone":"north","epoch":"v1","capacity":9,"state":%q,"warmup_left_s":0,"call_seq":%d}`, e.s.Target, e.s.LocalApp, state, e.seq)
	e.m.callUntilOK("POST", "http://"+e.s.Control+"/api/Endpoints.Heartbeat/"+e.id, text)
}

// callUntilOK repeats a call until its status is 200, and returns the body.
func (m *mesh) callUntilOK(method, url, body string) string {
	m.t.Helper()
	last := ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		req, _ := http.NewRequest(method, url, strings.NewReader(body))
		r, err := m.client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(r.Body)
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return string(text)
		}
		last = r.Status + " " + strings.TrimSpace(string(text))
	}
	m.t.Fatalf("%s %s returns %s, want 200", method, url, last)
	return ""
}

// send sends one request to the outbound listener of the proxy beside the endpoint.
func (e *endpoint) send(method, path, id, body string, more http.Header) (*http.Response, string) {
	e.m.t.Helper()
	req, err := http.NewRequest(method, "http://"+e.s.Outbound+path, strings.NewReader(body))
	if err != nil {
		e.m.t.Fatal(err)
	}
	req.Host = "shop.example"
	for name, values := range more {
		req.Header[name] = values
	}
	req.Header.Set(idHeader, id)
	req.Header.Set(deadlineHeader, "2000")
	r, err := e.m.client.Do(req)
	if err != nil {
		e.m.t.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		e.m.t.Fatal(err)
	}
	return r, string(text)
}

const testConfig = `{"epoch":"r2","routes":{"attributes":["name","authority","path_prefix","route_class","deadline_s","target_latency_s","priority","target","max_tries"],
"tuples":[["a","shop.example","/read/","safe",2,0.5,2,"one",2],["b","shop.example","/pay/","mutating",2,0.5,1,"one",2]]},
"services":{"attributes":["name","probe_path","max_conns","warmup_s","warmup_per_s"],"tuples":[["one","/health",100,1,10],["two","/health",100,1,10]]}}`

// startTwoProxies starts a mesh with two proxies, from and to, beside endpoints of different services, and waits until requests of from reach to.
func startTwoProxies(t *testing.T) (m *mesh, from, to *endpoint) {
	m = newMesh(t)
	from, to = m.start("from", "127.0.8.1", "two"), m.start("to", "127.0.8.2", "one")
	m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", testConfig)
	from.sendHeartbeat("serving")
	to.sendHeartbeat("serving")
	m.callUntilOK("GET", "http://"+from.s.Readiness+"/api/readiness", "")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if r, _ := from.send("GET", "/read/first", "first", "", nil); r.StatusCode == http.StatusOK {
			to.behave(nil)
			return m, from, to
		}
	}
	t.Fatal("no request is served")
	return nil, nil, nil
}

// A request and its response pass through both proxies. The endpoint gets all headers that it needs, and neither it nor the client gets a
// header that proxies exchange.
func TestRequestRoundTrip(t *testing.T) {
	m, from, to := startTwoProxies(t)
	r, body := from.send("POST", "/pay/now?x=%20y", "id-1", "some coins", http.Header{
		callerHeader: {"somebody else"}, targetHeader: {"i-other"}, "Pilot-Word": {"answer"}, "X-Mine": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
	})
	if r.StatusCode != http.StatusOK || body != "POST /pay/now?x=%20y some coins" || r.Header.Get(sealHeader) != "seal" {
		t.Fatalf("%s %q %v", r.Status, body, r.Header)
	}
	h := to.seen[0]
	if h.Get(callerHeader) != "two" || h.Get(targetHeader) != to.id || h.Get("X-Mine") != "kept" || h.Get("X-Hop") != "" || h.Get(deadlineHeader) == "" {
		t.Errorf("the endpoint got %v", h)
	}
	for _, headers := range []http.Header{h, r.Header} {
		for name := range headers {
			if strings.HasPrefix(name, meshHeaderPrefix) {
				t.Errorf("%s leaves the mesh", name)
			}
		}
	}
	if r, _ := from.send("GET", "/nowhere/", "id-2", "", nil); r.StatusCode != http.StatusNotFound {
		t.Errorf("no route: %s", r.Status)
	}
	if text := m.callUntilOK("GET", "http://"+m.settings("core", coreIP).Control+"/api/Config.Read", ""); text != testConfig {
		t.Errorf("read back %q", text)
	}
}

// For each behavior of an endpoint: the response that the client gets, and how often the request has run.
func TestRequestOutcomes(t *testing.T) {
	raw := func(text string) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
				conn.Close()
			}
		}
	}
	respond := func(status int, header ...string) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "body")
		}
	}
	onFirstRequest := func(behavior func(http.ResponseWriter, *http.Request, []byte)) func(http.ResponseWriter, *http.Request, []byte) {
		var mu sync.Mutex
		n := 0
		return func(w http.ResponseWriter, r *http.Request, body []byte) {
			mu.Lock()
			n++
			again := n > 1
			mu.Unlock()
			if again {
				respond(http.StatusOK, sealHeader, "s")(w, r, body)
				return
			}
			behavior(w, r, body)
		}
	}
	const sealed = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\n"
	for i, c := range []struct {
		name, path string
		do         func(http.ResponseWriter, *http.Request, []byte)
		status     int
		runs       int
	}{
		{"served", "/pay/", respond(http.StatusOK, sealHeader, "s"), 200, 1},
		{"server error", "/pay/", respond(http.StatusInternalServerError, sealHeader, "s"), 500, 1},
		{"client error", "/pay/", respond(http.StatusForbidden, sealHeader, "s"), 403, 1},
		{"without a seal", "/pay/", respond(http.StatusOK), 502, 1},
		{"encoded", "/pay/", respond(http.StatusOK, sealHeader, "s", "Content-Encoding", "br"), 502, 1},
		{"503 without the not-executed header", "/pay/", respond(http.StatusServiceUnavailable), 502, 1},
		{"body cut off", "/pay/", raw(sealed + "bo"), 502, 1},
		{"no response", "/pay/", raw(""), 502, 1},
		{"without a length", "/pay/", raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\nConnection: close\r\n\r\nbody"), 200, 1},
		{"not HTTP", "/pay/", raw("what?\r\n\r\n"), 502, 1},
		{"extra response before", "/pay/", raw(strings.Replace(sealed, "ID", "older", 1) + "late" + sealed + "body"), 200, 1},
		{"extra response after", "/pay/", raw(sealed + "body" + sealed + "more"), 200, 1},
		{"not executed, then served", "/pay/", onFirstRequest(respond(http.StatusServiceUnavailable, notExecutedHeader, "1")), 200, 2},
		{"safe, body cut off, then served", "/read/", onFirstRequest(raw(sealed + "bo")), 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) { // a new mesh for each case: the case before may have made the proxy avoid the endpoint
			_, from, to := startTwoProxies(t)
			to.behave(c.do)
			method := "GET"
			if c.path == "/pay/" {
				method = "POST"
			}
			r, body := from.send(method, c.path, fmt.Sprint("fate-", i), "", nil)
			if r.StatusCode != c.status || to.requestCount() != c.runs {
				t.Errorf("%s after %d requests at the endpoint, want %d after %d", r.Status, to.requestCount(), c.status, c.runs)
			}
			if r.StatusCode == http.StatusOK && body != "body" {
				t.Errorf("body %q", body)
			}
		})
	}
}

// HEAD is answered without a body, and its connection carries the next request: through both proxies, at the own endpoint, and where the
// proxy answers itself. A body would be read as the next response, and a wait for one lasts until the deadline.
func TestHeadHasNoBody(t *testing.T) {
	_, from, to := startTwoProxies(t)
	conn, err := net.Dial("tcp", from.s.Outbound)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	for i, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"HEAD", "/read/", http.StatusOK, ""}, {"HEAD", "/nowhere/", http.StatusNotFound, ""}, {"HEAD", "/read/again", http.StatusOK, ""},
		{"GET", "/read/", http.StatusOK, "GET /read/ "},
	} {
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: h-%d\r\nX-Deadline-Remaining: 1000\r\n\r\n", c.method, c.path, i)
		r, err := http.ReadResponse(reader, &http.Request{Method: c.method})
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.StatusCode != c.status || string(body) != c.body {
			t.Errorf("request %d: %s, %q, %v, want %d and %q", i, r.Status, body, err, c.status, c.body)
		}
	}
	if to.requestCount() != 3 {
		t.Errorf("%d requests at the endpoint, want 3", to.requestCount())
	}
}

// A large body is sent only once the proxy beside the endpoint has admitted the request.
func TestLargeBodyIsSentAfterAdmission(t *testing.T) {
	_, from, to := startTwoProxies(t)
	body := strings.Repeat("film", 64<<10)
	if r, text := from.send("POST", "/pay/", "large", body, nil); r.StatusCode != http.StatusOK || text != "POST /pay/ "+body {
		t.Fatalf("%s, %d bytes", r.Status, len(text))
	}
	to.behave(nil)
	to.proxy.inbound.shutdown(time.Now())
	if r, _ := from.send("POST", "/pay/", "none", body, nil); r.StatusCode != http.StatusServiceUnavailable || to.requestCount() != 0 {
		t.Fatalf("%s after %d requests at the endpoint", r.Status, to.requestCount())
	}
}

// After the acknowledged deregistration of an endpoint no request reaches it, even if other proxies do not know of it yet: the request is rejected
// with 503 and Retry-After.
func TestNoRequestAfterDeregistration(t *testing.T) {
	m, from, to := startTwoProxies(t)
	to.sendHeartbeat("draining")
	m.callUntilOK("POST", "http://"+to.s.Control+"/api/Endpoints.Deregister/"+to.id, "")
	to.behave(nil)
	r, _ := from.send("POST", "/pay/", "late", "", nil)
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || to.requestCount() != 0 {
		t.Fatalf("%s, Retry-After %q, %d requests at the endpoint", r.Status, r.Header.Get("Retry-After"), to.requestCount())
	}
	to.sendHeartbeat("serving") // a late heartbeat of an instance that has ended
	if r, _ := from.send("POST", "/pay/", "later", "", nil); r.StatusCode != http.StatusServiceUnavailable || to.requestCount() != 0 {
		t.Fatalf("after a late heartbeat: %s, %d requests at the endpoint", r.Status, to.requestCount())
	}
}

// The requests of a client go to the same endpoint from every proxy. When that endpoint leaves, only its clients move.
func TestAffinity(t *testing.T) {
	m := newMesh(t)
	a, b, c := m.start("a", "127.0.8.1", "one"), m.start("b", "127.0.8.2", "one"), m.start("c", "127.0.8.3", "one")
	all := []*endpoint{a, b, c}
	text := strings.Replace(testConfig, `"max_tries"],`, `"max_tries","affinity"],`, 1)
	text = strings.Replace(strings.Replace(text, `"one",2],`, `"one",2,"header:X-Counter"],`, 1), `"one",2]]`, `"one",2,""]]`, 1)
	m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", text)
	for _, e := range all {
		e.sendHeartbeat("serving")
		e.behave(func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			w.Header().Set(sealHeader, "s")
			_, _ = io.WriteString(w, e.id)
		})
	}
	serve := func(from *endpoint, clientIndex int) string {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			if r, body := from.send("GET", "/read/", "id", "", http.Header{"X-Counter": {fmt.Sprint(clientIndex)}}); r.StatusCode == http.StatusOK {
				return body
			}
		}
		t.Fatalf("client %d is not served", clientIndex)
		return ""
	}
	seen := map[string]bool{}
	for end := time.Now().Add(10 * time.Second); len(seen) < 3 && time.Now().Before(end); {
		for clientIndex := range 30 { // until every proxy knows every endpoint
			seen[serve(a, clientIndex)], seen[serve(b, clientIndex)], seen[serve(c, clientIndex)] = true, true, true
		}
	}
	at := map[int]string{}
	for clientIndex := range 30 {
		at[clientIndex] = serve(a, clientIndex)
		for _, from := range []*endpoint{b, c, a} {
			if got := serve(from, clientIndex); got != at[clientIndex] {
				t.Errorf("client %d is at %s and at %s", clientIndex, at[clientIndex], got)
			}
		}
	}
	c.sendHeartbeat("draining")
	m.callUntilOK("POST", "http://"+c.s.Control+"/api/Endpoints.Deregister/"+c.id, "")
	for clientIndex := range 30 {
		if got := serve(b, clientIndex); got != at[clientIndex] && at[clientIndex] != c.id {
			t.Errorf("client %d moved from %s to %s as %s left", clientIndex, at[clientIndex], got, c.id)
		}
	}
}

// An ambiguous request, such as one that smuggles a second request, and an invalid one are rejected with 400, and the connection is closed.
func TestInvalidRequestsReachNoEndpoint(t *testing.T) {
	_, from, to := startTwoProxies(t)
	for _, text := range []string{
		"GET /read/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/two HTTP/1.1\r\nHost: shop.example\r\n\r\n",
		"GET /read/ HTTP/1.1\r\nHost: shop.example\r\nHost: other.example\r\n\r\n",
		"GET read HTTP/1.1\r\nHost: shop.example\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", from.s.Outbound)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(conn, text)
		got, err := io.ReadAll(conn)
		conn.Close()
		if err != nil || !bytes.HasPrefix(got, []byte("HTTP/1.1 400 ")) || bytes.Count(got, []byte("HTTP/1.1")) != 1 {
			t.Errorf("%q: response %q, %v", text, got, err)
		}
	}
	if to.requestCount() != 0 {
		t.Errorf("%d requests reached the endpoint", to.requestCount())
	}
}

// The records of a proxy that restarts with a lower incarnation, after the clock of its machine went back, are still applied.
func TestClockWentBack(t *testing.T) {
	_, from, to := startTwoProxies(t)
	to.stop()
	to.mu.Lock()
	to.id = "i-to-again"
	to.mu.Unlock()
	to.runProxy(func(p *Proxy) { p.record.Incarnation = 1 })
	to.sendHeartbeat("serving")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if r, _ := from.send("GET", "/read/", "again", "", nil); r.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("no request reaches the endpoint of the restarted proxy")
}

// While no control plane is reachable, the snapshot of a proxy reaches the proxies that watch it.
func TestGossipWithoutControlPlanes(t *testing.T) {
	m, from, to := startTwoProxies(t)
	m.stopCore()
	newer := strings.Replace(testConfig, `"r2"`, `"r9"`, 1)
	from.proxy.loop.Post(func() {
		f := &controlstate.Snapshot{Confirmed: true, Epoch: 1, Config: []byte(newer), ConfigVersion: 9, Evacuations: []controlstate.Evacuation{{Zone: "north", Version: consensus.Version{Number: 4, Proposer: "d"}, Active: true}}}
		from.proxy.applyChange(from.proxy.state.HandleSnapshot(discovery.FromProxy, f))
	})
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		s, err := QueryStatus(to.proxy.record.PeerAddr, StatusQuery{}, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if s.Version == 9 {
			if r, _ := to.send("GET", "/read/", "evacuated", "", nil); r.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("in an evacuated zone: %s", r.Status)
			}
			return
		}
	}
	t.Fatal("the other proxy does not receive the newer snapshot")
}

// Each process reports its status, and proxies also the events of a request.
func TestStatusAndEvents(t *testing.T) {
	m, from, to := startTwoProxies(t)
	from.send("POST", "/pay/", "story-1", "", nil)
	core := m.settings("core", coreIP)
	k, err := configstore.QueryStatus(configstore.Address(coreIP, core), 5*time.Second)
	if err != nil || !k.IsVoter || k.LeaseRemaining == 0 || len(k.Registers) != 1 || !k.Registers[0].Committed || k.Registers[0].Version.Number != 2 {
		t.Errorf("store: %+v, %v", k, err)
	}
	l, err := controlplane.QueryStatus(controlplane.Address(coreIP, core), 5*time.Second)
	if err != nil || l.ConfigVersion != 2 || !l.HasContact || len(l.Proxies) != 2 || l.Proxies[1].ConfigVersion != 2 || l.Proxies[1].Endpoint.ID != to.id {
		t.Errorf("control plane: %+v, %v", l, err)
	}
	queryStatus := func(e *endpoint) *Status {
		s, err := QueryStatus(fmt.Sprintf("%s:%d", e.s.IP, e.s.Port(2)), StatusQuery{RequestID: "story-1"}, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	a, b := queryStatus(from), queryStatus(to)
	var text bytes.Buffer
	a.Print(&text)
	b.Print(&text)
	a.PrintEvents(&text)
	b.PrintEvents(&text)
	for _, want := range []string{
		"proxy from  zone north  version=r2  ready=true  trust=certain", "endpoint i-to  serving", "event=received route=b service=one version=r2",
		`event=attempt instance=i-to`, `outcome="answer"`, "event=answered status=200 attempts=1 reached=1", "event=forwarded instance=i-to",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in the report:\n%s", want, text.String())
		}
	}
}
