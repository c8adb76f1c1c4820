package nodeconfig

import (
	"strings"
	"testing"
	"time"
)

const usual = `node=pilot-1
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
	s, err := Parse("node.conf", []byte(usual))
	if err != nil {
		t.Fatal(err)
	}
	if s.Zones["north"] != "land" || s.Port(1) != 7621 || len(s.Seeds) != 2 || !s.InQuorum || s.MemoryMB != 284 {
		t.Fatalf("read %+v", s)
	}
	if s.Bounds.Drain != 2*time.Second || s.Bounds.RetrySlack != 56 || s.Bounds.RetryRatio != 0.2 || s.Bounds.Contact != 3*time.Second {
		t.Fatalf("bounds %+v", s.Bounds)
	}
}

func TestInvalidFields(t *testing.T) {
	for field, wrong := range map[string]string{
		"ip":               strings.Replace(usual, "ip=127.0.0.1", "ip=here", 1),
		"seeds":            strings.Replace(usual, "127.0.0.2:8306", "somewhere", 1),
		"ephemeral_ports":  strings.Replace(usual, "7620,7635", "7635,7620", 1),
		"bounds":           strings.Replace(usual, "drain_s=2", "drain_s=soon", 1),
		"in_quorum":        strings.Replace(usual, "in_quorum=true", "in_quorum=perhaps", 1),
		"limits.memory_mb": strings.Replace(usual, "memory_mb=284", "memory_mb=-1", 1),
	} {
		_, err := Parse("node.conf", []byte(wrong))
		if err == nil {
			t.Errorf("%s: no error", field)
			continue
		}
		line := 0
		for i, l := range strings.Split(wrong, "\n") {
			if strings.HasPrefix(l, field+"=") {
				line = i + 1
			}
		}
		want := "node.conf:" + string(rune('0'+line)) + ": " + field + ":"
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %q does not hold %q", field, err, want)
		}
	}
}

// With the usual bounds, longer ones, or none told, own talk keeps its times; the shortest bound has them all shortened, down to a least.
func TestTimeScale(t *testing.T) {
	for _, c := range []struct {
		b    Bounds
		want float64
	}{
		{Bounds{}, 1},
		{Bounds{Contact: 3 * time.Second, CatchUp: 4 * time.Second, Converge: 2 * time.Second}, 1},
		{Bounds{Contact: 9 * time.Second, CatchUp: 6 * time.Second, Converge: 5 * time.Second}, 1},
		{Bounds{Contact: 1500 * time.Millisecond, CatchUp: 4 * time.Second, Converge: 2 * time.Second}, 0.5},
		{Bounds{Contact: 3 * time.Second, CatchUp: 3 * time.Second, Converge: time.Second}, 0.5},
		{Bounds{Converge: time.Millisecond}, minTimeScale},
	} {
		if got := c.b.TimeScale(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.b, got, c.want)
		}
	}
}
