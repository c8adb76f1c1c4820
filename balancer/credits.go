// What is learned of servers, and the credit and room that follow from it.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// sound notes that a server did well.
func (b *Balancer) sound(s *server) {
	s.run = max(0, s.run-runLeak)
	if s.goods++; s.cut && s.goods >= trialGoods {
		b.unmeasure(s)
	}
}

// learn puts an outcome into the server's window and the tier's pool.
func (b *Balancer) learn(s *server, class int, out Outcome, took float64) {
	if out == Cancelled || out == NotSent {
		return
	}
	ratio := failRatio
	if c := &b.classes[class]; out == OK {
		ratio = took / c.threshold
		s.pace += max(2*latencyGain, 1/float64(s.count+1)) * (min(ratio, failRatio) - s.pace)
		if c.latency == 0 {
			c.latency = took
		}
		c.latency += latencyGain * (took - c.latency)
		b.typical += max(latencyGain, 1/float64(b.pooled+1)) * (min(ratio, failRatio) - b.typical)
		if b.now > b.calmFrom { // the first answers are the quick ones
			b.calm = min(b.calm, b.typical)
		}
	}
	s.linked = out == OK || s.linked && out != ConnectFailed
	b.connLost -= latencyGain * b.connLost
	if out == ConnectFailed {
		b.connLost += latencyGain
	}
	sm := sample{b.now, ratio}
	s.samples[s.count%ringSize] = sm
	s.count++
	if (out == OK || out == Full) && !s.cut { // others tell of one server, not of the load
		b.pool[b.pooled%poolSize] = sm
		b.pooled++
	}
	if ratio <= 1 {
		s.good++
		b.sound(s)
		return
	}
	s.goods = 0
	s.run++
	more := float64(b.cuts+1) <= max(1, sharedPart*float64(len(b.live)))
	if s.run > runLimit && !s.cut && s.ready() && more {
		b.out -= s.out
		s.cut, s.measured = true, true
		s.load = b.floor()
		b.recount()
	}
}

// accrue refills a server's credit for the time gone by and returns its most.
func (b *Balancer) accrue(s *server) float64 {
	load := b.loadOf(s)
	most := max(1, load*creditTime/1000)
	s.credit = min(most, s.credit+load*(b.now-s.accruedAt)/1000)
	s.accruedAt = b.now
	return most
}

// loadOf is the load a server is given now, in calls a second of this copy.
func (b *Balancer) loadOf(s *server) float64 {
	load := s.load
	if s.cut {
		load = max(load, b.floor()) // it was cut when little was known of the others, perhaps
	}
	if !s.measured {
		load = b.usualLoad()
		if s.Weight > 0 && b.meanWeight > 0 {
			load *= s.Weight / b.meanWeight // a hint, until there is a measurement
		}
	}
	if s.cold {
		age := b.now - s.Started
		if age < b.set.Safety.Ramp {
			from, share := b.set.Safety.ColdFrom, b.evenShare()
			return min(load, coldPart*share*(from+(1-from)*max(age, 0)/b.set.Safety.Ramp))
		}
		s.cold = false
		b.warm = b.warm || !s.cut && b.serving > 0
	}
	return load
}

// evenShare is what a server that serves is sent, cold ones counted by their least; with none warm the demand
// on each. Demand counts what is refused too: in an overload its part fills a cold server to the brim.
func (b *Balancer) evenShare() float64 {
	if !b.warm {
		return b.arrivals.Rate(demandLeast) / float64(max(len(b.live), 1))
	}
	return b.sends.Rate(demandLeast) / b.serving
}

// usualLoad is the mean of those measured; before any is, what demand asks of each.
func (b *Balancer) usualLoad() float64 {
	if b.measured == 0 {
		return headroom * b.sends.Rate(demandLeast) / float64(max(len(b.live), 1))
	}
	return b.meanLoad
}

// floor is the least load of a server, so that trial calls still reach it.
func (b *Balancer) floor() float64 { return max(floorPart*b.usualLoad(), 1000/revisePeriod) }

// reviseRoom applies the paper's rule to the calls that may be out at once, each second: ten are too long
// for an overload. Only the front sheds: an inner error would waste upstream work. Two signs tell of waiting:
// slow answers, and a mean well over its least. It sheds when both do, and rises by the mean (by slow answers
// till there is a least): either lags behind the calls that are out, and servers once driven over stay slow
// for long. The least mean is from a quieter time, or chance: a copy that sees much and gets fast answers
// goes by its tail, so that it reaches what others leave unused; its part is where it begins, not its bound.
func (b *Balancer) reviseRoom() {
	out := float64(b.out)
	b.roomAt = b.now + windowTime
	if b.set.Stage > 0 {
		return
	}
	b.room = max(cmp.Or(b.room, b.firstRoom), b.set.Limits.LeastRoom*b.serving)
	p95, ok := b.p95(nil)
	waits, slow := b.typical/(waitOver*b.calm), p95/shedOver
	if math.IsInf(b.calm, 1) {
		waits = slow
	}
	b.calm *= 1 + calmDrift
	if slow < fastPart && len(b.scratch) > windowSamples {
		waits = min(waits, slow)
	}
	switch {
	case len(b.scratch) == 0 || !ok && math.IsInf(b.calm, 1): // nothing measured
	case waits > 1 && (slow > 1 || !ok):
		good, _ := slices.BinarySearch(b.scratch, shedOver)
		part := float64(good) / float64(len(b.scratch))
		b.room = max(b.firstRoom, cutTo*part*min(b.room, max(out, b.room/headroom)))
	default:
		rise := math.Sqrt(1 + max(0, 1-waits*waits))
		b.room = min(b.room*rise, max(b.room, b.firstRoom, headroom*(out+1)))
	}
}

// revise is the paper's rule, every 10 s for each server.
func (b *Balancer) revise(s *server) {
	goodput := float64(s.good) * 1000 / max(b.now-s.since, 1)
	s.reviseAt, s.since, s.good = b.now+revisePeriod, b.now, 0
	p95, ok := b.p95(s)
	if !ok || s.cut {
		return
	}
	s.load, s.measured = revised(b.loadOf(s), goodput, p95, b.floor(), max(s.maxLoad, b.meanLoad)), true
	if p95 <= 1 {
		s.maxLoad = max(s.maxLoad, 2*headroom*goodput)
	}
	b.recount()
}

// revised gives the next load by the two formulas of the paper's section VI, held between floor and most.
func revised(load, goodput, p95, floor, most float64) float64 {
	if p95 > 1 {
		return max(floor, cutTo*goodput)
	}
	next := load * math.Sqrt(1+(1-p95))
	if most > 0 {
		next = min(next, max(most, load))
	}
	return max(floor, next)
}

// p95 is the ratio that 95 in 100 calls stay under: over the last second, over a
// longer window until it holds enough samples, and filled up from the tier's.
func (b *Balancer) p95(s *server) (float64, bool) {
	b.scratch = b.scratch[:0]
	if s != nil {
		b.window(s.samples[:], s.count)
		if len(b.scratch) == 0 {
			return 0, false
		}
	}
	if len(b.scratch) < windowSamples {
		b.window(b.pool[:], b.pooled)
	}
	if len(b.scratch) < min(windowSamples, max(firstSamples, b.pooled)) {
		return 0, false
	}
	slices.Sort(b.scratch)
	return b.scratch[int(math.Ceil(tail*float64(len(b.scratch))))-1], true
}

// window adds the samples of the last second, and older ones while too few are held.
func (b *Balancer) window(ring []sample, count int) {
	for i := 0; i < min(count, len(ring)); i++ {
		sm := ring[(count-1-i)%len(ring)]
		if sm.at < b.now-revisePeriod || sm.at < b.now-windowTime && len(b.scratch) >= windowSamples {
			return
		}
		b.scratch = append(b.scratch, sm.ratio)
	}
}

// unmeasure lets a server take the others' mean again, as after a good run of trials.
func (b *Balancer) unmeasure(s *server) {
	if s.cut && s.ready() {
		b.out += s.out
	}
	s.measured, s.cut, s.run, s.goods, s.count, s.good = false, false, 0, 0, 0, 0
	s.since, s.reviseAt = b.now, b.now+revisePeriod
	b.recount()
}

// recount renews what depends on the servers that serve: the mean load of the measured ones, and the room.
// The room follows them both ways: those left hold no more than they did, and one that comes or is taken
// back gets as much as each of them, less while cold. Taking alone would add up: servers replaced one by one,
// a zone that flaps or a late list would leave no room beside idle servers. With the room of all, those left
// by cuts are driven over. It does harm where a cut is wrong, or the list names servers that cannot serve:
// their share jams the rest till the next revision.
func (b *Balancer) recount() {
	sum, n, cuts, serving := 0.0, 0, 0, 0.0
	b.warm = false
	for _, s := range b.live {
		if s.cut {
			cuts++
		} else if s.measured {
			sum += s.load
			n++
		}
		if s.ready() && !s.cut && s.cold {
			serving += b.set.Safety.ColdFrom
		} else if s.ready() && !s.cut {
			serving++
			b.warm = true
		}
	}
	b.cuts, b.measured, b.meanLoad = cuts, n, sum/float64(max(n, 1))
	if b.serving == 0 && b.roomEach > 0 {
		b.room = b.roomEach * serving // what was imported
	}
	if serving > 0 {
		b.room *= serving / cmp.Or(b.serving, serving)
		b.serving = serving
	}
	b.firstRoom = max(heldLeast, heldFirst*serving/float64(b.set.Copies))
}
