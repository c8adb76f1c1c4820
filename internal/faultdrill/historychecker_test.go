package faultdrill

import (
	"strings"
	"testing"

	"milletmast/internal/emulate"
	"milletmast/internal/testcluster"
)

// TestOrderOfAttemptsReadLate checks an aborted attempt that a link reads after the attempt that replaces it, and whose end it reads some
// time after that. It is judged as an attempt beside another one unless the link measurably was late at that time.
func TestOrderOfAttemptsReadLate(t *testing.T) {
	sc, err := emulate.ParseDrill("short.toml", []byte(shortDrill))
	if err != nil {
		t.Fatal(err)
	}
	us := func(n int64) int64 { return n * 1e3 }
	stall := func(from, to int64) testcluster.Stalls { return testcluster.Stalls{{From: us(from), To: us(to)}} }
	const beside = "a second attempt beside one that is out"
	for _, c := range []struct {
		name                string
		sent, polled, ended int64 // of the aborted attempt, in µs; the other one lasts from 100 to 450 ms
		stalls              testcluster.Stalls
		want                string
	}{
		{"the end is read at once", 101_000, 101_100, 102_500, nil, ""},
		{"the link polls late for the end", 101_000, 104_900, 105_000, nil, ""},
		{"the link waits for the end", 101_000, 101_100, 105_000, nil, beside},
		{"the link polls late and then waits", 101_000, 104_900, 107_000, nil, beside},
		{"the end is not read by polling", 101_000, 0, 105_000, nil, beside},
		{"within a stall", 101_000, 101_100, 105_000, stall(101_500, 104_900), ""},
		{"longer than a stall", 101_000, 101_100, 110_000, stall(101_500, 104_900), beside},
		{"a stall at another time", 101_000, 101_100, 105_000, stall(130_000, 180_000), beside},
		{"read too late", 201_000, 201_100, 201_200, nil, beside},
		{"read too late within a stall", 201_000, 201_100, 201_200, stall(150_000, 200_900), ""},
	} {
		facts := []testcluster.Fact{
			{At: us(1_000), Kind: testcluster.FactStarted, Server: "s0", By: "s0"},
			{At: us(1_000), Kind: testcluster.FactStarted, Server: "s1", By: "s1"},
			{At: us(90_000), Kind: testcluster.FactWritten, Copy: "c0.1", Request: "r1", Class: "browse", Due: us(590_000)},
			{At: us(100_000), Kind: testcluster.FactSent, Copy: "c0.1", Server: "s1", Request: "r1", Conn: 2},
			{At: us(c.sent), Kind: testcluster.FactSent, Copy: "c0.1", Server: "s0", Request: "r1", Conn: 1},
			{At: us(c.ended), Kind: testcluster.FactAttemptEnded, Copy: "c0.1", Server: "s0", Request: "r1", Conn: 1, Polled: us(c.polled)},
			{At: us(450_000), Kind: testcluster.FactAttemptEnded, Copy: "c0.1", Server: "s1", Request: "r1", Conn: 2, Status: 200},
			{At: us(451_000), Kind: testcluster.FactAnswered, Copy: "c0.1", Request: "r1", Class: "browse", Status: 200},
		}
		v := checkHistory("outer", &sc.Pool, &sc.Servers, map[string]ServerPlace{"s0": {}, "s1": {}}, facts, startOf(facts), c.stalls)
		if got := strings.Join(v.Violations, "; "); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.want)
		}
	}
}

// TestOrderOfTwoAttemptsReadLate checks two aborted attempts that links read after the attempt that replaces both.
func TestOrderOfTwoAttemptsReadLate(t *testing.T) {
	sc, err := emulate.ParseDrill("short.toml", []byte(shortDrill))
	if err != nil {
		t.Fatal(err)
	}
	const ms, beside = int64(1e6), "a second attempt beside one that is out"
	for secondEnd, want := range map[int64]string{103 * ms: "", 110 * ms: beside} {
		facts := []testcluster.Fact{
			{At: 90 * ms, Kind: testcluster.FactWritten, Copy: "c0.1", Request: "r1", Class: "browse", Due: 590 * ms},
			{At: 100 * ms, Kind: testcluster.FactSent, Copy: "c0.1", Server: "s2", Request: "r1", Conn: 3},
			{At: 101 * ms, Kind: testcluster.FactSent, Copy: "c0.1", Server: "s0", Request: "r1", Conn: 1},
			{At: 101 * ms, Kind: testcluster.FactAttemptEnded, Copy: "c0.1", Server: "s0", Request: "r1", Conn: 1, Polled: 101 * ms},
			{At: 102 * ms, Kind: testcluster.FactSent, Copy: "c0.1", Server: "s1", Request: "r1", Conn: 2},
			{At: secondEnd, Kind: testcluster.FactAttemptEnded, Copy: "c0.1", Server: "s1", Request: "r1", Conn: 2, Polled: 102 * ms},
			{At: 450 * ms, Kind: testcluster.FactAttemptEnded, Copy: "c0.1", Server: "s2", Request: "r1", Conn: 3, Status: 200},
			{At: 451 * ms, Kind: testcluster.FactAnswered, Copy: "c0.1", Request: "r1", Class: "browse", Status: 200},
		}
		v := checkHistory("outer", &sc.Pool, &sc.Servers, map[string]ServerPlace{"s0": {}, "s1": {}, "s2": {}}, facts, startOf(facts), nil)
		if got := strings.Join(v.Violations, "; "); (got == "") != (want == "") || !strings.Contains(got, want) {
			t.Errorf("second attempt ended at %d ms: violations %q, want %q", secondEnd/ms, got, want)
		}
	}
}
