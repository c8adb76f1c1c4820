package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"milletmast/balancer"
	"milletmast/internal/exchange"
	"milletmast/internal/wire"
)

// AttemptResult is the result of an attempt at a server of a service.
type AttemptResult struct {
	Outcome       balancer.Outcome // for the decision module
	Reply         *Reply           // for the client; nil for none
	ServerFailure bool             // Reply is a failure of the server, used if no later attempt succeeds
	Final         bool             // the request must not be retried
}

// ServiceRequest is a request to a service. The service decides to which server the request is sent, and when.
type ServiceRequest struct {
	Class            uint16
	Deadline         time.Time // of the final response
	MaxAttempts      int       // 0 for the limit of the settings
	PriorityWeight   float64   // value of this request relative to others; 0 for that of the class
	PreferredServers []string  // names of the servers to try first, in this order

	// Attempt makes one attempt. It runs in a goroutine of its own; attempts of a request do not overlap.
	Attempt func(a *ServiceAttempt) AttemptResult
}

// ServiceAttempt is one attempt of a request.
type ServiceAttempt struct {
	Ctx      context.Context
	Server   string // name of the server
	Addr     string
	Number   int // number of attempts before this one
	Deadline time.Time
	upstream *upstream
	attempt  *attempt
	endpoint *endpoint
}

// RoundTrip sends a request to the server and returns the outcome, and the response of a completed exchange.
func (s *ServiceAttempt) RoundTrip(ex *Exchange) (exchange.Outcome, *Reply) {
	return s.upstream.roundTrip(s.attempt, s.endpoint, ex, s.Deadline)
}

// forwardedRequest adapts a ServiceRequest to the loop, which sends its attempts.
type forwardedRequest struct {
	request  *ServiceRequest
	attempts int  // number of attempts made
	final    bool // the request must not be retried
}

func (f *forwardedRequest) send(u *upstream, a *attempt, e *endpoint, deadline time.Time) (balancer.Outcome, *response) {
	defer a.cancel()
	u.mu.Lock()
	uid := e.uid
	u.mu.Unlock()
	number := f.attempts
	f.attempts++
	result := f.request.Attempt(&ServiceAttempt{
		Ctx: a.ctx, Server: uid, Addr: e.addr, Number: number, Deadline: deadline, upstream: u, attempt: a, endpoint: e,
	})
	f.final = f.final || result.Final
	if result.Reply == nil {
		return result.Outcome, nil
	}
	reply := result.Reply.toResponse()
	reply.isServerFailure = result.ServerFailure
	return result.Outcome, reply
}

func (f *forwardedRequest) duration(sent time.Time) time.Duration { return time.Since(sent) }

func (f *forwardedRequest) isNotRepeatable() bool { return f.final }

func (f *forwardedRequest) isUnbounded() bool { return false }

// Service distributes the requests of one service. It consists of a decision module, its event loop and the connections to the
// servers.
type Service struct {
	loop     *eventLoop
	upstream *upstream
	stopping sync.Once
}

// ServiceEndpoint is one server of a service.
type ServiceEndpoint struct {
	Name, Addr, Zone string
	Draining         bool
	Backup           bool      // used only for requests that no other server can take
	Weight           float64   // relative load until the server is measured; 0 for none
	Started          time.Time // start of its process; zero for long ago
}

// NewService returns a running service with at most maxConns connections. Zones are the names of the zones that the settings refer
// to by number; learned is the learned state of an earlier module, or nil. The error says which setting is invalid.
func NewService(settings balancer.Settings, zones []string, seed uint64, maxConns int, learned *balancer.LearnedState) (*Service, error) {
	s := &Service{upstream: newUpstream(settings.Limits, 0, maxConns)}
	var err error
	if s.loop, err = newEventLoop(&Config{Seed: seed, Site: wire.Site{Settings: settings, Zones: zones}}, s.upstream); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	if learned != nil {
		s.loop.balancer.Import(*learned)
	}
	go s.loop.run()
	return s, nil
}

// SetEndpoints replaces the list of servers. Replicas is the number of senders that share them, rank the number of this one, from 0.
func (s *Service) SetEndpoints(endpoints []ServiceEndpoint, replicas, rank int) {
	list := List{Full: true}
	for _, endpoint := range endpoints {
		target := Target{
			UID:      endpoint.Name,
			Endpoint: endpoint.Addr,
			Zone:     endpoint.Zone,
			State:    stateReady,
			Weight:   endpoint.Weight,
			Backup:   endpoint.Backup,
		}
		if endpoint.Draining {
			target.State = stateTerminating
		}
		if !endpoint.Started.IsZero() {
			target.BootMS = float64(endpoint.Started.UnixMicro()) / 1000
		}
		list.Targets = append(list.Targets, target)
	}
	s.loop.post(func() {
		s.loop.replicas, s.loop.rank = replicas, rank
		s.loop.applyList(list, balancer.ListFull)
	})
}

// Do sends a request and returns the final response; ok is false if ctx or the service ended before there was one.
func (s *Service) Do(ctx context.Context, request *ServiceRequest) (r Reply, ok bool) {
	responded := make(chan response, 1)
	c := &call{forwarded: &forwardedRequest{request: request}, respond: func(r response) { responded <- r }}
	c.http.fromListener = true
	now := time.Now()
	c.timeout = inMillis(request.Deadline.Sub(now))
	c.event = balancer.Event{Class: request.Class, MaxAttempts: request.MaxAttempts, PriorityWeight: request.PriorityWeight}
	c.setDue(s.loop.toMillis(now))
	s.loop.post(func() {
		for _, name := range request.PreferredServers {
			c.event.PreferredServers = append(c.event.PreferredServers, s.loop.serverIDs.id(name))
		}
		s.loop.startCall(c)
	})
	select {
	case final := <-responded:
		return *replyOf(&final), true
	case <-ctx.Done():
		s.loop.post(func() { s.loop.clientLeft(c) })
		return Reply{}, false
	case <-s.loop.stopped:
		final, ok := pollResponse(responded)
		return *replyOf(&final), ok
	}
}

// replyOf converts a response of the loop to a Reply.
func replyOf(r *response) *Reply {
	return &Reply{Status: r.status, Header: r.header, Body: r.body, RetryAfter: r.retryAfter}
}

// LearnedState returns the state that the decision module has learned about its servers.
func (s *Service) LearnedState() (learned balancer.LearnedState) {
	s.loop.do(func() { learned = s.loop.balancer.Export() })
	return learned
}

// RespondToAll sends a final response to every open request at once. Requests that were not executed and never will be are rejected.
func (s *Service) RespondToAll() { s.loop.do(s.loop.answerAll) }

// Shutdown ends the service once it has no open requests, at the deadline, or when ctx ends. Requests that are still open get a
// final response. It returns once all goroutines of the service have ended. It may be called more than once, also at the same time.
func (s *Service) Shutdown(ctx context.Context, deadline time.Time) {
	done := make(chan struct{})
	var check func()
	check = func() {
		if len(s.loop.calls) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			defer close(done)
			s.loop.answerAll()
			return
		}
		time.AfterFunc(shutdownPollInterval, func() { s.loop.post(check) })
	}
	s.loop.post(check)
	select {
	case <-done:
	case <-s.loop.stopped: // by another call
	}
	s.stopping.Do(func() { close(s.loop.stop) })
	<-s.loop.stopped
	s.loop.attempts.Wait()
	s.upstream.close()
	slog.Debug("close service")
}

// shutdownPollInterval is the time between two checks of Shutdown for open requests.
const shutdownPollInterval = 50 * time.Millisecond
