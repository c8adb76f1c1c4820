package emulate

import (
	"container/list"
	"maps"
	"math"
	"slices"
	"time"

	"milletmast/balancer"
	"milletmast/internal/degradation"
	"milletmast/internal/rules"
)

// levelState is the degradation level of a sidecar and its signals.
type levelState struct {
	controller *degradation.Controller
	meter      *degradation.Meter
	waiting    *list.List
}

// updateLevels updates the level by the signals, and schedules its next call.
func (h *sidecar) updateLevels() {
	s, now := h.levels, h.sim.wallTime()
	waits := time.Duration(0)
	if e := s.waiting.Front(); e != nil {
		waits = time.Duration((h.sim.now() - e.Value.(*call).arrivedAt) * float64(time.Millisecond))
	}
	r := s.meter.Read(now, waits)
	usable := float64(max(h.usable-h.balancer.EjectedServers(), 0))
	if len(h.known) > 0 {
		r[degradation.UsableRatio] = usable / float64(len(h.known))
	}
	if usable > 0 {
		r[degradation.WarmRatio] = max(0, usable-h.warmupShortfall()) / usable
	}
	if s.controller.Update(now, r, s.meter.Demand(now)) {
		h.sim.result.levelChanges++
	}
	h.later(levelInterval, h.updateLevels)
}

// warmupShortfall returns the capacity that cold servers do not have yet, in servers, as the sidecar estimates it.
func (h *sidecar) warmupShortfall() float64 {
	sum, p := 0.0, &h.sim.scenario.Pool
	ramp := p.Ramp.MS()
	for _, id := range slices.Sorted(maps.Keys(h.known)) { // sorted, as the rounding of the sum depends on the order
		if e := h.known[id]; e.State == balancer.Ready && ramp > 0 && e.StartedAt != 0 && h.sim.now()-e.StartedAt < ramp {
			sum += (1 - p.ColdFrom) * (1 - max(h.sim.now()-e.StartedAt, 0)/ramp)
		}
	}
	return sum
}

// admitByLevel applies the current level to a new call.
func (h *sidecar) admitByLevel(c *call) {
	s := h.levels
	if s == nil {
		return
	}
	now, class := h.sim.wallTime(), int(c.event.Class)
	s.meter.CountArrival(now, class, h.sim.scenario.Pool.Classes[class].Worth)
	v := s.controller.Admit(class, c.try.Caller.Hash)
	if v.Shed != nil {
		c.shedRule, c.event.Shed = v.Shed, true
		return
	}
	c.event.MaxAttempts = v.MaxAttempts
	if v.DeadlineShare < 1 {
		cut := c.timeout * (1 - v.DeadlineShare)
		c.timeout -= cut
		c.event.Deadline -= cut
	}
	c.queueElement = s.waiting.PushBack(c)
}

// recordFirstSend records that a call is being sent for the first time.
func (h *sidecar) recordFirstSend(c *call) {
	if c.queueElement != nil {
		h.levels.waiting.Remove(c.queueElement)
		c.queueElement = nil
		h.levels.meter.RecordQueueTime(h.sim.wallTime(), time.Duration((h.sim.now()-c.arrivedAt)*float64(time.Millisecond)))
	}
}

// recordLevelResult records the end of a call for the signals of the levels.
func (h *sidecar) recordLevelResult(c *call, answer rules.Answer) {
	s := h.levels
	if s == nil || c.shedRule != nil {
		return
	}
	if c.queueElement != nil {
		s.waiting.Remove(c.queueElement)
		c.queueElement = nil
	}
	class := &h.sim.scenario.Pool.Classes[c.event.Class]
	took, r := math.NaN(), degradation.Served
	switch answer {
	case rules.Refused:
		r = degradation.Rejected
	case rules.Failed:
		r = degradation.Failed
	default:
		took = (h.sim.now() - c.arrivedAt) / class.Aim.MS()
	}
	s.meter.CountResult(h.sim.wallTime(), r, class.Worth, took)
}
