package emulate

import (
	"math/rand/v2"

	"milletmast/balancer"
)

// startFault starts a fault.
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
		w.cutZone(f, 1)
		after(func() { w.cutZone(f, -1) })
	case faultRestart:
		w.restartSidecars(w.chooseSidecars(f, r), f)
	case faultStall:
		for _, h := range w.chooseSidecars(f, r) {
			h.stalled = max(h.stalled, w.now()+span)
		}
	case faultDeaf:
		for _, h := range w.chooseSidecars(f, r) {
			h.listBlocks++
			after(func() {
				h.listBlocks--
				h.run(h.starts, h.applyChanges)
			})
		}
	case faultShort:
		w.omitFromLists(f, r)
	case faultHold:
		w.holdServers(w.chooseServers(f, r), f)
	}
}

// chooseServers draws the servers of a fault, in a random order.
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

// chooseSidecars draws the sidecars of a fault, in a random order.
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

// runInSteps calls do with each number below n, an equal share of them at each of so many steps over a time.
func (w *simulation) runInSteps(n, steps int, span float64, do func(i int)) {
	steps = max(min(steps, n), 1)
	for i := range n {
		w.clock.after(span*float64(i*steps/n)/float64(steps), func() { do(i) })
	}
}

// replaceServers drains servers, and adds others, cold, in their slots once they have ended.
func (w *simulation) replaceServers(old []*server, f *Fault) {
	w.runInSteps(len(old), f.Steps, f.For.MS(), func(i int) {
		s := old[i]
		if s.replaced || w.servers[s.slot] != s {
			return // replaced by another fault meanwhile
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

// loseZone ends the servers and the sidecars of a zone. They start again at the end, the servers cold.
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

// cutZone cuts a zone off from the others, or joins it again.
func (w *simulation) cutZone(f *Fault, by int) {
	for _, s := range w.servers {
		if w.zoneName(int(s.zone)) == f.Zone {
			s.cutFaults += by
		}
	}
	for _, h := range w.sidecars {
		if w.zoneName(h.zone) == f.Zone {
			h.cutFaults += by
		}
	}
}

// restartSidecars ends sidecars and starts them again.
func (w *simulation) restartSidecars(copies []*sidecar, f *Fault) {
	w.runInSteps(len(copies), f.Steps, f.For.MS(), func(i int) {
		h := copies[i]
		h.shutDown(f.Kill)
		var again func()
		again = func() {
			if h.up { // it finishes what it has
				w.clock.after(100, again)
				return
			}
			h.start()
		}
		w.clock.after(f.Down.MS(), again)
	})
}

// omitFromLists gives sidecars full lists without some servers, and at the end the true ones.
func (w *simulation) omitFromLists(f *Fault, r *rand.Rand) {
	missing := map[uint32]bool{}
	for _, s := range w.chooseServers(f, r) {
		missing[s.id] = true
	}
	for _, h := range w.sidecars {
		if !h.up {
			continue
		}
		life := h.starts
		h.listBlocks++
		h.run(life, func() {
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

// holdServers has operators hold servers at every sidecar, and release them at the end.
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

// setHeld changes the overrides of the sidecar so that servers are held, or not any more.
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

// updateEntries gives the module the present entries of those of the servers that it knows.
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

// drawSome draws some of n, in a random order.
func drawSome(r *rand.Rand, n, most int) []int {
	return r.Perm(n)[:min(n, most)]
}
