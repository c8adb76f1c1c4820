package rules

import (
	"fmt"
	"net/http"
	"sync"
)

// Answers checks, by what endpoints ran and which responses callers got, that no response belongs to another request, that no request
// runs twice that must not, and that a request which was reported as not run never runs. It may be used by any goroutine. An execution may
// be recorded after the response to its caller. The zero value is usable.
type Answers struct {
	mu         sync.Mutex
	requests   map[string]*recordedRequest
	violations []string // at most mostBreaks
	count      int
}

// Response is the part of a response that is compared.
type Response struct {
	Status     int
	Seal, Body string
}

// recordedRequest is what is known of one request.
type recordedRequest struct {
	atMostOnce    bool       // whether it must run at most once
	executions    []Response // the response of each execution
	notExecutedBy string     // the response by which its caller knows that it has not run and never will; "" for none
}

// violate records a violation. The caller holds a.mu.
func (a *Answers) violate(id, format string, args ...any) {
	if a.count++; a.count <= maxViolations {
		a.violations = append(a.violations, id+": "+fmt.Sprintf(format, args...))
	}
}

// RecordRequest records that a caller sends a request, and whether it must run at most once.
func (a *Answers) RecordRequest(id string, once bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[string]*recordedRequest{}
	}
	a.requests[id] = &recordedRequest{atMostOnce: once}
}

// RecordExecution records that an endpoint began to execute a request, and its response.
func (a *Answers) RecordExecution(id string, g Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.requests[id]
	if q == nil {
		a.violate(id, "runs, and nobody has asked for it")
		return
	}
	if q.executions = append(q.executions, g); q.atMostOnce && len(q.executions) > 1 {
		a.violate(id, "runs %d times, and may once", len(q.executions))
	}
	if q.notExecutedBy != "" {
		a.violate(id, "runs, and its caller was told %s", q.notExecutedBy)
	}
}

// RecordNotExecuted records that a request was reported as not run for certain.
func (a *Answers) RecordNotExecuted(id, by string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notExecuted(id, by)
}

func (a *Answers) notExecuted(id, by string) {
	q := a.requests[id]
	if q.notExecutedBy = by; len(q.executions) > 0 {
		a.violate(id, "its caller was told %s, and it had run", by)
	}
}

// promisesNotExecuted reports whether a status says that a request has not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// RecordResponse records the final response that a caller got. A response with a seal, and every success, must be one that an endpoint
// gave to that request.
func (a *Answers) RecordResponse(id string, got Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.requests[id]
	if q == nil {
		a.violate(id, "answered, and nobody has asked")
		return
	}
	if q.atMostOnce && promisesNotExecuted(got.Status) {
		a.notExecuted(id, fmt.Sprint(got.Status))
	}
	if got.Seal == "" && got.Status/100 != 2 {
		return
	}
	for _, g := range q.executions {
		if g == got {
			return
		}
	}
	a.violate(id, "its caller got %+v, and endpoints gave it %+v", got, q.executions)
}

// Violations returns the first violations, and the number of all.
func (a *Answers) Violations() ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.violations, a.count
}
