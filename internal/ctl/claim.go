package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"milletmast/internal/control/agentpb"
	"milletmast/internal/fleet"
)

// waitForOtherInterval is the time between two checks whether another rollout has ended.
const waitForOtherInterval = time.Second

// claim makes this tool the only one that may change instances at the agents, by an epoch above all of their
// ledgers (fencing). If the agents hold a plan of the same rollout, it replaces the plan of this tool.
func (r *Rollout) claim(ctx context.Context, replies []AgentReply) error {
	for {
		r.endStaleRollouts(ctx, replies)
		other, err := r.readLedgers(replies)
		if err != nil {
			return err
		}
		if other == "" {
			break
		}
		if !r.WaitForOther {
			return fmt.Errorf("%w: %s", ErrOtherRollout, other)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitForOtherInterval):
		}
		replies = r.Agents.ListInstances(ctx, false)
	}
	r.epoch++
	claimed := 0
	for _, reply := range replies {
		if reply.Err != nil {
			continue
		}
		if err := r.claimAt(ctx, reply.Agent); err != nil {
			return fmt.Errorf("agent %s: %w", reply.Agent.Name, err)
		}
		r.seenCommands[reply.Reply.Ledger.GetCommand()] = true
		claimed++
	}
	if claimed == 0 {
		return errors.New("no agent responded")
	}
	return nil
}

// readLedgers reads the highest epoch, and the plan of this rollout if there is one, from the agents' ledgers. It returns
// the id of another rollout that has not ended, or "".
func (r *Rollout) readLedgers(replies []AgentReply) (other string, err error) {
	r.epoch = 0
	for _, reply := range replies {
		ledger := reply.Reply.GetLedger()
		if reply.Err != nil || ledger == nil {
			continue
		}
		r.epoch = max(r.epoch, ledger.Epoch)
		if ledger.Rollout != r.Plan.ID {
			if ledger.Rollout != "" && !ledger.Ended {
				other = ledger.Rollout
			}
			continue
		}
		if ledger.Plan == "" {
			continue
		}
		if err := r.adoptPlan(reply.Agent.Name, ledger.Plan); err != nil {
			return "", err
		}
	}
	return other, nil
}

// adoptPlan replaces the plan by the one that an agent has stored for the same rollout.
func (r *Rollout) adoptPlan(agent, encoded string) error {
	var held fleet.Plan
	if err := json.Unmarshal([]byte(encoded), &held); err != nil {
		return fmt.Errorf("decode the plan that agent %s holds: %w", agent, err)
	}
	if held.Target != r.Plan.Target {
		return fmt.Errorf("rollout %s has another target configuration, %.12s: use another id", held.ID, held.Target)
	}
	r.Plan = held
	return nil
}

// endStaleRollouts ends other rollouts at agents that were unreachable when these rollouts ended. That they ended is
// recorded in the ledger of another agent.
func (r *Rollout) endStaleRollouts(ctx context.Context, replies []AgentReply) {
	ended := map[string]bool{}
	for _, reply := range replies {
		if reply.Err == nil && reply.Reply.Ledger.GetEnded() {
			ended[reply.Reply.Ledger.Rollout] = true
		}
	}
	for _, reply := range replies {
		ledger := reply.Reply.GetLedger()
		if reply.Err != nil || ledger == nil || ledger.Ended || !ended[ledger.Rollout] || ledger.Rollout == r.Plan.ID {
			continue
		}
		req := &agentpb.EndRequest{Rollout: ledger.Rollout, Epoch: ledger.Epoch, Result: "ended while this agent was away"}
		if _, err := reply.Agent.End(ctx, req); err == nil {
			ledger.Ended = true
		}
	}
}

// claimAt claims one agent. The agent refuses with FailedPrecondition if another tool has claimed it with a higher epoch.
func (r *Rollout) claimAt(ctx context.Context, agent *Agent) error {
	plan, err := json.Marshal(r.Plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	_, err = agent.Claim(ctx, &agentpb.ClaimRequest{Rollout: r.Plan.ID, Epoch: r.epoch, Target: r.Plan.Target, Plan: string(plan)})
	return err
}
