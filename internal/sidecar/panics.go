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

// record counts a panic, and logs it with its stack.
func (n *panicCount) record(where string, cause any) {
	slog.Error("recover from panic", "where", where, "panic", cause, "count", n.Add(1), "stack", string(debug.Stack()))
}

// serveConnRecovered serves the requests of one connection. After a panic it is closed, which promises nothing.
func (f *frontend) serveConnRecovered(c *clientConn) {
	defer func() {
		if cause := recover(); cause != nil {
			f.panics.record("connection", cause)
		}
	}()
	f.serveConn(c)
}

// serveRecovered serves a request with its complete body. A panic is answered 502, as the request may have been executed.
func (f *frontend) serveRecovered(serve func() response) (r response) {
	defer func() {
		if cause := recover(); cause != nil {
			f.panics.record("request", cause)
			r = response{status: http.StatusBadGateway}
		}
	}()
	return serve()
}

// sendRecovered makes one attempt. One that panics may have been executed.
func (l *eventLoop) sendRecovered(send func() (balancer.Outcome, *response)) (outcome balancer.Outcome, r *response) {
	defer func() {
		if cause := recover(); cause != nil {
			l.panics.record("attempt", cause)
			outcome, r = balancer.Reset, nil
		}
	}()
	return send()
}

// runRecovered runs a part of the loop. After a panic the decision module is replaced, as its state may be inconsistent.
func (l *eventLoop) runRecovered(part func()) {
	defer func() {
		if cause := recover(); cause != nil {
			l.panics.record("event loop", cause)
			l.replaceModule()
		}
	}()
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
