package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/backoff"

	"milletmast/internal/control/agentpb"
	"milletmast/internal/fleet"
	"milletmast/internal/operator"
)

// reconnectBackoff is short, as a rollout waits for agents that restart.
var reconnectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	stepInterval          = 50 * time.Millisecond  // between two ticks of the state machine
	progressInterval      = 200 * time.Millisecond // between two calls of Progress
	maxConcurrentRequests = 32                     // more requests would wait at the agents and time out
	eventQueueLength      = 1024
)

// Errors of a rollout.
var (
	// ErrTakenOver means that another tool has claimed the agents after this one.
	ErrTakenOver = errors.New("another tool has taken over the rollout")
	// ErrOtherRollout means that a rollout with another id has not ended.
	ErrOtherRollout = errors.New("another rollout is under way")
)

// Rollout carries out one rollout over agents: it owns a fleet.Rollout, carries out its actions, and passes the responses
// to it as events.
type Rollout struct {
	Agents       Agents
	Plan         fleet.Plan // without Instances, which follow from Selector
	Selector     Selector
	Config       []byte               // text of the operator file
	WaitForOther bool                 // wait for another rollout to end instead of failing
	Progress     func(*fleet.Rollout) // called every progressInterval, and at the end
	Log          func(string)         // called with each progress message

	epoch        uint64
	events       chan fleet.Event
	requestSlots chan struct{} // bounds concurrent requests for reports

	mu              sync.Mutex
	agentOfInstance map[string]*Agent // by instance name
	latestReport    map[string]uint64 // sequence number of the latest report, by instance name
	stopErr         error             // why the rollout cannot continue
	seenCommands    map[string]bool   // commands of the agents' ledgers that were handled
	requesting      map[string]bool   // instances with a pending request for a report
}

// Result is the outcome of a rollout.
type Result struct {
	Phase             fleet.Phase
	Reason            string
	Instances         []fleet.InstanceStatus
	UnreachableAgents []string // agents that did not respond at the start; their instances are unknown
	OK                bool     // every selected instance has confirmed, and every agent has responded
}

// Run carries the rollout out until it ends. If the agents hold an unfinished rollout of the same id, Run continues that
// one with its plan. Errors are ErrTakenOver, ErrOtherRollout, an invalid plan, agents that do not respond, or the end of
// ctx.
func (r *Rollout) Run(ctx context.Context) (*Result, error) {
	r.Plan.Target = operator.TextHash(r.Config)
	r.latestReport, r.seenCommands, r.requesting = map[string]uint64{}, map[string]bool{}, map[string]bool{}
	r.events, r.requestSlots = make(chan fleet.Event, eventQueueLength), make(chan struct{}, maxConcurrentRequests)
	requestSentAt := nowMs()
	replies := r.Agents.ListInstances(ctx, true)
	members, agentOf, unreachable := SelectInstances(replies, &r.Selector)
	r.agentOfInstance = agentOf
	result := &Result{}
	for _, reply := range unreachable {
		result.UnreachableAgents = append(result.UnreachableAgents, reply.Agent.Name)
	}
	for _, m := range members {
		if slices.Contains(r.Plan.Instances, m.Name) {
			return nil, fmt.Errorf("two agents have an instance %s", m.Name)
		}
		r.Plan.Instances = append(r.Plan.Instances, m.Name)
	}
	if err := r.claim(ctx, replies); err != nil {
		return nil, err
	}
	// The plan may be one that the agents held. Then it includes the instances of agents that do not respond now.
	rollout, err := fleet.New(r.Plan, nowMs())
	if err != nil {
		return nil, err
	}
	r.run(ctx, rollout, members, requestSentAt)
	if err := r.stopError(); err != nil {
		return nil, err
	}
	if !rollout.Ended() {
		return nil, fmt.Errorf("interrupted: run it again with --id %s to continue", r.Plan.ID)
	}
	result.Phase, result.Reason = rollout.Phase()
	result.Instances = rollout.Instances()
	result.OK = rollout.Succeeded() && len(result.UnreachableAgents) == 0
	r.reportEnd(result)
	return result, nil
}

// nowMs returns the Unix time in milliseconds, the clock of the state machine.
func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// stopError returns why the rollout cannot continue; nil if it can.
func (r *Rollout) stopError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopErr
}

// run steps the rollout until it ends, cannot continue, or ctx ends. It starts from the reports of members, which were
// requested at requestSentAt, and returns once all its goroutines have ended.
func (r *Rollout) run(ctx context.Context, rollout *fleet.Rollout, members []*agentpb.Member, requestSentAt float64) {
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	goroutines.Go(func() { r.watchCommands(ctx) })
	goroutines.Go(func() {
		for _, m := range members {
			r.postReport(ctx, requestSentAt, m)
		}
	})
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	var progressAt time.Time
	for !rollout.Ended() {
		event := fleet.Event{Kind: fleet.Tick}
		select {
		case <-ctx.Done():
			return
		case event = <-r.events:
		case <-tick.C:
		}
		for _, action := range rollout.Step(nowMs(), &event, nil) {
			r.carryOut(ctx, action, &goroutines)
		}
		if r.stopError() != nil {
			return
		}
		if time.Since(progressAt) > progressInterval {
			progressAt = time.Now()
			r.Progress(rollout)
		}
	}
	r.Progress(rollout)
}

// carryOut carries out an action of the state machine. Requests and changes run in their own goroutines.
func (r *Rollout) carryOut(ctx context.Context, action fleet.Action, goroutines *sync.WaitGroup) {
	switch action.Kind {
	case fleet.LogProgress:
		r.Log(action.Text)
	case fleet.RequestReport:
		r.mu.Lock()
		pending := r.requesting[action.Instance]
		r.requesting[action.Instance] = true
		r.mu.Unlock()
		if !pending {
			goroutines.Go(func() { r.requestReport(ctx, action.Instance) })
		}
	case fleet.Apply:
		goroutines.Go(func() { r.apply(ctx, action) })
	}
}

// post sends an event to the goroutine that owns the state machine.
func (r *Rollout) post(ctx context.Context, event fleet.Event) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}
