package proxy

import (
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
	// The library looks each second whether its file was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/tidwall/buntdb.(*DB).backgroundManager"))
}

// mesh is a core machine and some proxies with endpoints, on addresses of their own of the loopback network.
type mesh struct {
	t      *testing.T
	port   int
	client *http.Client
	done   sync.WaitGroup
	// stopCore ends the core machine's programs.
	stopCore func()
	liar     func(name string) *fakeserver.MisbehavingServer // makes the endpoints of the service "one"; nil for usual ones
}

const coreIP = "127.0.8.100"

// The ports of a mesh: those of a node's listeners end portsBelowOwn-1 below its port, the processes' own lie beside it.
const portsBelowOwn, portsPerMesh = 20, 22

func newMesh(t *testing.T) *mesh {
	m := &mesh{t: t, port: freeport.ForTest(t, portsPerMesh).First + portsBelowOwn, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}}
	ctx, stop := context.WithCancel(context.Background())
	var core sync.WaitGroup
	m.stopCore = func() { stop(); core.Wait() }
	t.Cleanup(func() {
		m.stopCore()
		m.done.Wait()
		m.client.CloseIdleConnections()
	})
	s := m.settings("core", coreIP)
	s.StateDir, s.Bootstrap, s.InQuorum = t.TempDir(), true, true
	k, err := configstore.New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := controlplane.New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	core.Go(func() { _ = k.Run(ctx) })
	core.Go(func() { _ = l.Run(ctx) })
	return m
}

// settings are those of a machine. Its own ports are in the places of the system's, the others above.
func (m *mesh) settings(node, ip string) *nodeconfig.Settings {
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, m.port-10-n) }
	return &nodeconfig.Settings{
		Path: "test", Node: node, IP: ip, Zone: "north", Zones: map[string]string{"north": "land"}, PortFrom: m.port - 1, PortTo: m.port + 1,
		Seeds: []string{coreIP + ":1"}, Control: at(0), Inbound: at(1), Outbound: at(2), Readiness: at(3), LocalApp: at(4), Descriptors: 400,
		MemoryMB: 256,
		Bounds:   nodeconfig.Bounds{Contact: 3 * time.Second, Converge: 2 * time.Second, Drain: 2 * time.Second, Grace: 400 * time.Millisecond, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 50},
	}
}

// endpoint is a stand-in endpoint beside a proxy.
type endpoint struct {
	m      *mesh
	s      *nodeconfig.Settings
	id     string
	proxy  *Proxy
	stop   func()
	server *httptest.Server
	liar   *fakeserver.MisbehavingServer
	seq    int

	mu   sync.Mutex
	seen []http.Header
	do   func(w http.ResponseWriter, r *http.Request, body []byte) // nil: it serves
}

// start starts a proxy with an endpoint beside it.
func (m *mesh) start(name, ip, target string) *endpoint {
	m.t.Helper()
	e := &endpoint{m: m, s: m.settings(name, ip), id: "i-" + name}
	e.s.Target = target
	p, err := New(e.s, zerolog.Nop())
	if err != nil {
		m.t.Fatal(err)
	}
	e.proxy = p
	ctx, stop := context.WithCancel(context.Background())
	m.t.Cleanup(stop)
	var ended sync.WaitGroup
	ended.Go(func() { _ = p.Run(ctx) })
	e.stop = func() { stop(); ended.Wait() }
	m.done.Go(ended.Wait)
	ln, err := net.Listen("tcp", e.s.LocalApp)
	if err != nil {
		m.t.Fatal(err)
	}
	if m.liar != nil && target == "one" {
		e.liar = m.liar(name)
		e.liar.Instance = e.id
		e.liar.Serve(ln)
		m.t.Cleanup(func() { stop(); e.liar.Close() })
		return e
	}
	e.server = &httptest.Server{Listener: ln, Config: &http.Server{Handler: http.HandlerFunc(e.serve)}}
	e.server.Start()
	m.t.Cleanup(func() { stop(); e.server.CloseClientConnections(); e.server.Close() })
	return e
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(instanceHeader, e.id)
	if r.URL.Path == "/health" {
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

func (e *endpoint) behave(do func(http.ResponseWriter, *http.Request, []byte)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.do, e.seen = do, nil
}

func (e *endpoint) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// heartbeat has the endpoint say a state until its proxy acknowledges it.
func (e *endpoint) beat(state string) {
	e.m.t.Helper()
	e.seq++
	text := fmt.Sprintf(`{"target":%q,"address":%q,"zone":"north","epoch":"v1","capacity":9,"state":%q,"warmup_left_s":0,"call_seq":%d}`, e.s.Target, e.s.LocalApp, state, e.seq)
	e.m.until("POST", "http://"+e.s.Control+"/api/Endpoints.Heartbeat/"+e.id, text)
}

// until sends a call again and again until its status is as wanted.
func (m *mesh) until(method, url, body string) string {
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
		last = r.Status
	}
	m.t.Fatalf("%s %s ends %s, want 200", method, url, last)
	return ""
}

// send sends one request to a proxy.
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

// calm is a mesh with an endpoint of one service and a proxy beside one of another, all of which know each other.
func calm(t *testing.T) (m *mesh, from, to *endpoint) {
	m = newMesh(t)
	from, to = m.start("from", "127.0.8.1", "two"), m.start("to", "127.0.8.2", "one")
	m.until("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", testConfig)
	from.beat("serving")
	to.beat("serving")
	m.until("GET", "http://"+from.s.Readiness+"/api/readiness", "")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if r, _ := from.send("GET", "/read/first", "first", "", nil); r.StatusCode == http.StatusOK {
			to.behave(nil)
			return m, from, to
		}
	}
	t.Fatal("no request is served")
	return nil, nil, nil
}

// A request goes there and back through both proxies, with what the endpoint is owed and nothing that proxies say to each other.
func TestRequestRoundTrip(t *testing.T) {
	m, from, to := calm(t)
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
	if text := m.until("GET", "http://"+m.settings("core", coreIP).Control+"/api/Config.Read", ""); text != testConfig {
		t.Errorf("read back %q", text)
	}
}

// What an endpoint does to a request, what its client is told then, and how often it has run.
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
	answer := func(status int, header ...string) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "body")
		}
	}
	once := func(first func(http.ResponseWriter, *http.Request, []byte)) func(http.ResponseWriter, *http.Request, []byte) {
		var mu sync.Mutex
		n := 0
		return func(w http.ResponseWriter, r *http.Request, body []byte) {
			mu.Lock()
			n++
			again := n > 1
			mu.Unlock()
			if again {
				answer(http.StatusOK, sealHeader, "s")(w, r, body)
				return
			}
			first(w, r, body)
		}
	}
	const sealed = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\n"
	for i, c := range []struct {
		name, path string
		do         func(http.ResponseWriter, *http.Request, []byte)
		status     int
		runs       int
	}{
		{"served", "/pay/", answer(http.StatusOK, sealHeader, "s"), 200, 1},
		{"its own failure", "/pay/", answer(http.StatusInternalServerError, sealHeader, "s"), 500, 1},
		{"its own no", "/pay/", answer(http.StatusForbidden, sealHeader, "s"), 403, 1},
		{"without a seal", "/pay/", answer(http.StatusOK), 502, 1},
		{"encoded", "/pay/", answer(http.StatusOK, sealHeader, "s", "Content-Encoding", "br"), 502, 1},
		{"a promise it does not make", "/pay/", answer(http.StatusServiceUnavailable), 502, 1},
		{"cut off", "/pay/", raw(sealed + "bo"), 502, 1},
		{"no answer", "/pay/", raw(""), 502, 1},
		{"no words", "/pay/", raw("what?\r\n\r\n"), 502, 1},
		{"an answer too many before", "/pay/", raw(strings.Replace(sealed, "ID", "older", 1) + "late" + sealed + "body"), 200, 1},
		{"an answer too many behind", "/pay/", raw(sealed + "body" + sealed + "more"), 200, 1},
		{"not run, then served", "/pay/", once(answer(http.StatusServiceUnavailable, notExecutedHeader, "1")), 200, 2},
		{"safe, cut off, then served", "/read/", once(raw(sealed + "bo")), 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) { // a mesh of its own: what went before has its servers avoided
			_, from, to := calm(t)
			to.behave(c.do)
			method := "GET"
			if c.path == "/pay/" {
				method = "POST"
			}
			r, body := from.send(method, c.path, fmt.Sprint("fate-", i), "", nil)
			if r.StatusCode != c.status || to.runs() != c.runs {
				t.Errorf("%s after %d runs, want %d after %d", r.Status, to.runs(), c.status, c.runs)
			}
			if r.StatusCode == http.StatusOK && body != "body" {
				t.Errorf("body %q", body)
			}
		})
	}
}

// A large body goes only to a gate that has let its request in.
func TestLargeBodyIsSentAfterAdmission(t *testing.T) {
	_, from, to := calm(t)
	body := strings.Repeat("film", 64<<10)
	if r, text := from.send("POST", "/pay/", "large", body, nil); r.StatusCode != http.StatusOK || text != "POST /pay/ "+body {
		t.Fatalf("%s, %d bytes", r.Status, len(text))
	}
	to.behave(nil)
	to.proxy.inbound.shutdown(time.Now())
	if r, _ := from.send("POST", "/pay/", "none", body, nil); r.StatusCode != http.StatusServiceUnavailable || to.runs() != 0 {
		t.Fatalf("%s after %d runs", r.Status, to.runs())
	}
}

// Once its leaving has been acknowledged and the drain is over, nothing reaches an endpoint, whatever others believe: the
// request is refused as one that has not run, with a time to come back.
func TestNoRequestAfterDeregistration(t *testing.T) {
	m, from, to := calm(t)
	to.beat("draining")
	m.until("POST", "http://"+to.s.Control+"/api/Endpoints.Deregister/"+to.id, "")
	to.behave(nil)
	r, _ := from.send("POST", "/pay/", "late", "", nil)
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || to.runs() != 0 {
		t.Fatalf("%s, Retry-After %q, %d runs", r.Status, r.Header.Get("Retry-After"), to.runs())
	}
	to.beat("serving") // a late one of a life that has ended
	if r, _ := from.send("POST", "/pay/", "later", "", nil); r.StatusCode != http.StatusServiceUnavailable || to.runs() != 0 {
		t.Fatalf("after a late beat: %s, %d runs", r.Status, to.runs())
	}
}

// Somebody keeps to one endpoint, whichever proxy the request begins at, and goes to the next of its own order when that leaves.
func TestAffinity(t *testing.T) {
	m := newMesh(t)
	a, b, c := m.start("a", "127.0.8.1", "one"), m.start("b", "127.0.8.2", "one"), m.start("c", "127.0.8.3", "one")
	all := []*endpoint{a, b, c}
	text := strings.Replace(testConfig, `"max_tries"],`, `"max_tries","affinity"],`, 1)
	text = strings.Replace(strings.Replace(text, `"one",2],`, `"one",2,"header:X-Counter"],`, 1), `"one",2]]`, `"one",2,""]]`, 1)
	m.until("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", text)
	for _, e := range all {
		e.beat("serving")
		e.behave(func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			w.Header().Set(sealHeader, "s")
			_, _ = io.WriteString(w, e.id)
		})
	}
	serve := func(from *endpoint, who int) string {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			if r, body := from.send("GET", "/read/", "id", "", http.Header{"X-Counter": {fmt.Sprint(who)}}); r.StatusCode == http.StatusOK {
				return body
			}
		}
		t.Fatalf("%d is not served", who)
		return ""
	}
	seen := map[string]bool{}
	for end := time.Now().Add(10 * time.Second); len(seen) < 3 && time.Now().Before(end); {
		for who := range 30 { // until all know all
			seen[serve(a, who)], seen[serve(b, who)], seen[serve(c, who)] = true, true, true
		}
	}
	at := map[int]string{}
	for who := range 30 {
		at[who] = serve(a, who)
		for _, from := range []*endpoint{b, c, a} {
			if got := serve(from, who); got != at[who] {
				t.Errorf("%d is at %s and at %s", who, at[who], got)
			}
		}
	}
	c.beat("draining")
	m.until("POST", "http://"+c.s.Control+"/api/Endpoints.Deregister/"+c.id, "")
	for who := range 30 {
		if got := serve(b, who); got != at[who] && at[who] != c.id {
			t.Errorf("%d moved from %s to %s as %s left", who, at[who], got, c.id)
		}
	}
}

// Two requests in one, and what is none: the answer is 400 and the connection ends.
func TestInvalidRequestsReachNoEndpoint(t *testing.T) {
	_, from, to := calm(t)
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
			t.Errorf("%q is answered %q, %v", text, got, err)
		}
	}
	if to.runs() != 0 {
		t.Errorf("%d requests ran", to.runs())
	}
}

// A proxy that is started anew on a machine whose clock went back is believed all the same.
func TestClockWentBack(t *testing.T) {
	_, from, to := calm(t)
	to.stop()
	to.mu.Lock()
	to.id = "i-to-again"
	to.mu.Unlock()
	p, err := New(to.s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	p.record.Incarnation = 1
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = p.Run(ctx) })
	defer ended.Wait()
	defer stop()
	to.beat("serving")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if r, _ := from.send("GET", "/read/", "again", "", nil); r.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("its endpoint is not reached any more")
}

// While no control plane can be reached, what one proxy goes by reaches the others that watch it.
func TestGossipWithoutControlPlanes(t *testing.T) {
	m, from, to := calm(t)
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
				t.Fatalf("in a zone that is evacuated: %s", r.Status)
			}
			return
		}
	}
	t.Fatal("the other proxy does not hear of it")
}

// Each process tells how things are, and proxies the story of a request.
func TestStatusAndEvents(t *testing.T) {
	m, from, to := calm(t)
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
	ask := func(e *endpoint) *Status {
		s, err := QueryStatus(fmt.Sprintf("%s:%d", e.s.IP, e.s.Port(2)), StatusQuery{RequestID: "story-1"}, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	a, b := ask(from), ask(to)
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
			t.Errorf("%q is not told:\n%s", want, text.String())
		}
	}
}
