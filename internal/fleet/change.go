package fleet

import (
	"fmt"
	"slices"
)

// unavailable returns how many instances are being changed or unreachable.
func (r *Rollout) unavailable() int {
	count := 0
	for _, inst := range r.instances {
		if inst.State == Changing || inst.contactLost || inst.State == Unreachable {
			count++
		}
	}
	return count
}

// runWave changes the instances of the waves up to the current one, and settles once all are done.
func (r *Rollout) runWave(now float64) {
	done := r.changeInstances(now, func(inst *instance) bool { return inst.wave <= r.currentWave })
	failed := 0
	for _, inst := range r.instances {
		if inst.State == Refused || inst.State == Unreachable || inst.State == Restarted {
			failed++
		}
	}
	switch {
	case failed > r.plan.MaxFailed && (done || r.currentWave == 0):
		if r.plan.RollBackOnFailure {
			r.rollBack(fmt.Sprintf("%d instances have not taken it", failed))
		} else if done {
			r.stopChanging(now)
		}
	case done:
		r.phase, r.gateAt = Settling, now+r.plan.SettleTime
	}
}

// stopChanging ends a rollout in which too many instances failed: applied changes are verified, and no
// further change is started.
func (r *Rollout) stopChanging(now float64) {
	r.reason = "too many instances have not taken it"
	r.logProgress("%s", r.reason)
	r.startVerifying(now)
}

// changeInstances starts changes of the selected instances within Plan.MaxUnavailable, requests the reports that are
// needed, and reports whether all of them are done.
func (r *Rollout) changeInstances(now float64, selected func(*instance) bool) bool {
	r.requestReports(now, func(inst *instance) bool {
		return selected(inst) && (inst.isConfigUnknown() || inst.State == Changing || inst.State == Waiting)
	})
	done := true
	unavailable := r.unavailable()
	for _, inst := range r.instances {
		if !selected(inst) {
			continue
		}
		if inst.State == Waiting && r.reportTimedOut(inst, now) {
			inst.State, inst.Reason = Unreachable, "no report within the change timeout"
			if !inst.contactLost { // an instance without contact is already counted
				unavailable++
			}
		}
		if inst.State == Waiting && !inst.isConfigUnknown() && unavailable < r.plan.MaxUnavailable {
			unavailable++
			r.startChange(inst, now)
		}
		if inst.State == Waiting || inst.State == Changing {
			done = false
		}
	}
	// If too many instances stay unreachable, no change can be started.
	waiting := func(inst *instance) bool { return selected(inst) && inst.State == Waiting }
	return done || r.isBlocked() && slices.ContainsFunc(r.instances, waiting)
}

// isConfigUnknown reports whether it is unknown which configuration the instance runs now.
func (inst *instance) isConfigUnknown() bool { return inst.sequence == 0 || inst.contactLost }

// reportTimedOut reports whether an instance counts as unreachable because it has not reported for Plan.ChangeTimeout.
func (r *Rollout) reportTimedOut(inst *instance, now float64) bool {
	return inst.isConfigUnknown() && now-r.startedAt >= r.plan.ChangeTimeout && now-inst.LastReportAt >= r.plan.ChangeTimeout
}

// startChange sends an instance its target configuration.
func (r *Rollout) startChange(inst *instance, now float64) {
	r.lastChangeID++
	inst.State, inst.changeID, inst.deadline = Changing, r.lastChangeID, now+r.plan.ChangeTimeout
	inst.attempts++
	r.actions = append(r.actions, Action{Kind: Apply, Instance: inst.Instance, Hash: inst.targetHash, ChangeID: inst.changeID})
}

// isBlocked reports whether no change is pending and none can be started because too many instances are unreachable.
func (r *Rollout) isBlocked() bool {
	unreachable := 0
	for _, inst := range r.instances {
		if inst.State == Changing {
			return false
		}
		if inst.State == Unreachable {
			unreachable++
		}
	}
	return unreachable >= r.plan.MaxUnavailable
}

// requestReports requests a report from each selected instance, at most once per reportInterval.
func (r *Rollout) requestReports(now float64, selected func(*instance) bool) {
	for _, inst := range r.instances {
		if selected(inst) && now-inst.requestedAt >= reportInterval {
			inst.requestedAt = now
			r.actions = append(r.actions, Action{Kind: RequestReport, Instance: inst.Instance})
		}
	}
}

// rollBack sets the target of each changed instance to its previous configuration, and leaves the other instances unchanged.
func (r *Rollout) rollBack(reason string) {
	if r.phase == RollingBack {
		return
	}
	r.phase, r.reason = RollingBack, "rolled back: "+reason
	r.logProgress("rolling back: %s", reason)
	for _, inst := range r.instances {
		changed := inst.attempts > 0
		inst.targetHash, inst.attempts, inst.Restarts = "", 0, 0
		if !changed || inst.previousHash == "" || inst.State == Refused {
			if inst.State != Refused {
				inst.State = Waiting
			}
			continue
		}
		inst.targetHash = inst.previousHash
		if inst.State = Waiting; inst.Hash == inst.targetHash {
			inst.State = Applied
		}
	}
}
