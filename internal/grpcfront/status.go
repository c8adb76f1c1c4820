package grpcfront

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"milletmast/internal/h2"
)

// Code is a status code of gRPC (google.rpc.Code).
type Code int

// The codes of gRPC.
const (
	OK Code = iota
	Cancelled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
)

// Outcome is what a status implies for a call. It is the same for HTTP/1.1 and gRPC.
type Outcome uint8

// The outcomes.
const (
	Served          Outcome = iota // a response, or an error of the caller, which every server would return
	Failed                         // the call may have been executed; the caller gets the server's response if no retry succeeds
	FailedRetriable                // like Failed, but the status allows the caller to retry: it gets Unknown instead (HTTP: 502)
)

// mapping maps a code of gRPC to a status of HTTP/1.1 and an outcome.
type mapping struct {
	code    Code
	status  int     // of HTTP/1.1
	outcome Outcome // of a server's response with this code
}

// statusClientClosedRequest is the status that servers log if the client has closed the connection; it is not registered.
const statusClientClosedRequest = 499

// mappings is the mapping for all responses. The sidecar's own responses are looked up by status, a server's by code. The first
// code of a status is the one that callers get. docs/operate/grpc.md shows the same table.
var mappings = [...]mapping{
	{OK, http.StatusOK, Served},
	{InvalidArgument, http.StatusBadRequest, Served},
	{FailedPrecondition, http.StatusBadRequest, Served},
	{OutOfRange, http.StatusBadRequest, Served},
	{Unauthenticated, http.StatusUnauthorized, Served},
	{PermissionDenied, http.StatusForbidden, Served},
	{Unimplemented, http.StatusNotFound, Served},
	{NotFound, http.StatusNotFound, Served},
	{AlreadyExists, http.StatusConflict, Served},
	{Aborted, http.StatusConflict, Served},
	{Cancelled, statusClientClosedRequest, Served},
	{ResourceExhausted, http.StatusRequestEntityTooLarge, Failed},
	{Unavailable, http.StatusServiceUnavailable, FailedRetriable},
	{Unknown, http.StatusBadGateway, Failed},
	{Internal, http.StatusInternalServerError, Failed},
	{DataLoss, http.StatusInternalServerError, Failed},
	{DeadlineExceeded, http.StatusGatewayTimeout, Failed},
}

// StatusOf returns the HTTP status of a code and the outcome of a server's response with it. A code that is not in the table is
// mapped as Unknown.
func StatusOf(c Code) (status int, outcome Outcome) {
	for _, m := range mappings {
		if m.code == c {
			return m.status, m.outcome
		}
	}
	return StatusOf(Unknown)
}

// CodeOf returns the code for an HTTP status, either one of the sidecar or one of a server that does not speak gRPC.
func CodeOf(status int) Code {
	for _, m := range mappings {
		if m.status == status {
			return m.code
		}
	}
	switch {
	case status/100 == 2:
		return OK
	case status == http.StatusTooManyRequests:
		return Unavailable
	case status/100 == 4 || status/100 == 3:
		return InvalidArgument
	}
	return Unknown
}

// parseCode parses grpc-status (PROTOCOL-HTTP2.md of gRPC, "Status"); false if it is absent or invalid.
func parseCode(fields []h2.Field) (Code, bool) {
	n, err := strconv.ParseUint(h2.FieldValue(fields, "grpc-status"), 10, 16)
	return Code(n), err == nil
}

// statusTrailers returns the trailers of one of the sidecar's own responses. forbidRetry means that clients must not retry.
func statusTrailers(code Code, message string, retryAfter time.Duration, forbidRetry bool) []h2.Field {
	fields := []h2.Field{{Name: "grpc-status", Value: strconv.Itoa(int(code))}}
	if message != "" {
		fields = append(fields, h2.Field{Name: "grpc-message", Value: encodeStatusMessage(message)})
	}
	switch {
	case retryAfter > 0: // gRFC A6
		fields = append(fields, h2.Field{Name: "grpc-retry-pushback-ms", Value: strconv.FormatInt(max(retryAfter.Milliseconds(), 1), 10)},
			h2.Field{Name: "retry-after", Value: strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64)})
	case forbidRetry:
		fields = append(fields, noRetry)
	}
	return fields
}

// noRetry disables automatic retries of clients, whatever codes they are configured to retry (gRFC A6).
var noRetry = h2.Field{Name: "grpc-retry-pushback-ms", Value: "-1"}

// encodeStatusMessage percent-encodes a message as the Status-Message of gRPC.
func encodeStatusMessage(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c >= ' ' && c <= '~' && c != '%' {
			b.WriteByte(c)
		} else {
			b.WriteString("%" + strings.ToUpper(string("0123456789abcdef"[c>>4])+string("0123456789abcdef"[c&15])))
		}
	}
	return b.String()
}
