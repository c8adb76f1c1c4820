package proxy

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/controlapi"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/registry"
)

// A panic while a request is forwarded to the endpoint gives its slot back: else each one would lower the capacity for good.
func TestPanicReleasesSlot(t *testing.T) {
	const capacity = 2
	proxy := newIdleProxy(t)
	endpoint := scriptedEndpoint(t)
	proxy.settings.LocalApp = endpoint
	ep := proxy.inbound
	config := &meshconfig.Config{Services: map[string]*meshconfig.Service{"one": {Name: "one"}}}
	ep.applyEvacuation(controlstate.Evacuation{}, config)
	ep.heartbeat(&controlapi.Heartbeat{Endpoint: registry.Endpoint{ID: "i-1", Target: "one", State: registry.Serving, Capacity: capacity}})
	if state, _ := ep.controller.State(); state != admission.Serving {
		t.Fatalf("the endpoint is %v, want serving", state)
	}
	request := func(writeHead func(*bytes.Buffer)) *inboundRequest {
		return &inboundRequest{instanceID: "i-1", deadline: time.Now().Add(time.Minute), id: "r1", method: http.MethodGet, writeHead: writeHead}
	}
	for range 2 * capacity {
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the planted panic did not occur")
				}
			}()
			ep.handle(t.Context(), request(func(*bytes.Buffer) { panic("planted") }))
		}()
	}
	outcome, reply := ep.handle(t.Context(), request(func(b *bytes.Buffer) { b.WriteString("GET / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n") }))
	if outcome != outcomeAnswered || reply.Status != http.StatusOK {
		t.Errorf("outcome %q, %+v, want an answer with 200", outcome, reply)
	}
	if n := ep.controller.InFlight(); n != 0 {
		t.Errorf("%d requests are in flight, want none", n)
	}
}

// scriptedEndpoint starts an endpoint that answers each request with its id, and returns its address.
func scriptedEndpoint(t *testing.T) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
