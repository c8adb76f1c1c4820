// Package fleet is the rollout of one configuration over many instances, as a state machine free of I/O and clocks: Step
// takes an event and the time and gives the actions that follow. The same events give the same actions.
//
// It holds three things, whatever is lost, doubled, reordered or restarted: an instance counts as applied only while the
// last thing that it said of itself is that it runs the wanted configuration; no change is begun while as many instances as
// the plan allows are being changed or out of sight; and it always ends.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Plan is what a rollout is to do. Times are milliseconds.
type Plan struct {
	ID        string
	Target    string   // content hash of the configuration
	Instances []string // in the order in which they are taken
	Canary    int      // instances of the first wave; default 1
	Share     float64  // of all instances, in each later wave; default 0.25
	MaxAway   int      // being changed or out of sight at once; default 1
	MaxFailed int      // refused or unreachable instances that do not halt it
	Settle    float64  // between the end of a wave and its gate
	Timeout   float64  // for one change to be confirmed; default 30,000
	Tries     int      // changes sent to one instance; default 3
	Limit     float64  // for the whole rollout; default an hour
	Gate      Gate
	Rollback  bool // roll back, and not only halt, when a gate does not open
}

// Gate is the health that the instances of a wave must have for the next one to begin.
type Gate struct {
	Refused, Failed float64 // so much more of the requests may be refused or failed than before the change; 0 = not looked at
	P99             float64 // the p99 may be so many times that before; 0 = not looked at
	Requests        uint64  // an instance that had fewer since its change is not judged
}

// Health is what an instance counts of its requests: totals since its start, and the p99 of the last while in ms.
type Health struct {
	Served, Refused, Failed uint64
	P99                     float64
}

// check fills defaults in and names what cannot be used.
func (p *Plan) check() error {
	p.Canary, p.MaxAway, p.Tries = cmp.Or(p.Canary, 1), cmp.Or(p.MaxAway, 1), cmp.Or(p.Tries, 3)
	p.Share, p.Timeout, p.Limit = cmp.Or(p.Share, 0.25), cmp.Or(p.Timeout, 30_000), cmp.Or(p.Limit, 3_600_000)
	switch {
	case p.ID == "" || p.Target == "":
		return errors.New("a rollout needs an id and a target")
	case len(p.Instances) == 0:
		return errors.New("no instance is selected")
	case p.Canary < 1 || p.MaxAway < 1 || p.Tries < 1 || p.MaxFailed < 0:
		return fmt.Errorf("canary %d, away %d, tries %d and failed %d are not all possible", p.Canary, p.MaxAway, p.Tries, p.MaxFailed)
	case !(p.Share > 0 && p.Share <= 1):
		return fmt.Errorf("share %v is not within 0 and 1", p.Share)
	case !(p.Timeout > 0) || !(p.Limit > 0) || !(p.Settle >= 0):
		return fmt.Errorf("timeout %v, limit %v or settle %v is no time", p.Timeout, p.Limit, p.Settle)
	case !(p.Gate.Refused >= 0) || !(p.Gate.Failed >= 0) || !(p.Gate.P99 >= 0):
		return errors.New("a gate's bounds are not negative")
	}
	names := slices.Sorted(slices.Values(p.Instances))
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return fmt.Errorf("instance %s is selected twice", names[i])
		}
	}
	return nil
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	Tick      EventKind = iota // time has passed
	Reported                   // Instance, Order, Start, Hash, Health: what an instance says of itself
	Confirmed                  // Instance, Token, Start, Hash: its answer to a change, once requests are taken under it
	Rejected                   // Instance, Token, Text: it cannot take the change and has not
	Lost                       // Instance, Order: no contact with it, or with its agent
	Pause
	Resume
	Abort    // nothing new is begun; what is under way is waited for
	RollBack // to what each instance had before
)

// Event is one thing that a rollout hears.
type Event struct {
	Kind     EventKind
	Instance string
	Order    uint64 // of what is told of one instance: what is not later than the last heard is old and dropped
	Token    uint64
	Start    string // id that is new with each start of the instance
	Hash     string
	Text     string
	Health   Health
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	Apply ActionKind = iota + 1 // Instance, Hash, Token: have it take this configuration
	Ask                         // Instance: have it report
	Note                        // Text: for the operator
)

// Action is one thing that a rollout asks for.
type Action struct {
	Kind     ActionKind
	Instance string
	Hash     string
	Token    uint64
	Text     string
}

// Phase is where a rollout stands.
type Phase uint8

// The phases. The last three are ends.
const (
	Running Phase = iota
	Paused
	Settling  // a wave is through, its gate opens or not after a while
	Verifying // all waves are through: each instance is asked once more
	RollingBack
	Complete // every instance is confirmed, or told why not
	Aborted
	RolledBack
)

var phases = [...]string{"running", "paused", "settling", "verifying", "rolling back", "complete", "aborted", "rolled back"}

func (p Phase) String() string { return phases[p] }

// State is where one instance stands.
type State uint8

// The states.
const (
	Waiting     State = iota // not begun
	Changing                 // a change is on its way
	Applied                  // it runs what is wanted, by its own last word
	Refused                  // it cannot take it
	Unreachable              // it does not answer
	Restarted                // it came back with another configuration, more often than the plan tries
)

var states = [...]string{"waiting", "changing", "applied", "refused", "unreachable", "restarted"}

func (s State) String() string { return states[s] }

// Row is what is known of one instance. Hash and Start are its own last word.
type Row struct {
	Instance    string
	State       State
	Hash, Start string
	Seen        float64 // when it was last heard of; 0 = never
	Restarts    int     // seen since the rollout began
	Text        string  // why not
}

// member is one instance of the rollout.
type member struct {
	Row
	wave     int
	want     string // the hash that it is to have; "" for as it is
	before   string // what it had
	order    uint64
	lost     bool
	token    uint64
	tries    int
	deadline float64 // of the change that is out
	asked    float64 // when it was last asked
	verified bool    // heard of since verifying began
	base     Health  // at its first report
	changed  Health  // at its change
	health   Health
}

// Rollout is one rollout. It is not safe for concurrent use.
type Rollout struct {
	plan    Plan
	phase   Phase
	resumed Phase // what Paused came from
	members []*member
	byName  map[string]*member
	wave    int
	waves   int
	token   uint64
	begun   float64
	gateAt  float64
	until   float64 // of verifying
	acts    []Action
	reason  string
}

const askEvery = 1000.0 // an instance that is to be heard is asked so often

// New begins a rollout. An instance that reports to run the target already counts as applied: one that was interrupted
// goes on where it was.
func New(plan Plan, now float64) (*Rollout, error) {
	plan.Instances = slices.Clone(plan.Instances)
	if err := plan.check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	r := &Rollout{plan: plan, begun: now, byName: map[string]*member{}}
	size := max(1, int(plan.Share*float64(len(plan.Instances))))
	for i, name := range plan.Instances {
		m := &member{Row: Row{Instance: name}, want: plan.Target, asked: now - askEvery}
		if i >= plan.Canary {
			m.wave = 1 + (i-plan.Canary)/size
		}
		r.waves = m.wave + 1
		r.members = append(r.members, m)
		r.byName[name] = m
	}
	return r, nil
}

// Phase tells where the rollout stands, and why it stands still.
func (r *Rollout) Phase() (Phase, string) { return r.phase, r.reason }

// Ended tells whether nothing follows any more.
func (r *Rollout) Ended() bool { return r.phase >= Complete }

// Wave tells the wave that is under way, from 1, and how many there are.
func (r *Rollout) Wave() (now, of int) { return min(r.wave+1, r.waves), r.waves }

// Rows tell what is known of each instance.
func (r *Rollout) Rows() []Row {
	rows := make([]Row, len(r.members))
	for i, m := range r.members {
		rows[i] = m.Row
	}
	return rows
}

// Succeeded tells whether the rollout is complete and every instance runs the target by its own word.
func (r *Rollout) Succeeded() bool {
	return r.phase == Complete && !slices.ContainsFunc(r.members, func(m *member) bool { return m.State != Applied || m.Hash != r.plan.Target })
}

// Step takes one event and appends the actions that follow.
func (r *Rollout) Step(now float64, ev *Event, actions []Action) []Action {
	r.acts = actions
	m := r.byName[ev.Instance]
	if r.Ended() {
		return r.acts
	}
	switch ev.Kind {
	case Reported:
		if m != nil && ev.Order > m.order {
			r.report(m, now, ev)
		}
	case Confirmed:
		// Only the answer to the change that is out, from the start that it was sent to, counts; and then only until the
		// instance says otherwise.
		if m != nil && m.State == Changing && ev.Token == m.token && ev.Start == m.Start && ev.Hash == m.want {
			m.Seen, m.Hash = now, ev.Hash
			r.applied(m)
		}
	case Rejected:
		if m != nil && m.State == Changing && ev.Token == m.token {
			m.State, m.Text = Refused, ev.Text
			r.note("%s refuses: %s", m.Instance, ev.Text)
		}
	case Lost:
		if m != nil && ev.Order >= m.order && !m.lost {
			m.lost = true
			r.note("%s is out of sight", m.Instance)
		}
	case Pause:
		if r.phase != Paused {
			r.halt("paused by command")
		}
	case Resume:
		if r.phase == Paused {
			r.phase, r.reason = r.resumed, ""
			r.gateAt = now + r.plan.Settle
			r.note("resumed")
		}
	case Abort:
		r.finish(Aborted, "aborted by command")
		return r.acts
	case RollBack:
		r.rollBack("by command")
	}
	r.advance(now)
	return r.acts
}

func (r *Rollout) note(format string, args ...any) {
	r.acts = append(r.acts, Action{Kind: Note, Text: fmt.Sprintf(format, args...)})
}

func (r *Rollout) halt(why string) {
	r.resumed, r.phase, r.reason = r.phase, Paused, why
	r.note("%s", why)
}

func (r *Rollout) finish(p Phase, why string) {
	for _, m := range r.members {
		if m.State == Changing { // its answer would come too late to be believed
			m.State, m.Text = Unreachable, "no confirmation by the end"
		}
	}
	r.phase, r.reason = p, why
	r.note("%s: %s", p, why)
}

// report takes what an instance says of itself. That is the only ground on which it counts as applied.
func (r *Rollout) report(m *member, now float64, ev *Event) {
	first, restarted := m.order == 0, m.order != 0 && ev.Start != m.Start
	m.order, m.lost, m.verified = ev.Order, false, true
	m.Start, m.Hash, m.Seen, m.health = ev.Start, ev.Hash, now, ev.Health
	if first {
		m.before, m.base = ev.Hash, ev.Health
	}
	if restarted {
		m.Restarts++
		r.note("%s has restarted", m.Instance)
	}
	if m.State == Waiting && m.tries == 0 {
		m.base = ev.Health
	}
	switch {
	case m.want == "":
	case m.Hash == m.want && m.State != Refused:
		if m.State != Applied {
			r.applied(m)
		}
	case m.State == Applied: // it came back with another configuration, or somebody gave it one
		r.again(m, "came back with another configuration")
	case m.State == Changing && restarted:
		r.again(m, "restarted while it was changed")
	case m.State == Unreachable && m.tries < r.plan.Tries:
		m.State, m.Text = Waiting, ""
	}
}

// again has an instance changed once more, if the plan still tries.
func (r *Rollout) again(m *member, why string) {
	m.State, m.Text = Waiting, ""
	if m.tries >= r.plan.Tries {
		m.State, m.Text = Restarted, why
	}
	r.note("%s %s", m.Instance, why)
}

func (r *Rollout) applied(m *member) {
	m.State, m.Text, m.changed = Applied, "", m.health
	r.note("%s has applied", m.Instance)
}

// away counts the instances that are being changed or out of sight.
func (r *Rollout) away() int {
	n := 0
	for _, m := range r.members {
		if m.State == Changing || m.lost || m.State == Unreachable {
			n++
		}
	}
	return n
}

// advance does what is due.
func (r *Rollout) advance(now float64) {
	for _, m := range r.members {
		if m.State == Changing && now >= m.deadline {
			m.State, m.Text = Unreachable, "no confirmation in time"
			r.note("%s does not confirm in time", m.Instance)
			if !m.lost && m.tries < r.plan.Tries {
				m.State = Waiting // in sight: the change or its answer was lost
			}
		}
	}
	if now-r.begun >= r.plan.Limit {
		end := Aborted
		if r.phase == RollingBack {
			end = RolledBack
		}
		r.finish(end, "the time for the whole rollout is up")
		return
	}
	switch r.phase {
	case Running:
		r.runWave(now)
	case Settling:
		r.ask(now, func(m *member) bool { return m.wave == r.wave && m.State == Applied })
		if now >= r.gateAt {
			r.gate(now)
		}
	case Verifying:
		r.verify(now)
	case RollingBack:
		if r.work(now, func(m *member) bool { return m.want != "" }) {
			r.finish(RolledBack, r.reason)
		}
	}
}

// runWave changes the instances of a wave and looks whether it is through.
func (r *Rollout) runWave(now float64) {
	through := r.work(now, func(m *member) bool { return m.wave <= r.wave })
	failed := 0
	for _, m := range r.members {
		if m.State == Refused || m.State == Unreachable || m.State == Restarted {
			failed++
		}
	}
	switch {
	case failed > r.plan.MaxFailed && (through || r.wave == 0):
		if r.plan.Rollback {
			r.rollBack(fmt.Sprintf("%d instances have not taken it", failed))
		} else if through {
			r.stop(now)
		}
	case through:
		r.phase, r.gateAt = Settling, now+r.plan.Settle
	}
}

// stop ends a rollout that has failed too often: what has been done is verified, and the rest is left alone.
func (r *Rollout) stop(now float64) {
	r.reason = "too many instances have not taken it"
	r.note("%s", r.reason)
	r.beginVerify(now)
}

// work begins changes of the chosen instances within the bound, asks those that are to be heard, and tells whether all of
// them are through.
func (r *Rollout) work(now float64, chosen func(*member) bool) bool {
	r.ask(now, func(m *member) bool {
		return chosen(m) && (m.order == 0 || m.lost || m.State == Changing || m.State == Waiting)
	})
	through, away := true, r.away()
	for _, m := range r.members {
		if !chosen(m) {
			continue
		}
		if m.State == Waiting && (m.order == 0 || m.lost) && now-r.begun >= r.plan.Timeout && now-m.Seen >= r.plan.Timeout {
			if m.State, m.Text = Unreachable, "not in sight"; !m.lost {
				away++
			}
		}
		if m.State == Waiting && m.order > 0 && !m.lost && away < r.plan.MaxAway {
			r.token++
			away++
			m.State, m.token, m.deadline = Changing, r.token, now+r.plan.Timeout
			m.tries++
			r.acts = append(r.acts, Action{Kind: Apply, Instance: m.Instance, Hash: m.want, Token: m.token})
		}
		if m.State == Waiting || m.State == Changing {
			through = false
		}
	}
	if !through && r.stuck() {
		for _, m := range r.members {
			if chosen(m) && m.State == Waiting {
				return true // nothing can be begun, as too many are out of sight for good
			}
		}
	}
	return through
}

// stuck tells that no change is out and none can be begun.
func (r *Rollout) stuck() bool {
	gone := 0
	for _, m := range r.members {
		if m.State == Changing {
			return false
		}
		if m.State == Unreachable {
			gone++
		}
	}
	return gone >= r.plan.MaxAway
}

// ask has instances report, each so often.
func (r *Rollout) ask(now float64, chosen func(*member) bool) {
	for _, m := range r.members {
		if chosen(m) && now-m.asked >= askEvery {
			m.asked = now
			r.acts = append(r.acts, Action{Kind: Ask, Instance: m.Instance})
		}
	}
}

// gate compares the instances of the wave with what they were before their change.
func (r *Rollout) gate(now float64) {
	for _, m := range r.members {
		if m.wave != r.wave || m.State != Applied {
			continue
		}
		if why := r.plan.Gate.sick(m); why != "" {
			why = fmt.Sprintf("the gate of wave %d stays shut: %s: %s", r.wave+1, m.Instance, why)
			if r.plan.Rollback {
				r.rollBack(why)
			} else {
				r.halt(why)
			}
			return
		}
	}
	if r.wave+1 < r.waves {
		r.wave++
		r.phase = Running
		r.note("wave %d of %d", r.wave+1, r.waves)
		return
	}
	r.beginVerify(now)
}

// sick tells what is worse at an instance since its change than a gate allows; "" for nothing.
func (g *Gate) sick(m *member) string {
	now := m.health
	if now.Served < m.changed.Served || now.Refused < m.changed.Refused || now.Failed < m.changed.Failed {
		m.changed = Health{} // it has restarted and counts anew
	}
	refused, failed, n := shares(m.changed, now)
	refusedBefore, failedBefore, _ := shares(Health{}, m.base)
	switch {
	case n < max(g.Requests, 1):
		return ""
	case g.Refused > 0 && refused > refusedBefore+g.Refused:
		return fmt.Sprintf("%.1f%% of requests refused, %.1f%% before", 100*refused, 100*refusedBefore)
	case g.Failed > 0 && failed > failedBefore+g.Failed:
		return fmt.Sprintf("%.1f%% of requests failed, %.1f%% before", 100*failed, 100*failedBefore)
	case g.P99 > 0 && m.base.P99 > 0 && now.P99 > g.P99*m.base.P99:
		return fmt.Sprintf("p99 %.1f ms, %.1f ms before", now.P99, m.base.P99)
	}
	return ""
}

// shares are those of requests refused and failed between two counts, and how many there were.
func shares(from, to Health) (refused, failed float64, n uint64) {
	n = to.Served - from.Served + to.Refused - from.Refused + to.Failed - from.Failed
	if n == 0 {
		return 0, 0, 0
	}
	return float64(to.Refused-from.Refused) / float64(n), float64(to.Failed-from.Failed) / float64(n), n
}

func (r *Rollout) beginVerify(now float64) {
	r.phase, r.until = Verifying, now+r.plan.Timeout
	for _, m := range r.members {
		m.verified = false
		m.asked = now - askEvery
	}
}

// verify hears each instance that was changed once more, so that the end tells how things are and not how they were.
func (r *Rollout) verify(now float64) {
	touched := func(m *member) bool { return m.State == Applied || m.tries > 0 && m.State != Refused }
	r.ask(now, func(m *member) bool { return touched(m) && !m.verified })
	r.work(now, func(m *member) bool { return m.State == Changing || m.State == Waiting && m.tries > 0 && !m.lost })
	if now < r.until && slices.ContainsFunc(r.members, func(m *member) bool {
		return m.State == Changing || touched(m) && !m.verified
	}) {
		return
	}
	for _, m := range r.members {
		if m.State == Applied && (!m.verified || m.lost) {
			m.State, m.Text = Unreachable, "applied, and not heard of since"
		}
	}
	r.finish(Complete, cmp.Or(r.reason, "all waves are through"))
}

// rollBack wants each instance that was touched to have what it had before.
func (r *Rollout) rollBack(why string) {
	if r.phase == RollingBack {
		return
	}
	r.phase, r.reason = RollingBack, "rolled back: "+why
	r.note("rolling back: %s", why)
	for _, m := range r.members {
		touched := m.tries > 0
		m.want, m.tries, m.Restarts = "", 0, 0
		if !touched || m.before == "" || m.State == Refused {
			if m.State != Refused {
				m.State = Waiting
			}
			continue
		}
		m.want = m.before
		if m.State = Waiting; m.Hash == m.want {
			m.State = Applied
		}
	}
}
