package fleet

import (
	"cmp"
	"slices"
)

// startVerifying starts the phase in which each changed instance has to report once more, within Plan.ChangeTimeout.
func (r *Rollout) startVerifying(now float64) {
	r.phase, r.verifyUntil = Verifying, now+r.plan.ChangeTimeout
	for _, inst := range r.instances {
		inst.verified = false
		inst.requestedAt = now - reportInterval
	}
}

// checkVerified ends the rollout once each changed instance has reported again, so that the result is their current state.
func (r *Rollout) checkVerified(now float64) {
	changed := func(inst *instance) bool { return inst.State == Applied || inst.attempts > 0 && inst.State != Refused }
	r.requestReports(now, func(inst *instance) bool { return changed(inst) && !inst.verified })
	r.changeInstances(now, func(inst *instance) bool {
		return inst.State == Changing || inst.State == Waiting && inst.attempts > 0 && !inst.contactLost
	})
	if now < r.verifyUntil && slices.ContainsFunc(r.instances, func(inst *instance) bool {
		return inst.State == Changing || changed(inst) && !inst.verified
	}) {
		return
	}
	for _, inst := range r.instances {
		if inst.State == Applied && (!inst.verified || inst.contactLost) {
			inst.State, inst.Reason = Unreachable, "applied, but has not reported since"
		}
	}
	r.finish(Complete, cmp.Or(r.reason, "all waves are through"))
}
