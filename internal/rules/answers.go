package rules

import (
	"fmt"
	"net/http"
	"sync"
)

// Answers checks by what endpoints ran and what callers were told that no answer is another request's, that nothing runs twice that
// must not, and that what is said not to have run has not and never does. Facts may come from any goroutine, and a run also after what
// its caller was told. The zero value is usable.
type Answers struct {
	mu    sync.Mutex
	asked map[string]*asked
	wrong []string // at most mostBreaks
	count int
}

// Given is an answer as an endpoint gave it.
type Given struct {
	Status     int
	Seal, Body string
}

type asked struct {
	once  bool
	runs  []Given
	never string // what its caller was told that says that it has not run and never will
}

func (a *Answers) breaks(id, format string, args ...any) {
	if a.count++; a.count <= mostBreaks {
		a.wrong = append(a.wrong, id+": "+fmt.Sprintf(format, args...))
	}
}

// Asked takes that a caller sends a request, which may run once only or more often.
func (a *Answers) Asked(id string, once bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asked == nil {
		a.asked = map[string]*asked{}
	}
	a.asked[id] = &asked{once: once}
}

// Ran takes that an endpoint began work on a request, and what it answers.
func (a *Answers) Ran(id string, g Given) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.asked[id]
	if q == nil {
		a.breaks(id, "runs, and nobody has asked for it")
		return
	}
	if q.runs = append(q.runs, g); q.once && len(q.runs) > 1 {
		a.breaks(id, "runs %d times, and may once", len(q.runs))
	}
	if q.never != "" {
		a.breaks(id, "runs, and its caller was told %s", q.never)
	}
}

// Never takes that it was said to be certain that a request has not run and will not.
func (a *Answers) Never(id, by string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.neverLocked(id, by)
}

func (a *Answers) neverLocked(id, by string) {
	q := a.asked[id]
	if q.never = by; len(q.runs) > 0 {
		a.breaks(id, "its caller was told %s, and it had run", by)
	}
}

// promises are the statuses that say that a request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Told takes the final answer that a caller got. What bears a seal, and every success, must be what an endpoint gave to that request.
func (a *Answers) Told(id string, got Given) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.asked[id]
	if q == nil {
		a.breaks(id, "answered, and nobody has asked")
		return
	}
	if q.once && promises(got.Status) {
		a.neverLocked(id, fmt.Sprint(got.Status))
	}
	if got.Seal == "" && got.Status/100 != 2 {
		return
	}
	for _, g := range q.runs {
		if g == got {
			return
		}
	}
	a.breaks(id, "its caller got %+v, and endpoints gave it %+v", got, q.runs)
}

// Wrong is what was found, and how often; only the first are kept.
func (a *Answers) Wrong() ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wrong, a.count
}
