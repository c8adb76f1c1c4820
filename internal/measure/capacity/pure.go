package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"whinknot"
	"whinknot/internal/beacon"
	"whinknot/internal/chart"
	"whinknot/internal/lamp"
	"whinknot/internal/moorings"
	"whinknot/internal/watch"
)

// pureSizes are of the pure parts, up to the full size.
var pureSizes = []int{30, 100, 1000, 10_000, 21_000}

const pureTime = 300 * time.Millisecond // for one figure

// each is the processor time of a call of f in microseconds, its part of collecting included: on a machine that others use too, the time
// that passes says little.
func each(f func()) float64 {
	f()
	n, begun, before := 0, time.Now(), own()
	for ; n == 0 || time.Since(begun) < pureTime; n++ {
		f()
	}
	return (own() - before) * 1e6 / float64(n)
}

// own is the processor time of this process, in seconds (getrusage(2)).
func own() float64 {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// grown is the heap that what f makes takes, in bytes.
func grown[T any](f func() T) (float64, T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), v
}

// sheets are those of so many pilots, as a lighthouse tells them.
func sheets(n int) []beacon.Known {
	out := make([]beacon.Known, n)
	for i := range out {
		ip := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
		out[i].Sheet = beacon.Sheet{
			Node: fmt.Sprint("side-", i), Zone: fmt.Sprintf("zone-%d", i%33), Life: 1e18 + uint64(i), Number: 7, Inbound: ip + ":15001", Talk: ip + ":15005",
			Endpoint: &beacon.Endpoint{ID: fmt.Sprint("i-side-", i), Target: service(i % 720), State: beacon.Serving, Capacity: 9},
		}
	}
	return out
}

// told is a message as it comes from the wire: nothing of it is shared with what was sent.
func told(d *lamp.Down) (*lamp.Down, int, error) {
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(d); err != nil {
		return nil, 0, err
	}
	n := text.Len()
	var out lamp.Down
	return &out, n, gob.NewDecoder(&text).Decode(&out)
}

// pure measures the parts without sockets.
func pure(ctx context.Context, t *table, runs int) error {
	for range runs {
		for _, n := range pureSizes {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			add := func(name string, value float64) { t.add(name, n, value) }
			if err := pictures(add, n); err != nil {
				return err
			}
			registries(add, n)
			nodes := make([]moorings.Node, n)
			for i := range nodes {
				nodes[i] = moorings.Node{Name: fmt.Sprint("i-side-", i), Weight: 9}
			}
			add("placement: a table of the endpoints of one service, us", each(func() { moorings.NewTable(nodes) }))
			table, who := moorings.NewTable(nodes), 0
			add("placement: somebody's five, us", each(func() { who++; table.Order(fmt.Sprint(who), 5) }))
			if err := decisions(add, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// pictures measures what a pilot holds of all others.
func pictures(add func(string, float64), n int) error {
	all := sheets(n)
	var text bytes.Buffer
	enc := gob.NewEncoder(&text)
	first := &lamp.Down{Whole: true, Nodes: all, Sighted: true}
	if err := enc.Encode(first); err != nil {
		return err
	}
	begin := text.Len()
	if err := enc.Encode(&lamp.Down{Nodes: all[:1], Sighted: true}); err != nil {
		return err
	}
	one := text.Len() - begin
	enc.Encode(&lamp.Down{Sighted: true})
	add("a whole picture, bytes", float64(begin))
	add("one sheet that changed, bytes", float64(one))
	add("a word that says nothing, bytes", float64(text.Len()-begin-one))
	add("a whole picture: encoding it, us", each(func() { text.Reset(); gob.NewEncoder(&text).Encode(first) }))
	now := time.Now()
	whole, _, err := told(first)
	if err != nil {
		return err
	}
	heap, room := grown(func() *lamp.Chartroom {
		own, _, _ := told(first) // the strings are the room's
		r := lamp.NewChartroom(time.Now(), lamp.Bounds{Keep: keep, Patience: keep})
		r.Hear(now, "a", own)
		return r
	})
	add("a pilot's chart room, bytes of heap", heap)
	add("a chart room hears a whole picture, us", each(func() { room.Hear(now, "a", whole) }))
	change := &lamp.Down{Nodes: []beacon.Known{all[0]}, Sighted: true}
	add("a chart room hears one change, us", each(func() { change.Nodes[0].Number++; room.Hear(now, "a", change) }))
	add("a chart room hears a word that says nothing, us", each(func() { room.Hear(now, "a", &lamp.Down{Sighted: true}) }))
	add("a chart room lists all, for the services' lists, us", each(func() { room.Nodes() }))
	var others []watch.Node
	for _, k := range all {
		others = append(others, watch.Node{Name: k.Node, Zone: k.Zone})
	}
	add("whom a pilot watches, chosen each second, us", each(func() { watch.Choose(others[n/2], others, links) }))
	runtime.KeepAlive(room)
	return nil
}

// registries measures what a lighthouse does for one word of another one, and in one look.
func registries(add func(string, float64), n int) {
	now := time.Now()
	heap, r := grown(func() *beacon.Registry {
		r := beacon.NewRegistry(beacon.Limits{Dark: time.Hour, Forget: time.Hour})
		for _, k := range sheets(n) {
			r.Put(now, k.Sheet)
		}
		return r
	})
	add("a lighthouse's registry, bytes of heap", heap)
	var marks []uint64
	for _, k := range r.All()[:max(n*links/19, 1)] { // those connected to one of 19
		marks = append(marks, beacon.Mark(k.Node, k.Life))
	}
	add("a registry hears whom one of 19 vouches for, us", each(func() { r.Marked(marks) }))
	add("a registry ages all, us", each(func() { r.Age(now, true) }))
}

// decisions measures the decision module.
func decisions(add func(string, float64), n int) error {
	set := whinknot.Settings{
		Classes: []whinknot.Class{{Name: "read", Worth: 1, Aim: 500, GiveUp: 1000, Effect: whinknot.Safe}},
		Limits:  whinknot.Limits{MaxAttempts: 3},
		Safety:  whinknot.Safety{ColdFrom: 0.2, Ramp: 20000, FallMultiple: 3, FallAfter: 1500, AskEvery: 10000},
	}
	list := make([]whinknot.ServerEntry, n)
	for i := range list {
		list[i] = whinknot.ServerEntry{Server: uint32(100 + i), Cell: uint16(i / 2), Weight: 1}
	}
	var failed error
	heap, m := grown(func() *whinknot.Balancer {
		m, err := whinknot.New(set, 7, 1000)
		if failed = err; err == nil {
			m.Handle(1000, &whinknot.Event{Kind: whinknot.EvList, List: whinknot.ListFull, Servers: list}, nil)
		}
		return m
	})
	if failed != nil {
		return failed
	}
	now, every, id := 1000.0, 1000/float64(min(max(n, 100), 1000)), uint32(0)
	r := rand.New(rand.NewPCG(1, 2))
	var acts, out []whinknot.Action
	step := func() { // a request, and the outcome of one of 20 ms ago
		id++
		now += every
		acts = m.Handle(now, &whinknot.Event{Kind: whinknot.EvRequest, Request: id, Due: now + 1000}, acts[:0])
		for _, a := range acts {
			if a.Kind == whinknot.ActSend {
				out = append(out, a)
			}
		}
		if float64(len(out))*every > 20 {
			a := out[0]
			out = out[:copy(out, out[1:])]
			acts = m.Handle(now, &whinknot.Event{Kind: whinknot.EvOutcome, Request: a.Request, Server: a.Server, Outcome: whinknot.OK, Took: 10 + 20*r.Float64()}, acts[:0])
		}
	}
	for range max(2*n, 2000) { // each server is measured
		step()
	}
	add("decision module: one service's endpoints, bytes of heap", heap)
	add("decision module: a request and its outcome, us", each(step))
	one, i := list[:1:1], 0
	add("decision module: one endpoint comes or goes, us", each(func() {
		i++
		one = append(one[:0], list[n/2])
		if one[0].State = whinknot.Ready; i%2 == 0 {
			one[0].State = whinknot.Gone
		}
		now += 1
		acts = m.Handle(now, &whinknot.Event{Kind: whinknot.EvList, List: whinknot.ListDelta, Servers: one}, acts[:0])
	}))
	return nil
}

// configurations measures the operator's configuration without pilots: to read and check it, and to have it stored by real keepers.
func configurations(ctx context.Context, t *table, programs Programs, machines int, services []int, runs int) error {
	c, err := newCore(ctx, programs, machines)
	if err != nil {
		return err
	}
	defer c.end()
	for range runs {
		for _, n := range services {
			text := configuration(n, 1)
			t.add("bytes", n, float64(len(text)))
			if _, err := chart.Parse(text); err != nil {
				return err
			}
			t.add("read, checked and compiled, us", n, each(func() { chart.Parse(text) }))
			heap, held := grown(func() *chart.Chart { c, _ := chart.Parse(text); return c })
			t.add("compiled, bytes of heap", n, heap)
			t.add("a request's route, us", n, each(func() { held.Match(service(n/2)+".example", "/"+service(n/2)+"/x") }))
			for range 5 {
				keeps := c.keepers()
				took, _, err := c.order(ctx, n)
				if err != nil {
					return err
				}
				t.add("ordered at "+fmt.Sprint(machines)+" machines, no pilots: ms to the acknowledgement", n, took.Seconds()*1000)
				t.add("the same: keepers' processor time together, ms", n, (c.keepers()-keeps)*1000)
			}
		}
	}
	return nil
}
