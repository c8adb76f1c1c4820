package grpcfront

import (
	"strconv"

	"milletmast/internal/h2"
)

// Classify returns the HTTP status and the outcome of a server's response. last holds its trailers, or its header list if there
// are none. A response without a gRPC status is classified by its HTTP status (http-grpc-status-mapping.md of gRPC); ok is
// false for a success without a gRPC status, which is an incomplete response.
func Classify(header, last []h2.Field) (status int, outcome Outcome, ok bool) {
	if code, ok := parseCode(last); ok {
		status, outcome = StatusOf(code)
		return status, outcome, true
	}
	httpStatus, err := strconv.Atoi(h2.FieldValue(header, ":status"))
	if err != nil || httpStatus/100 == 2 {
		return 0, Failed, false
	}
	status, outcome = StatusOf(CodeOf(httpStatus))
	return status, outcome, true
}

// IsMarkedNotExecuted reports whether a trailers-only response has the header field named by mark, with which a server declares that
// it has not executed the call.
func IsMarkedNotExecuted(header []h2.Field, mark string) bool {
	if mark == "" || h2.FieldValue(header, mark) != "1" {
		return false
	}
	code, _ := parseCode(header)
	return code == Unavailable || code == ResourceExhausted || code == DeadlineExceeded
}

// WithoutRetryHints changes a server's failure response so that the caller does not retry a call that may have been executed:
// it removes hints to retry, and replaces a code that allows a retry with Unknown.
func WithoutRetryHints(r *Response, outcome Outcome) *Response {
	last := &r.Trailers
	if *last == nil {
		last = &r.Header
	}
	out := make([]h2.Field, 0, len(*last)+1)
	for _, f := range *last {
		switch {
		case f.Name == "grpc-retry-pushback-ms", f.Name == "retry-after":
			continue
		case f.Name == "grpc-status" && outcome == FailedRetriable:
			f.Value = strconv.Itoa(int(Unknown))
		}
		out = append(out, f)
	}
	*last = append(out, noRetry)
	return r
}
