package modelcheck

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"milletmast/internal/mesh/consensus"
)

// op is one attempt to run a command at one node.
type op struct {
	command  Command
	target   int
	change   consensus.Change
	called   time.Duration
	returned time.Duration
	result   consensus.Result // its outcome is 0 until there is an answer
}

// ackedVersion is a version and the time at which an operator received its acknowledgement.
type ackedVersion struct {
	at     time.Duration
	number uint64
}

// history is what clients observe and what stores report as committed.
type history struct {
	ops       []*op
	lastRead  map[string]consensus.Version // the last version that an operator has received, by key
	acked     map[string][]ackedVersion    // by key, in the order of time and of version
	contentOf map[string]map[consensus.Version]string
	versionAt map[string]map[consensus.Ballot]consensus.Version
	configs   map[uint64]*consensus.VoterConfig // the committed voter configurations, by epoch
	handovers []time.Duration                   // the times at which the coordinator role was handed over within the last second
	newest    *consensus.VoterConfig
	invalid   map[string]bool // the bodies of invalid configurations
}

func newHistory() history {
	return history{
		lastRead: map[string]consensus.Version{}, acked: map[string][]ackedVersion{}, contentOf: map[string]map[consensus.Version]string{},
		versionAt: map[string]map[consensus.Ballot]consensus.Version{}, configs: map[uint64]*consensus.VoterConfig{},
		invalid: map[string]bool{},
	}
}

// keys returns the keys of all commands.
func (sim *simulation) keys() []string {
	var out []string
	for _, o := range sim.ops {
		if !slices.Contains(out, o.command.Key) {
			out = append(out, o.command.Key)
		}
	}
	slices.Sort(out)
	return out
}

// recordAnswer records the answer to an operator.
func (sim *simulation) recordAnswer(x *op, r consensus.Result) {
	x.returned, x.result = sim.now, r
	sim.report.Answered++
	if x.command.Defect != "" {
		sim.violation("invalid not refused: m%d answers %v to %v", x.target, r.Outcome, x.command)
	}
	if r.Value == nil {
		return
	}
	key := x.command.Key
	sim.checkContent(key, r.Value, "an answer to an operator")
	if fs := sim.acked[key]; len(fs) == 0 || fs[len(fs)-1].number < r.Value.Version.Number {
		sim.acked[key] = append(fs, ackedVersion{sim.now, r.Value.Version.Number})
	}
	sim.lastRead[key] = r.Value.Version
}

// checkContent checks that each version of a key has one content only, which is valid. Where names the source of v in a violation.
func (sim *simulation) checkContent(key string, v *consensus.Value, where string) {
	if sim.invalid[string(v.Body)] {
		sim.violation("invalid in force: %s %v: %q from %s", key, v.Version, v.Body, where)
	}
	all := sim.contentOf[key]
	if all == nil {
		all = map[consensus.Version]string{}
		sim.contentOf[key] = all
	}
	if old, ok := all[v.Version]; ok && old != string(v.Body) {
		sim.violation("two contents: of %s %v: %q, and %q from %s", key, v.Version, old, v.Body, where)
	}
	all[v.Version] = string(v.Body)
}

// checkCommitted checks all registers that a store holds as committed, and its voter configuration: a ballot has one value, and a
// higher ballot has no lower version.
func (sim *simulation) checkCommitted(p *storeProcess) {
	for _, r := range p.AllCommitted() {
		if r.Value.Voters == nil {
			sim.checkContent(r.Key, &r.Value, p.Self().DiskID)
		}
		at := sim.versionAt[r.Key]
		if at == nil {
			at = map[consensus.Ballot]consensus.Version{}
			sim.versionAt[r.Key] = at
		}
		if old, ok := at[r.Accepted]; ok {
			if old != r.Value.Version {
				sim.violation("two values: of %s at one ballot: %v and %v", r.Key, old, r.Value.Version)
			}
			continue
		}
		at[r.Accepted] = r.Value.Version
		for b, version := range at {
			if c := b.Compare(r.Accepted); c < 0 && version.Compare(r.Value.Version) > 0 || c > 0 && version.Compare(r.Value.Version) < 0 {
				sim.violation(
					"went back: versions of %s against the order of ballots: %v at %v, %v at %v",
					r.Key,
					version,
					b,
					r.Value.Version,
					r.Accepted,
				)
			}
		}
	}
	set := p.Voters()
	sim.recordConfig(&set)
}

// checkLease checks what a store serves under a lease: nothing older than what was acknowledged
// before the lease was requested.
func (sim *simulation) checkLease(p *storeProcess) {
	now := sim.time()
	left := p.LeaseRemaining(now)
	if p.node.process != p || p.storageFailed || p.busy || left == 0 {
		return
	}
	requestedAt := sim.now + left - leaseTime
	if sim.hooks.wrap != nil { // the planted fault may be in the reported lease: assume the longest one
		requestedAt = sim.now - leaseTime
	} else if until := now.Add(left); until.Equal(p.leaseSeen) {
		return
	} else {
		p.leaseSeen = until
	}
	for key, fs := range sim.acked {
		i := len(fs) - 1
		for i >= 0 && fs[i].at > requestedAt {
			i--
		}
		if i < 0 {
			continue
		}
		var number uint64
		for _, r := range p.AllCommitted() {
			if r.Key == key {
				number = r.Value.Version.Number
			}
		}
		if number < fs[i].number {
			sim.violation(
				"old: %s serves %s version %d, but version %d was acknowledged at %v and its lease was requested at %v",
				p.Self().DiskID,
				key,
				number,
				fs[i].number,
				fs[i].at,
				requestedAt,
			)
		}
	}
}

// Most attempts without an answer in a history that porcupine checks: each of them doubles its work. For configurations porcupine only
// confirms what checkVersionOrder finds, so that the limit is lower.
const (
	maxUnanswered       = 3
	maxUnansweredConfig = 1
)

// checkHistory checks the history of each key by the order of its versions, and with porcupine if few of its attempts have no answer.
func (sim *simulation) checkHistory() {
	if len(sim.report.Violations) > 0 {
		return
	}
	sim.checkRejected()
	for _, key := range sim.keys() {
		sim.checkVersionOrder(key)
		var ops []porcupine.Operation
		unanswered := 0
		for i, x := range sim.ops {
			if x.command.Key != key || x.change.Kind == 0 || x.result.Outcome == 0 && (x.change.Kind == consensus.Read || sim.covered(x)) {
				continue // it reached no store, or has no effect that another attempt cannot have
			}
			o := porcupine.Operation{ClientId: i, Input: x, Call: int64(x.called), Output: x.result, Return: int64(x.returned)}
			if x.result.Outcome == 0 {
				unanswered++
				o.Return = int64(sim.now) + int64(time.Hour)
			}
			ops = append(ops, o)
		}
		sim.report.Attempts += len(ops)
		if unanswered > maxUnanswered || unanswered > maxUnansweredConfig && key == "config" {
			sim.report.SkippedHistories++
			continue
		}
		sim.report.CheckedHistories++
		switch porcupine.CheckOperationsTimeout(registerModel, ops, time.Second) {
		case porcupine.Illegal:
			sim.violation("not linearizable: %s%s", key, formatOps(ops))
		case porcupine.Unknown:
			sim.report.SkippedHistories++
		}
	}
}

// covered reports whether an earlier attempt of the same content without an answer can have had
// every effect of this one.
func (sim *simulation) covered(x *op) bool {
	return x.change.Kind == consensus.PutVersion && slices.ContainsFunc(sim.ops, func(o *op) bool {
		return o != x && o.result.Outcome == 0 && o.change.Kind == consensus.PutVersion &&
			o.command.Key == x.command.Key && o.command.Number == x.command.Number &&
			o.command.Body == x.command.Body &&
			(o.called < x.called || o.called == x.called && o.target < x.target)
	})
}

// stateDigest returns a digest of the state of all stores, by which a benchmark counts distinct states. Times and version numbers are
// left out. It covers which stores run, how far their epochs are behind, their roles and leases, and for each key whether they hold
// the newest value and have promised a higher ballot.
func (sim *simulation) stateDigest() uint64 {
	newest := map[string]consensus.Ballot{}
	for _, p := range sim.running() {
		for _, h := range p.Acceptor().States() {
			if h.Accepted.Compare(newest[h.Key]) > 0 {
				newest[h.Key] = h.Accepted
			}
		}
	}
	h := xxhash.New()
	add := func(x ...byte) { h.Write(x) }
	bit := func(b bool) byte {
		if b {
			return 1
		}
		return 0
	}
	add(byte(len(sim.newest.Voters)), byte(len(sim.newest.Incoming)))
	for _, m := range sim.nodes {
		p := m.process
		if p == nil {
			add(9, bit(m.removed))
			continue
		}
		add(
			bit(m.frozen > 0),
			bit(p.storageFailed),
			bit(p.busy),
			byte(sim.newest.Epoch-p.Voters().Epoch),
			byte(p.State()),
			bit(p.LeaseRemaining(sim.time()) > 0),
		)
		for _, x := range p.Acceptor().States() {
			add(bit(x.Accepted == newest[x.Key]), bit(x.Promised != x.Accepted), bit(x.Accepted == consensus.Ballot{}))
		}
	}
	return h.Sum64()
}
