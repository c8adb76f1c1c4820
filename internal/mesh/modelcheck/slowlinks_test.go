package modelcheck

import (
	"fmt"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestSlowLinks puts configurations of a megabyte over links that need up to eight seconds for one. Operators retry at other nodes while
// they have no answer, and in some cases two operators compete. Each version must be acknowledged within a limit, and retries must not
// pile up: no message waits for a link longer than a few bodies take.
func TestSlowLinks(t *testing.T) {
	const size = 1_000_000
	for _, c := range []struct {
		nodes, rate int
		hasRival    bool // a second operator puts another content of each version at another node
		maxTime     time.Duration
	}{
		{3, 1_000_000, false, 1500 * time.Millisecond},
		{5, 1_000_000, false, 1500 * time.Millisecond},
		{3, 1_000_000, true, 3 * time.Second},
		{3, 125_000, false, 10 * time.Second},
		{5, 125_000, true, 20 * time.Second},
	} {
		once := time.Duration(size) * time.Second / time.Duration(c.rate)
		each := 3*once + 3*time.Second
		p := Plan{Seed: 1, InitialVoters: c.nodes, Nodes: c.nodes, FaultBudget: c.nodes / 2, End: 2*time.Second + 3*each, LinkBytesPerSecond: c.rate}
		put := func(at time.Duration, i, to int, body string) {
			o := Command{At: at, Kind: "put", Key: "config", Number: uint64(i + 1), Body: fmt.Sprintf("r%d/%s*%d", i+1, body, size)}
			for try := range int(each / attemptTimeout) {
				o.Nodes = append(o.Nodes, (to+try)%c.nodes)
			}
			p.Commands = append(p.Commands, o)
		}
		for i := range 3 {
			at := 2*time.Second + time.Duration(i)*each
			put(at, i, i, "A")
			if c.hasRival {
				put(at, i, i+1, "B")
			}
		}
		w := new(simulation)
		r := w.runPlan(p, hooks{})
		if len(r.Violations) > 0 {
			t.Errorf("%+v: %v", c, r.Violations)
		}
		first := map[uint64]time.Duration{}
		for _, x := range w.ops {
			if n := x.command.Number; x.command.Kind == "put" && n <= 3 && x.result.Outcome == consensus.Committed {
				if _, ok := first[n]; !ok {
					first[n] = x.returned - 2*time.Second - time.Duration(n-1)*each
				}
			}
		}
		t.Logf("%+v: acknowledged after %v, longest wait %v, %d events", c, first, r.MaxBacklog, r.Events)
		for n := range uint64(3) {
			if d, ok := first[n+1]; !ok || d > c.maxTime {
				t.Errorf("%+v: version %d was acknowledged after %v (acknowledged at all: %v)", c, n+1, d, ok)
			}
		}
		if r.MaxBacklog > 4*once {
			t.Errorf("%+v: a message waited %v for a link, want %v at most", c, r.MaxBacklog, 4*once)
		}
	}
}
