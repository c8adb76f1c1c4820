package fleet

import (
	"fmt"
)

// checkGate starts the next wave, or verification after the last one, if no instance of the current wave violates the gate;
// otherwise it pauses the rollout or rolls it back.
func (r *Rollout) checkGate(now float64) {
	for _, inst := range r.instances {
		if inst.wave != r.currentWave || inst.State != Applied {
			continue
		}
		if reason := r.plan.Gate.violation(inst); reason != "" {
			reason = fmt.Sprintf("the gate of wave %d stays shut: %s: %s", r.currentWave+1, inst.Instance, reason)
			if r.plan.RollBackOnFailure {
				r.rollBack(reason)
			} else {
				r.pause(reason)
			}
			return
		}
	}
	if r.currentWave+1 < r.waveCount {
		r.currentWave++
		r.phase = Running
		r.logProgress("wave %d of %d", r.currentWave+1, r.waveCount)
		return
	}
	r.startVerifying(now)
}

// violation describes the first bound of the gate that an instance has exceeded since its change; "" if there is none.
func (g *Gate) violation(inst *instance) string {
	health := inst.health
	if health.Served < inst.atChange.Served || health.Refused < inst.atChange.Refused || health.Failed < inst.atChange.Failed {
		inst.atChange = Health{} // the instance has restarted, and its counters with it
	}
	refused, failed, requests := outcomeRatios(inst.atChange, health)
	refusedBefore, failedBefore, _ := outcomeRatios(Health{}, inst.baseline)
	switch {
	case requests < max(g.MinRequests, 1):
		return ""
	case g.MaxRefusedIncrease > 0 && refused > refusedBefore+g.MaxRefusedIncrease:
		return fmt.Sprintf("%.1f%% of requests refused, %.1f%% before", 100*refused, 100*refusedBefore)
	case g.MaxFailedIncrease > 0 && failed > failedBefore+g.MaxFailedIncrease:
		return fmt.Sprintf("%.1f%% of requests failed, %.1f%% before", 100*failed, 100*failedBefore)
	case g.MaxP99Ratio > 0 && inst.baseline.P99 > 0 && health.P99 > g.MaxP99Ratio*inst.baseline.P99:
		return fmt.Sprintf("p99 %.1f ms, %.1f ms before", health.P99, inst.baseline.P99)
	}
	return ""
}

// outcomeRatios returns which fractions of the requests between two counts were refused and failed, and the number of
// these requests.
func outcomeRatios(from, to Health) (refused, failed float64, requests uint64) {
	requests = to.Served - from.Served + to.Refused - from.Refused + to.Failed - from.Failed
	if requests == 0 {
		return 0, 0, 0
	}
	refused = float64(to.Refused-from.Refused) / float64(requests)
	failed = float64(to.Failed-from.Failed) / float64(requests)
	return refused, failed, requests
}
