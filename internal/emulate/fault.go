package emulate

import (
	"math/rand/v2"

	"milletmast/balancer"
)

// startFault starts a fault, and schedules its end.
func (w *simulation) startFault(f *Fault, r *rand.Rand) {
	span := f.For.MS()
	after := func(do func()) { w.clock.after(span, do) }
	switch f.Kind {
	case faultSlow:
		for _, s := range w.chooseServers(f, r) {
			s.speedFactor *= f.Speed
			after(func() { s.speedFactor /= f.Speed })
		}
	case faultFailing:
		for _, s := range w.chooseServers(f, r) {
			s.failureShare = f.Part
			after(func() { s.failureShare = 0 })
		}
	case faultSilent:
		for _, s := range w.chooseServers(f, r) {
			if s.state != serving {
				continue
			}
			s.state = silent
			after(func() {
				if s.state == silent {
					s.state = serving
					s.next()
				}
			})
		}
	case faultCrash:
		for _, s := range w.chooseServers(f, r) {
			w.crashServer(s, true)
			after(func() { w.restartServer(s) })
		}
	case faultReplace:
		w.replaceServers(w.chooseServers(f, r), f)
	case faultZone:
		w.loseZone(f)
	case faultCut:
		w.partitionZone(f, 1)
		after(func() { w.partitionZone(f, -1) })
	case faultRestart:
		w.restartSidecars(w.chooseSidecars(f, r), f)
	case faultStall:
		for _, h := range w.chooseSidecars(f, r) {
			h.stalled = max(h.stalled, w.now()+span)
		}
	case faultListLate:
		for _, h := range w.chooseSidecars(f, r) {
			h.listBlocks++
			after(func() {
				h.listBlocks--
				h.run(h.starts, h.applyChanges)
			})
		}
	case faultListShort:
		w.omitFromLists(f, r)
	case faultHold:
		w.holdServers(w.chooseServers(f, r), f)
	}
}

// chooseServers draws the servers that a fault affects, in a random order.
func (w *simulation) chooseServers(f *Fault, r *rand.Rand) []*server {
	var all, out []*server
	for _, s := range w.servers {
		if f.Zone == "" || w.zoneName(int(s.zone)) == f.Zone {
			all = append(all, s)
		}
	}
	for _, i := range drawSome(r, len(all), f.Number(len(all))) {
		out = append(out, all[i])
	}
	return out
}

// chooseSidecars draws the sidecars that a fault affects, in a random order.
func (w *simulation) chooseSidecars(f *Fault, r *rand.Rand) []*sidecar {
	var all, out []*sidecar
	for _, h := range w.sidecars {
		if f.Zone == "" || w.zoneName(h.zone) == f.Zone {
			all = append(all, h)
		}
	}
	for _, i := range drawSome(r, len(all), f.Number(len(all))) {
		out = append(out, all[i])
	}
	return out
}

// zoneName returns the name of a zone; "" without zones.
func (w *simulation) zoneName(i int) string {
	if i < len(w.scenario.Pool.Zones) {
		return w.scenario.Pool.Zones[i]
	}
	return ""
}

// runInSteps calls do with each number below n: in equal groups, one at each of steps points in time over a span in ms.
func (w *simulation) runInSteps(n, steps int, span float64, do func(i int)) {
	steps = max(min(steps, n), 1)
	for i := range n {
		w.clock.after(span*float64(i*steps/n)/float64(steps), func() { do(i) })
	}
}

// replaceServers drains servers, ends them, and then adds new, cold servers in their slots.
func (w *simulation) replaceServers(old []*server, f *Fault) {
	w.runInSteps(len(old), f.Steps, f.For.MS(), func(i int) {
		s := old[i]
		if s.replaced || w.servers[s.slot] != s {
			return // another fault has replaced it
		}
		s.replaced = true
		w.setListed(s, balancer.Draining)
		w.clock.after(f.Drain.MS(), func() {
			w.crashServer(s, false)
			w.setListed(s, balancer.Removed)
			w.addServer(s.slot, w.now())
		})
	})
}

// loseZone ends the servers and the sidecars of a zone. At the end of the fault they start again, the servers cold.
func (w *simulation) loseZone(f *Fault) {
	for _, s := range w.servers {
		if w.zoneName(int(s.zone)) == f.Zone {
			w.crashServer(s, true)
			w.clock.after(f.For.MS(), func() { w.restartServer(s) })
		}
	}
	for _, h := range w.sidecars {
		if w.zoneName(h.zone) == f.Zone && h.up {
			h.kill()
			w.clock.after(f.For.MS(), func() {
				if !h.up {
					h.start()
				}
			})
		}
	}
}

// partitionZone adds change to the number of faults that separate a zone from the others: 1 to start one, -1 to end it.
func (w *simulation) partitionZone(f *Fault, change int) {
	for _, s := range w.servers {
		if w.zoneName(int(s.zone)) == f.Zone {
			s.cutFaults += change
		}
	}
	for _, h := range w.sidecars {
		if w.zoneName(h.zone) == f.Zone {
			h.cutFaults += change
		}
	}
}

// restartSidecars ends sidecars and starts them again.
func (w *simulation) restartSidecars(sidecars []*sidecar, f *Fault) {
	w.runInSteps(len(sidecars), f.Steps, f.For.MS(), func(i int) {
		h := sidecars[i]
		h.shutDown(f.Kill)
		var again func()
		again = func() {
			if h.up { // it still finishes its open requests
				w.clock.after(100, again)
				return
			}
			h.start()
		}
		w.clock.after(f.Down.MS(), again)
	})
}

// omitFromLists gives sidecars full lists that omit some servers, and at the end of the fault the correct lists.
func (w *simulation) omitFromLists(f *Fault, r *rand.Rand) {
	missing := map[uint32]bool{}
	for _, s := range w.chooseServers(f, r) {
		missing[s.id] = true
	}
	for _, h := range w.sidecars {
		if !h.up {
			continue
		}
		incarnation := h.starts
		h.listBlocks++
		h.run(incarnation, func() {
			ev := balancer.Event{Kind: balancer.EvServerList, List: balancer.ListFull}
			ids := w.discovery.listed
			if h.sizer != nil {
				ids = h.chooseSubset()
			}
			for _, id := range ids {
				if !missing[id] {
					ev.Servers = append(ev.Servers, h.entryOf(id))
				}
			}
			h.applyList(&ev)
		})
		w.clock.after(f.For.MS(), func() {
			h.listBlocks--
			h.run(h.starts, func() {
				if h.listPosition >= 0 {
					h.listPosition = len(w.discovery.changes)
					h.applyFullList(balancer.ListFull)
				}
			})
		})
	}
}

// holdServers holds servers out of service at every sidecar, as operators do, and releases them at the end of the fault.
func (w *simulation) holdServers(out []*server, f *Fault) {
	apply := func(hold bool) {
		for _, h := range w.sidecars {
			if err := h.setHeld(out, hold); err != nil {
				w.setError(err)
				return
			}
			h.run(h.starts, func() { h.updateEntries(out) })
		}
	}
	apply(true)
	w.clock.after(f.For.MS(), func() { apply(false) })
}

// setHeld holds or releases servers in the overrides of the sidecar.
func (h *sidecar) setHeld(servers []*server, hold bool) error {
	for _, s := range servers {
		name, now := h.sim.serverName(s.id), h.sim.now()
		if !hold {
			h.overrides = h.overrides.Release(name, now)
			continue
		}
		set, err := h.overrides.Hold(name, now)
		if err != nil {
			return err
		}
		h.overrides = set
	}
	return nil
}

// updateEntries gives the module the current entries of those of the servers that it knows.
func (h *sidecar) updateEntries(servers []*server) {
	ev := balancer.Event{Kind: balancer.EvServerList, List: balancer.ListDelta}
	for _, s := range servers {
		if _, ok := h.known[s.id]; ok {
			ev.Servers = append(ev.Servers, h.entryOf(s.id))
		}
	}
	if len(ev.Servers) > 0 {
		h.applyList(&ev)
	}
}

// drawSome draws up to most of the numbers below n, in a random order.
func drawSome(r *rand.Rand, n, most int) []int {
	return r.Perm(n)[:min(n, most)]
}
