package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// simulatedFleet holds the instances that a rollout changes, and the messages in flight to and from them.
type simulatedFleet struct {
	instances map[string]*fakeInstance
	inFlight  []message
}

type fakeInstance struct {
	name                 string
	startCount, sequence uint64
	hash, configFile     string // configuration that it runs, and the one that it loads at a start
	running              bool
	rejectsChanges       bool
	health               Health
}

type message struct {
	deliverAt float64
	event     Event
	to        string // instance that receives the action; "" if the event is for the rollout
	action    Action
}

func (f *simulatedFleet) startID(inst *fakeInstance) string {
	return fmt.Sprint(inst.name, "#", inst.startCount)
}

func (f *simulatedFleet) report(inst *fakeInstance) Event {
	inst.sequence++
	return Event{Kind: Reported, Instance: inst.name, Sequence: inst.sequence, StartID: f.startID(inst), Hash: inst.hash, Health: inst.health}
}

// receive has an instance carry out an action and returns its responses.
func (f *simulatedFleet) receive(action Action) []Event {
	inst := f.instances[action.Instance]
	if !inst.running {
		return nil
	}
	if action.Kind == RequestReport {
		return []Event{f.report(inst)}
	}
	if inst.rejectsChanges {
		return []Event{{Kind: Rejected, Instance: inst.name, ChangeID: action.ChangeID, Reason: "port taken"}}
	}
	inst.hash = action.Hash
	return []Event{{Kind: Confirmed, Instance: inst.name, ChangeID: action.ChangeID, StartID: f.startID(inst), Hash: inst.hash}, f.report(inst)}
}

// simulate runs a rollout and checks the invariants of the package comment after each step. With faults set, messages are
// lost, duplicated and delayed, and instances stop and restart.
func simulate(t *rapid.T, faults bool, plan Plan) (*Rollout, *simulatedFleet) {
	simulated := &simulatedFleet{instances: map[string]*fakeInstance{}}
	for _, name := range plan.Instances {
		simulated.instances[name] = &fakeInstance{name: name, startCount: 1, hash: "old", configFile: "old", running: true}
		if faults {
			simulated.instances[name].rejectsChanges = rapid.IntRange(0, 9).Draw(t, "rejects") == 0
		}
	}
	rollout, err := New(plan, 0)
	if err != nil {
		t.Fatal(err)
	}
	maxUnavailable := max(plan.MaxUnavailable, 1)
	now := 0.0
	handle := func(event Event) {
		changing := 0
		actions := rollout.Step(now, &event, nil)
		for _, status := range rollout.Instances() {
			if status.State == Changing {
				changing++
			}
			back := rollout.phase >= RollingBack || rollout.phase == Paused && rollout.resumePhase == RollingBack
			if status.State == Applied && !back && status.Hash != plan.Target {
				t.Fatalf("%s counts as applied, but last reported that it runs %s", status.Instance, status.Hash)
			}
		}
		if changing > maxUnavailable {
			t.Fatalf("%d instances are being changed, at most %d are allowed", changing, maxUnavailable)
		}
		for _, a := range actions {
			if a.Kind != LogProgress {
				simulated.inFlight = append(simulated.inFlight, message{deliverAt: now, to: a.Instance, action: a})
			}
		}
	}
	delay := func() float64 {
		if !faults {
			return 1
		}
		return float64(rapid.IntRange(1, 3000).Draw(t, "delay"))
	}
	lose := func() bool { return faults && rapid.IntRange(0, 9).Draw(t, "lose") == 0 }
	for steps := 0; !rollout.Ended(); steps++ {
		if steps > 200_000 {
			t.Fatalf("rollout has not ended after 200,000 steps: %v, %+v", rollout.phase, rollout.Instances())
		}
		now += 100
		if faults && now < 100_000 {
			inst := simulated.instances[rapid.SampledFrom(plan.Instances).Draw(t, "instance")]
			switch rapid.IntRange(0, 60).Draw(t, "fault") {
			case 0:
				inst.running = false
			case 1: // it restarts with its configuration file
				inst.running = true
				inst.startCount++
				inst.hash, inst.health = inst.configFile, Health{}
			case 2:
				inst.configFile = inst.hash
			case 3:
				handle(Event{Kind: ContactLost, Instance: inst.name, Sequence: inst.sequence})
			case 4:
				handle(Event{Kind: rapid.SampledFrom([]EventKind{Pause, Resume, Resume, Resume}).Draw(t, "command")})
			}
		} else if faults {
			handle(Event{Kind: Resume})
		}
		due := simulated.inFlight
		simulated.inFlight = nil
		for _, msg := range due {
			switch {
			case msg.deliverAt > now:
				simulated.inFlight = append(simulated.inFlight, msg)
			case msg.to != "":
				if lose() {
					continue
				}
				for _, event := range simulated.receive(msg.action) {
					for range 1 + btoi(lose()) { // sometimes duplicated
						if !lose() {
							simulated.inFlight = append(simulated.inFlight, message{deliverAt: now + delay(), event: event})
						}
					}
				}
			default:
				handle(msg.event)
			}
		}
		handle(Event{Kind: Tick})
	}
	return rollout, simulated
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func instanceNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("i", i)
	}
	return list
}

// Under random faults, a rollout succeeds only if every instance has applied the target, and each instance that has not
// applied it has a reason. simulate checks the invariants of the package comment as well.
func TestRolloutUnderRandomFaults(t *testing.T) {
	ends := map[Phase]int{}
	applied := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		plan := Plan{
			ID: "r", Target: "new", Instances: instanceNames(n), CanarySize: rapid.IntRange(1, 3).Draw(t, "canary"),
			WaveShare: rapid.Float64Range(0.1, 1).Draw(t, "share"), MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "away"),
			MaxFailed: rapid.IntRange(0, 12).Draw(t, "failed"), ChangeTimeout: 5000, SettleTime: 500, TotalTimeout: 600_000,
			RollBackOnFailure: rapid.Bool().Draw(t, "rollback"),
		}
		rollout, _ := simulate(t, true, plan)
		ends[rollout.phase]++
		all := true
		for _, status := range rollout.Instances() {
			if status.State == Applied && rollout.phase == Complete {
				applied++
			}
			if status.State != Applied {
				all = false
				if rollout.phase == Complete && status.State != Waiting && status.Reason == "" {
					t.Fatalf("%+v has no reason", status)
				}
			}
		}
		if rollout.Succeeded() != (all && rollout.phase == Complete) {
			t.Fatalf("Succeeded is %v with %+v", rollout.Succeeded(), rollout.Instances())
		}
	})
	t.Logf("ends %v, %d instances applied", ends, applied)
	if ends[Complete] < 10 || applied < 20 {
		t.Errorf("ends %v, %d applied: too few rollouts completed under faults", ends, applied)
	}
}

// Without faults every instance applies the target.
func TestRolloutWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{ID: "r", Target: "new", Instances: instanceNames(rapid.IntRange(1, 20).Draw(t, "instances")), MaxUnavailable: rapid.IntRange(1, 5).Draw(t, "away"), SettleTime: 300}
		rollout, simulated := simulate(t, false, plan)
		if !rollout.Succeeded() {
			t.Fatalf("%v: %+v", rollout.phase, rollout.Instances())
		}
		for _, inst := range simulated.instances {
			if inst.hash != "new" {
				t.Fatalf("%s runs %s", inst.name, inst.hash)
			}
		}
	})
}

// scriptedRollout steps a rollout through chosen events.
type scriptedRollout struct {
	*testing.T
	rollout  *Rollout
	now      float64
	sequence uint64
	actions  []Action
}

func newScript(t *testing.T, plan Plan) *scriptedRollout {
	t.Helper()
	plan.ID, plan.Target = "r", "new"
	r, err := New(plan, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &scriptedRollout{T: t, rollout: r}
}

// step handles an event one millisecond after the previous one. Reports get the next sequence number.
func (s *scriptedRollout) step(event Event) {
	s.now++
	if event.Kind == Reported || event.Kind == ContactLost {
		s.sequence++
		event.Sequence = s.sequence
	}
	s.actions = s.rollout.Step(s.now, &event, nil)
}

func (s *scriptedRollout) report(name, start, hash string) {
	s.step(Event{Kind: Reported, Instance: name, StartID: start, Hash: hash})
}

// pendingChange returns the id of the change that the latest step sent to an instance; 0 for none.
func (s *scriptedRollout) pendingChange(name string) uint64 {
	for _, action := range s.actions {
		if action.Kind == Apply && action.Instance == name {
			return action.ChangeID
		}
	}
	return 0
}

// checkFirstState checks the state of the first instance.
func (s *scriptedRollout) checkFirstState(state State) {
	s.Helper()
	if status := s.rollout.Instances()[0]; status.State != state {
		s.Errorf("%s is %v, want %v", status.Instance, status.State, state)
	}
}

// A confirmation is ignored if it is of an earlier change, of another process or of another configuration.
func TestConfirmationOfAnotherProcessIsIgnored(t *testing.T) {
	s := newScript(t, Plan{Instances: instanceNames(1)})
	s.report("i0", "a", "old")
	first := s.pendingChange("i0")
	s.checkFirstState(Changing)
	s.report("i0", "b", "old") // it has restarted with its old configuration file
	second := s.pendingChange("i0")
	if first == 0 || second == 0 || first == second {
		t.Fatalf("changes %d and %d, want two", first, second)
	}
	s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: first, StartID: "a", Hash: "new"})
	s.checkFirstState(Changing)
	s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: second, StartID: "a", Hash: "new"})
	s.checkFirstState(Changing)
	s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: second, StartID: "b", Hash: "other"})
	s.checkFirstState(Changing)
	s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: second, StartID: "b", Hash: "new"})
	s.checkFirstState(Applied)
	s.report("i0", "c", "old") // it restarts with its old configuration file again
	s.checkFirstState(Waiting)
	s.step(Event{Kind: Tick}) // all instances report once more before the end
	s.checkFirstState(Changing)
	if s.rollout.Succeeded() || s.rollout.Ended() {
		t.Error("the rollout has ended, although the instance runs the old configuration")
	}
}

// A report with a sequence number that is not above the latest one does not change the state of an instance.
func TestOutOfDateReportsAreIgnored(t *testing.T) {
	s := newScript(t, Plan{Instances: instanceNames(1), SettleTime: 100})
	s.report("i0", "a", "old")
	s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: s.pendingChange("i0"), StartID: "a", Hash: "new"})
	s.rollout.Step(s.now, &Event{Kind: Reported, Instance: "i0", Sequence: s.sequence, StartID: "a", Hash: "old"}, nil)
	s.checkFirstState(Applied)
}

// A rollout that continues after its tool was killed does not change instances that have applied the target already.
func TestInterruptedRolloutContinues(t *testing.T) {
	s := newScript(t, Plan{Instances: instanceNames(2), MaxUnavailable: 2, CanarySize: 2})
	s.report("i0", "a", "new")
	s.report("i1", "b", "old")
	if s.pendingChange("i0") != 0 || s.pendingChange("i1") == 0 {
		t.Errorf("actions %+v, want a change of i1 alone", s.actions)
	}
	s.checkFirstState(Applied)
}

// If the canary's health is worse than the gate allows, the rollout is paused or rolled back before a second instance is changed.
func TestGateStopsRollout(t *testing.T) {
	for _, rollBack := range []bool{false, true} {
		s := newScript(t, Plan{Instances: instanceNames(3), SettleTime: 10, Gate: Gate{MaxFailedIncrease: 0.05, MinRequests: 100}, RollBackOnFailure: rollBack})
		s.step(Event{Kind: Reported, Instance: "i0", StartID: "a", Hash: "old", Health: Health{Served: 990, Failed: 10}})
		s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: s.pendingChange("i0"), StartID: "a", Hash: "new"})
		s.report("i1", "b", "old")
		s.step(Event{Kind: Reported, Instance: "i0", StartID: "a", Hash: "new", Health: Health{Served: 1080, Failed: 40}})
		s.now += 20
		s.step(Event{Kind: Tick})
		phase, reason := s.rollout.Phase()
		if !rollBack && (phase != Paused || s.pendingChange("i1") != 0) {
			t.Errorf("%v: %s, %+v, want the rollout paused", phase, reason, s.actions)
		}
		if rollBack {
			s.step(Event{Kind: Tick})
			if phase != RollingBack || s.pendingChange("i0") == 0 || s.actions[len(s.actions)-1].Hash != "old" {
				t.Fatalf("%v: %s, %+v, want i0 to be rolled back", phase, reason, s.actions)
			}
			s.step(Event{Kind: Confirmed, Instance: "i0", ChangeID: s.pendingChange("i0"), StartID: "a", Hash: "old"})
			s.step(Event{Kind: Tick})
			if phase, _ := s.rollout.Phase(); phase != RolledBack || s.rollout.Succeeded() {
				t.Errorf("%v, want it rolled back and no success", phase)
			}
		}
	}
}

// Invalid plans are rejected.
func TestInvalidPlans(t *testing.T) {
	for _, p := range []Plan{
		{}, {ID: "r", Target: "t"}, {ID: "r", Target: "t", Instances: []string{"a", "b", "a"}}, {ID: "r", Target: "t", Instances: instanceNames(1), WaveShare: 2},
		{ID: "r", Target: "t", Instances: instanceNames(1), MaxUnavailable: -1}, {ID: "r", Target: "t", Instances: instanceNames(1), ChangeTimeout: -1},
	} {
		if _, err := New(p, 0); err == nil {
			t.Errorf("plan %+v is accepted", p)
		}
	}
}

// Agents store plans as JSON, and tools of other versions read them, so the encoded names must not change.
func TestPlanEncoding(t *testing.T) {
	plan := Plan{
		ID: "r1", Target: "abc", Instances: []string{"a", "b"}, CanarySize: 1, WaveShare: 0.5, MaxUnavailable: 2, MaxFailed: 3, SettleTime: 4,
		ChangeTimeout: 5, MaxAttempts: 6, TotalTimeout: 7, RollBackOnFailure: true,
		Gate: Gate{MaxRefusedIncrease: 0.1, MaxFailedIncrease: 0.2, MaxP99Ratio: 3, MinRequests: 8},
	}
	const encoded = `{"ID":"r1","Target":"abc","Instances":["a","b"],"Canary":1,"Share":0.5,"MaxAway":2,"MaxFailed":3,"Settle":4,"Timeout":5,` +
		`"Tries":6,"Limit":7,"Gate":{"Refused":0.1,"Failed":0.2,"P99":3,"Requests":8},"Rollback":true}`
	text, err := json.Marshal(plan)
	if err != nil || string(text) != encoded {
		t.Errorf("encoded as %s, %v\nwant %s", text, err, encoded)
	}
	var decoded Plan
	if err := json.Unmarshal([]byte(encoded), &decoded); err != nil || !reflect.DeepEqual(decoded, plan) {
		t.Errorf("decoded as %+v, %v", decoded, err)
	}
}
