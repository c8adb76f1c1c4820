package modelcheck

import (
	"time"

	"milletmast/internal/mesh/consensus"
)

// deliver delivers a message to another node, or drops or duplicates it. A link with a rate limit delivers messages one after the
// other. A reset of either node drops messages in flight.
func (sim *simulation) deliver(from, to *node, bytes int, do func()) {
	if sim.cut[from.index][to.index] > 0 || sim.chance(sim.lossPermille) {
		return
	}
	delay := func() time.Duration {
		d := 50*time.Microsecond + sim.randomDuration(sim.maxDelay)
		if sim.chance(5) {
			d += sim.randomDuration(40 * time.Millisecond)
		}
		return d
	}
	if sim.linkRate > 0 {
		free := &sim.linkFreeAt[from.index][to.index]
		*free = max(*free, sim.now) + time.Duration(float64(bytes)/float64(sim.linkRate)*float64(time.Second))
		latency, queued := delay, *free-sim.now
		sim.report.MaxBacklog = max(sim.report.MaxBacklog, queued)
		delay = func() time.Duration { return queued + latency() }
	}
	resets := from.resets + to.resets
	handle := do
	do = func() {
		if resets == from.resets+to.resets {
			handle()
		}
	}
	sim.after(delay(), do)
	if sim.chance(sim.duplicatePermille) {
		sim.after(delay()+sim.randomDuration(300*time.Millisecond), do)
	}
}

// sendRequest delivers a request, and the response to the process that sent it.
func (sim *simulation) sendRequest(p *storeProcess, a consensus.Request) {
	to := sim.nodeAt(a.To)
	if to == nil {
		return
	}
	if sim.hooks.send != nil {
		sim.hooks.send(&a)
	}
	sim.deliver(p.node, to, requestBytes(&a), func() {
		q := to.process
		if q == nil {
			return
		}
		q.input(func() {
			if q.storageFailed {
				return
			}
			t, out := q.HandleRequest(sim.time(), &a)
			q.apply(out, func() {
				if sim.hooks.respond != nil {
					sim.hooks.respond(&a, &t)
				}
				if a.ID == 0 && len(t.Registers) == 0 && t.Voters == nil && !t.StaleEpoch && len(t.Body) == 0 {
					return // an empty response that no process waits for
				}
				sim.deliver(to, p.node, responseBytes(&t), func() { sim.receiveResponse(p, t) })
			})
		})
	})
}
