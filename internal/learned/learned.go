// Package learned weighs what a decision module learned before by its age, so that another one can be given it. It is free of I/O and
// of clocks. The rules:
//
//   - What is as old as a Limit or older counts for nothing, and what comes from the future counts for nothing: a clock was set.
//   - A server's load and pace move evenly from what they were to the mean of all as they age, so that old differences fade first.
//   - A server that was cut stays so for half of the limit; after that it is one that has not been measured.
//   - The room, and the least mean of answers that it is judged by, count for RoomLimit only: they tell of a load, not of servers.
//
// Whose a measurement is (a server in one life of its) and that a cold server has none is the module's own rule.
package learned

import (
	"math"
	"time"

	"whinknot"
)

// The ages from which nothing counts.
const (
	Limit     = 60 * time.Second
	RoomLimit = 15 * time.Second
)

// At is a memory as it counts at a clock time in ms, and how old it is; nothing of it where that is no age. Values that cannot be are
// taken for not told.
func At(m whinknot.Memory, now float64) (whinknot.Memory, time.Duration) {
	age := now - m.At
	none := whinknot.Memory{At: now}
	if !(age >= 0) || age >= ms(Limit) {
		return none, 0
	}
	out := whinknot.Memory{At: now, Demand: positive(m.Demand), Sent: positive(m.Sent)}
	fade := math.Exp(-age / demandTime)
	out.Demand *= fade
	out.Sent *= fade
	if age < ms(RoomLimit) {
		out.Room, out.Typical, out.Calm = positive(m.Room), positive(m.Typical), positive(m.Calm)
	}
	for _, c := range m.Classes {
		out.Classes = append(out.Classes, whinknot.ClassMemory{Latency: positive(c.Latency), Share: part(c.Share), Served: part(c.Served)})
	}
	belief := 1 - age/ms(Limit)
	load, pace := means(m.Servers)
	for _, s := range m.Servers {
		k := whinknot.ServerMemory{
			Server: s.Server, Started: positive(s.Started),
			Load: toward(load, positive(s.Load), belief), MaxLoad: positive(s.MaxLoad) * belief,
			Pace: toward(pace, positive(s.Pace), belief), Run: positive(s.Run) * belief,
		}
		if k.Cut = s.Cut && belief > 0.5; s.Cut && !k.Cut {
			k = whinknot.ServerMemory{Server: k.Server, Started: k.Started, Run: k.Run}
		}
		out.Servers = append(out.Servers, k)
	}
	return out, time.Duration(age * float64(time.Millisecond))
}

// demandTime is the time in ms over which a rate fades that nothing adds to, as the module's do.
const demandTime = 2000.0

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// toward is a value that was learned, moved to the mean as the belief in it fades; 0 for one that was not.
func toward(mean, v, belief float64) float64 {
	if v == 0 {
		return 0
	}
	return mean + (v-mean)*belief
}

// means are the mean load and pace of the servers that have one.
func means(list []whinknot.ServerMemory) (load, pace float64) {
	loads, paces := 0.0, 0.0
	for _, s := range list {
		if v := positive(s.Load); v > 0 {
			load += v
			loads++
		}
		if v := positive(s.Pace); v > 0 {
			pace += v
			paces++
		}
	}
	return load / math.Max(loads, 1), pace / math.Max(paces, 1)
}

// most is over any figure that a module learns.
const most = 1e15

func positive(v float64) float64 {
	if v > 0 && v < most {
		return v
	}
	return 0
}

func part(v float64) float64 { return min(positive(v), 1) }
