package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	// The cases 4 to 8.
	cases["lost-answer"] = lostAnswer
	cases["early"] = earlyAnswer
	cases["unframed"] = unframedAnswer
	cases["late-beat"] = lateBeat
	cases["reader"] = slowReader
	// Faults without a folder.
	cases["slow-endpoint"] = slowEndpoint
	cases["small-aim"] = smallAim
	cases["chunked"] = chunkedBody
	cases["port"] = portInAuthority
	cases["crash-loop"] = crashLoop
}

const host = "jepu9.example"

// deploy starts a deployment with a first configuration.
func deploy(rec *record, first string, prepare func(w *world), services ...string) *world {
	w := newWorld(rec, services...)
	current = w
	for _, m := range w.sides {
		m.newEndpoint(20 * time.Millisecond)
	}
	if prepare != nil {
		prepare(w)
	}
	w.boot()
	w.replaceConfig(first)
	w.settle()
	return w
}

// lostAnswer: an endpoint that begins work on an upload before it has read the long body loses a few of its answers by a reset.
func lostAnswer(rec *record, trouble bool) (bool, *world) {
	const (
		bodyBytes = 12 << 20
		readFirst = 256 << 10
		work      = 150 * time.Millisecond
		loseEvery = 20 // 0.05 of what this endpoint runs
		uploads   = 60
	)
	first := config("r1", []string{"depot", "finder"}, route{"r-up", host, "/up/", "ingest", 2.5, 0.6, 1, 2, "depot"})
	var ran atomic.Int32
	w := deploy(rec, first, func(w *world) {
		for _, m := range w.sides {
			e := m.endpoint
			e.rcvbuf = 64 << 10
			e.handle = func(e *endpoint, x *arrival) {
				_, _ = io.CopyN(io.Discard, x.req.Body, readFirst)
				e.ran(x)
				if trouble && e == w.sides[0].endpoint && ran.Add(1)%loseEvery == 0 {
					time.Sleep(work)
					_ = x.conn.(*net.TCPConn).SetLinger(0)
					x.conn.Close()
					e.m.w.record.add(e.id, "has run %s; its answer is lost by a reset", x.id)
					return
				}
				_, _ = io.Copy(io.Discard, x.req.Body)
				time.Sleep(work)
				e.answer(x, http.StatusOK, 400)
			}
		}
	}, "depot", "depot", "finder", "finder", "finder")
	client := w.sides[4] // in the zone of the first endpoint
	body := bytes.Repeat([]byte("u"), bodyBytes)
	twice := 0
	for i := range uploads {
		t := client.send(request{method: "POST", host: host, path: "/up/photo", deadline: 2500 * time.Millisecond, body: body})
		if n := w.runsOf(t.id); n > 1 {
			twice++
			rec.say("upload %d, %s: run %d times by endpoints, the client got %d", i+1, t.id, n, t.status)
		}
	}
	rec.say("TWICE: %d of %d uploads have run more than once; the answers of %d were lost", twice, uploads, int(ran.Load())/loseEvery)
	return twice > 0, w
}

// earlyAnswer: an endpoint answers an upload with its own 500 before it has read the long body, keeps the connection and reads on later.
func earlyAnswer(rec *record, trouble bool) (bool, *world) {
	const (
		bodyBytes = 12 << 20
		readFirst = 256 << 10
		readsOn   = 6 * time.Second // when the endpoint reads the rest
		deadline  = 2500 * time.Millisecond
		uploads   = 4
	)
	first := config("r1", []string{"depot", "finder"},
		route{"r-up", host, "/up/", "ingest", 2.5, 0.6, 1, 2, "depot"})
	w := deploy(rec, first, func(w *world) {
		for _, m := range w.sides {
			e := m.endpoint
			e.rcvbuf = 64 << 10
			e.handle = func(e *endpoint, x *arrival) {
				if !trouble {
					_, _ = io.Copy(io.Discard, x.req.Body)
					e.ran(x)
					e.answer(x, http.StatusInternalServerError, 40)
					return
				}
				_, _ = io.CopyN(io.Discard, x.req.Body, readFirst)
				e.ran(x)
				e.answer(x, http.StatusInternalServerError, 40)
				time.Sleep(readsOn)
				n, err := io.Copy(io.Discard, x.req.Body)
				e.m.w.record.add(e.id, "has read %d more bytes of %s (error %v)", n, x.id, err)
			}
		}
	}, "depot", "depot", "finder")
	client := w.sides[2]
	body := bytes.Repeat([]byte("u"), bodyBytes)
	broken := 0
	for range uploads {
		t := client.send(request{method: "POST", host: host, path: "/up/photo", deadline: deadline, body: body})
		ran := w.runsOf(t.id)
		rec.say("upload %s: run %d times by endpoints, the client got %d", t.id, ran, t.status)
		if ran > 0 && (t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests) {
			broken++
		}
	}
	rec.say("REFUSED: %d of %d uploads have run and got 503 or 429", broken, uploads)
	return broken > 0, w
}

// slowReader: clients read a long answer slowly, but well within their deadline, while their proxy is stopped in order.
func slowReader(rec *record, trouble bool) (bool, *world) {
	const (
		answerBytes = 16 << 20
		rate        = 3700 << 10 // bytes a second: the answer takes 4.4 s
		deadline    = 8 * time.Second
		reads       = 5
	)
	first := config("r1", []string{"depot", "finder"},
		route{"r-read", host, "/read/", "safe", 8, 2, 2, 2, "depot"})
	w := deploy(rec, first, func(w *world) {
		for _, m := range w.sides {
			m.endpoint.bodySize = answerBytes
		}
	}, "depot", "depot", "finder")
	client := w.sides[2]
	rq := request{method: "GET", host: host, path: "/read/report", deadline: deadline, rcvbuf: 64 << 10}
	if trouble {
		rq.readRate = rate
	}
	tries := make([]*try, reads)
	var all sync.WaitGroup
	for i := range tries {
		all.Go(func() { tries[i] = client.send(rq) })
	}
	time.Sleep(300 * time.Millisecond)
	stoppedAt := time.Now()
	client.signal("proxy", syscall.SIGTERM)
	time.AfterFunc(graceTime, func() {
		select {
		case <-client.children["proxy"].ended:
		default:
			client.signal("proxy", syscall.SIGKILL)
		}
	})
	all.Wait()
	lost := 0
	for _, t := range tries {
		rec.say("%v, ended %.3f s after SIGTERM", t, t.endedAt.Sub(stoppedAt).Seconds())
		if w.runsOf(t.id) > 0 && !t.whole && t.endedAt.Sub(t.sentAt) < deadline-100*time.Millisecond && t.endedAt.Sub(stoppedAt) < graceTime+time.Second {
			lost++
		}
	}
	rec.say("LOST: %d of %d requests were passed on to an endpoint, and their connection ended without a complete answer", lost, reads)
	return lost > 0, w
}

// lateBeat: an endpoint deregisters first and serves on. Its proxy is killed and started again; a heartbeat from before comes late.
func lateBeat(rec *record, trouble bool) (bool, *world) {
	const (
		restartAfter = 500 * time.Millisecond
		beatLate     = 2500 * time.Millisecond
		servesOn     = 9 * time.Second
	)
	first := config("r1", []string{"ledger", "finder"},
		route{"r-charge", host, "/charge/", "mutating", 2.5, 0.6, 1, 2, "ledger"})
	w := deploy(rec, first, nil, "ledger", "ledger", "finder", "finder", "finder")
	leaving := w.sides[0]
	e := leaving.endpoint
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range w.sides[2:] {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				clients.Go(func() {
					m.send(request{method: "POST", host: host, path: "/charge/ride", deadline: 2500 * time.Millisecond, body: []byte("ride")})
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	e.mu.Lock()
	e.beating = false
	e.mu.Unlock()
	late := e.compose() // on its way already
	time.Sleep(50 * time.Millisecond)
	if !e.deregister() {
		fail("Endpoints.Deregister was not acknowledged")
	}
	acknowledged := time.Now()
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	time.AfterFunc(beatLate, func() { e.send(late) })
	backAt := acknowledged
	if trouble {
		time.Sleep(300 * time.Millisecond)
		leaving.signal("proxy", syscall.SIGKILL)
		time.Sleep(restartAfter)
		leaving.run("proxy", false)
		backAt = time.Now()
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	close(stop)
	ended := time.Now()
	e.end()
	clients.Wait()
	// Only requests that machines in touch have sent on count: contact_s after the restart, with a margin.
	from := acknowledged.Add(drainTime)
	if trouble && backAt.Add(contactTime+500*time.Millisecond).After(from) {
		from = backAt.Add(contactTime + 500*time.Millisecond)
	}
	late421, count := 0, 0
	e.mu.Lock()
	for _, s := range e.seen {
		if s.at.After(from) && s.at.Before(ended) {
			if s.turned {
				late421++
			} else {
				count++
				rec.add("judge", "request %s reached %s %.3f s after the acknowledgement", s.id, e.id, s.at.Sub(acknowledged).Seconds())
			}
		}
	}
	e.mu.Unlock()
	rec.say("DRAIN: from %.1f s after the acknowledgement on, %d requests reached the endpoint that is gone (and %d got 421)",
		from.Sub(acknowledged).Seconds(), count, late421)
	return count > 0, w
}

// smallAim: a configuration has a route whose aim is below a millisecond; a later one has it no more, and adds ordinary routes.
func smallAim(rec *record, trouble bool) (bool, *world) {
	services := []string{"ledger", "finder"}
	oldRoute := route{"r-old", host, "/old/", "safe", 2, 0.5, 2, 2, "ledger"}
	aim := 0.05
	if trouble {
		aim = 0.0005
	}
	w := deploy(rec, config("r1", services, oldRoute), nil, "ledger", "ledger", "finder")
	w.replaceConfig(config("r2", services, oldRoute, route{"r-check", host, "/check/", "safe", nil, aim, 2, 2, "ledger"}))
	time.Sleep(convergeTime)
	w.replaceConfig(config("r5", services, oldRoute, route{"r-new", host, "/new/", "safe", 1.5, 0.6, 1, 2, "ledger"}))
	time.Sleep(convergeTime + time.Second)
	count := func(path string) (served int) {
		for i := range 30 {
			m := w.sides[i%len(w.sides)]
			t := m.send(request{method: "GET", host: host, path: path, deadline: 1500 * time.Millisecond})
			if t.status == http.StatusOK && t.whole {
				served++
			}
		}
		return served
	}
	old, added := count("/old/a"), count("/new/a")
	rec.say("CONFIG: in a calm time, of 30 requests each, %d on the first route and %d on the route added later were served", old, added)
	return added*4 < old, w
}

// chunkedBody: uploads arrive in chunks, within the limits of the configuration, one at a time.
func chunkedBody(rec *record, trouble bool) (bool, *world) {
	const bodyBytes, uploads = 12 << 20, 10
	first := config("r1", []string{"depot", "finder"},
		route{"r-up", host, "/up/", "ingest", 2.5, 0.6, 1, 2, "depot"})
	w := deploy(rec, first, nil, "depot", "depot", "finder")
	chunk := 0
	if trouble {
		chunk = 32 << 10
	}
	denied := 0
	for range uploads {
		t := w.sides[2].send(request{method: "POST", host: host, path: "/up/photo", deadline: 2500 * time.Millisecond, body: bytes.Repeat([]byte("u"), bodyBytes), chunk: chunk})
		rec.say("%v", t)
		if t.status == http.StatusRequestEntityTooLarge {
			denied++
		}
		time.Sleep(200 * time.Millisecond)
	}
	rec.say("DENIED: %d of %d proper requests ended with 413 (allowed: 5 and one in 500)", denied, uploads)
	return float64(denied) > 5+float64(uploads)/500, w
}

// unframedAnswer: endpoints answer without a length, while the proxy that took the requests is stopped in order.
func unframedAnswer(rec *record, trouble bool) (bool, *world) {
	const (
		work     = 800 * time.Millisecond
		deadline = 2500 * time.Millisecond
		bookings = 10
	)
	var mu sync.Mutex
	doneAt := map[string]time.Time{} // when the endpoint ended its work on an attempt
	dropped := map[string]bool{}     // the endpoint dropped the request, as its connection was closed
	first := config("r1", []string{"ledger", "finder"},
		route{"r-book", host, "/book/", "mutating", 2.5, 0.6, 1, 2, "ledger"})
	w := deploy(rec, first, func(w *world) {
		for _, m := range w.sides {
			m.endpoint.handle = func(e *endpoint, x *arrival) {
				_, _ = io.Copy(io.Discard, x.req.Body)
				e.ran(x)
				framing := "Transfer-Encoding: chunked"
				if trouble {
					framing = "Connection: close"
				}
				fmt.Fprintf(x.conn, "HTTP/1.1 200 x\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal.%s\r\n%s\r\n\r\n", x.id, x.id, framing)
				gone := make(chan struct{})
				go func() {
					if _, err := x.in.Peek(1); err != nil {
						close(gone)
					}
				}()
				body := "booked " + x.id
				select {
				case <-time.After(work):
					if trouble {
						_, _ = io.WriteString(x.conn, body)
						x.conn.Close()
					} else {
						fmt.Fprintf(x.conn, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
					}
				case <-gone:
					mu.Lock()
					dropped[x.id] = true
					mu.Unlock()
					e.m.w.record.add(e.id, "drops %s: its connection was closed while it was at work", x.id)
				}
				mu.Lock()
				doneAt[x.id] = time.Now()
				mu.Unlock()
			}
		}
	}, "ledger", "ledger", "finder")
	client := w.sides[2]
	stoppedAt := time.Now()
	client.signal("proxy", syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	tries := make([]*try, bookings)
	var all sync.WaitGroup
	for i := range tries {
		all.Go(func() {
			tries[i] = client.send(request{method: "POST", host: host, path: "/book/slot", deadline: deadline, body: []byte("slot")})
		})
		time.Sleep(60 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(work)
	lost := 0
	for _, t := range tries {
		mu.Lock()
		rec.say("%v, %.3f s after SIGTERM; dropped by the endpoint: %v", t, t.endedAt.Sub(stoppedAt).Seconds(), dropped[t.id])
		ownAnswer := t.status >= 500 && t.header.Get("X-Server-Seal") == "" || t.status == 0
		if w.runsOf(t.id) > 0 && ownAnswer && dropped[t.id] && t.endedAt.Sub(stoppedAt) < graceTime/2 && t.endedAt.Sub(t.sentAt) < deadline/2 {
			lost++
		}
		mu.Unlock()
	}
	rec.say("LOST: %d of %d requests were broken off while their endpoint was at work on them, and got an answer of the proxy's own", lost, bookings)
	return lost > 0, w
}

// slowEndpoint: one endpoint works slowly for a while. After it, uploads to it are tried in a calm time.
func slowEndpoint(rec *record, trouble bool) (bool, *world) {
	const (
		slowFor     = 7000 * time.Millisecond
		slowFactor  = 5
		readWork    = 640 * time.Millisecond
		uploadWork  = 190 * time.Millisecond
		uploadBytes = 16 << 20
		readEvery   = 160 * time.Millisecond
		uploadEvery = 200 * time.Millisecond
		tried       = 24
	)
	services := []string{"finder", "ledger", "depot"}
	read := route{"r-read", host, "/read/", "safe", 8, 2, 2, 2, "depot"}
	find := route{"r-find", host, "/find/", "safe", 2, 0.5, 2, 2, "finder"}
	upload := route{"r-up", host, "/up/", "ingest", 2.5, 0.6, 1, 2, "depot"}
	var slow atomic.Bool
	const capacity = 9
	w := deploy(rec, config("r1", services, find, read), func(w *world) {
		e := w.sides[0].endpoint
		slots := make(chan struct{}, capacity)
		e.handle = func(e *endpoint, x *arrival) {
			_, _ = io.Copy(io.Discard, x.req.Body)
			select {
			case slots <- struct{}{}:
			default:
				fmt.Fprintf(x.conn, "HTTP/1.1 503 x\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", x.id)
				return
			}
			e.ran(x)
			work := readWork
			if x.req.Method == "POST" {
				work = uploadWork
			}
			if slow.Load() {
				work *= slowFactor
			}
			time.Sleep(work)
			<-slots
			e.answer(x, http.StatusOK, 400)
		}
	}, "depot", "finder", "finder", "finder", "ledger", "ledger", "finder", "ledger", "finder")
	w.replaceConfig(config("r2", services, find, read, upload))
	time.Sleep(convergeTime + time.Second)
	body := bytes.Repeat([]byte("u"), uploadBytes)
	send := func(m *machine, kind string) *try {
		switch kind {
		case "read":
			return m.send(request{method: "GET", host: host, path: "/read/trips", deadline: 8 * time.Second})
		case "find":
			return m.send(request{method: "GET", host: host, path: "/find/bike", deadline: 2 * time.Second})
		}
		return m.send(request{method: "POST", host: host, path: "/up/photo", deadline: 2500 * time.Millisecond, body: body})
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	every := func(interval time.Duration, kind string) {
		all.Go(func() {
			for i := 1; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				all.Go(func() { send(w.sides[1+i%8], kind) })
			}
		})
	}
	every(readEvery, "read")
	every(uploadEvery, "upload")
	time.Sleep(3 * time.Second)
	if trouble {
		rec.add("platform", "the endpoint %s works %d times as long for %v", w.sides[0].endpoint.id, slowFactor, slowFor)
		slow.Store(true)
	}
	time.Sleep(slowFor)
	slow.Store(false)
	close(stop)
	all.Wait()
	time.Sleep(contactTime + 2*time.Second)
	rec.add("platform", "a calm time")
	count := func(kind string) (served int) {
		for i := range tried {
			if t := send(w.sides[1+i%8], kind); t.status == http.StatusOK && t.whole {
				served++
			}
		}
		return served
	}
	found, read1, uploaded := count("find"), count("read"), count("upload")
	rec.say("CONFIG: in a calm time, of %d requests each, %d and %d on the first routes and %d on the route added later were served", tried, found, read1, uploaded)
	return uploaded*4 < min(found, read1), w
}

// portInAuthority: the authority of a route has a port, and clients send it in Host.
func portInAuthority(rec *record, trouble bool) (bool, *world) {
	const requests = 30
	authority := host
	if trouble {
		authority += ":8080"
	}
	w := deploy(rec, config("r1", []string{"depot", "finder"}, route{"r-read", authority, "/read/", "safe", 8, 2, 2, 2, "depot"}), nil, "depot", "finder")
	denied := 0
	for i := range requests {
		t := w.sides[i%2].send(request{method: "GET", host: authority, path: "/read/x", deadline: 2 * time.Second})
		if t.status == http.StatusNotFound {
			denied++
		}
	}
	rec.say("CONFIG, DENIED: %d of %d requests on a route that is there got 404", denied, requests)
	return denied > 5, w
}

// crashLoop: the proxy beside a cold endpoint is killed again and again, each time soon after it serves.
func crashLoop(rec *record, trouble bool) (bool, *world) {
	const (
		kills        = 4
		restartAfter = 100 * time.Millisecond
		serves       = 350 * time.Millisecond
		coldFor      = 8 * time.Second
		allowed      = 9.3*1.5 + 5 // warmup_per_s x warmup_excess + warmup_slack
	)
	first := config("r1", []string{"ledger", "finder"}, route{"r-find", host, "/find/", "safe", 2.5, 0.6, 1, 2, "ledger"})
	w := deploy(rec, first, nil, "ledger", "finder", "finder", "finder", "finder")
	m := w.sides[0]
	e := m.endpoint
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range w.sides[1:] {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				clients.Go(func() {
					m.send(request{method: "GET", host: host, path: "/find/bike", deadline: 2500 * time.Millisecond})
				})
			}
		})
	}
	time.Sleep(time.Second)
	e.mu.Lock()
	e.coldTo = time.Now().Add(coldFor)
	e.mu.Unlock()
	e.send(e.compose())
	from := time.Now().Add(time.Second)
	time.Sleep(2500 * time.Millisecond)
	for range kills {
		if trouble {
			m.signal("proxy", syscall.SIGKILL)
			<-m.children["proxy"].ended
			time.Sleep(restartAfter)
			m.run("proxy", false)
		}
		time.Sleep(serves)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	worst := 0
	for i, first := range e.seen {
		n := 0
		for _, s := range e.seen[i:] {
			if !s.turned && s.at.Sub(first.at) < time.Second && s.at.Before(e.coldTo) {
				n++
			}
		}
		if first.at.After(from) {
			worst = max(worst, n)
		}
	}
	rec.say("FAILBACK: %d requests reached the cold endpoint in the worst second (allowed: %.2f)", worst, allowed)
	return float64(worst) > allowed, w
}
