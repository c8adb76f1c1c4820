package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"whinknot"
	"whinknot/internal/vhost"
)

// mostAttempts is the number of attempts of one request, over all the pools that it is sent to.
const mostAttempts = 4

// replacing is a request of a site whose answer an error page may replace (see vhost.ErrorPage).
type replacing struct {
	door   *door
	caller *caller
	came   time.Time
	head   message // as it came
	host   string
	most   int64
	out    vhost.Outcome
	class  whinknot.Effect // of the first call
	body   *call           // the first call, which holds the body
}

// standIn is what stands in for an answer: another answer, or a call that is to be made first.
type standIn struct {
	fixed  *answer
	next   *taken
	page   bool // next is a request of its own
	status int  // see vhost.Outcome
}

// effect is what a repeat of a request would do in the pool that it goes to.
func (d *door) effect(out *vhost.Outcome) whinknot.Effect {
	p := d.pools[out.Do.Pool]
	return p.set.Classes[p.classes[out.Class]].Effect
}

// asPage takes away what belongs to the request that a page stands in for: its conditions, and the part that it wants.
func asPage(h http.Header) {
	for _, name := range []string{
		"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Idempotency-Key", "Expect",
		"Content-Type", "Content-Encoding",
	} {
		h.Del(name)
	}
}

// statuses are those by which an error page is looked up. Refusals are none of nginx, whose word for a pool without a server
// that can take the request is 502; that for a server that was too slow is 504.
func (r *replacing) statuses(a *answer) []int {
	switch {
	case a.made && a.status == statusRefused:
		return []int{http.StatusServiceUnavailable, http.StatusBadGateway}
	case a.made && a.late:
		return []int{http.StatusGatewayTimeout}
	case a.made:
		return []int{http.StatusBadGateway}
	case r.out.Intercepts() && a.status >= 300:
		return []int{a.status}
	}
	return nil
}

// instead tells what stands in for an answer. A request goes on to a named location only as its class allows: once it may have
// run, only if it is safe there and here; never with more attempts than a request may have, nor for longer than its caller waits.
func (r *replacing) instead(a *answer) *standIn {
	if r.out.Status != 0 { // the call was itself a page, for an error of the table's
		if r.out.Status != vhost.Own && !a.made {
			own := *a
			own.status = r.out.Status
			return &standIn{fixed: &own, status: vhost.Own}
		}
		return nil
	}
	out, ok := r.out.Recover(r.statuses(a)...)
	if !ok {
		return nil
	}
	if a := out.Answer; a != nil {
		return &standIn{fixed: fixedAnswer(a.Status, a.Body, a.Location, out.Method), status: vhost.Own}
	}
	k := r.body
	if k.out.upload != nil || !out.Page && a.ran && (r.class != whinknot.Safe || r.door.effect(&out) != whinknot.Safe) {
		return nil
	}
	left := mostAttempts - a.attempts
	if left < 1 {
		return nil
	}
	m := r.head
	m.header = r.head.header.Clone()
	if seconds, told, _ := deadline(m.header); told {
		if seconds -= time.Since(r.came).Seconds(); seconds <= 0 {
			return nil
		}
		m.header.Set("X-Deadline", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	if out.Page {
		m.length = 0
	}
	next := r.door.toSite(r.caller, &m, &out, r.host, r.most)
	if next.call == nil {
		return nil
	}
	n := next.call
	if tree := n.tree; tree != nil { // it draws on what the request has left in its tree, not on a new one
		tree.budget = k.tree.budget
		if a.attempts > 0 && !tree.budget.Spend() {
			return nil
		}
		left = min(left, 1+tree.budget.Left())
	}
	if n.event.Attempts == 0 || n.event.Attempts > left {
		n.event.Attempts = left
	}
	if !out.Page {
		n.out.body = k.out.body
	}
	return &standIn{next: &next, page: out.Page, status: out.Status}
}

// replace gives the final answer to a request whose call has ended with one that something may stand in for.
func (f *front) replace(c *caller, t *taken, a answer) (answer, bool) {
	s := t.instead(&a)
	if s == nil {
		return a, true
	}
	if a.rest != nil { // its body is not wanted
		t.loop.post(func() { t.loop.callOff(t.call) })
		a.rest, a.body = nil, nil // and cannot be had any more if what stands in fails
	}
	if s.fixed != nil {
		return a.as(*s.fixed, s.status), true
	}
	b, ok := f.have(c, s.next)
	switch {
	case !ok:
		return b, false
	case !b.made:
		return a.as(b, s.status), true
	case !s.page && b.ran && a.status == statusRefused: // the refusal's promise does not hold any more
		return b, true
	}
	return a, true
}

// as gives what stands in for an error the status that it is to have. With that of a refusal goes when to come back.
func (a *answer) as(b answer, status int) answer {
	switch status {
	case vhost.Own:
		return b
	case 0:
		b.status, b.retryAfter, b.tier, b.notRun = a.status, a.retryAfter, a.tier, a.notRun
	default:
		b.status = status
	}
	if b.length == untold && b.rest == nil { // it had no body by its own status
		b.bare = false
	}
	return b
}
