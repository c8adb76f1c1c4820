package budget

import (
	"container/list"
	"sync"
	"time"
)

// The retries of a tree of calls are never created below its root, only divided, delegated and spent:
//
//   - the front tier gives an external request R retries;
//   - an attempt delegates the retries that its call has left, less one if there are more, to the
//     calls that it causes, in their Context; none to servers that make no calls through sidecars;
//   - the retries of an attempt that was certainly never executed are returned;
//   - all calls of one attempt share the retries that were delegated to it (Table);
//   - each attempt after a call's first spends one.
//
// Invariant: with F calls at the last tier in a run without failures, that tier sees at most (1+R)*F
// attempts. By induction from there upward: a call with r retries and f calls below it causes at most
// (1+r)*f, since k attempts that delegate r1..rk have k-1+r1+..+rk <= r, and the calls of one attempt
// share its retries.

// RetryBudget holds the retries that the calls of one attempt share. It is safe for concurrent use.
type RetryBudget struct {
	mu   sync.Mutex
	left int
}

// NewRetryBudget returns the budget of an external request, of at most MaxRetries.
func NewRetryBudget(retries int) *RetryBudget {
	return &RetryBudget{left: min(max(retries, 0), MaxRetries)}
}

// Remaining returns the number of retries left.
func (b *RetryBudget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Spend takes one retry, and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Delegate takes the retries that an attempt passes to the tiers below: all but one, as a retry there
// is cheaper than one here, which repeats all calls below. The one is for failures between this tier
// and the next. A single retry is passed down.
func (b *RetryBudget) Delegate() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.left
	if n > 1 {
		n--
	}
	b.left -= n
	return n
}

// Return adds the retries that were delegated to an attempt that was certainly never executed.
func (b *RetryBudget) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+max(n, 0), MaxRetries)
}

// Table holds the budgets of attempts by root and attempt. An entry that is evicted early would grant
// its retries twice, so none is: when the table is full, calls get an empty budget.
type Table struct {
	maxEntries int

	mu      sync.Mutex
	entries map[string]*list.Element
	lru     *list.List // of *entry, least recently checked first
}

type entry struct {
	key       string
	budget    *RetryBudget
	expiresAt time.Time
}

// NewTable returns a table of at most maxEntries budgets.
func NewTable(maxEntries int) *Table {
	return &Table{maxEntries: maxEntries, entries: map[string]*list.Element{}, lru: list.New()}
}

// MinRetention is the minimum time for which a budget is kept, as calls of an attempt may arrive until
// its deadline.
const MinRetention = time.Second

// Get returns the budget of the attempt that a call is part of.
func (t *Table) Get(c *Context, now time.Time) *RetryBudget {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := c.Root + c.Attempt
	if e := t.entries[key]; e != nil {
		return e.Value.(*entry).budget
	}
	t.expire(now)
	if t.lru.Len() >= t.maxEntries {
		return NewRetryBudget(0)
	}
	e := &entry{key: key, budget: NewRetryBudget(c.Retries), expiresAt: now.Add(max(2*c.TimeLeft, MinRetention))}
	t.entries[key] = t.lru.PushBack(e)
	return e.budget
}

// expire removes expired entries. It checks a few at each call, and moves those that are kept to the
// end.
func (t *Table) expire(now time.Time) {
	for n := 0; n < 8; n++ {
		first := t.lru.Front()
		if first == nil {
			return
		}
		e := first.Value.(*entry)
		if now.Before(e.expiresAt) {
			t.lru.MoveToBack(first)
			continue
		}
		t.lru.Remove(first)
		delete(t.entries, e.key)
	}
}

// Len returns the number of budgets.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lru.Len()
}
