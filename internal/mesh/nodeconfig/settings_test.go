package nodeconfig

import (
	"strings"
	"testing"
	"time"
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
