package main

import (
	"fmt"
	"sync"
	"time"
)

// runCaller lets an endpoint crash for good. Its address goes to an endpoint of another service, which the settings name from then on.
func runCaller(rec *record, root string, trouble bool) int {
	services := []string{"finder", "ledger", "depot"}
	p, err := newPlatform(root, rec, [][2]string{{"muc-nord", "finder"}, {"muc-sued", "finder"}, {"muc-nord", "ledger"}, {"muc-sued", "depot"}})
	if err != nil {
		rec.add("cannot run: %v", err)
		return cannotRun
	}
	defer p.stop()
	var mu sync.Mutex
	began := map[string]string{} // the service of the machine on which a call of an endpoint began, by its id
	calls, wrong := 0, 0
	get := func(host, path string, deadline time.Duration) func(int) *request {
		return func(n int) *request {
			return &request{method: "GET", host: host, path: fmt.Sprintf("%s%d", path, n), safe: true, deadline: deadline}
		}
	}
	serve := func(m *machine, service string) (*endpoint, error) {
		e := newEndpoint(rec, m, 9, 10*time.Millisecond)
		e.service = service
		switch service {
		case "ledger": // each request calls depot
			caller := newClient(rec, m)
			caller.onTry = func(id string) {
				mu.Lock()
				defer mu.Unlock()
				began[id] = service
			}
			e.call = func() outcome { return caller.send(get("depot.example", "/dock/", 500*time.Millisecond)(0)) }
		case "depot":
			e.onRun = func(id, caller string) {
				mu.Lock()
				defer mu.Unlock()
				service, ok := began[id]
				if !ok {
					return
				}
				if calls++; caller != service {
					wrong++
					rec.add("wrong caller: id=%s began beside an endpoint of %s, X-Caller-Service is %s", id, service, caller)
				}
			}
		}
		return e, e.start()
	}
	var endpoints []*endpoint
	defer func() {
		for _, e := range endpoints {
			e.close()
		}
	}()
	for _, m := range p.auxiliaries() {
		e, err := serve(m, m.service)
		if err != nil {
			rec.add("cannot run: %v", err)
			return cannotRun
		}
		endpoints = append(endpoints, e)
	}
	if err := p.start(); err != nil {
		rec.add("cannot run: %v", err)
		return cannotRun
	}
	op := newOperator(rec, p.cores())
	routes := []route{
		{"r-map", "map.example", "/nearby/", "safe", "2", "0.5", "finder"},
		{"r-fare", "fare.example", "/fare/", "safe", "2", "0.5", "ledger"},
		{"r-dock", "depot.example", "/dock/", "safe", "0.5", "0.15", "depot"},
	}
	if op.order("/api/Config.Replace", config(5, routes, services), 20*time.Second) != 200 || !awaitReady(p.auxiliaries(), 10*time.Second) {
		rec.add("cannot run: the deployment does not start")
		return cannotRun
	}
	p.started = true
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	all := &tally{}
	for _, m := range p.auxiliaries() {
		load(&wg, newClient(rec, m), 30, 14*time.Second, all, get("fare.example", "/fare/", 2*time.Second))
	}
	time.Sleep(3 * time.Second)
	if trouble {
		m := p.auxiliaries()[0]
		rec.add("the endpoint of %s on %s crashes for good", m.service, m.name)
		endpoints[0].close()
		time.Sleep(2500 * time.Millisecond) // address_reuse_s is 2
		m.service = "ledger"
		if _, err := p.writeSettings(m, "proxy", false); err != nil {
			rec.add("cannot run: %v", err)
			return cannotRun
		}
		rec.add("the settings of %s name %s from now on", m.name, m.service)
		if endpoints[0], err = serve(m, m.service); err != nil {
			rec.add("cannot run: %v", err)
			return cannotRun
		}
		rec.add("an endpoint of %s has started on %s", m.service, m.name)
	}
	wg.Wait()
	rec.add("requests of clients: %v", all)
	rec.add("processes that ended by themselves: %d", p.ownEnds())
	mu.Lock()
	defer mu.Unlock()
	rec.add("calls of endpoints of ledger that ran: %d, with another caller than ledger: %d", calls, wrong)
	if all.share() < 0.9 || calls < 50 {
		rec.add("cannot run: too little is served")
		return cannotRun
	}
	// UNASKED: a request is run even though its X-Caller-Service is not the service of the machine on which it began.
	if wrong > 0 {
		rec.add("UNASKED is broken")
		return broken
	}
	rec.add("UNASKED held")
	return held
}
