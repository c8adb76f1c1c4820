package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"milletmast/balancer"
	"milletmast/internal/bench/procstat"
	"milletmast/internal/mesh/affinity"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/peerwatch"
	"milletmast/internal/mesh/registry"
)

// pureSizes are the numbers of proxies for which the parts without I/O are measured, up to the size of a large deployment.
var pureSizes = []int{30, 100, 1000, 10_000, 21_000}

const pureDuration = 300 * time.Millisecond // of one measurement

// cpuPerCall returns the processor time of a call of f in µs, with its share of garbage collection. Processor time does not depend on other
// load of the machine as the elapsed time does.
func cpuPerCall(f func()) float64 {
	f()
	n, begun, before := 0, time.Now(), procstat.OwnCPUTime()
	for ; n == 0 || time.Since(begun) < pureDuration; n++ {
		f()
	}
	return (procstat.OwnCPUTime() - before).Seconds() * 1e6 / float64(n)
}

// heapGrowth returns by how many bytes the heap has grown through f, and the result of f.
func heapGrowth[T any](f func() T) (float64, T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), v
}

// newRecords returns the records of n proxies, as a control plane sends them.
func newRecords(n int) []registry.ObservedRecord {
	out := make([]registry.ObservedRecord, n)
	for i := range out {
		ip := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
		out[i].NodeRecord = registry.NodeRecord{
			Node: fmt.Sprint("side-", i), Zone: fmt.Sprintf("zone-%d", i%33), Incarnation: 1e18 + uint64(i), Sequence: 7,
			InboundAddr: ip + ":15001", PeerAddr: ip + ":15005",
			Endpoint: &registry.Endpoint{ID: fmt.Sprint("i-side-", i), Target: serviceName(i % 720), State: registry.Serving, Capacity: 9},
		}
	}
	return out
}

// decodedCopy returns a message as it is received: encoded and decoded, without shared memory.
func decodedCopy(d *discovery.ControlMessage) (*discovery.ControlMessage, error) {
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(discoverywire.FromControlMessage(d)); err != nil {
		return nil, err
	}
	var out discoverywire.Down
	if err := gob.NewDecoder(&text).Decode(&out); err != nil {
		return nil, err
	}
	return out.ControlMessage(), nil
}

// measurePure measures the parts without I/O.
func measurePure(ctx context.Context, t *table, runs int) error {
	for range runs {
		for _, n := range pureSizes {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			add := func(name string, value float64) { t.add(name, n, value) }
			if err := measureClientState(add, n); err != nil {
				return err
			}
			measureRegistry(add, n)
			nodes := make([]affinity.Node, n)
			for i := range nodes {
				nodes[i] = affinity.Node{Name: fmt.Sprint("i-side-", i), Weight: 9}
			}
			add("placement: a table of the endpoints of one service, us", cpuPerCall(func() { affinity.NewTable(nodes) }))
			table, client := affinity.NewTable(nodes), 0
			add("placement: somebody's five, us", cpuPerCall(func() { client++; table.Rank(fmt.Sprint(client), 5) }))
			if err := measureModule(add, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureClientState measures the state of discovery that a proxy holds.
func measureClientState(add func(string, float64), n int) error {
	all := newRecords(n)
	var text bytes.Buffer
	enc := gob.NewEncoder(&text)
	first := &discovery.ControlMessage{Complete: true, Nodes: all, HasContact: true}
	if err := enc.Encode(discoverywire.FromControlMessage(first)); err != nil {
		return err
	}
	begin := text.Len()
	if err := enc.Encode(discoverywire.FromControlMessage(&discovery.ControlMessage{Nodes: all[:1], HasContact: true})); err != nil {
		return err
	}
	one := text.Len() - begin
	if err := enc.Encode(discoverywire.FromControlMessage(&discovery.ControlMessage{HasContact: true})); err != nil {
		return err
	}
	add("a complete update, bytes", float64(begin))
	add("one record that changed, bytes", float64(one))
	add("a heartbeat, bytes", float64(text.Len()-begin-one))
	add("a complete update: encoding it, us", cpuPerCall(func() {
		text.Reset()
		_ = gob.NewEncoder(&text).Encode(discoverywire.FromControlMessage(first)) // cannot fail: it was encoded above
	}))
	now := time.Now()
	complete, err := decodedCopy(first)
	if err != nil {
		return err
	}
	heap, state := heapGrowth(func() *discovery.ClientState {
		own, err := decodedCopy(first) // with strings of its own
		if err != nil {
			return nil
		}
		r := discovery.NewClientState(time.Now(), discovery.Limits{KeepMissing: keepMissing, ContactTimeout: keepMissing})
		r.HandleControlMessage(now, "a", own)
		return r
	})
	add("a proxy's client state, bytes of heap", heap)
	add("a client state applies a complete update, us", cpuPerCall(func() { state.HandleControlMessage(now, "a", complete) }))
	change := &discovery.ControlMessage{Nodes: []registry.ObservedRecord{all[0]}, HasContact: true}
	add("a client state applies one change, us", cpuPerCall(func() {
		change.Nodes[0].Sequence++
		state.HandleControlMessage(now, "a", change)
	}))
	add("a client state applies a heartbeat, us", cpuPerCall(func() {
		state.HandleControlMessage(now, "a", &discovery.ControlMessage{HasContact: true})
	}))
	add("a client state lists all, for the services' lists, us", cpuPerCall(func() { state.Nodes() }))
	var others []peerwatch.Node
	for _, k := range all {
		others = append(others, peerwatch.Node{Name: k.Node, Zone: k.Zone})
	}
	add("the peers that a proxy probes, chosen each second, us", cpuPerCall(func() {
		peerwatch.SelectPeers(others[n/2], others, connsPerProxy)
	}))
	runtime.KeepAlive(state)
	return nil
}

// measureRegistry measures the registry of a control plane: a heartbeat of another control plane, and one expiry.
func measureRegistry(add func(string, float64), n int) {
	now := time.Now()
	heap, r := heapGrowth(func() *registry.Registry {
		r := registry.NewRegistry(registry.Limits{Unreachable: time.Hour, Forget: time.Hour})
		for _, k := range newRecords(n) {
			r.Update(now, k.NodeRecord)
		}
		return r
	})
	add("a control plane's registry, bytes of heap", heap)
	var hashes []uint64
	for _, k := range r.All()[:max(n*connsPerProxy/19, 1)] { // as many as are connected to one of 19 control planes
		hashes = append(hashes, registry.IncarnationHash(k.Node, k.Incarnation))
	}
	add("a registry looks up the nodes connected to one of 19, us", cpuPerCall(func() { r.NodesByHash(hashes) }))
	add("a registry expires nodes, us", cpuPerCall(func() { r.Expire(now, true) }))
}

// measureModule measures the decision module with a number of servers.
func measureModule(add func(string, float64), n int) error {
	set := balancer.Settings{
		Classes: []balancer.Class{{Name: "read", PriorityWeight: 1, LatencyTarget: 500, Timeout: 1000, Effect: balancer.Safe}},
		Limits:  balancer.Limits{MaxAttempts: 3},
		Safety:  balancer.Safety{SlowStartShare: 0.2, SlowStartTime: 20000, OverloadMultiple: 3, OverloadTime: 1500, ListInterval: 10000},
	}
	list := make([]balancer.ServerEntry, n)
	for i := range list {
		list[i] = balancer.ServerEntry{ID: uint32(100 + i), Cell: uint16(i / 2), Weight: 1}
	}
	var failed error
	heap, m := heapGrowth(func() *balancer.Balancer {
		m, err := balancer.New(set, 7, 1000)
		if failed = err; err == nil {
			m.Handle(1000, &balancer.Event{Kind: balancer.EvServerList, List: balancer.ListFull, Servers: list}, nil)
		}
		return m
	})
	if failed != nil {
		return failed
	}
	now, every, id := 1000.0, 1000/float64(min(max(n, 100), 1000)), uint32(0)
	r := rand.New(rand.NewPCG(1, 2))
	var acts, out []balancer.Action
	step := func() { // handles a request, and the outcome of the attempt that was sent 20 ms before
		id++
		now += every
		acts = m.Handle(now, &balancer.Event{Kind: balancer.EvRequest, Request: id, Deadline: now + 1000}, acts[:0])
		for _, a := range acts {
			if a.Kind == balancer.ActSend {
				out = append(out, a)
			}
		}
		if float64(len(out))*every > 20 {
			a := out[0]
			out = out[:copy(out, out[1:])]
			outcome := balancer.Event{
				Kind: balancer.EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: balancer.OK, Elapsed: 10 + 20*r.Float64(),
			}
			acts = m.Handle(now, &outcome, acts[:0])
		}
	}
	for range max(2*n, 2000) { // until the module has measurements of each server
		step()
	}
	add("decision module: one service's endpoints, bytes of heap", heap)
	add("decision module: a request and its outcome, us", cpuPerCall(step))
	one, i := list[:1:1], 0
	add("decision module: one endpoint comes or goes, us", cpuPerCall(func() {
		i++
		one = append(one[:0], list[n/2])
		if one[0].State = balancer.Ready; i%2 == 0 {
			one[0].State = balancer.Removed
		}
		now += 1
		acts = m.Handle(now, &balancer.Event{Kind: balancer.EvServerList, List: balancer.ListDelta, Servers: one}, acts[:0])
	}))
	return nil
}

// measureConfigs measures configurations without proxies: parsing, and a replacement at real configuration stores.
func measureConfigs(ctx context.Context, t *table, programs Programs, machines int, services []int, runs int) error {
	c, err := newCluster(ctx, programs, machines)
	if err != nil {
		return err
	}
	defer c.stop()
	for range runs {
		for _, n := range services {
			text := newConfig(n, 1)
			t.add("bytes", n, float64(len(text)))
			if _, err := meshconfig.Parse(text); err != nil {
				return err
			}
			t.add("read, checked and compiled, us", n, cpuPerCall(func() { _, _ = meshconfig.Parse(text) }))
			heap, held := heapGrowth(func() *meshconfig.Config { c, _ := meshconfig.Parse(text); return c })
			t.add("compiled, bytes of heap", n, heap)
			t.add("a request's route, us", n, cpuPerCall(func() { held.Match(serviceName(n/2)+".example", "/"+serviceName(n/2)+"/x") }))
			for range 5 {
				storeBefore := c.configStoreCPU()
				took, _, err := c.replaceConfig(ctx, n)
				if err != nil {
					return err
				}
				t.add("ordered at "+fmt.Sprint(machines)+" machines, no proxies: ms to the acknowledgement", n, took.Seconds()*1000)
				t.add("the same: configuration stores' processor time together, ms", n, (c.configStoreCPU()-storeBefore)*1000)
			}
		}
	}
	return nil
}
