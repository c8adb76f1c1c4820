package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"whinknot/internal/control/agentpb"
	"whinknot/internal/fleet"
	"whinknot/internal/operator"
)

// quickBackoff is for agents that come back: a rollout waits for them.
var quickBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	stepEvery  = 50 * time.Millisecond
	asksAtOnce = 32 // more would wait in the agents until their time is up
)

// Errors of a rollout.
var (
	ErrTakenOver = errors.New("another tool has taken the rollout over")
	ErrBusy      = errors.New("another rollout is under way")
)

// Rollout drives one rollout over agents.
type Rollout struct {
	Agents   Agents
	Plan     fleet.Plan // without Instances
	Select   Selector
	Text     []byte // of the operator file
	Queue    bool   // wait for another rollout to end
	Progress func(*fleet.Rollout)
	Notes    func(string)

	epoch  uint64
	at     map[string]*Agent
	orders map[string]uint64 // latest word heard of each instance
	events chan fleet.Event
	stop   error           // why it cannot go on; guarded by mu
	seen   map[string]bool // commands
	asking map[string]bool // instances that are being asked
	slots  chan struct{}
	mu     sync.Mutex
}

// Result is how a rollout ended.
type Result struct {
	Phase  fleet.Phase
	Reason string
	Rows   []fleet.Row
	Silent []string // agents that did not answer at the start: their instances are not known
	OK     bool     // every selected instance has confirmed, and no agent was silent
}

// Run drives the rollout until it ends. With the id of one that was interrupted it goes on with that one: its plan is the
// one that the agents hold.
func (r *Rollout) Run(ctx context.Context) (*Result, error) {
	r.Plan.Target = operator.TextHash(r.Text)
	r.orders, r.seen, r.events = map[string]uint64{}, map[string]bool{}, make(chan fleet.Event, 1024)
	r.asking, r.slots = map[string]bool{}, make(chan struct{}, asksAtOnce)
	heard := r.Agents.Ask(ctx, true)
	list, at, silent := Chosen(heard, &r.Select)
	r.at = at
	result := &Result{}
	for _, s := range silent {
		result.Silent = append(result.Silent, s.Agent.Name)
	}
	for _, m := range list {
		if slices.Contains(r.Plan.Instances, m.Name) {
			return nil, fmt.Errorf("two agents have an instance %s", m.Name)
		}
		r.Plan.Instances = append(r.Plan.Instances, m.Name)
	}
	if err := r.claim(ctx, heard); err != nil {
		return nil, err
	}
	// Claiming may have taken over a plan; agents that are silent keep their instances in it, which are then unreachable.
	rollout, err := fleet.New(r.Plan, ms())
	if err != nil {
		return nil, err
	}
	steps, cancel := context.WithCancel(ctx)
	var flying sync.WaitGroup
	flying.Go(func() { r.commands(steps) })
	flying.Go(func() { // what was heard already need not be asked again
		for _, m := range list {
			r.tell(steps, m)
		}
	})
	r.loop(steps, rollout, &flying)
	cancel()
	flying.Wait()
	r.mu.Lock()
	stop := r.stop
	r.mu.Unlock()
	if stop != nil {
		return nil, stop
	}
	if !rollout.Ended() {
		return nil, fmt.Errorf("interrupted: run it again with --id %s to go on", r.Plan.ID)
	}
	result.Phase, result.Reason = rollout.Phase()
	result.Rows = rollout.Rows()
	result.OK = rollout.Succeeded() && len(result.Silent) == 0
	r.end(result)
	return result, nil
}

func ms() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// claim makes this tool the one that may change things at the agents, by an epoch over all that they know.
func (r *Rollout) claim(ctx context.Context, heard []Heard) error {
	for {
		busy := ""
		r.epoch = 0
		r.endElsewhere(ctx, heard)
		for _, h := range heard {
			if h.Err != nil || h.Reply.Ledger == nil {
				continue
			}
			l := h.Reply.Ledger
			r.epoch = max(r.epoch, l.Epoch)
			if l.Rollout != "" && l.Rollout != r.Plan.ID && !l.Ended {
				busy = l.Rollout
			}
			if l.Rollout == r.Plan.ID && l.Plan != "" {
				var old fleet.Plan
				if err := json.Unmarshal([]byte(l.Plan), &old); err != nil {
					return fmt.Errorf("the plan that %s holds: %w", h.Agent.Name, err)
				}
				if old.Target != r.Plan.Target {
					return fmt.Errorf("rollout %s is of another configuration, %.12s: take another id", old.ID, old.Target)
				}
				r.Plan = old
			}
		}
		if busy == "" {
			break
		}
		if !r.Queue {
			return fmt.Errorf("%w: %s", ErrBusy, busy)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
		heard = r.Agents.Ask(ctx, false)
	}
	r.epoch++
	claimed := 0
	for _, h := range heard {
		if h.Err != nil {
			continue
		}
		if err := r.claimAt(ctx, h.Agent); err != nil {
			return fmt.Errorf("agent %s: %w", h.Agent.Name, err)
		}
		r.seen[h.Reply.Ledger.GetCommand()] = true
		claimed++
	}
	if claimed == 0 {
		return errors.New("no agent answers")
	}
	return nil
}

// endElsewhere ends a rollout at agents that were away when it ended: the others say so.
func (r *Rollout) endElsewhere(ctx context.Context, heard []Heard) {
	ended := map[string]bool{}
	for _, h := range heard {
		if h.Err == nil && h.Reply.Ledger.GetEnded() {
			ended[h.Reply.Ledger.Rollout] = true
		}
	}
	for _, h := range heard {
		if l := h.Reply.GetLedger(); h.Err == nil && l != nil && !l.Ended && ended[l.Rollout] && l.Rollout != r.Plan.ID {
			if _, err := h.Agent.End(ctx, &agentpb.EndRequest{Rollout: l.Rollout, Epoch: l.Epoch, Result: "ended while this agent was away"}); err == nil {
				l.Ended = true
			}
		}
	}
}

func (r *Rollout) claimAt(ctx context.Context, a *Agent) error {
	plan, err := json.Marshal(r.Plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, AskTime)
	defer cancel()
	_, err = a.Claim(ctx, &agentpb.ClaimRequest{Rollout: r.Plan.ID, Epoch: r.epoch, Target: r.Plan.Target, Plan: string(plan)})
	return err
}

// loop steps the rollout until it ends, it cannot go on, or the context ends.
func (r *Rollout) loop(ctx context.Context, rollout *fleet.Rollout, flying *sync.WaitGroup) {
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	var last time.Time
	for !rollout.Ended() {
		ev := fleet.Event{Kind: fleet.Tick}
		select {
		case <-ctx.Done():
			return
		case ev = <-r.events:
		case <-tick.C:
		}
		for _, a := range rollout.Step(ms(), &ev, nil) {
			switch a.Kind {
			case fleet.Note:
				r.Notes(a.Text)
			case fleet.Ask:
				r.mu.Lock()
				busy := r.asking[a.Instance]
				r.asking[a.Instance] = true
				r.mu.Unlock()
				if !busy {
					flying.Go(func() { r.ask(ctx, a.Instance) })
				}
			case fleet.Apply:
				flying.Go(func() { r.apply(ctx, a) })
			}
		}
		r.mu.Lock()
		stop := r.stop
		r.mu.Unlock()
		if stop != nil {
			return
		}
		if time.Since(last) > 200*time.Millisecond {
			last = time.Now()
			r.Progress(rollout)
		}
	}
	r.Progress(rollout)
}

func (r *Rollout) send(ctx context.Context, ev fleet.Event) {
	select {
	case r.events <- ev:
	case <-ctx.Done():
	}
}

// agentOf finds the agent of an instance; one that was silent at the start is looked for again.
func (r *Rollout) agentOf(ctx context.Context, name string) *Agent {
	r.mu.Lock()
	a := r.at[name]
	r.mu.Unlock()
	if a != nil {
		return a
	}
	for _, h := range r.Agents.Ask(ctx, false) {
		if h.Err != nil {
			continue
		}
		for _, m := range h.Reply.Members {
			if m.Name == name {
				r.mu.Lock()
				r.at[name] = h.Agent
				r.mu.Unlock()
				return h.Agent
			}
		}
	}
	return nil
}

// ask has an instance report through its agent.
func (r *Rollout) ask(ctx context.Context, name string) {
	defer func() {
		r.mu.Lock()
		delete(r.asking, name)
		r.mu.Unlock()
	}()
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-ctx.Done():
		return
	}
	a := r.agentOf(ctx, name)
	var reply *agentpb.ListReply
	err := errors.New("no agent has it")
	if a != nil {
		reply, err = a.ask(ctx, &agentpb.ListRequest{Name: name, Fresh: true})
	}
	if err != nil || len(reply.Members) != 1 {
		r.mu.Lock()
		order := r.orders[name]
		r.mu.Unlock()
		r.send(ctx, fleet.Event{Kind: fleet.Lost, Instance: name, Order: order})
		return
	}
	r.tell(ctx, reply.Members[0])
}

// tell passes on what an instance has said of itself.
func (r *Rollout) tell(ctx context.Context, m *agentpb.Member) {
	r.mu.Lock()
	r.orders[m.Name] = max(r.orders[m.Name], m.Order)
	r.mu.Unlock()
	if !m.InSight || m.Status == nil {
		r.send(ctx, fleet.Event{Kind: fleet.Lost, Instance: m.Name, Order: m.Order})
		return
	}
	st := m.Status
	r.send(ctx, fleet.Event{
		Kind: fleet.Reported, Instance: m.Name, Order: m.Order, Start: st.StartId, Hash: st.Hash,
		Health: fleet.Health{Served: st.Served, Refused: st.Refused, Failed: st.Failed, P99: st.P99Ms},
	})
}

var commands = map[string]fleet.EventKind{"pause": fleet.Pause, "resume": fleet.Resume, "abort": fleet.Abort, "rollback": fleet.RollBack}

// commands hears commands that were left at the agents, also while nothing is asked of instances.
func (r *Rollout) commands(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range r.Agents.Ask(ctx, false) {
			l := h.Reply.GetLedger()
			if h.Err != nil || l.GetRollout() != r.Plan.ID {
				continue
			}
			r.mu.Lock()
			fresh := !r.seen[l.Command]
			r.seen[l.Command] = true
			if l.Epoch > r.epoch {
				r.stop = ErrTakenOver
			}
			r.mu.Unlock()
			name, _, _ := strings.Cut(l.Command, ":")
			if kind, ok := commands[name]; ok && fresh {
				r.send(ctx, fleet.Event{Kind: kind})
			}
		}
	}
}

// apply has an instance take a configuration. What is not certain is left for the instance to say.
func (r *Rollout) apply(ctx context.Context, a fleet.Action) {
	at := r.agentOf(ctx, a.Instance)
	if at == nil {
		return
	}
	limit, cancel := context.WithTimeout(ctx, time.Duration(r.Plan.Timeout+1000)*time.Millisecond)
	defer cancel()
	req := &agentpb.ChangeRequest{Name: a.Instance, Hash: a.Hash, Rollout: r.Plan.ID, Epoch: r.epoch}
	if a.Hash == r.Plan.Target {
		req.Config = r.Text
	}
	reply, err := at.Change(limit, req)
	if status.Code(err) == codes.FailedPrecondition { // the agent was away when this tool claimed, or another one has
		if claimed := r.claimAt(ctx, at); claimed != nil && status.Code(claimed) == codes.FailedPrecondition {
			r.mu.Lock()
			r.stop = fmt.Errorf("%w: %v", ErrTakenOver, err)
			r.mu.Unlock()
			return
		}
		reply, err = at.Change(limit, req)
	}
	switch {
	case status.Code(err) == codes.NotFound, status.Code(err) == codes.PermissionDenied:
		r.send(ctx, fleet.Event{Kind: fleet.Rejected, Instance: a.Instance, Token: a.Token, Text: status.Convert(err).Message()})
	case err != nil:
		r.Notes(fmt.Sprintf("%s: not known whether it has taken it: %v", a.Instance, status.Convert(err).Message()))
	case reply.Refused != "":
		r.send(ctx, fleet.Event{Kind: fleet.Rejected, Instance: a.Instance, Token: a.Token, Text: strings.ReplaceAll(reply.Refused, "\n", "; ")})
	case reply.Member.GetStatus() != nil:
		st := reply.Member.Status
		r.send(ctx, fleet.Event{Kind: fleet.Confirmed, Instance: a.Instance, Token: a.Token, Start: st.StartId, Hash: st.Hash})
		r.tell(ctx, reply.Member)
	}
}

// end tells the agents that the rollout has ended; one that cannot be told learns it from the next tool.
func (r *Rollout) end(result *Result) {
	ctx, cancel := context.WithTimeout(context.Background(), AskTime)
	defer cancel()
	var all sync.WaitGroup
	for _, a := range r.Agents {
		all.Go(func() {
			a.End(ctx, &agentpb.EndRequest{Rollout: r.Plan.ID, Epoch: r.epoch, Result: result.Phase.String() + ": " + result.Reason})
		})
	}
	all.Wait()
}
