package sidecar

import (
	"net/http"
	"sync/atomic"

	"milletmast/internal/admin"
)

// result is how a request ended.
type result int

const (
	completed result = iota
	rejected
	failed
	resultCount
)

// resultOf returns the result of a request whose response has the given status.
func resultOf(status int) result {
	if isRejection(status) {
		return rejected
	}
	if status == http.StatusOK {
		return completed
	}
	return failed
}

// loopCounters are the counters of a loop. The loop writes them; they can be read without waiting for the loop, so that operators
// get them under any load.
type loopCounters struct {
	ended                         [][resultCount]atomic.Uint64 // by class
	pending                       atomic.Int64
	listed, usable, avoided, held atomic.Int64
}

func newLoopCounters(classes int) *loopCounters {
	return &loopCounters{ended: make([][resultCount]atomic.Uint64, classes)}
}

// countResult moves a request from the pending ones to those that ended with a result.
func (n *loopCounters) countResult(class uint16, r result) {
	n.pending.Add(-1)
	n.ended[class][r].Add(1)
}

// Stats returns the counters of the sidecar.
func (s *Sidecar) Stats() *admin.Stats {
	n := s.loop.counts
	f := &admin.Stats{
		Attempts: s.loop.upstream.written.Load(), Pending: int(max(n.pending.Load(), 0)),
		Endpoints: int(n.listed.Load()), Unavailable: int(n.avoided.Load()), Held: int(n.held.Load()),
		Reloads: s.reloads.Load(), ReloadErrors: s.reloadErrors.Load(),
	}
	for i, c := range s.cfg.Site.Settings.Classes {
		e := &n.ended[i]
		f.Classes = append(f.Classes, admin.Class{
			Name: c.Name, Completed: e[completed].Load(), Rejected: e[rejected].Load(), Failed: e[failed].Load(),
		})
	}
	return f
}
