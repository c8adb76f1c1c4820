package rules

import (
	"strings"
	"testing"

	"milletmast/balancer"
)

var limits = Limits{
	Classes: []balancer.Class{
		{Name: "read", Effect: balancer.Safe}, {Name: "pay", Effect: balancer.Unsafe},
		{Name: "zoned", Effect: balancer.Keyed, DedupGroup: balancer.DedupZone, DedupWindow: 100},
		{Name: "celled", Effect: balancer.Keyed, DedupGroup: balancer.DedupCell, DedupWindow: 1000},
		{Name: "keyed", Effect: balancer.Keyed, DedupWindow: 1000},
	},
	MaxAttempts: 4, AnswerSlack: 20, DrainGrace: 500, ColdOverloadRatio: 2.5, ColdOverloadWindow: 1000, InformedShare: 2. / 3,
}

func received(at float64, class uint16) Fact {
	return Fact{At: at, Kind: RequestReceived, Replica: 1, Request: 1, Class: class, Due: at + 1000}
}
func sent(at float64, n uint16, server uint32) Fact {
	return Fact{At: at, Kind: AttemptSent, Replica: 1, Request: 1, Attempt: n, Server: server}
}
func ended(at float64, n uint16, mayRun bool) Fact {
	return Fact{At: at, Kind: AttemptEnded, Replica: 1, Request: 1, Attempt: n, MayRun: mayRun}
}
func answered(at float64, a Answer) Fact {
	return Fact{At: at, Kind: RequestAnswered, Replica: 1, Request: 1, Answer: a}
}
func started(server uint32, zone uint8, cell uint16) Fact {
	return Fact{Kind: ServerStarted, Server: server, Zone: zone, Cell: cell}
}
func listed(at float64, serves bool) Fact {
	return Fact{At: at, Kind: ServerListed, Replica: 1, Server: 1, Serves: serves}
}
func arrived(at float64, replica uint32, work float64) Fact {
	return Fact{At: at, Kind: WorkArrived, Replica: replica, Server: 1, Work: work, Capacity: 100}
}

// Each case violates the rule that it names, or none.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		facts []Fact
		rule  int    // 0 for none
		want  string // part of the violation
	}{
		{"served", []Fact{received(0, 0), sent(1, 0, 1), ended(5, 0, true), answered(5, Served)}, 0, ""},
		{"refused unsent", []Fact{received(0, 1), answered(5, Refused)}, 0, ""},
		{"answered twice", []Fact{received(0, 0), sent(1, 0, 1), answered(5, Served), answered(6, Failed)}, 1, "second final answer"},
		{"answered twice, never sent", []Fact{received(0, 0), answered(5, Refused), answered(6, Failed)}, 1, "second final answer"},
		{"just in time", []Fact{received(0, 0), answered(1020, Failed)}, 0, ""},
		{"too late", []Fact{received(0, 0), answered(1021, Failed)}, 1, "past its client's deadline"},
		{"late, client left", []Fact{received(0, 0), sent(1, 0, 1), {At: 900, Kind: ClientLeft, Replica: 1, Request: 1}, answered(1100, Failed), ended(1101, 0, true)}, 0, ""},
		{"never", []Fact{received(0, 0), {At: 1100, Kind: RunEnded}}, 1, "no final answer"},
		{"not yet", []Fact{received(0, 0), {At: 900, Kind: RunEnded}}, 0, ""},
		{"killed", []Fact{received(0, 0), sent(1, 0, 1), {At: 2, Kind: ReplicaKilled, Replica: 1}, {At: 2000, Kind: RunEnded}}, 0, ""},
		{"after the answer", []Fact{received(0, 0), sent(1, 0, 1), answered(2, Failed), sent(3, 1, 1)}, 1, "after the final answer"},
		{"after the request ended", []Fact{received(0, 0), answered(2, Failed), sent(3, 0, 1)}, 1, "is over"},
		{"after the client left", []Fact{received(0, 0), sent(1, 0, 1), {At: 2, Kind: ClientLeft, Replica: 1, Request: 1}, sent(3, 1, 1)}, 1, "after the final answer"},
		{"within the grace", []Fact{listed(0, true), listed(10, false), listed(300, false), received(500, 0), sent(510, 0, 1)}, 0, ""},
		{"past the grace", []Fact{listed(0, true), listed(10, false), listed(300, false), received(500, 0), sent(511, 0, 1)}, 2, "501.0 ms"},
		{"serves again", []Fact{listed(10, false), listed(20, true), received(900, 0), sent(911, 0, 1)}, 0, ""},
		{"two at once", []Fact{received(0, 0), sent(1, 0, 1), sent(2, 1, 2)}, 4, "beside one"},
		{"four", []Fact{received(0, 0), sent(1, 0, 1), ended(2, 0, true), sent(3, 1, 1), ended(4, 1, true), sent(5, 2, 1), ended(6, 2, true), sent(7, 3, 1)}, 0, ""},
		{"five", []Fact{received(0, 0), sent(1, 0, 1), ended(2, 0, true), sent(3, 1, 1), ended(4, 1, true), sent(5, 2, 1), ended(6, 2, true), sent(7, 3, 1), ended(8, 3, true), sent(9, 4, 1)}, 4, "attempt 5 of 4"},
		{"unsafe, never ran", []Fact{received(0, 1), sent(1, 0, 1), ended(2, 0, false), sent(3, 1, 1)}, 0, ""},
		{"unsafe, may have run", []Fact{received(0, 1), sent(1, 0, 1), ended(2, 0, true), sent(3, 1, 1)}, 4, "unsafe"},
		{"keyed in its zone", []Fact{started(1, 0, 0), started(2, 0, 1), received(0, 2), sent(1, 0, 1), ended(2, 0, true), sent(100, 1, 2)}, 0, ""},
		{"keyed out of its zone", []Fact{started(1, 0, 0), started(2, 1, 0), received(0, 2), sent(1, 0, 1), ended(2, 0, true), sent(100, 1, 2)}, 4, "does not remember"},
		{"keyed out of its cell", []Fact{started(1, 0, 0), started(2, 0, 1), received(0, 3), sent(1, 0, 1), ended(2, 0, true), sent(100, 1, 2)}, 4, "does not remember"},
		{"keyed past its window", []Fact{started(1, 0, 0), started(2, 0, 1), received(0, 2), sent(1, 0, 1), ended(2, 0, true), sent(101, 1, 2)}, 4, "past the window"},
		{"unsafe refused, may have run", []Fact{received(0, 1), sent(1, 0, 1), ended(2, 0, true), answered(3, Refused)}, 4, "refused though"},
		{"unsafe refused, out", []Fact{received(0, 1), sent(1, 0, 1), answered(3, Refused)}, 4, "refused though"},
		{"zoned refused, may have run", []Fact{received(0, 2), sent(1, 0, 1), ended(2, 0, true), answered(3, Refused)}, 4, "refused though"},
		{"keyed anywhere refused, may have run", []Fact{received(0, 4), sent(1, 0, 1), ended(2, 0, true), answered(3, Refused)}, 0, ""},
		{"warm, too much", []Fact{started(1, 0, 0), listed(0, true), arrived(1, 1, 900)}, 0, ""},
		{"cold, enough", []Fact{{Kind: ServerStarted, Server: 1, Cold: true}, listed(0, true), arrived(1, 1, 125), arrived(900, 1, 125), arrived(1950, 1, 120)}, 0, ""},
		{"cold, too much", []Fact{{Kind: ServerStarted, Server: 1, Cold: true}, listed(0, true), arrived(1, 1, 125), arrived(900, 1, 126)}, 3, "the cold server"},
		{"cold, from uninformed sidecars", []Fact{{Kind: ServerStarted, Server: 1, Cold: true}, listed(0, true), arrived(1, 1, 125), arrived(900, 2, 126)}, 0, ""},
	} {
		k := NewChecker(limits)
		for i := range c.facts {
			k.Record(&c.facts[i])
		}
		switch {
		case c.rule == 0 && k.ViolationCount > 0:
			t.Errorf("%s: %v", c.name, k.Violations)
		case c.rule > 0 && (k.ViolationCount == 0 || k.Violations[0].Rule != c.rule || !strings.Contains(k.Violations[0].Text, c.want)):
			t.Errorf("%s: %v, want one of rule %d with %q", c.name, k.Violations, c.rule, c.want)
		}
	}
}

// Ended requests are forgotten, and the margins keep the highest values.
func TestMarginsAndMemory(t *testing.T) {
	k := NewChecker(limits)
	for i := range uint64(1000) {
		at := float64(10 * i)
		for _, f := range []Fact{
			{At: at, Kind: RequestReceived, Replica: 1, Request: i, Due: at + 5},
			{At: at + 1, Kind: AttemptSent, Replica: 1, Request: i, Server: 1},
			{At: at + 8, Kind: AttemptEnded, Replica: 1, Request: i, MayRun: true},
			{At: at + 9, Kind: RequestAnswered, Replica: 1, Request: i, Answer: Served},
		} {
			k.Record(&f)
		}
	}
	k.Record(&Fact{At: 20_000, Kind: ServerListed, Replica: 1, Server: 1})
	k.Record(&Fact{At: 20_000, Kind: RequestReceived, Replica: 1, Request: 5000, Due: 30_000})
	k.Record(&Fact{At: 20_123, Kind: AttemptSent, Replica: 1, Request: 5000, Server: 1})
	if k.ViolationCount > 0 || k.OpenRequests() != 1 || k.Margins.Answer != 4 || k.Margins.Drain != 123 {
		t.Errorf("%v, %d open, %+v", k.Violations, k.OpenRequests(), k.Margins)
	}
}
