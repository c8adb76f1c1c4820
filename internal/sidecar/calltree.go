package sidecar

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"milletmast/balancer"
	"milletmast/internal/budget"
	"milletmast/internal/operator"
	"milletmast/internal/route"
	"milletmast/internal/trace"
)

// outcomeHeader reports the outcome of a failed call to the previous tier, which then does not retry the call.
const outcomeHeader = "X-Call-Outcome"

// The values of outcomeHeader.
const (
	outcomeRan   = "ran"   // the call may have been executed
	outcomeSpent = "spent" // the retries of the tree are used up
	outcomeLoop  = "loop"  // the call came back to a sidecar that it had passed; the response is final
)

const statusLoop = http.StatusLoopDetected

// callTrees holds the state of an instance for trees of calls over several tiers (package budget); nil if the operator file does not
// enable it.
type callTrees struct {
	id      string // in the paths of call contexts
	name    string
	retries int
	budgets *budget.Table
	tracer  *trace.Writer // nil if nothing is traced
	sample  float64

	invalidContexts, loops atomic.Uint64
}

// maxRetryBudgets bounds the number of retry budgets that are held, one for each attempt of the previous tier.
const maxRetryBudgets = 1 << 14

// hashHopID returns the id of a sidecar in paths, a short hash that does not disclose its name.
func hashHopID(name string) string {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return hex.EncodeToString(sum.Sum(nil))
}

// treeCall is a call as part of a tree.
type treeCall struct {
	trees          *callTrees
	rule           *route.Rule
	context        budget.Context // as received, or as created by this sidecar
	budget         *budget.RetryBudget
	traced         bool
	traceID        string // of this call
	reportsOutcome bool   // the outcome is reported to the previous tier in outcomeHeader
	leaf           bool   // no retries are delegated to the next tier
	arrivedAt      time.Time
	retryWindow    time.Duration // in which a keyed call that is a retry must end; 0 for no such limit
	outOfRetries   bool          // an attempt was not made as there was no retry left
}

// contextError describes why a call is rejected because of its context.
type contextError struct {
	status  int
	text    string
	outcome string // see outcomeHeader
}

// enter reads the context of a call if its listener trusts contexts, or creates one. A call that has passed this sidecar already is
// rejected even if contexts are not trusted: a client that forges one only has its own call rejected.
func (ts *callTrees) enter(values []string, d *listenerRouter, rule *route.Rule, class *balancer.Class) (*treeCall, *contextError) {
	t := &treeCall{arrivedAt: time.Now(), trees: ts, rule: rule, reportsOutcome: d.trustsContexts}
	received, rejection := ts.parseContext(values, d, rule)
	if rejection != nil {
		return nil, rejection
	}
	if received == nil {
		t.context = budget.Context{Root: newID(), Attempt: rootAttempt, PriorityWeight: class.PriorityWeight, Retries: ts.retries}
		t.budget = budget.NewRetryBudget(ts.retries)
	} else {
		t.context = *received
		t.context.PriorityWeight = min(t.context.PriorityWeight, d.maxPriorityWeight)
		t.context.Retries = min(t.context.Retries, ts.retries) // no more than a request from outside gets here
		t.budget = ts.budgets.Get(&t.context, t.arrivedAt)
	}
	if rejection := t.checkRetry(class); rejection != nil {
		return nil, rejection
	}
	if t.traced = ts.tracer != nil && isSampled(t.context.Root, ts.sample); t.traced {
		t.traceID = fmt.Sprintf("%08x", rand.Uint32())
	}
	return t, nil
}

// rootAttempt is the id of the attempt in a context that this sidecar creates.
const rootAttempt = "00000000"

// parseContext returns the context that a call was received with; nil if there is none or it is not trusted.
func (ts *callTrees) parseContext(values []string, d *listenerRouter, rule *route.Rule) (*budget.Context, *contextError) {
	if len(values) == 0 {
		return nil, nil
	}
	c, err := budget.Parse(values[0])
	if len(values) > 1 {
		err = fmt.Errorf("%s comes twice", budget.Header)
	}
	if err != nil {
		if !d.trustsContexts {
			return nil, nil
		}
		if n := ts.invalidContexts.Add(1); isPowerOfTwo(n) {
			slog.Warn("ignore invalid context", "cause", err, "count", n)
		}
		return nil, &contextError{status: http.StatusBadRequest, text: err.Error()}
	}
	if c.Contains(ts.id) || c.Hops() >= budget.MaxHops {
		if n := ts.loops.Add(1); isPowerOfTwo(n) {
			slog.Warn("reject call loop", "route", rule.Name, "path", strings.Join(c.Path, "."), "count", n)
		}
		text := fmt.Sprintf("loop: %s > %s (%s), by route %s", strings.Join(c.Path, " > "), ts.id, ts.name, rule.Name)
		return nil, &contextError{statusLoop, text, outcomeLoop}
	}
	if !d.trustsContexts {
		return nil, nil
	}
	return c, nil
}

// isPowerOfTwo reports whether n is a power of two. Events that may occur at a high rate are logged at these counts only.
func isPowerOfTwo(n uint64) bool { return n&(n-1) == 0 }

// checkRetry checks a call that the previous tier retries after an attempt that may have been executed, on a server that this sidecar
// does not know. Unsafe calls are rejected. Keyed calls are accepted only within the window of a class whose servers all drop
// duplicates.
func (t *treeCall) checkRetry(class *balancer.Class) *contextError {
	if !t.context.MayHaveExecuted || class.Effect == balancer.Safe {
		return nil
	}
	left := millis(class.DedupWindow) - t.context.FirstSentAgo
	if class.Effect == balancer.Unsafe || class.DedupGroup != balancer.DedupAll || left <= 0 {
		return &contextError{statusFailed, "an attempt before may have run: calls of class " + class.Name + " are not sent again", outcomeRan}
	}
	t.retryWindow = left
	return nil
}

// isSampled reports whether a root request is traced. All tiers choose the same requests.
func isSampled(root string, share float64) bool {
	sum := fnv.New32a()
	sum.Write([]byte(root))
	return float64(sum.Sum32()) < share*(1<<32)
}

// apply applies the context to a call: its priority weight, the limit of its attempts, and its deadline.
func (t *treeCall) apply(k *call, p *pool) {
	k.tree, t.leaf = t, p.spec.Leaf
	k.event.PriorityWeight = t.context.PriorityWeight
	k.event.MaxAttempts = 1 + t.budget.Remaining()
	if t.context.Hops() > 0 {
		left := withoutMargin(t.context.TimeLeft.Seconds())
		k.timeout, k.streamTimeout = min(k.timeout, left), min(k.streamTimeout, left)
	}
	if t.retryWindow > 0 {
		window := inMillis(t.retryWindow)
		k.timeout, k.streamTimeout = min(k.timeout, window), min(k.streamTimeout, window)
	}
}

// startAttempt sets the context of an attempt. It returns false if there is no retry left for it. FirstExecutedAt is when the first
// attempt that may have been executed was sent; zero for none.
func (t *treeCall) startAttempt(a *attempt, number int, left time.Duration, firstExecutedAt time.Time) bool {
	if number > 0 && !t.budget.Spend() {
		t.outOfRetries = true
		return false
	}
	a.id = fmt.Sprintf("%08x", rand.Uint32())
	c := t.context
	c.Attempt, c.TimeLeft, c.Retries = a.id, left, 0
	if !t.leaf {
		c.Retries = t.budget.Delegate()
		a.delegatedRetries = c.Retries
	}
	if t.context.MayHaveExecuted {
		c.FirstSentAgo += time.Since(t.arrivedAt)
	} else if !firstExecutedAt.IsZero() {
		c.MayHaveExecuted, c.FirstSentAgo = true, time.Since(firstExecutedAt)
	}
	c.Path = append(append([]string(nil), t.context.Path...), t.trees.id)
	a.context = c.String()
	return true
}

// outcome returns the value of outcomeHeader of a call that failed; "" for none.
func (t *treeCall) outcome(mayHaveExecuted bool) string {
	switch {
	case !t.reportsOutcome:
		return ""
	case mayHaveExecuted:
		return outcomeRan
	case t.outOfRetries:
		return outcomeSpent
	}
	return ""
}

// trace writes an attempt of a traced call to the trace.
func (t *treeCall) trace(a *attempt, number int, server string, o balancer.Outcome, took time.Duration) {
	t.trees.tracer.Add(trace.Attempt{
		Root:    t.context.Root,
		Parent:  t.context.Attempt,
		Call:    t.traceID,
		ID:      a.id,
		Sidecar: t.trees.name,
		Hop:     t.context.Hops(),
		Route:   t.rule.Name,
		Pool:    t.rule.Pool,
		Class:   t.rule.Class,
		Server:  server,
		Number:  number,
		Outcome: outcomeNames[o],
		TookMS:  inMillis(took),
		Weight:  t.context.PriorityWeight,
	})
}

// outcomeNames are the outcomes of attempts in traces.
var outcomeNames = [...]string{
	balancer.OK:            "ok",
	balancer.Error:         "error",
	balancer.NotExecuted:   "refused",
	balancer.Timeout:       "timeout",
	balancer.ConnectFailed: "connect-failed",
	balancer.Reset:         "reset",
	balancer.Canceled:      "cancelled",
	balancer.NotSent:       "not-sent",
}

// newCallTrees returns the state of a generation, with the retry budgets and the trace of the previous one, if there is one.
func newCallTrees(cfg *operator.Config, old *callTrees) (*callTrees, error) {
	c := &cfg.Context
	if c.ID == "" {
		return nil, nil
	}
	ts := &callTrees{id: hashHopID(c.ID), name: c.ID, retries: c.Retries, sample: c.Sample}
	if old != nil {
		ts.budgets = old.budgets
	} else {
		ts.budgets = budget.NewTable(maxRetryBudgets)
	}
	if c.Trace != "" && c.Sample > 0 {
		if old != nil && old.tracer != nil && old.tracer.Path() == c.Trace {
			ts.tracer = old.tracer
			return ts, nil
		}
		w, err := trace.NewWriter(c.Trace)
		if err != nil {
			return nil, fmt.Errorf("context.trace: %w", err)
		}
		ts.tracer = w
	}
	return ts, nil
}

// close closes the trace, unless the other generation writes to it.
func (ts *callTrees) close(other *callTrees) {
	if ts != nil && ts.tracer != nil && (other == nil || other.tracer != ts.tracer) {
		ts.tracer.Close()
	}
}
