package emulate

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletmast/balancer"
	"milletmast/internal/rules"
)

// Constants of a run.
const (
	epoch             = 1e6     // ms: virtual time at the start, not 0 as the module treats a time of 0 as unknown
	maxOverrun        = 120_000 // ms after the end of demand at which a run ends, also with open requests
	informedShare     = 2. / 3  // least share of the work that overloads a cold server that comes from sidecars which knew of its start
	stopCheckInterval = 1 << 14 // events between two calls of isStopped
	answerSlack       = 20.0    // ms after its client's timeout by which a final response may be late
)

// simulation is one run.
type simulation struct {
	scenario    *Scenario
	clock       clock
	random      randomStreams
	discovery   discoveryState
	servers     []*server          // current servers by slot
	serversByID map[uint32]*server // all servers so far
	sidecars    []*sidecar
	traffic     *Traffic
	checker     *rules.Checker
	hash        *xxhash.Digest
	wrapModule  func(*sidecar, module) module // set by tests that observe or replace actions of modules; nil for none
	onFact      func(*rules.Fact)             // called with every fact; nil for none
	isStopped   func() bool                   // reports that the run has to stop; nil for never

	requestCount uint64 // tries that reached a sidecar
	pendingTries int    // open tries and those that are scheduled
	result       *Result
	err          error
}

// newSimulation returns a run that has not started.
func newSimulation(sc *Scenario, seed uint64) *simulation {
	w := &simulation{
		scenario: sc, random: newStreams(seed), traffic: NewTraffic(sc, seed), serversByID: map[uint32]*server{}, hash: xxhash.New(),
		discovery: discoveryState{entries: map[uint32]balancer.ServerEntry{}},
	}
	w.clock.now = epoch
	w.result = NewResult(sc, seed, epoch)
	set := sc.Pool.Settings()
	w.checker = rules.NewChecker(rules.Limits{
		Classes: set.Classes, MaxAttempts: sc.Pool.Attempts, AnswerSlack: answerSlack, DrainGrace: sc.Pool.DrainGrace.MS(),
		ColdOverloadRatio: sc.Servers.Fall, ColdOverloadWindow: sc.Servers.FallAfter.MS(), InformedShare: informedShare,
	})
	for i := range sc.Servers.Count {
		w.addServer(i, -1)
	}
	for i := range sc.Copies.Count {
		w.sidecars = append(w.sidecars, &sidecar{sim: w, rank: i, zone: i % max(len(sc.Pool.Zones), 1)})
	}
	return w
}

// now returns the virtual time in ms.
func (w *simulation) now() float64 { return w.clock.now }

// wallTime returns the virtual time as a time.Time.
func (w *simulation) wallTime() time.Time { return time.Unix(0, int64(w.clock.now*1e6)) }

// setError records the first error of the run.
func (w *simulation) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// serverName returns the name of a server in subsets and overrides.
func (w *simulation) serverName(id uint32) string { return fmt.Sprint("s", id) }

// nextRequest returns the id of the next request that reaches a sidecar.
func (w *simulation) nextRequest() uint64 {
	w.requestCount++
	return w.requestCount
}

// record records a fact for the rules and for the hash of the run.
func (w *simulation) record(f *rules.Fact) {
	f.At = w.now()
	var b [56]byte
	binary.LittleEndian.PutUint64(b[0:], math.Float64bits(f.At))
	binary.LittleEndian.PutUint64(b[8:], f.Request)
	binary.LittleEndian.PutUint32(b[16:], f.Replica)
	binary.LittleEndian.PutUint32(b[20:], f.Server)
	binary.LittleEndian.PutUint64(b[24:], math.Float64bits(f.Work))
	binary.LittleEndian.PutUint64(b[32:], math.Float64bits(f.Due))
	binary.LittleEndian.PutUint16(b[40:], f.Attempt)
	b[42], b[43] = byte(f.Kind), byte(f.Answer)
	for i, v := range [...]bool{f.Serves, f.Cold, f.MayRun} {
		if v {
			b[44+i] = 1
		}
	}
	w.hash.Write(b[:])
	w.checker.Record(f)
	if w.onFact != nil {
		w.onFact(f)
	}
}

// delay returns the delay of one of the messages of an attempt, in ms.
func (w *simulation) delay(h *sidecar, a *attempt, message int) float64 {
	n := &w.scenario.Network
	ms := n.Delay.MS()
	if j := n.Jitter.MS(); j > 0 {
		u := w.random.uniform(drawDelay, a.call.id, uint64(4*a.number+message))
		ms -= j * math.Log1p(-u)
	}
	if int(a.server.zone) != h.zone {
		ms += n.Across.MS()
	}
	return ms
}

// listDelay returns the time until a change of the list reaches a sidecar, in ms.
func (w *simulation) listDelay(h *sidecar) float64 {
	u := w.random.uniform(drawList, uint64(h.rank), uint64(len(w.discovery.changes)))
	return w.scenario.Discovery.Lag.MS() - w.scenario.Discovery.Jitter.MS()*math.Log1p(-u)
}

// passes reports whether messages between a sidecar and a server arrive.
func (w *simulation) passes(h *sidecar, s *server) bool {
	return int(s.zone) == h.zone || h.cutFaults == 0 && s.cutFaults == 0
}

// run runs the simulation to its end.
func (w *simulation) run() {
	for _, h := range w.sidecars {
		if at := w.scenario.Copies.Start.MS() * float64(h.rank) / float64(len(w.sidecars)); at > 0 {
			w.clock.after(at, h.start)
		} else {
			h.start()
		}
	}
	for i := range w.scenario.Faults {
		f := &w.scenario.Faults[i]
		r := w.random.stream(fmt.Sprint("fault ", i))
		w.clock.schedule(epoch+f.At.MS(), func() { w.startFault(f, r) })
	}
	if w.err != nil {
		return
	}
	w.scheduleArrivals()
	end := epoch + w.scenario.For.MS()
	for w.err == nil && w.clock.next() <= end+maxOverrun && (w.pendingTries > 0 || w.clock.next() <= end) {
		w.clock.step()
		if w.clock.executed%stopCheckInterval == 0 && w.isStopped != nil && w.isStopped() {
			return
		}
	}
	w.record(&rules.Fact{Kind: rules.RunEnded})
	w.result.finish(w)
}
