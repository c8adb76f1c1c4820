package rules

import (
	"fmt"
	"net/http"
	"sync"
)

// Answers checks the executions at endpoints and the responses to callers: no response belongs to another request, no request that must
// run at most once runs twice, and a request that was reported as not executed never runs. It is safe for concurrent use. An execution may
// be recorded after the response to its caller. The zero value is usable.
type Answers struct {
	mu         sync.Mutex
	requests   map[string]*recordedRequest
	violations []string // the first maxViolations
	count      int      // of all violations
}

// Response is the part of a response that is compared.
type Response struct {
	Status int
	Seal   string // identifies the execution that the response belongs to; "" for none
	Body   string
}

// recordedRequest is the recorded history of one request.
type recordedRequest struct {
	atMostOnce    bool       // whether it must run at most once
	executions    []Response // the response of each execution
	notExecutedBy string     // the response that promised its caller that it has not run and never will; "" for none
}

// recordViolation records a violation. The caller holds a.mu.
func (a *Answers) recordViolation(id, format string, args ...any) {
	if a.count++; a.count <= maxViolations {
		a.violations = append(a.violations, id+": "+fmt.Sprintf(format, args...))
	}
}

// RecordRequest records that a caller sends a request, and whether it must run at most once.
func (a *Answers) RecordRequest(id string, atMostOnce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[string]*recordedRequest{}
	}
	a.requests[id] = &recordedRequest{atMostOnce: atMostOnce}
}

// RecordExecution records that an endpoint began to execute a request, and its response.
func (a *Answers) RecordExecution(id string, response Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.requests[id]
	if q == nil {
		a.recordViolation(id, "executed, and never requested")
		return
	}
	if q.executions = append(q.executions, response); q.atMostOnce && len(q.executions) > 1 {
		a.recordViolation(id, "executed %d times, and at most once is allowed", len(q.executions))
	}
	if q.notExecutedBy != "" {
		a.recordViolation(id, "executed, and its caller got %s, which promises that it is not", q.notExecutedBy)
	}
}

// RecordNotExecuted records that a response reported a request as certainly not executed.
func (a *Answers) RecordNotExecuted(id, by string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordNotExecuted(id, by)
}

// recordNotExecuted is RecordNotExecuted; the caller holds a.mu.
func (a *Answers) recordNotExecuted(id, by string) {
	q := a.requests[id]
	if q.notExecutedBy = by; len(q.executions) > 0 {
		a.recordViolation(id, "its caller got %s, which promises that it was not executed, and it was", by)
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
// returned for that request.
func (a *Answers) RecordResponse(id string, got Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.requests[id]
	if q == nil {
		a.recordViolation(id, "answered, and never requested")
		return
	}
	if q.atMostOnce && promisesNotExecuted(got.Status) {
		a.recordNotExecuted(id, fmt.Sprint(got.Status))
	}
	if got.Seal == "" && got.Status/100 != 2 {
		return
	}
	for _, g := range q.executions {
		if g == got {
			return
		}
	}
	a.recordViolation(id, "its caller got %+v, and endpoints returned %+v", got, q.executions)
}

// Violations returns the first violations, and the number of all.
func (a *Answers) Violations() ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.violations, a.count
}
