package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"milletmast/balancer"
	"milletmast/internal/mesh/affinity"
)

const (
	joinZones      = 4
	joinServices   = 3 // each machine has an endpoint of one of them
	joinWarmMillis = 20_000
	joinMillis     = 4_000 // in which the endpoint that has joined gets a request from another machine
)

// joinCaller is the decision module of one proxy, driven with simulated time.
type joinCaller struct {
	module   *balancer.Balancer
	random   *rand.Rand
	affinity *affinity.Table
	pending  []pendingEvent // by time
	requests uint32
	sent     map[uint32]int // by endpoint
}

// pendingEvent is an event that is due at a time, in milliseconds.
type pendingEvent struct {
	at    float64
	event balancer.Event
}

func newJoinCaller(t *testing.T, zone int, seed uint64) *joinCaller {
	t.Helper()
	classes := []classKey{{true, time.Second, 2}, {false, 600 * time.Millisecond, 1}}
	module, err := balancer.New(moduleSettings(classes, zone), seed, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &joinCaller{module: module, random: rand.New(rand.NewPCG(seed, 1)), sent: map[uint32]int{}}
}

// handle handles an event. Requests that are sent take up to 400 ms.
func (c *joinCaller) handle(now float64, event balancer.Event) {
	for _, action := range c.module.Handle(now, &event, nil) {
		switch action.Kind {
		case balancer.ActTimer:
			c.schedule(now+action.Delay, balancer.Event{Kind: balancer.EvTimer, Token: action.Token})
		case balancer.ActSend:
			c.sent[action.Server]++
			elapsed := 20 + 380*c.random.Float64()
			c.schedule(now+elapsed, balancer.Event{
				Kind: balancer.EvAttemptEnded, Request: action.Request, Attempt: action.Attempt, Server: action.Server,
				Outcome: balancer.OK, Elapsed: elapsed, RequestEnded: true,
			})
		}
	}
}

func (c *joinCaller) schedule(at float64, event balancer.Event) {
	position, _ := slices.BinarySearchFunc(c.pending, at, func(p pendingEvent, at float64) int {
		if p.at <= at {
			return -1
		}
		return 1
	})
	c.pending = slices.Insert(c.pending, position, pendingEvent{at, event})
}

// run sends requests at a mean rate a second until a time.
func (c *joinCaller) run(from, until, perSecond float64) {
	next := from + c.random.ExpFloat64()*1000/perSecond
	for {
		if len(c.pending) > 0 && c.pending[0].at < min(next, until) {
			due := c.pending[0]
			c.pending = c.pending[1:]
			c.handle(due.at, due.event)
			continue
		}
		if next >= until {
			return
		}
		c.request(next)
		next += c.random.ExpFloat64() * 1000 / perSecond
	}
}

func (c *joinCaller) request(now float64) {
	c.requests++
	event := balancer.Event{
		Kind: balancer.EvRequest, Request: c.requests, Class: uint16(c.requests % 2), Deadline: now + 1500,
	}
	if c.affinity != nil {
		for _, name := range c.affinity.Rank(fmt.Sprint("client ", c.random.Uint64()), affinityDepth) {
			id, _ := strconv.ParseUint(name, 10, 32) // setEndpoints has made the name of a number
			event.PreferredServers = append(event.PreferredServers, uint32(id))
		}
	}
	c.handle(now, event)
}

// setEndpoints passes a list of endpoints to the module, as updateEndpoints does.
func (c *joinCaller) setEndpoints(now float64, endpoints []balancer.ServerEntry, bulk, withAffinity bool, zone int) {
	list := slices.Clone(endpoints)
	var accepting []affinity.Node
	for i := range list {
		list[i].Backup = bulk && int(list[i].Zone) != zone
		accepting = append(accepting, affinity.Node{Name: fmt.Sprint(list[i].ID), Weight: 9})
	}
	if withAffinity {
		c.affinity = affinity.NewTable(accepting)
	}
	c.handle(now, balancer.Event{Kind: balancer.EvServerList, List: balancer.ListFull, Servers: list, Replicas: moduleReplicas, Rank: 1})
}

// An endpoint that joins gets a request from another machine within four seconds, though each machine sends but one request in two seconds
// to its service: with the zone preference, in the lane of large bodies, and with client affinity.
func TestJoiningEndpointIsChosen(t *testing.T) {
	const perSecond, seeds = 0.5, 10
	for _, machines := range []int{30, 300} {
		for _, lane := range []struct {
			name           string
			bulk, affinity bool
		}{{name: "default"}, {name: "bulk", bulk: true}, {name: "affinity", affinity: true}} {
			t.Run(fmt.Sprintf("%d machines, %s", machines, lane.name), func(t *testing.T) {
				for seed := range uint64(seeds) {
					if n := requestsToJoining(t, machines, perSecond, seed, lane.bulk, lane.affinity); n == 0 {
						t.Errorf("seed %d: no machine has sent a request to the endpoint that has joined", seed)
					}
				}
			})
		}
	}
}

// requestsToJoining returns the number of requests that machines have sent to an endpoint in the first seconds after they know of it.
func requestsToJoining(t *testing.T, machines int, perSecond float64, seed uint64, bulk, withAffinity bool) (n int) {
	t.Helper()
	var endpoints []balancer.ServerEntry
	for i := range machines / joinServices {
		endpoints = append(endpoints, balancer.ServerEntry{ID: uint32(i + 1), Zone: uint8(i % joinZones), State: balancer.Ready, Weight: 1})
	}
	joining := balancer.ServerEntry{ID: uint32(machines + 1), Zone: uint8(seed % joinZones), State: balancer.Ready, Weight: 1}
	for machine := range machines {
		zone := machine % joinZones
		c := newJoinCaller(t, zone, seed<<32|uint64(machine))
		c.setEndpoints(0, endpoints, bulk, withAffinity, zone)
		c.run(0, joinWarmMillis, perSecond)
		c.setEndpoints(joinWarmMillis, append(slices.Clone(endpoints), joining), bulk, withAffinity, zone)
		c.run(joinWarmMillis, joinWarmMillis+joinMillis, perSecond)
		n += c.sent[joining.ID]
	}
	return n
}
