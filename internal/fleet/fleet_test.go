package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// world is instances that a rollout acts on, with a network that loses, doubles and delays what goes either way.
type world struct {
	instances map[string]*instance
	flight    []flying
	applying  map[string]bool // changes under way
	most      int
}

type instance struct {
	name         string
	start, order uint64
	hash, file   string // what it runs, and what it loads when it starts
	up           bool
	rejects      bool
	health       Health
}

type flying struct {
	at float64
	ev Event
	to string // an action on its way to an instance: Apply or Ask
	do Action
}

func (w *world) startID(i *instance) string { return fmt.Sprint(i.name, "#", i.start) }

func (w *world) report(i *instance) Event {
	i.order++
	return Event{Kind: Reported, Instance: i.name, Order: i.order, Start: w.startID(i), Hash: i.hash, Health: i.health}
}

// receive has an instance carry out an action and gives what it answers.
func (w *world) receive(a Action) []Event {
	i := w.instances[a.Instance]
	if !i.up {
		return nil
	}
	if a.Kind == Ask {
		return []Event{w.report(i)}
	}
	if i.rejects {
		return []Event{{Kind: Rejected, Instance: i.name, Token: a.Token, Text: "port taken"}}
	}
	i.hash = a.Hash
	return []Event{{Kind: Confirmed, Instance: i.name, Token: a.Token, Start: w.startID(i), Hash: i.hash}, w.report(i)}
}

// play runs a rollout in a random world and checks the invariants after each step.
func play(t *rapid.T, disturb bool, plan Plan) (*Rollout, *world) {
	w := &world{instances: map[string]*instance{}}
	for _, name := range plan.Instances {
		w.instances[name] = &instance{name: name, start: 1, hash: "old", file: "old", up: true}
		if disturb {
			w.instances[name].rejects = rapid.IntRange(0, 9).Draw(t, "rejects") == 0
		}
	}
	r, err := New(plan, 0)
	if err != nil {
		t.Fatal(err)
	}
	away := max(plan.MaxAway, 1)
	now := 0.0
	handle := func(ev Event) {
		changing := 0
		acts := r.Step(now, &ev, nil)
		for _, row := range r.Rows() {
			if row.State == Changing {
				changing++
			}
			back := r.phase >= RollingBack || r.phase == Paused && r.resumed == RollingBack
			if row.State == Applied && !back && row.Hash != plan.Target {
				t.Fatalf("%s counts as applied and last said that it runs %s", row.Instance, row.Hash)
			}
		}
		if changing > away {
			t.Fatalf("%d are being changed, over the %d allowed", changing, away)
		}
		for _, a := range acts {
			if a.Kind != Note {
				w.flight = append(w.flight, flying{at: now, to: a.Instance, do: a})
			}
		}
	}
	delay := func() float64 {
		if !disturb {
			return 1
		}
		return float64(rapid.IntRange(1, 3000).Draw(t, "delay"))
	}
	lose := func() bool { return disturb && rapid.IntRange(0, 9).Draw(t, "lose") == 0 }
	for steps := 0; !r.Ended(); steps++ {
		if steps > 200_000 {
			t.Fatalf("no end: %v, %+v", r.phase, r.Rows())
		}
		now += 100
		if disturb && now < 100_000 {
			i := w.instances[rapid.SampledFrom(plan.Instances).Draw(t, "victim")]
			switch rapid.IntRange(0, 60).Draw(t, "mishap") {
			case 0:
				i.up = false
			case 1: // it starts anew, with what its file says
				i.up = true
				i.start++
				i.hash, i.health = i.file, Health{}
			case 2:
				i.file = i.hash
			case 3:
				handle(Event{Kind: Lost, Instance: i.name, Order: i.order})
			case 4:
				handle(Event{Kind: rapid.SampledFrom([]EventKind{Pause, Resume, Resume, Resume}).Draw(t, "command")})
			}
		} else if disturb {
			handle(Event{Kind: Resume})
		}
		due := w.flight
		w.flight = nil
		for _, f := range due {
			switch {
			case f.at > now:
				w.flight = append(w.flight, f)
			case f.to != "":
				if lose() {
					continue
				}
				for _, ev := range w.receive(f.do) {
					for range 1 + btoi(lose()) { // doubled now and then
						if !lose() {
							w.flight = append(w.flight, flying{at: now + delay(), ev: ev})
						}
					}
				}
			default:
				handle(f.ev)
			}
		}
		handle(Event{Kind: Tick})
	}
	return r, w
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("i", i)
	}
	return list
}

// Whatever is lost, doubled, reordered or restarted: the bound holds, none counts as applied against its own last word, and
// the rollout ends. These are checked in play; here, that the end tells no success that is none.
func TestRolloutUnderMishaps(t *testing.T) {
	ends := map[Phase]int{}
	applied := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		plan := Plan{
			ID: "r", Target: "new", Instances: names(n), Canary: rapid.IntRange(1, 3).Draw(t, "canary"),
			Share: rapid.Float64Range(0.1, 1).Draw(t, "share"), MaxAway: rapid.IntRange(1, 4).Draw(t, "away"),
			MaxFailed: rapid.IntRange(0, 12).Draw(t, "failed"), Timeout: 5000, Settle: 500, Limit: 600_000,
			Rollback: rapid.Bool().Draw(t, "rollback"),
		}
		r, _ := play(t, true, plan)
		ends[r.phase]++
		all := true
		for _, row := range r.Rows() {
			if row.State == Applied && r.phase == Complete {
				applied++
			}
			if row.State != Applied {
				all = false
				if r.phase == Complete && row.State != Waiting && row.Text == "" {
					t.Fatalf("%+v: it does not say why", row)
				}
			}
		}
		if r.Succeeded() != (all && r.phase == Complete) {
			t.Fatalf("success %v with %+v", r.Succeeded(), r.Rows())
		}
	})
	t.Logf("ends %v, %d instances applied", ends, applied)
	if ends[Complete] < 10 || applied < 20 {
		t.Errorf("ends %v, %d applied: the mishaps leave nothing to see", ends, applied)
	}
}

// With nothing in the way every instance gets it, in waves, and each was asked again at the end.
func TestRolloutInPeace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{ID: "r", Target: "new", Instances: names(rapid.IntRange(1, 20).Draw(t, "instances")), MaxAway: rapid.IntRange(1, 5).Draw(t, "away"), Settle: 300}
		r, w := play(t, false, plan)
		if !r.Succeeded() {
			t.Fatalf("%v: %+v", r.phase, r.Rows())
		}
		for _, i := range w.instances {
			if i.hash != "new" {
				t.Fatalf("%s runs %s", i.name, i.hash)
			}
		}
	})
}

// script steps a rollout by hand.
type script struct {
	*testing.T
	r     *Rollout
	now   float64
	order uint64
	acts  []Action
}

func newScript(t *testing.T, plan Plan) *script {
	t.Helper()
	plan.ID, plan.Target = "r", "new"
	r, err := New(plan, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &script{T: t, r: r}
}

func (s *script) step(ev Event) []Action {
	s.now++
	if ev.Kind == Reported || ev.Kind == Lost {
		s.order++
		ev.Order = s.order
	}
	s.acts = s.r.Step(s.now, &ev, nil)
	return s.acts
}

func (s *script) says(name, start, hash string) []Action {
	return s.step(Event{Kind: Reported, Instance: name, Start: start, Hash: hash})
}

// sent is the token of the change that was just sent to an instance; 0 for none.
func (s *script) sent(name string) uint64 {
	for _, a := range s.acts {
		if a.Kind == Apply && a.Instance == name {
			return a.Token
		}
	}
	return 0
}

func (s *script) want(name string, state State) {
	s.Helper()
	for _, row := range s.r.Rows() {
		if row.Instance == name && row.State != state {
			s.Errorf("%s is %v, want %v", name, row.State, state)
		}
	}
}

// A confirmation of a start that is over does not count, nor does one of an earlier change.
func TestConfirmationOfAnotherStart(t *testing.T) {
	s := newScript(t, Plan{Instances: names(1)})
	s.says("i0", "a", "old")
	first := s.sent("i0")
	s.want("i0", Changing)
	s.says("i0", "b", "old") // it has restarted meanwhile, with its old file
	second := s.sent("i0")
	if first == 0 || second == 0 || first == second {
		t.Fatalf("changes %d and %d, want two", first, second)
	}
	s.step(Event{Kind: Confirmed, Instance: "i0", Token: first, Start: "a", Hash: "new"})
	s.want("i0", Changing)
	s.step(Event{Kind: Confirmed, Instance: "i0", Token: second, Start: "a", Hash: "new"})
	s.want("i0", Changing)
	s.step(Event{Kind: Confirmed, Instance: "i0", Token: second, Start: "b", Hash: "other"})
	s.want("i0", Changing)
	s.step(Event{Kind: Confirmed, Instance: "i0", Token: second, Start: "b", Hash: "new"})
	s.want("i0", Applied)
	s.says("i0", "c", "old") // and it comes back with its old file once more
	s.want("i0", Waiting)
	s.step(Event{Kind: Tick}) // all instances are asked once more before the end
	s.want("i0", Changing)
	if s.r.Succeeded() || s.r.Ended() {
		t.Error("it has ended with success")
	}
}

// What an instance said earlier does not undo what it said later.
func TestOldReportsAreDropped(t *testing.T) {
	s := newScript(t, Plan{Instances: names(1), Settle: 100})
	s.says("i0", "a", "old")
	s.step(Event{Kind: Confirmed, Instance: "i0", Token: s.sent("i0"), Start: "a", Hash: "new"})
	s.r.Step(s.now, &Event{Kind: Reported, Instance: "i0", Order: s.order, Start: "a", Hash: "old"}, nil)
	s.want("i0", Applied)
}

// Two tools, or one that was killed and run again: what has applied already is not changed again.
func TestRunAgainGoesOn(t *testing.T) {
	s := newScript(t, Plan{Instances: names(2), MaxAway: 2, Canary: 2})
	s.says("i0", "a", "new")
	s.says("i1", "b", "old")
	if s.sent("i0") != 0 || s.sent("i1") == 0 {
		t.Errorf("actions %+v, want a change of i1 alone", s.acts)
	}
	s.want("i0", Applied)
}

// A gate that finds the canary worse than before halts the rollout, or rolls it back, before a second one is touched.
func TestGate(t *testing.T) {
	for _, back := range []bool{false, true} {
		s := newScript(t, Plan{Instances: names(3), Settle: 10, Gate: Gate{Failed: 0.05, Requests: 100}, Rollback: back})
		s.step(Event{Kind: Reported, Instance: "i0", Start: "a", Hash: "old", Health: Health{Served: 990, Failed: 10}})
		s.step(Event{Kind: Confirmed, Instance: "i0", Token: s.sent("i0"), Start: "a", Hash: "new"})
		s.says("i1", "b", "old")
		s.step(Event{Kind: Reported, Instance: "i0", Start: "a", Hash: "new", Health: Health{Served: 1080, Failed: 40}})
		s.now += 20
		s.step(Event{Kind: Tick})
		phase, why := s.r.Phase()
		if !back && (phase != Paused || s.sent("i1") != 0) {
			t.Errorf("%v: %s, %+v, want a halt", phase, why, s.acts)
		}
		if back {
			s.step(Event{Kind: Tick})
			if phase != RollingBack || s.sent("i0") == 0 || s.acts[len(s.acts)-1].Hash != "old" {
				t.Fatalf("%v: %s, %+v, want i0 to be rolled back", phase, why, s.acts)
			}
			s.step(Event{Kind: Confirmed, Instance: "i0", Token: s.sent("i0"), Start: "a", Hash: "old"})
			s.step(Event{Kind: Tick})
			if phase, _ := s.r.Phase(); phase != RolledBack || s.r.Succeeded() {
				t.Errorf("%v, want it rolled back and no success", phase)
			}
		}
	}
}

// A plan that cannot be used is told.
func TestPlanIsChecked(t *testing.T) {
	for _, p := range []Plan{
		{}, {ID: "r", Target: "t"}, {ID: "r", Target: "t", Instances: []string{"a", "b", "a"}}, {ID: "r", Target: "t", Instances: names(1), Share: 2},
		{ID: "r", Target: "t", Instances: names(1), MaxAway: -1}, {ID: "r", Target: "t", Instances: names(1), Timeout: -1},
	} {
		if _, err := New(p, 0); err == nil {
			t.Errorf("%+v is taken", p)
		}
	}
}
