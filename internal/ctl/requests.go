package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"milletmast/internal/control/agentpb"
	"milletmast/internal/fleet"
)

// findAgent returns the agent of an instance, or nil. It queries all agents again if none had the instance at the start.
func (r *Rollout) findAgent(ctx context.Context, name string) *Agent {
	r.mu.Lock()
	agent := r.agentOfInstance[name]
	r.mu.Unlock()
	if agent != nil {
		return agent
	}
	for _, reply := range r.Agents.ListInstances(ctx, false) {
		if reply.Err != nil {
			continue
		}
		for _, m := range reply.Reply.Members {
			if m.Name == name {
				r.mu.Lock()
				r.agentOfInstance[name] = reply.Agent
				r.mu.Unlock()
				return reply.Agent
			}
		}
	}
	return nil
}

// requestReport requests a report of an instance from its agent, and posts the result.
func (r *Rollout) requestReport(ctx context.Context, name string) {
	defer func() {
		r.mu.Lock()
		delete(r.requesting, name)
		r.mu.Unlock()
	}()
	select {
	case r.requestSlots <- struct{}{}:
		defer func() { <-r.requestSlots }()
	case <-ctx.Done():
		return
	}
	agent := r.findAgent(ctx, name)
	requestSentAt := nowMs()
	var reply *agentpb.ListReply
	err := errors.New("no agent has the instance")
	if agent != nil {
		reply, err = agent.listInstances(ctx, &agentpb.ListRequest{Name: name, Fresh: true})
	}
	if err != nil || len(reply.Members) != 1 {
		r.mu.Lock()
		sequence := r.latestReport[name]
		r.mu.Unlock()
		r.post(ctx, fleet.Event{Kind: fleet.ContactLost, Instance: name, Sequence: sequence})
		return
	}
	r.postReport(ctx, requestSentAt, reply.Members[0])
}

// postReport posts an agent's report of an instance, which was requested at requestSentAt, in ms.
func (r *Rollout) postReport(ctx context.Context, requestSentAt float64, member *agentpb.Member) {
	r.mu.Lock()
	r.latestReport[member.Name] = max(r.latestReport[member.Name], member.Order)
	r.mu.Unlock()
	if !member.InSight || member.Status == nil {
		r.post(ctx, fleet.Event{Kind: fleet.ContactLost, Instance: member.Name, Sequence: member.Order})
		return
	}
	st := member.Status
	r.post(ctx, fleet.Event{
		Kind: fleet.Reported, Instance: member.Name, Sequence: member.Order, RequestSentAt: requestSentAt, StartID: st.StartId, Hash: st.Hash,
		Health: fleet.Health{Served: st.Served, Refused: st.Refused, Failed: st.Failed, P99: st.P99Ms},
	})
}

// commandKinds maps the commands that operators store at the agents to events.
var commandKinds = map[string]fleet.EventKind{
	"pause":    fleet.Pause,
	"resume":   fleet.Resume,
	"abort":    fleet.Abort,
	"rollback": fleet.RollBack,
}

// watchCommands reads the agents' ledgers until ctx ends, for commands of operators and for the claim of another tool.
func (r *Rollout) watchCommands(ctx context.Context) {
	tick := time.NewTicker(ledgerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, reply := range r.Agents.ListInstances(ctx, false) {
			ledger := reply.Reply.GetLedger()
			if reply.Err != nil || ledger.GetRollout() != r.Plan.ID {
				continue
			}
			r.mu.Lock()
			isNew := !r.seenCommands[ledger.Command]
			r.seenCommands[ledger.Command] = true
			if ledger.Epoch > r.epoch {
				r.stopErr = ErrTakenOver
			}
			r.mu.Unlock()
			name, _, _ := strings.Cut(ledger.Command, ":")
			if kind, ok := commandKinds[name]; ok && isNew {
				r.post(ctx, fleet.Event{Kind: kind})
			}
		}
	}
}

// ledgerInterval is the time between two reads of the agents' ledgers.
const ledgerInterval = time.Second

// changeMargin is added to the timeout of a change, so that the agent's response arrives even if the agent times out.
const changeMargin = 1000 // ms

// apply has an instance apply a configuration and posts the outcome. If the outcome is unknown, it follows from the next
// report of the instance.
func (r *Rollout) apply(ctx context.Context, action fleet.Action) {
	agent := r.findAgent(ctx, action.Instance)
	if agent == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(r.Plan.ChangeTimeout+changeMargin)*time.Millisecond)
	defer cancel()
	req := &agentpb.ChangeRequest{Name: action.Instance, Hash: action.Hash, Rollout: r.Plan.ID, Epoch: r.epoch}
	if action.Hash == r.Plan.Target {
		req.Config = r.Config
	}
	requestSentAt := nowMs()
	reply, err := agent.Change(callCtx, req)
	if status.Code(err) == codes.FailedPrecondition { // the agent was unreachable during the claim, or another tool has claimed it
		if status.Code(r.claimAt(ctx, agent)) == codes.FailedPrecondition {
			r.mu.Lock()
			r.stopErr = fmt.Errorf("%w: %w", ErrTakenOver, err)
			r.mu.Unlock()
			return
		}
		requestSentAt = nowMs()
		reply, err = agent.Change(callCtx, req)
	}
	rejected := fleet.Event{Kind: fleet.Rejected, Instance: action.Instance, ChangeID: action.ChangeID}
	switch {
	case status.Code(err) == codes.NotFound, status.Code(err) == codes.PermissionDenied:
		rejected.Reason = status.Convert(err).Message()
		r.post(ctx, rejected)
	case err != nil:
		r.Log(fmt.Sprintf("%s: unknown whether the change was applied: %v", action.Instance, status.Convert(err).Message()))
	case reply.Refused != "":
		rejected.Reason = strings.ReplaceAll(reply.Refused, "\n", "; ")
		r.post(ctx, rejected)
	case reply.Member.GetStatus() != nil:
		instance := reply.Member.Status
		r.post(ctx, fleet.Event{
			Kind:          fleet.Confirmed,
			Instance:      action.Instance,
			ChangeID:      action.ChangeID,
			RequestSentAt: requestSentAt,
			StartID:       instance.StartId,
			Hash:          instance.Hash,
		})
		r.postReport(ctx, requestSentAt, reply.Member)
	}
}

// reportEnd notifies the agents that the rollout has ended. An agent that does not respond is notified by the next run of
// the tool (endStaleRollouts).
func (r *Rollout) reportEnd(result *Result) {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	var all sync.WaitGroup
	req := &agentpb.EndRequest{Rollout: r.Plan.ID, Epoch: r.epoch, Result: result.Phase.String() + ": " + result.Reason}
	for _, agent := range r.Agents {
		all.Go(func() {
			_, _ = agent.End(ctx, req)
		})
	}
	all.Wait()
}
