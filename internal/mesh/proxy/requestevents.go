package proxy

import (
	"strconv"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/mesh/admission"
	"milletmast/internal/mesh/eventlog"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/sidecar"
)

// The events of a request, as "proxy explain" prints them: one line of key=value pairs each. The details are concatenated
// without a formatter, because every request runs this code.

// recordReceived records that a client's request was matched to a route.
func (p *Proxy) recordReceived(id string, route *meshconfig.Route, service string) {
	version := strconv.FormatUint(p.routing.Load().config.Version, 10)
	p.recordEvent(id, "event=received route="+route.Name+" service="+service+" version=r"+version)
}

// recordClientGone records that the client closed its connection or cancelled its stream.
func (p *Proxy) recordClientGone(id string) { p.recordEvent(id, "event=client_gone") }

// recordAnswered records the response to a client, and the number of attempts.
func (p *Proxy) recordAnswered(id string, status int, out *outboundRequest) {
	attempts, reached := strconv.Itoa(int(out.attempts.Load())), strconv.Itoa(int(out.reached.Load()))
	p.recordEvent(id, "event=answered status="+strconv.Itoa(status)+" attempts="+attempts+" reached="+reached)
}

// recordAttempt records an attempt: its outcome at the proxy beside the endpoint (headers.go), and its result for the
// decision module.
func (p *Proxy) recordAttempt(id string, attempt *sidecar.ServiceAttempt, outcome string, result balancer.Outcome) {
	p.recordEvent(id, "event=attempt instance="+attempt.Server+" addr="+attempt.Addr+" outcome="+strconv.Quote(outcome)+
		" result="+attemptResultNames[result])
}

// attemptResultNames are the names of the outcomes of an attempt for the decision module.
var attemptResultNames = [...]string{
	balancer.OK:            "ok",
	balancer.Error:         "error",
	balancer.NotExecuted:   "not_executed",
	balancer.Timeout:       "timeout",
	balancer.ConnectFailed: "connect_failed",
	balancer.Reset:         "reset",
	balancer.Canceled:      "final_response",
	balancer.NotSent:       "not_sent",
}

// recordRejected records that admission control rejected a request for the endpoint beside this proxy.
func (p *Proxy) recordRejected(req *inboundRequest, decision admission.Decision) {
	p.recordEvent(req.id, "event=rejected instance="+req.instanceID+" decision="+decision.String())
}

// recordForwarded records the outcome of a request that was sent to the endpoint beside this proxy.
func (p *Proxy) recordForwarded(req *inboundRequest, outcome exchange.Outcome) {
	p.recordEvent(req.id, "event=forwarded instance="+req.instanceID+" outcome="+outcome.String())
}

// recordEvent records an event of a request that has an id.
func (p *Proxy) recordEvent(id, detail string) {
	if id != "" {
		p.events.Add(eventlog.Event{At: time.Now(), RequestID: id, Detail: detail})
	}
}
