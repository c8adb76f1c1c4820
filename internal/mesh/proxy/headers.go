package proxy

import (
	"net/http"
	"strings"

	"milletmast/internal/exchange"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/sidecar"
)

// The headers that proxies exchange. None of them is accepted from a client or sent to an endpoint.
// Their names are fixed, as proxies are upgraded one at a time.
const (
	outcomeHeader          = "Pilot-Word"
	queueTimeHeader        = "Pilot-Patience" // how long the request may be queued, in milliseconds
	priorityHeader         = "Pilot-Rank"
	nonRepeatableHeader    = "Pilot-Once"   // the request may run once only
	waitDuringWarmupHeader = "Pilot-Stays"  // the request may be queued at an endpoint that is warming up
	admitFirstHeader       = "Pilot-Asks"   // the body follows once the request is admitted
	indirectFailureHeader  = "Pilot-Behind" // of a response: a call that the endpoint made may have caused the failure
	meshHeaderPrefix       = "Pilot-"

	idHeader          = "X-Attempt-Id"
	deadlineHeader    = "X-Deadline-Remaining"
	targetHeader      = "X-Target-Instance"
	callerHeader      = "X-Caller-Service"
	sealHeader        = "X-Server-Seal"
	notExecutedHeader = "X-Not-Executed"
	instanceHeader    = "X-Responding-Instance"
	warmupHeader      = "X-Warmup-Remaining"
)

// The outcomes of a request at the proxy beside the endpoint, as far as they are certain. A rejection
// is outcomeRejectedPrefix and the decision. Their texts are fixed, as proxies are upgraded one at
// a time.
const (
	outcomeAnswered       = "answer" // the response is the endpoint's
	outcomeNeverReached   = "never"  // the request never reached the endpoint
	outcomeLost           = "lost"   // the endpoint had the request, and there was no valid response
	outcomeTimedOut       = "late"   // the endpoint had the request, and there was no response in time
	outcomeRejectedPrefix = "turned "
)

func outcomeReply(status int, outcome, text string) sidecar.Reply {
	return sidecar.Reply{Status: status, Header: http.Header{outcomeHeader: {outcome}}, Body: []byte(text)}
}

// stripMeshHeaders removes the headers that proxies exchange.
func stripMeshHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, meshHeaderPrefix) {
			h.Del(name)
		}
	}
}

// isMarkedNotExecuted reports whether a response of an endpoint states, by notExecutedHeader or the
// status 421, that the request was not executed and will not be. A successful response cannot state it.
func isMarkedNotExecuted(r *sidecar.Reply) bool {
	return r.Status >= http.StatusBadRequest && r.Header.Get(notExecutedHeader) != "" || r.Status == http.StatusMisdirectedRequest
}

// classifyResult returns the result of an admitted call for outlier detection; isKnown is false if the
// call says nothing about the health of the endpoint.
func classifyResult(exchangeOutcome exchange.Outcome, reply *sidecar.Reply) (result outlier.CallResult, isKnown bool) {
	switch {
	case exchangeOutcome == exchange.Canceled, exchangeOutcome == exchange.Completed && reply.Header.Get(indirectFailureHeader) != "":
		return 0, false
	case exchangeOutcome != exchange.Completed,
		reply.Status >= 500 && reply.Header.Get(notExecutedHeader) == "",
		reply.Status < 300 && reply.Header.Get(sealHeader) == "":
		return outlier.Failed, true
	}
	return outlier.Succeeded, true
}
