package proxy

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"milletmast/balancer"
	"milletmast/internal/freeport"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/sidecar"
)

// For a longer run: `go test ./internal/mesh/proxy -run TestDrawnRoutesHaveModules -configurations 100000`.
var configurationCount = flag.Int("configurations", 3000, "number of drawn configurations that a proxy applies")

// routesConfig returns the text of a configuration with routes, each given as the cells after its prefix. One without a target has the
// service "one".
func routesConfig(version int, routes ...string) string {
	rows := []string{}
	for i, cells := range routes {
		if !strings.HasSuffix(cells, `"`) {
			cells += `,"one"`
		}
		rows = append(rows, fmt.Sprintf(`["r%d","shop.example","/r%d/",%s]`, i, i, cells))
	}
	return fmt.Sprintf(`{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","deadline_s","target_latency_s","priority",`+
		`"max_tries","target"],"tuples":[%s]},"services":{"attributes":["name","probe_path","max_conns","warmup_s","warmup_per_s"],`+
		`"tuples":[["one","/health",100,1,10],["two","/health",100,1,10]]}}`, version, strings.Join(rows, ","))
}

// Guards against review/1 (CONFIG): an acknowledged target latency below a millisecond ended each proxy that got a request of its route, and
// kept all later routes of the service from being served. Every value that is valid is served, and so are the routes beside it.
func TestShortTimesServeAllRoutes(t *testing.T) {
	m, from, to := startTwoProxies(t)
	const plain = `"safe",2,0.5,2,2`
	for i, odd := range []string{
		`"safe",null,0.0005,2,2`, `"mutating",null,1e-9,0,1`, `"ingest",null,0.0000000001,0,1`, `"safe",null,0,1000000000000,0`,
		`"safe",1e30,1e30,0,1e30`, `"ingest",1e12,0.9e-3,3,4`, plain,
	} {
		version := i + 3
		m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", routesConfig(version, plain, odd, plain, odd))
		for end := time.Now().Add(10 * time.Second); from.proxy.routing.Load().config.Version < uint64(version) && time.Now().Before(end); {
			m.callUntilOK("GET", "http://"+from.s.Readiness+"/api/readiness", "")
		}
		to.behave(nil)
		for n := range 8 {
			path := fmt.Sprintf("/r%d/", n%4)
			if r, _ := from.send("POST", path, fmt.Sprintf("short-%d-%d", i, n), "", nil); r.StatusCode != http.StatusOK {
				t.Errorf("route %s of %s: %s, want 200", path, odd, r.Status)
			}
		}
	}
}

// newIdleProxy returns a proxy that does not run: the test calls what its loop would.
func newIdleProxy(t *testing.T) *Proxy {
	t.Helper()
	m := &mesh{t: t, port: freeport.ForTest(t, portsPerMesh).First + portsBelowOwn}
	settings := m.settings("idle", "127.0.8.1")
	settings.Target = "one"
	p, err := New(settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	p.ctx = t.Context()
	t.Cleanup(func() {
		for _, listener := range []io.Closer{p.controlListener, p.readinessListener, p.peerListener} {
			listener.Close()
		}
		for _, service := range p.services {
			service.close()
		}
		p.goroutines.Wait()
	})
	return p
}

// applyText applies the text of a configuration as the loop of a proxy does.
func applyText(p *Proxy, text string) error {
	config, err := meshconfig.Parse([]byte(text))
	if err != nil {
		return err
	}
	services, err := p.applyModules(config)
	if err == nil {
		p.routing.Store(&routing{config: config, services: services})
	}
	return err
}

// checkModules fails the test unless each route of the configuration in use has a class of a module that was built.
func checkModules(t *testing.T, p *Proxy) {
	t.Helper()
	used := p.routing.Load()
	for i := range used.config.Routes {
		route := &used.config.Routes[i]
		for _, target := range route.Targets {
			lane := used.services[target.Service].lanes[laneOf(route)]
			if lane.service == nil || !slices.Contains(lane.classes, classOf(route)) {
				t.Fatalf("version %d: route %+v has no class in %+v", used.config.Version, route, lane.classes)
			}
		}
	}
}

// serveByModule has the module of a route serve one request, at an endpoint that always succeeds.
func serveByModule(t *testing.T, p *Proxy, route *meshconfig.Route) {
	t.Helper()
	service := p.services[route.Targets[0].Service]
	if len(service.endpoints) == 0 {
		service.endpoints = []sidecar.ServiceEndpoint{{Name: "i-1", Addr: "127.0.8.1:1", Zone: p.settings.Zone}}
		for laneIndex, lane := range service.lanes {
			if lane.service != nil {
				lane.service.SetEndpoints(service.endpointsFor(laneIndex), moduleReplicas, 0)
			}
		}
	}
	lane, class := service.acquireLane(time.Now(), route)
	defer lane.requests.Done()
	reply, ok := lane.service.Do(t.Context(), &sidecar.ServiceRequest{
		Class: uint16(class), Deadline: time.Now().Add(10 * time.Second), MaxAttempts: route.MaxAttempts + extraAttempts,
		Attempt: func(*sidecar.ServiceAttempt) sidecar.AttemptResult {
			return sidecar.AttemptResult{Outcome: balancer.OK, Reply: &sidecar.Reply{Status: http.StatusOK}}
		},
	})
	if !ok || reply.Status != http.StatusOK {
		t.Fatalf("version %d: route %+v: status %d, %v, want 200", p.routing.Load().config.Version, route, reply.Status, ok)
	}
}

// For drawn configurations of valid extreme values, each applied after the other: every route has a class, its module is built and serves
// a request, and the classes that no route has any more are removed.
func TestDrawnRoutesHaveModules(t *testing.T) {
	p := newIdleProxy(t)
	random := rand.New(rand.NewPCG(1, 82))
	times := []string{"null", "0", "1e-12", "1e-9", "4e-10", "0.0005", "0.000999999", "0.001", "0.5", "2", "59.9", "1e9", "1e30", "2.5e-1"}
	counts := []string{"null", "0", "1", "7", "16", "17", "63", "1e9", "1e30"}
	modules := map[string][2]*sidecar.Service{}
	used, previous, applied := 0, 0, 0 // routes of the configuration in use and of the one before; valid configurations
	for version := range *configurationCount {
		var rows []string
		routes := 1 + random.IntN(6)
		if random.IntN(500) == 0 {
			routes = 300
		}
		for range routes {
			target := times[random.IntN(len(times))]
			if random.IntN(3) == 0 {
				target = fmt.Sprint(random.Float64())
			}
			kind := []string{"safe", "mutating", "ingest"}[random.IntN(3)]
			rows = append(rows, fmt.Sprintf(`%q,%s,%s,%s,%s,"%s"`, kind, times[random.IntN(len(times))], target,
				counts[random.IntN(len(counts))], counts[random.IntN(len(counts))], []string{"one", "two"}[random.IntN(2)]))
		}
		if err := applyText(p, routesConfig(version+1, rows...)); err == nil {
			used, previous, applied = routes, used, applied+1
			checkModules(t, p)
			serveByModule(t, p, &p.routing.Load().config.Routes[random.IntN(routes)])
		} else if !errorx.IsOfType(err, meshconfig.Invalid) {
			t.Fatalf("version %d: %v", version, err)
		}
		for name, service := range p.services {
			for laneIndex, lane := range service.lanes {
				if builtNow := lane.service != modules[name][laneIndex]; builtNow && len(lane.classes) > used+previous {
					t.Fatalf("version %d: %d classes for %d routes, %d before", version, len(lane.classes), used, previous)
				}
			}
			modules[name] = [2]*sidecar.Service{service.lanes[0].service, service.lanes[1].service}
		}
	}
	if t.Logf("%d of %d configurations were valid", applied, *configurationCount); applied < *configurationCount/4 {
		t.Errorf("%d of %d configurations were valid, want at least a quarter", applied, *configurationCount)
	}
}

// A configuration is applied as a whole or not at all: if a module cannot be built, everything stays in use as it is, the error names
// the routes and the fields, and a corrected configuration heals it.
func TestConfigurationIsAppliedAsAWhole(t *testing.T) {
	p := newIdleProxy(t)
	if err := applyText(p, routesConfig(1, `"safe",2,0.5,2,2`, `"ingest",2,0.5,2,2`)); err != nil {
		t.Fatal(err)
	}
	before := p.services["one"].lanes
	built := 0
	p.buildModule = func(s balancer.Settings, zones []string, seed uint64, maxConns int, learned *balancer.LearnedState) (*sidecar.Service, error) {
		if built++; built == 2 {
			return nil, errors.New("Classes[1] is out of range")
		}
		return sidecar.NewService(s, zones, seed, maxConns, learned)
	}
	second := routesConfig(2, `"safe",2,0.5,2,2`, `"safe",2,0.5,3,2`, `"ingest",2,0.5,4,2`)
	err := applyText(p, second)
	if err == nil || !strings.Contains(err.Error(), "service one: routes [r2 (target_latency_s, deadline_s, priority)]") {
		t.Errorf("error %v, want one that names the route and its fields", err)
	}
	for laneIndex, lane := range p.services["one"].lanes {
		if lane.service != before[laneIndex].service || len(lane.classes) != len(before[laneIndex].classes) {
			t.Errorf("lane %d has changed: %+v", laneIndex, lane)
		}
	}
	if p.routing.Load().config.Version != 1 {
		t.Errorf("version %d is in use, want 1", p.routing.Load().config.Version)
	}
	checkModules(t, p)
	if err := applyText(p, strings.Replace(second, `"r2","routes"`, `"r3","routes"`, 1)); err != nil {
		t.Errorf("a corrected configuration: %v", err)
	}
	checkModules(t, p)
}

// Requests that are under way while one configuration follows the other are all served: a replaced module ends only once no request uses it,
// nor is about to.
func TestChangesFailNoRequest(t *testing.T) {
	const senders, changes = 6, 100
	m, from, _ := startTwoProxies(t)
	replace := func(version int) {
		route := fmt.Sprintf(`"mutating",2,0.5,%d,2`, version%maxPriority) // another class of the module each time
		m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", routesConfig(version, route))
	}
	replace(3)
	for r, _ := from.send("POST", "/r0/", "first", "", nil); r.StatusCode != http.StatusOK; {
		r, _ = from.send("POST", "/r0/", "first", "", nil)
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for sender := range senders {
		sending.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("change-%d-%d", sender, n)
				if r, text := from.send("POST", "/r0/", id, "coins", nil); r.StatusCode != http.StatusOK {
					t.Errorf("%s: %s %q, want 200", id, r.Status, text)
				}
			}
		})
	}
	for version := 4; version < 4+changes; version++ {
		replace(version)
	}
	close(stop)
	sending.Wait()
}

// The modules of a service end once the configuration in use does not name it, and are built again when one does.
func TestModulesOfRemovedServiceEnd(t *testing.T) {
	p := newIdleProxy(t)
	both := func(version int) string { return routesConfig(version, `"safe",2,0.5,2,2`, `"safe",2,0.5,2,2,"two"`) }
	one := strings.Replace(routesConfig(2, `"safe",2,0.5,2,2`), `,["two","/health",100,1,10]`, "", 1)
	for version, text := range []string{both(1), one, both(3)} {
		if err := applyText(p, text); err != nil {
			t.Fatal(err)
		}
		checkModules(t, p)
		_, isNamed := p.routing.Load().config.Services["two"]
		if has := p.services["two"].lanes[defaultLane].service != nil; has != isNamed {
			t.Errorf("version %d: the service has a module: %v, want %v", version+1, has, isNamed)
		}
	}
}

// A proxy that has to end answers all requests that are open, also those of a module that a configuration has replaced.
func TestAbortReachesReplacedModules(t *testing.T) {
	p := newIdleProxy(t)
	if err := applyText(p, routesConfig(1, `"safe",2,0.5,2,2`)); err != nil {
		t.Fatal(err)
	}
	route := &p.routing.Load().config.Routes[0]
	serveByModule(t, p, route)
	lane, class := p.services["one"].acquireLane(time.Now(), route)
	started, statuses := make(chan struct{}), make(chan int)
	go func() {
		defer lane.requests.Done()
		reply, _ := lane.service.Do(t.Context(), &sidecar.ServiceRequest{
			Class: uint16(class), Deadline: time.Now().Add(time.Minute), MaxAttempts: 1,
			Attempt: func(a *sidecar.ServiceAttempt) sidecar.AttemptResult {
				close(started)
				<-a.Ctx.Done()
				return sidecar.AttemptResult{Outcome: balancer.Canceled}
			},
		})
		statuses <- reply.Status
	}()
	<-started
	if err := applyText(p, routesConfig(2, `"safe",2,0.5,3,2`)); err != nil {
		t.Fatal(err)
	}
	p.services["one"].abort()
	select {
	case status := <-statuses:
		if status < http.StatusInternalServerError {
			t.Errorf("status %d, want that of a failure", status)
		}
	case <-time.After(10 * time.Second):
		t.Error("the request is not answered")
	}
}
