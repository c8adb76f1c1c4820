package faultdrill

import (
	"cmp"
	"slices"

	"milletmast/balancer"
	"milletmast/internal/rules"
	"milletmast/internal/testcluster"
)

// timedFact is a fact for the rules checker, with its time.
type timedFact struct {
	at   int64 // ns
	fact rules.Fact
}

// replayer converts the facts of a history to facts for the rules checker.
type replayer struct {
	*historyChecker
	out      []timedFact
	executed map[string][]testcluster.Fact // by request
}

// replay passes the facts to the rules checker in order, and checks the effects of requests.
func (h *historyChecker) replay(facts []testcluster.Fact) {
	r := &replayer{historyChecker: h, executed: map[string][]testcluster.Fact{}}
	last := int64(0)
	for i := range facts {
		last = max(last, facts[i].At)
		r.convert(&facts[i])
	}
	r.addAttempts()
	slices.SortStableFunc(r.out, func(a, b timedFact) int { return cmp.Compare(a.at, b.at) })
	checker := h.result.checker
	for i := range r.out {
		f := &r.out[i].fact
		f.At = float64(r.out[i].at) / 1e6
		if f.Kind == warmFact {
			checker.MarkWarm(f.Server)
			continue
		}
		checker.Record(f)
	}
	checker.Record(&rules.Fact{Kind: rules.RunEnded, At: float64(last) / 1e6})
	h.checkEffects(r.executed)
}

// warmFact marks the fact that a server is warm, for which the rules checker has a separate method.
const warmFact = 0

func (r *replayer) add(at int64, f rules.Fact) { r.out = append(r.out, timedFact{at, f}) }

func (r *replayer) replicaID(name string) uint32 { return uint32(r.replicas.of(name)) }
func (r *replayer) serverID(name string) uint32  { return uint32(r.serverIDs.of(name)) }

// convert converts one fact.
func (r *replayer) convert(f *testcluster.Fact) {
	switch f.Kind {
	case testcluster.FactConnClosed:
		r.convertConnClosed(f)
	case testcluster.FactConnEnded:
		if r.lostOnIdleConn[f.Request] { // the client may have waited until then
			r.add(f.At+int64(r.delay), rules.Fact{Kind: rules.ClientLeft, Replica: r.replicaID(f.Copy), Request: r.requests.of(f.Request)})
		}
	case testcluster.FactWritten:
		if _, ok := r.classes[f.Class]; ok {
			r.addReceived(f, r.dueAt(f))
		}
	case testcluster.FactClientLeft, testcluster.FactUnanswered:
		r.convertUnanswered(f)
	case testcluster.FactAnswered:
		if r.written[f.Request] == nil {
			r.violate(1, f.At, "%s: response to request %s, which was never sent", f.Copy, f.Request)
			return
		}
		r.add(f.At, rules.Fact{
			Kind: rules.RequestAnswered, Replica: r.replicaID(f.Copy), Request: r.requests.of(f.Request), Answer: answerOf(f.Status),
		})
	case testcluster.FactKilled: // its last messages may be observed after this
		r.add(f.At+int64(r.delay), rules.Fact{Kind: rules.ReplicaKilled, Replica: r.replicaID(f.Copy)})
	case testcluster.FactListed:
		at := f.At
		if !f.Serves {
			at = r.knownAt(f.Copy, f.At)
		}
		r.add(at, rules.Fact{Kind: rules.ServerListed, Replica: r.replicaID(f.Copy), Server: r.serverID(f.Server), Serves: f.Serves})
	default:
		r.convertServerFact(f)
	}
}

// convertServerFact converts a fact of a server.
func (r *replayer) convertServerFact(f *testcluster.Fact) {
	switch f.Kind {
	case testcluster.FactStarted:
		p := r.servers[f.Server]
		r.add(f.At, rules.Fact{
			Kind: rules.ServerStarted, Server: r.serverID(f.Server), Zone: uint8(p.Zone), Cell: uint16(p.Cell), Cold: f.Cold,
		})
	case testcluster.FactWarm:
		r.add(f.At, rules.Fact{Kind: warmFact, Server: r.serverID(f.Server)})
	case testcluster.FactReceived:
		if attempts := r.attempts[f.Request]; len(attempts) > 0 {
			from := attempts[len(attempts)-1].replica
			r.add(f.At, rules.Fact{
				Kind: rules.WorkArrived, Server: r.serverID(f.Server), Replica: r.replicaID(from), Work: f.Work, Capacity: f.Capacity,
			})
		}
	case testcluster.FactExecuted:
		r.executed[f.Request] = append(r.executed[f.Request], *f)
	}
}

// addReceived adds that a replica has received a request.
func (r *replayer) addReceived(f *testcluster.Fact, due int64) {
	r.add(f.At, rules.Fact{
		Kind: rules.RequestReceived, Replica: r.replicaID(f.Copy), Request: r.requests.of(f.Request),
		Class: uint16(r.classes[f.Class]), Due: float64(due) / 1e6,
	})
}

// convertConnClosed converts an idle connection that was closed while a request was written to it.
func (r *replayer) convertConnClosed(f *testcluster.Fact) {
	if !r.lostOnIdleConn[f.Request] {
		return
	}
	if !r.killed[f.Copy] {
		r.violate(1, f.At, "%s: request %s was lost: %s", f.Copy, f.Request, f.Text)
	}
	r.addReceived(f, f.Due)
}

// convertUnanswered converts a request without a response.
func (r *replayer) convertUnanswered(f *testcluster.Fact) {
	written := r.written[f.Request]
	if written == nil {
		return
	}
	if f.Kind == testcluster.FactUnanswered && !r.killed[f.Copy] {
		r.violate(1, f.At, "%s: request %s was lost: %s", f.Copy, f.Request, f.Text)
	}
	isOverdue := f.At >= written.Due+int64(clientGrace)
	if f.Kind == testcluster.FactClientLeft && isOverdue && !r.wasSuspended(f.Copy, written.At, f.At) {
		r.violate(1, f.At, "%s: request %s has no answer %v after its deadline", f.Copy, f.Request, clientGrace)
	}
	at := r.knownAt(f.Copy, f.At)
	r.add(at+int64(r.delay), rules.Fact{Kind: rules.ClientLeft, Replica: r.replicaID(f.Copy), Request: r.requests.of(f.Request)})
}

// addAttempts adds the attempts of all requests.
func (r *replayer) addAttempts() {
	for request, attempts := range r.attempts {
		id := r.requests.of(request)
		for n, a := range attempts {
			r.add(a.sentAt, rules.Fact{
				Kind: rules.AttemptSent, Replica: r.replicaID(a.replica), Server: r.serverID(a.server), Request: id, Attempt: uint16(n),
			})
			if a.ended {
				r.add(a.endedAt, rules.Fact{
					Kind: rules.AttemptEnded, Replica: r.replicaID(a.replica), Request: id, Attempt: uint16(n), MayRun: a.mayHaveExecuted,
				})
			}
		}
	}
}

// checkEffects checks the executions of requests: an unsafe request is executed at most once, a keyed one only at servers that
// deduplicate its repeats.
func (h *historyChecker) checkEffects(executed map[string][]testcluster.Fact) {
	classes := h.pool.Settings().Classes
	for request, all := range executed {
		class, ok := h.classes[all[0].Class]
		if !ok {
			continue
		}
		switch c := &classes[class]; c.Effect {
		case balancer.Unsafe:
			if len(all) > 1 {
				h.violate(4, all[1].At, "unsafe request %s ran %d times, at %s and %s", request, len(all), all[0].Server, all[1].Server)
			}
		case balancer.Keyed:
			h.checkKeyed(request, c, all)
		}
	}
}

// checkKeyed checks the executions of a keyed request.
func (h *historyChecker) checkKeyed(request string, c *balancer.Class, executions []testcluster.Fact) {
	first := executions[0]
	for _, f := range executions[1:] {
		a, b := h.servers[first.Server], h.servers[f.Server]
		if c.DedupGroup == balancer.DedupZone && a.Zone != b.Zone || c.DedupGroup == balancer.DedupCell && a.Cell != b.Cell {
			h.violate(4, f.At, "keyed request %s has a second effect: %s does not deduplicate with %s", request, f.Server, first.Server)
			return
		}
		if after := float64(f.At-first.At) / 1e6; after > c.DedupWindow+ms(h.delay) {
			h.violate(4, f.At, "keyed request %s has a second effect %.0f ms after the first, its deduplication window is %.0f ms",
				request, after, c.DedupWindow)
			return
		}
	}
}
