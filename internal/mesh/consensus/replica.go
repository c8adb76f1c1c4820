package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings configure a replica.
type Settings struct {
	Lease           time.Duration // duration of a read lease, from when the quorum read was sent
	ProposalTimeout time.Duration // after which the outcome of a proposal is Unknown
	InlineLimit     int           // maximum size in bytes of a body that is sent inline; 0 for the default
	TimeScale       float64       // factor for all other times; 0 means 1
}

// Output holds the effects of an input. Registers and Voters must be on disk before requests or
// results leave the process.
type Output struct {
	Registers []Register
	Voters    *VoterConfig // to be persisted, if not nil
	Requests  []Request
	Results   []Result
	Changed   bool // a committed value or the voter configuration has changed
}

// Result is the result of a proposal.
type Result struct {
	Proposal uint64
	Outcome  Outcome
	Value    *Value // the committed value; nil for none, or if the outcome is Unknown
	Changed  bool   // this proposal changed the value
}

// Replica is one process: the acceptor of its disk, its proposals, and the registers that it knows to
// be committed.
// It is not safe for concurrent use.
type Replica struct {
	self            Member
	settings        Settings
	voters          VoterConfig
	acceptor        *Acceptor
	committed       map[string]Register // by key
	peers           map[string]*peer    // by address
	rounds          map[string]*round   // by key, the one in progress
	pending         map[string][]proposal
	lastRequestID   uint64
	read            *quorumRead
	lastReadAt      time.Time // when the last quorum read was sent
	leaseUntil      time.Time // until then, the committed registers are certain to be the newest; zero for no lease
	stalledSince    map[string]time.Time
	reportedInEpoch []string        // keys that a quorum reported in this epoch; nil until one has
	reproposed      map[string]bool // the keys of reportedInEpoch that were committed in the joint configuration
	bodies          bodies
	leaving         bool // Leave was called
	output          Output
}

// NewReplica returns a replica with the voters and registers that were read from its disk.
func NewReplica(self Member, settings Settings, voters VoterConfig, stored []Register) *Replica {
	r := &Replica{
		self:         self,
		settings:     settings,
		voters:       voters,
		acceptor:     NewAcceptor(stored),
		committed:    map[string]Register{},
		peers:        map[string]*peer{},
		rounds:       map[string]*round{},
		pending:      map[string][]proposal{},
		stalledSince: map[string]time.Time{},
		reproposed:   map[string]bool{},
		bodies:       bodies{inlineLimit: cmp.Or(settings.InlineLimit, defaultInlineLimit), wanted: map[uint64]*bodyRequest{}},
	}
	for _, m := range voters.Members() {
		r.AddPeer(m.Addr)
	}
	return r
}

// Self returns the member that this replica is.
func (r *Replica) Self() Member { return r.self }

// Voters returns the voter configuration in use.
func (r *Replica) Voters() VoterConfig { return r.voters }

// Acceptor returns the acceptor of the disk.
func (r *Replica) Acceptor() *Acceptor { return r.acceptor }

// Committed returns the newest value of a key that this replica knows to be committed.
func (r *Replica) Committed(key string) (v Value, ok bool) {
	x, ok := r.committed[key]
	return x.Value, ok
}

// AllCommitted returns all registers that this replica knows to be committed, sorted by key.
func (r *Replica) AllCommitted() []Register {
	out := make([]Register, 0, len(r.committed))
	for _, key := range slices.Sorted(maps.Keys(r.committed)) {
		out = append(out, r.committed[key])
	}
	return out
}

// LeaseRemaining returns for how much longer the committed registers are certain to be the newest; 0
// for no lease.
func (r *Replica) LeaseRemaining(now time.Time) time.Duration { return max(r.leaseUntil.Sub(now), 0) }

// takeOutput returns and clears the collected output.
func (r *Replica) takeOutput() Output {
	out := r.output
	r.output = Output{}
	return out
}

// Append adds the output of a later input.
func (o *Output) Append(other Output) {
	o.Registers = append(o.Registers, other.Registers...)
	o.Requests = append(o.Requests, other.Requests...)
	o.Results = append(o.Results, other.Results...)
	if other.Voters != nil {
		o.Voters = other.Voters
	}
	o.Changed = o.Changed || other.Changed
}

// persist adds a register to the records of the output.
func (r *Replica) persist(key string) {
	x := r.acceptor.Get(key)
	for i := range r.output.Registers {
		if r.output.Registers[i].Key == key {
			r.output.Registers[i] = x
			return
		}
	}
	r.output.Registers = append(r.output.Registers, x)
}

// Tick runs the work that is due: retries, timeouts, quorum reads, stalled registers.
func (r *Replica) Tick(now time.Time) Output {
	for _, key := range slices.Sorted(maps.Keys(r.rounds)) {
		round := r.rounds[key]
		round.proposals = r.expire(now, round.proposals)
		switch {
		case len(round.proposals) == 0:
			delete(r.rounds, key)
			r.startRound(now, key)
		case round.phase == backingOff:
			if !now.Before(round.retryAt) {
				r.enterPhase(now, round, preparing)
			}
		case now.Sub(round.sentAt) >= resendInterval && len(round.rejections) > 0:
			r.enterPhase(now, round, backingOff)
		case now.Sub(round.sentAt) >= resendInterval:
			r.sendRound(now, round)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.pending)) {
		r.pending[key] = r.expire(now, r.pending[key])
	}
	if now.Sub(r.lastReadAt) >= r.readInterval(now) {
		r.startQuorumRead(now)
	}
	r.reproposeStalled(now)
	return r.takeOutput()
}

// NextTick returns when Tick is to be called next.
func (r *Replica) NextTick(now time.Time) time.Time {
	due := now.Add(r.fastInterval())
	if r.lastReadAt.IsZero() {
		due = now
	}
	for _, round := range r.rounds {
		at := round.sentAt.Add(resendInterval)
		if round.phase == backingOff {
			at = round.retryAt
		}
		if at.Before(due) {
			due = at
		}
	}
	return due
}
