package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"milletmast/internal/exchange"
	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/controlapi"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/sidecar"
)

// restartProxy stops the proxy beside an endpoint and starts another process of it, without the state of the first one.
func (e *endpoint) restartProxy() {
	e.m.t.Helper()
	e.stop()
	e.runProxy(nil)
	e.m.callUntilOK("GET", "http://"+e.s.Readiness+"/api/readiness", "")
}

// Guards against review/7 (DRAIN): a late heartbeat that a restarted proxy received first made an instance serve again whose end an earlier
// process had acknowledged. Its health check fails, as it is leaving.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	m, from, to := startTwoProxies(t)
	m.callUntilOK("POST", "http://"+to.s.Control+"/api/Endpoints.Deregister/"+to.id, "")
	to.leave()
	to.restartProxy()
	to.behave(nil)
	to.sendHeartbeat("serving")
	for _, e := range []*endpoint{from, to} { // each request waits for an endpoint that serves
		if r, _ := e.send("POST", "/pay/", "late-"+e.id, "", nil); r.StatusCode != http.StatusServiceUnavailable || to.requestCount() > 0 {
			t.Fatalf("at %s: %s after %d requests at the endpoint that has ended, want 503 after none", e.id, r.Status, to.requestCount())
		}
	}
}

// After a restart of its proxy an endpoint whose health check passes serves again, also if a late heartbeat of the instance before it comes
// first or last: that one is not at the address.
func TestLateHeartbeatOfEarlierInstance(t *testing.T) {
	for name, lateFirst := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			_, from, to := startTwoProxies(t)
			to.restartProxy()
			earlier := to.instance("i-earlier")
			if lateFirst {
				earlier.sendHeartbeat("serving")
			}
			to.sendHeartbeat("serving")
			if !lateFirst {
				earlier.sendHeartbeat("serving")
			}
			to.behave(nil)
			for end := time.Now().Add(10 * time.Second); to.requestCount() == 0; {
				from.send("GET", "/read/", "again", "", nil)
				if time.Now().After(end) {
					t.Fatal("no request reaches the endpoint")
				}
			}
			for n := range 20 {
				if r, _ := from.send("GET", "/read/", fmt.Sprint("still-", n), "", nil); r.StatusCode != http.StatusOK {
					t.Fatalf("request %d: %s, want 200", n, r.Status)
				}
			}
		})
	}
}

// instance returns another instance at the address of the endpoint.
func (e *endpoint) instance(id string) *endpoint {
	return &endpoint{m: e.m, s: e.s, id: id}
}

// leave makes the health check of the endpoint fail, as it is leaving.
func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// latePlace is the machine of TestLateHeartbeatsAtRandom: one address, at which instances follow each other, and the proxy beside it.
type latePlace struct {
	random    *rand.Rand
	endpoint  *inboundEndpoint
	current   int             // the instance at the address; 0 for none
	isLeaving bool            // its health check fails
	left      map[string]bool // instances whose leaving was acknowledged
	lastSent  int             // the instance with the last id
	sequence  uint64
	inTransit []controlapi.Heartbeat
}

// newInbound returns the admission control of a new process without a memory.
func (p *latePlace) newInbound(proxy *Proxy) {
	proxy.inbound = newInboundEndpoint(proxy)
	p.endpoint = proxy.inbound
	p.endpoint.probing = true // health checks are answered by the test
	config := &meshconfig.Config{Services: map[string]*meshconfig.Service{"one": {Name: "one", ProbePath: "/health"}}}
	p.endpoint.applyEvacuation(controlstate.Evacuation{}, config)
}

func (p *latePlace) beat(state registry.State) controlapi.Heartbeat {
	p.sequence++
	id := fmt.Sprint("i-", p.current)
	return controlapi.Heartbeat{Endpoint: registry.Endpoint{ID: id, Target: "one", State: state, Capacity: 9}, Sequence: p.sequence}
}

func (p *latePlace) deliver(h controlapi.Heartbeat) {
	p.endpoint.heartbeat(&h)
	if h.Endpoint.State == registry.Draining {
		p.left[h.Endpoint.ID] = true
	}
}

// probe answers one health check.
func (p *latePlace) probe() {
	if p.current == 0 {
		p.endpoint.handleProbe(exchange.NotWritten, nil)
		p.endpoint.probing = true
		return
	}
	status := http.StatusOK
	if p.isLeaving {
		status = http.StatusServiceUnavailable
	}
	header := http.Header{instanceHeader: {fmt.Sprint("i-", p.current)}}
	p.endpoint.handleProbe(exchange.Completed, &sidecar.Reply{Status: status, Header: header})
	p.endpoint.probing = true
}

// step makes one event happen.
func (p *latePlace) step(proxy *Proxy) {
	switch event := p.random.IntN(10); {
	case event == 0:
		p.newInbound(proxy)
	case event == 1 && len(p.inTransit) > 0: // a late heartbeat
		i := p.random.IntN(len(p.inTransit))
		p.deliver(p.inTransit[i])
	case event == 2 && p.current != 0: // leaves, by a deregistration or a heartbeat
		p.isLeaving = true
		if id := fmt.Sprint("i-", p.current); p.random.IntN(2) == 0 {
			p.endpoint.deregister(id)
			p.left[id] = true
		} else {
			p.deliver(p.beat(registry.Draining))
		}
	case event == 3: // ends, or crashes
		p.current = 0
	case event == 4 && p.current == 0:
		p.lastSent++
		p.current, p.isLeaving = p.lastSent, false
	case event <= 6 && p.current != 0 && !p.isLeaving:
		if h := p.beat(registry.Serving); p.random.IntN(3) == 0 {
			p.inTransit = append(p.inTransit, h)
		} else {
			p.deliver(h)
		}
	default:
		p.probe()
	}
}

// For instances that come, leave and crash at one address, heartbeats that arrive at any time later, and proxies that restart, in any
// order: an instance whose leaving was acknowledged never serves again, and one that is well serves after its next heartbeat and health check.
func TestLateHeartbeatsAtRandom(t *testing.T) {
	const seeds, steps = 300, 200
	proxy := newIdleProxy(t)
	for seed := range uint64(seeds) {
		p := &latePlace{random: rand.New(rand.NewPCG(7, seed)), left: map[string]bool{}}
		p.newInbound(proxy)
		for n := range steps {
			p.step(proxy)
			if state, id := p.endpoint.controller.State(); state == admission.Serving && p.left[id] {
				t.Fatalf("seed %d, step %d: %s serves, and its leaving was acknowledged", seed, n, id)
			}
		}
		if p.current == 0 || p.isLeaving {
			p.lastSent++
			p.current, p.isLeaving = p.lastSent, false
		}
		p.deliver(p.beat(registry.Serving))
		p.probe()
		if state, id := p.endpoint.controller.State(); state != admission.Serving || id != fmt.Sprint("i-", p.current) {
			t.Fatalf("seed %d: %s is %v, want i-%d serving", seed, id, state, p.current)
		}
	}
}
