package sidecar

import (
	"container/heap"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"milletmast/balancer"
)

// A panic while a request is served is the failure of that request, and neither the end of the process nor of the requests after it.

// panicCount counts the panics that were recovered from.
type panicCount struct{ atomic.Uint64 }

// recoverFrom is deferred by a function that may panic. It counts the panic, logs it with its stack, and calls then.
func (n *panicCount) recoverFrom(where string, then func()) {
	if cause := recover(); cause != nil {
		slog.Error("recover from panic", "where", where, "panic", cause, "count", n.Add(1), "stack", string(debug.Stack()))
		then()
	}
}

// serveConnRecovered serves the requests of one connection. After a panic it is closed, and its client gets no response.
func (f *frontend) serveConnRecovered(c *clientConn) {
	defer f.panics.recoverFrom("connection", func() {})
	f.serveConn(c)
}

// serveRecovered serves a request with its complete body. A panic is answered 502, as the request may have been executed.
func (f *frontend) serveRecovered(serve func() response) (r response) {
	defer f.panics.recoverFrom("request", func() { r = response{status: http.StatusBadGateway} })
	return serve()
}

// sendRecovered makes one attempt. One that panics may have been executed.
func (l *eventLoop) sendRecovered(send func() (balancer.Outcome, *response)) (outcome balancer.Outcome, r *response) {
	defer l.panics.recoverFrom("attempt", func() { outcome, r = balancer.Reset, nil })
	return send()
}

// runRecovered runs a part of the loop. After a panic the decision module is replaced, as its state may be inconsistent.
func (l *eventLoop) runRecovered(part func()) {
	defer l.panics.recoverFrom("event loop", l.replaceModule)
	part()
}

// replaceModule replaces the decision module by one that has learned nothing. Calls that wait in the old one are answered; those with
// an open attempt get its response, and no other attempt.
func (l *eventLoop) replaceModule() {
	module, err := balancer.New(*l.settings, l.seed, l.now())
	if err != nil { // it has accepted these settings before
		panic(err)
	}
	l.balancer = module
	l.dropModuleTimers()
	list := List{Full: true}
	for _, target := range l.targets {
		list.Targets = append(list.Targets, target)
	}
	l.applyList(list, balancer.ListFull)
	for _, c := range l.calls {
		c.lostModule = true
		l.answerIfLost(c)
	}
}

// dropModuleTimers removes the timers of the decision module.
func (l *eventLoop) dropModuleTimers() {
	var kept timerHeap
	for _, task := range l.timers {
		if task.run != nil || task.call != nil {
			kept = append(kept, task)
		}
	}
	for i, task := range kept {
		task.index = i
	}
	heap.Init(&kept)
	l.timers = kept
}

// answerIfLost answers a call whose decision module was replaced, once none of its attempts is open.
func (l *eventLoop) answerIfLost(c *call) {
	if c.lostModule && !c.ended && c.openAttempts == 0 {
		l.answerOverdue(c)
	}
}
