package emulate

import (
	"fmt"
	"time"

	"milletmast/internal/loadshed"
	"milletmast/internal/rules"
)

// summaryDelay is the time in ms from the summary of a sidecar to its handling by the others.
const summaryDelay = 20.0

// memberName returns the name of the sidecar as a member of the fleet.
func (h *sidecar) memberName() string { return fmt.Sprint("c", h.rank) }

// startFleetShedding starts the load shedding that all sidecars share. All sidecars are members all the time; only drills have
// differing membership views.
func (h *sidecar) startFleetShedding() {
	h.shedder = nil
	w := h.sim
	if !w.scenario.Copies.Allot {
		return
	}
	weights := make([]float64, len(w.scenario.Pool.Classes))
	for i, c := range w.scenario.Pool.Classes {
		weights[i] = c.Worth
	}
	shedder, err := loadshed.NewShedder(loadshed.DefaultConfig(h.memberName(), weights))
	if err != nil {
		w.setError(err)
		return
	}
	names := make([]string, 0, w.scenario.Copies.Count)
	for k := range w.scenario.Copies.Count {
		names = append(names, fmt.Sprint("c", k))
	}
	shedder.SetMembers(names)
	h.shedder = shedder
	every := float64(loadshed.Interval / time.Millisecond)
	h.later(every*w.random.uniform(drawList, uint64(h.rank), h.starts<<33), h.exchangeSummaries)
}

// exchangeSummaries sends the summary of this sidecar to the others, updates its own admission, and schedules its next call.
func (h *sidecar) exchangeSummaries() {
	w := h.sim
	learned := h.balancer.Export()
	s := h.shedder.Update(h.starts, func(class int) float64 { return learned.Classes[class].MeanLatency }, w.wallTime())
	w.clock.after(summaryDelay, func() {
		for _, o := range w.sidecars {
			if o != h && o.up && o.shedder != nil && (o.zone == h.zone || o.cutFaults == 0 && h.cutFaults == 0) && o.stalled <= w.now() {
				o.shedder.HandleSummary(s, w.wallTime())
			}
		}
	})
	h.later(float64(loadshed.Interval/time.Millisecond), h.exchangeSummaries)
}

// admitByFleet applies the load shedding that all sidecars share to a call.
func (h *sidecar) admitByFleet(c *call) {
	if h.shedder == nil || c.event.Shed {
		return
	}
	c.admittedByFleet = h.shedder.Admit(int(c.event.Class), c.try.Caller.Hash)
	c.event.Shed = !c.admittedByFleet
}

// recordFleetResult records the end of a call that was admitted.
func (h *sidecar) recordFleetResult(c *call, answer rules.Answer) {
	if h.shedder == nil || !c.admittedByFleet {
		return
	}
	took := h.sim.now() - c.arrivedAt
	inTime := answer == rules.Served && took <= h.sim.scenario.Pool.Classes[c.event.Class].Aim.MS()
	h.shedder.RecordResult(int(c.event.Class), answer == rules.Refused, inTime)
}
