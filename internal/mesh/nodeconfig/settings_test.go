package nodeconfig

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const validSettings = `node=pilot-1
ip=127.0.0.1
zone=north
zones.north=land
ephemeral_ports=7620,7635
seeds=127.0.0.2:8306,127.0.0.3:8306
bounds=drain_s=2,retry_slack=56,retry_ratio=0.2
in_quorum=true
limits.memory_mb=284
later.field=that nobody knows
`

func TestParse(t *testing.T) {
	s, err := Parse("node.conf", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Zones["north"] != "land" || s.Port(1) != 7621 || len(s.Seeds) != 2 || !s.InQuorum || s.MemoryMB != 284 {
		t.Fatalf("parsed %+v", s)
	}
	if s.Bounds.Drain != 2*time.Second || s.Bounds.RetrySlack != 56 || s.Bounds.RetryRatio != 0.2 || s.Bounds.Contact != 3*time.Second {
		t.Fatalf("parsed the bounds %+v", s.Bounds)
	}
}

func TestInvalidFields(t *testing.T) {
	for field, invalid := range map[string]string{
		"ip":               strings.Replace(validSettings, "ip=127.0.0.1", "ip=here", 1),
		"seeds":            strings.Replace(validSettings, "127.0.0.2:8306", "somewhere", 1),
		"ephemeral_ports":  strings.Replace(validSettings, "7620,7635", "7635,7620", 1),
		"bounds":           strings.Replace(validSettings, "drain_s=2", "drain_s=soon", 1),
		"in_quorum":        strings.Replace(validSettings, "in_quorum=true", "in_quorum=perhaps", 1),
		"limits.memory_mb": strings.Replace(validSettings, "memory_mb=284", "memory_mb=-1", 1),
	} {
		_, err := Parse("node.conf", []byte(invalid))
		if err == nil {
			t.Errorf("%s: no error", field)
			continue
		}
		line := 0
		for i, l := range strings.Split(invalid, "\n") {
			if strings.HasPrefix(l, field+"=") {
				line = i + 1
			}
		}
		want := "node.conf:" + string(rune('0'+line)) + ": " + field + ":"
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %q does not contain %q", field, err, want)
		}
	}
}

// Bounds that are not given or not below the defaults leave the time constants as they are. The bound that is the smallest share of its
// default scales them all, down to minTimeScale.
func TestTimeScale(t *testing.T) {
	for _, c := range []struct {
		bounds Bounds
		want   float64
	}{
		{Bounds{}, 1},
		{Bounds{Contact: 3 * time.Second, CatchUp: 4 * time.Second, Converge: 2 * time.Second}, 1},
		{Bounds{Contact: 9 * time.Second, CatchUp: 6 * time.Second, Converge: 5 * time.Second}, 1},
		{Bounds{Contact: 1500 * time.Millisecond, CatchUp: 4 * time.Second, Converge: 2 * time.Second}, 0.5},
		{Bounds{Contact: 3 * time.Second, CatchUp: 3 * time.Second, Converge: time.Second}, 0.5},
		{Bounds{Converge: time.Millisecond}, minTimeScale},
	} {
		if got := c.bounds.TimeScale(); got != c.want {
			t.Errorf("time scale of %+v: %v, want %v", c.bounds, got, c.want)
		}
	}
}

// with returns the valid settings with a number as heartbeat and as a bound.
func with(number string) []byte {
	bounds := strings.Replace(validSettings, "drain_s=2", "skew_bound_s="+number, 1)
	return []byte(bounds + "heartbeat_s=" + number + "\n")
}

// A time is exactly what the file says, to the nanosecond.
func TestTimesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := time.Duration(rapid.Int64Range(0, int64(1e9*time.Second)).Draw(t, "ns"))
		text := fmt.Sprintf("%d.%09d", want/time.Second, want%time.Second)
		s, err := Parse("node.conf", with(text))
		if err != nil {
			t.Fatal(err)
		}
		if s.Heartbeat != want || s.Bounds.Skew != want {
			t.Fatalf("%s s is the heartbeat %v and the bound %v, want %v", text, s.Heartbeat, s.Bounds.Skew, want)
		}
	})
}

func TestNumbers(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "-0": 0, "007.5": 7500 * time.Millisecond, "+2": 2 * time.Second, "1.": time.Second, ".5": 500 * time.Millisecond,
		"67.112": 67_112 * time.Millisecond, "1.5E1": 15 * time.Second, "1e-400": 0, "1e9": 1e9 * time.Second,
	} {
		s, err := Parse("node.conf", with(text))
		if err != nil {
			t.Errorf("%s: %v", text, err)
		} else if s.Heartbeat != want || s.Bounds.Skew != want {
			t.Errorf("%s s is the heartbeat %v and the bound %v, want %v", text, s.Heartbeat, s.Bounds.Skew, want)
		}
	}
	for _, text := range []string{
		"", "-1", "-0.001", "NaN", "inf", "+Inf", "-inf", "infinity", "0x1p-2", "0x_1p-2", "1_000", "1e400", "1e13",
		"1000000000000.0000001", "2s",
	} {
		_, err := Parse("node.conf", with(text))
		for _, want := range []string{
			fmt.Sprintf("node.conf:7: bounds: skew_bound_s: %q is not a number from 0 to 1e9", text),
			fmt.Sprintf("node.conf:11: heartbeat_s: %q is not a number from 0 to 1e12", text),
		} {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: error %v does not contain %q", text, err, want)
			}
		}
	}
	longest, err := Parse("node.conf", []byte(validSettings+"heartbeat_s=1e12\n"))
	if err != nil || longest.Heartbeat != math.MaxInt64 {
		t.Errorf("the largest number is the heartbeat %v with error %v, want the longest duration", longest, err)
	}
	if _, err := Parse("node.conf", with("1000000000.0000000001")); err == nil || !strings.Contains(err.Error(), "bounds: skew_bound_s") {
		t.Errorf("a bound just above the maximum: error %v", err)
	}
}

// Numbers that are not given have defaults, and whole numbers lose their fraction.
func TestDefaultsAndIntegers(t *testing.T) {
	s, err := Parse("node.conf", []byte(validSettings+"fault_budget.machines=2.9\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Heartbeat != 1500*time.Millisecond || s.CPU != 1 || s.Descriptors != 1024 || s.FaultBudgetMachines != 2 || s.FaultBudgetZones != 0 {
		t.Errorf("parsed %+v", s)
	}
	want := Bounds{
		SeedLag: 3 * time.Second, AddressReuse: 2 * time.Second, Contact: 3 * time.Second, Ack: 4 * time.Second, CatchUp: 4 * time.Second,
		Drain: 2 * time.Second, Grace: 6 * time.Second, LossSlack: 200 * time.Millisecond, Converge: 2 * time.Second,
		RegressSlack: 250 * time.Millisecond, Skew: 5 * time.Second, RetryWindow: 10 * time.Second, Evacuate: 5 * time.Second,
		Recovery: 15 * time.Second, RetryRatio: 0.2, RetrySlack: 56, WarmupExcess: 1, WarmupSlack: 0,
	}
	if s.Bounds != want {
		t.Errorf("parsed the bounds %+v, want %+v", s.Bounds, want)
	}
}
