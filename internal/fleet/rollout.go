// Package fleet rolls one configuration out over many instances, in waves. It is a state machine without I/O, clock or
// goroutine: Step takes an event and the time, and returns the actions to carry out. Equal events give equal actions.
//
// Three invariants hold whatever messages are lost, duplicated or reordered and whatever restarts:
//
//   - An instance counts as applied only while its latest report says that it runs the target configuration.
//   - No change is started while Plan.MaxUnavailable instances are being changed or unreachable.
//   - A rollout ends, at the latest after Plan.TotalTimeout.
//
// All times are milliseconds on one clock, which the caller chooses.
package fleet

import (
	"fmt"
	"slices"
)

// instance is the state that a rollout holds of one instance.
type instance struct {
	InstanceStatus
	wave         int
	targetHash   string // configuration that it is to run; "" leaves it as it is
	previousHash string // configuration that it ran before the rollout
	sequence     uint64 // of its latest report; 0 before the first
	contactLost  bool
	changeID     uint64  // of its latest change
	attempts     int     // changes sent
	deadline     float64 // for the pending change to be confirmed
	requestedAt  float64 // when a report was last requested
	verified     bool    // has reported since verification started
	baseline     Health  // before its first change
	atChange     Health  // when its target was last recorded as applied
	health       Health  // of its latest report
}

// Rollout is the state of one rollout. It is not safe for concurrent use.
type Rollout struct {
	plan         Plan
	phase        Phase
	resumePhase  Phase // phase to return to from Paused
	instances    []*instance
	byName       map[string]*instance
	currentWave  int
	waveCount    int
	lastChangeID uint64
	startedAt    float64
	gateAt       float64  // when the gate of the current wave is checked
	verifyUntil  float64  // when verification ends at the latest
	actions      []Action // of the Step that runs
	reason       string   // why the rollout is paused, stopped, rolled back or ended
}

// reportInterval is the time between two requests for a report of one instance, in ms.
const reportInterval = 1000.0

// New starts a rollout. Instances that run the target already count as applied, so a rollout that was interrupted
// continues where it stopped. The error says which part of the plan is invalid.
func New(plan Plan, now float64) (*Rollout, error) {
	plan.Instances = slices.Clone(plan.Instances)
	if err := plan.validate(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	r := &Rollout{plan: plan, startedAt: now, byName: map[string]*instance{}}
	waveSize := max(1, int(plan.WaveShare*float64(len(plan.Instances))))
	for i, name := range plan.Instances {
		inst := &instance{InstanceStatus: InstanceStatus{Instance: name}, targetHash: plan.Target, requestedAt: now - reportInterval}
		if i >= plan.CanarySize {
			inst.wave = 1 + (i-plan.CanarySize)/waveSize
		}
		r.waveCount = inst.wave + 1
		r.instances = append(r.instances, inst)
		r.byName[name] = inst
	}
	return r, nil
}

// Phase returns the phase and, if it is paused or ended, why.
func (r *Rollout) Phase() (Phase, string) { return r.phase, r.reason }

// Ended reports whether the rollout has ended; Step does nothing then.
func (r *Rollout) Ended() bool { return r.phase >= Complete }

// Wave returns the number of the current wave, from 1, and how many there are.
func (r *Rollout) Wave() (current, count int) { return min(r.currentWave+1, r.waveCount), r.waveCount }

// Instances returns the status of each instance, in the order of the plan.
func (r *Rollout) Instances() []InstanceStatus {
	statuses := make([]InstanceStatus, len(r.instances))
	for i, inst := range r.instances {
		statuses[i] = inst.InstanceStatus
	}
	return statuses
}

// Succeeded reports whether the rollout is complete and each instance has reported that it runs the target.
func (r *Rollout) Succeeded() bool {
	missing := func(inst *instance) bool { return inst.State != Applied || inst.Hash != r.plan.Target }
	return r.phase == Complete && !slices.ContainsFunc(r.instances, missing)
}

// Step handles one event at the time now and appends the actions that follow from it.
func (r *Rollout) Step(now float64, event *Event, actions []Action) []Action {
	r.actions = actions
	inst := r.byName[event.Instance]
	if r.Ended() {
		return r.actions
	}
	if inst != nil {
		r.handleInstanceEvent(inst, now, event)
	}
	r.handleCommand(now, event.Kind)
	if !r.Ended() {
		r.advance(now)
	}
	return r.actions
}

// handleInstanceEvent handles a report of an instance, its response to a change, or the loss of contact with it.
func (r *Rollout) handleInstanceEvent(inst *instance, now float64, event *Event) {
	switch event.Kind {
	case Reported:
		if event.Sequence > inst.sequence {
			r.handleReport(inst, now, event)
		}
	case Confirmed:
		// Only the response to the pending change counts, from the process that the change was sent to. It counts until
		// the instance reports otherwise.
		if inst.isPending(event) && event.StartID == inst.StartID && event.Hash == inst.targetHash {
			inst.LastReportAt, inst.RequestSentAt, inst.Hash = now, event.RequestSentAt, event.Hash
			r.markApplied(inst)
		}
	case Rejected:
		if inst.isPending(event) {
			inst.State, inst.Reason = Refused, event.Reason
			r.logProgress("%s has rejected the change: %s", inst.Instance, event.Reason)
		}
	case ContactLost:
		if event.Sequence >= inst.sequence && !inst.contactLost {
			inst.contactLost = true
			r.logProgress("%s is unreachable", inst.Instance)
		}
	}
}

// isPending reports whether the event is the response to the pending change of the instance.
func (inst *instance) isPending(event *Event) bool {
	return inst.State == Changing && event.ChangeID == inst.changeID
}

// handleCommand handles a command of an operator. It ignores other kinds of events.
func (r *Rollout) handleCommand(now float64, kind EventKind) {
	switch kind {
	case Pause:
		if r.phase != Paused {
			r.pause("paused by command")
		}
	case Resume:
		if r.phase == Paused {
			r.phase, r.reason = r.resumePhase, ""
			r.gateAt = now + r.plan.SettleTime
			r.logProgress("resumed")
		}
	case Abort:
		r.finish(Aborted, "aborted by command")
	case RollBack:
		r.rollBack("by command")
	}
}

// logProgress adds an action that reports the progress to the operator.
func (r *Rollout) logProgress(format string, args ...any) {
	r.actions = append(r.actions, Action{Kind: LogProgress, Text: fmt.Sprintf(format, args...)})
}

// pause stops new changes until a Resume.
func (r *Rollout) pause(reason string) {
	r.resumePhase, r.phase, r.reason = r.phase, Paused, reason
	r.logProgress("%s", reason)
}

// finish ends the rollout. Changes that are still pending count as not confirmed.
func (r *Rollout) finish(end Phase, reason string) {
	for _, inst := range r.instances {
		if inst.State == Changing { // its response would come after the end
			inst.State, inst.Reason = Unreachable, "no confirmation by the end"
		}
	}
	r.phase, r.reason = end, reason
	r.logProgress("%s: %s", end, reason)
}

// handleReport records a report of an instance, and derives from the reported hash whether the instance runs its target.
func (r *Rollout) handleReport(inst *instance, now float64, event *Event) {
	first := inst.sequence == 0
	restarted := !first && event.StartID != inst.StartID
	inst.sequence, inst.contactLost, inst.verified = event.Sequence, false, true
	inst.StartID, inst.Hash, inst.health = event.StartID, event.Hash, event.Health
	inst.LastReportAt, inst.RequestSentAt = now, event.RequestSentAt
	if first {
		inst.previousHash, inst.baseline = event.Hash, event.Health
	}
	if restarted {
		inst.Restarts++
		r.logProgress("%s has restarted", inst.Instance)
	}
	if inst.State == Waiting && inst.attempts == 0 {
		inst.baseline = event.Health
	}
	switch {
	case inst.targetHash == "": // the instance has no target
	case inst.Hash == inst.targetHash && inst.State != Refused:
		if inst.State != Applied {
			r.markApplied(inst)
		}
	case inst.State == Applied: // it has restarted with another configuration, or another process has changed it
		r.retry(inst, "no longer runs its target configuration")
	case inst.State == Changing && restarted:
		r.retry(inst, "restarted during its change")
	case inst.State == Unreachable && inst.attempts < r.plan.MaxAttempts:
		inst.State, inst.Reason = Waiting, ""
	}
}

// retry schedules another change of an instance, unless Plan.MaxAttempts changes were sent to it.
func (r *Rollout) retry(inst *instance, reason string) {
	inst.State, inst.Reason = Waiting, ""
	if inst.attempts >= r.plan.MaxAttempts {
		inst.State, inst.Reason = Restarted, reason
	}
	r.logProgress("%s %s", inst.Instance, reason)
}

// markApplied records that an instance runs its target.
func (r *Rollout) markApplied(inst *instance) {
	inst.State, inst.Reason, inst.atChange = Applied, "", inst.health
	r.logProgress("%s has applied its target configuration", inst.Instance)
}

// advance carries out the steps that are due in the current phase at the time now.
func (r *Rollout) advance(now float64) {
	r.expireChanges(now)
	if now-r.startedAt >= r.plan.TotalTimeout {
		end := Aborted
		if r.phase == RollingBack {
			end = RolledBack
		}
		r.finish(end, "the time for the whole rollout is up")
		return
	}
	switch r.phase {
	case Running:
		r.runWave(now)
	case Settling:
		r.requestReports(now, func(inst *instance) bool { return inst.wave == r.currentWave && inst.State == Applied })
		if now >= r.gateAt {
			r.checkGate(now)
		}
	case Verifying:
		r.checkVerified(now)
	case RollingBack:
		if r.changeInstances(now, func(inst *instance) bool { return inst.targetHash != "" }) {
			r.finish(RolledBack, r.reason)
		}
	}
}

// expireChanges ends changes that were not confirmed within Plan.ChangeTimeout.
func (r *Rollout) expireChanges(now float64) {
	for _, inst := range r.instances {
		if inst.State == Changing && now >= inst.deadline {
			inst.State, inst.Reason = Unreachable, "no confirmation within the change timeout"
			r.logProgress("%s has not confirmed its change within the change timeout", inst.Instance)
			if !inst.contactLost && inst.attempts < r.plan.MaxAttempts {
				inst.State = Waiting // it is reachable: the change or its response was lost
			}
		}
	}
}
