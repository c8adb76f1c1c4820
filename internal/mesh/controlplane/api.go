package controlplane

import (
	"net/http"
	"net/url"
	"time"

	"milletmast/internal/mesh/controlapi"
	"milletmast/internal/mesh/controlstate"
)

// readTimeout is the time for reading the configuration. By the protocol, the caller turns to another control plane after a second of
// silence: without a quorum it gets an answer before that.
const readTimeout = 800 * time.Millisecond

// handleCall runs a decoded call of the control API and passes its result to done.
func (s *Server) handleCall(c controlapi.Command, done func(controlapi.Result)) {
	run := func(command controlstate.Command) {
		receivedAt := time.Now()
		s.loop.Post(func() { s.runCommand(&command, receivedAt, done) })
	}
	switch c := c.(type) {
	case controlapi.ReplaceConfig:
		run(controlstate.Command{Kind: controlstate.PutConfig, Body: c.Body})
	case controlapi.ReadConfig:
		run(controlstate.Command{Kind: controlstate.ReadConfig, Timeout: readTimeout})
	case controlapi.BeginEvacuation:
		s.runWithTicket(
			controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: c.Zone, Timeout: ticketLifetime},
			"Begin",
			c.Ticket,
			done,
		)
	case controlapi.FinishEvacuation:
		s.runWithTicket(
			controlstate.Command{Kind: controlstate.FinishEvacuation, Zone: c.Zone, Timeout: ticketLifetime},
			"Finish",
			c.Ticket,
			done,
		)
	case controlapi.Readiness:
		done(controlapi.Result{Status: http.StatusOK})
	default: // heartbeats and deregistrations are served by the proxy beside the endpoint only
		done(controlapi.Result{Status: http.StatusServiceUnavailable, Body: []byte("the proxy beside the endpoint serves this call\n")})
	}
}

// runWithTicket runs an evacuation command if its caller presents a ticket. A caller without one is
// redirected here with a new one, as the call may be an old one that was delayed (see tickets).
func (s *Server) runWithTicket(command controlstate.Command, verb, ticket string, done func(controlapi.Result)) {
	path := "/api/Evacuation." + verb + "/" + url.PathEscape(command.Zone)
	s.loop.Post(func() {
		now := time.Now()
		switch {
		case ticket == "":
			done(
				controlapi.Result{
					Status:   http.StatusTemporaryRedirect,
					Location: path + "/" + s.tickets.issue(now, path),
					Body:     []byte("call again with this ticket: it shows that you are there\n"),
				},
			)
		case !s.tickets.redeem(now, ticket, path):
			done(
				controlapi.Result{
					Status: http.StatusServiceUnavailable,
					Body:   []byte("the ticket is unknown or has expired: nothing was ordered\n"),
				},
			)
		default:
			s.runCommand(&command, now, done)
		}
	})
}

// runCommand has the configuration store run a command. The caller gets the result once all
// connected proxies have applied it, or after ackTimeout.
func (s *Server) runCommand(command *controlstate.Command, receivedAt time.Time, done func(controlapi.Result)) {
	s.store.runCommand(command, receivedAt, func(r *controlstate.Result) {
		if r.Status == controlstate.Completed && command.Kind != controlstate.ReadConfig {
			s.awaitProxies(func() { done(resultOf(r)) })
			return
		}
		done(resultOf(r))
	})
}

// resultOf returns the HTTP result of a command.
func resultOf(r *controlstate.Result) controlapi.Result {
	switch r.Status {
	case controlstate.Completed:
		return controlapi.Result{Status: http.StatusOK, Body: r.Body, JSON: len(r.Body) > 0}
	case controlstate.Rejected:
		return controlapi.Result{Status: http.StatusBadRequest, Body: []byte(r.Reason + "\n")}
	case controlstate.Conflict:
		return controlapi.Result{Status: http.StatusConflict, Body: []byte(r.Reason + "\n")}
	case controlstate.NotFound:
		return controlapi.Result{Status: http.StatusServiceUnavailable, Body: []byte(r.Reason + "\n")}
	}
	return controlapi.Result{Status: http.StatusServiceUnavailable, Body: []byte(r.Reason + "\n")}
}
