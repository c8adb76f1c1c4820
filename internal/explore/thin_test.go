package explore

import (
	"fmt"
	"testing"
	"time"

	"whinknot/internal/tide"
)

// TestThinLinks: configurations of a megabyte over links that take seconds for one, sent again elsewhere while there is no answer, two
// operators at once. Each number is acknowledged once its body can have reached a second disk, and nothing piles up: no word waits longer
// than for a few bodies.
func TestThinLinks(t *testing.T) {
	const size = 1_000_000
	for _, c := range []struct {
		machines, rate int
		rivals         bool // two contents under each number, by way of two machines
		most           time.Duration
	}{
		{3, 1_000_000, false, 1500 * time.Millisecond},
		{5, 1_000_000, false, 1500 * time.Millisecond},
		{3, 1_000_000, true, 3 * time.Second},
		{3, 125_000, false, 10 * time.Second},
		{5, 125_000, true, 20 * time.Second},
	} {
		once := time.Duration(size) * time.Second / time.Duration(c.rate)
		each := 3*once + 3*time.Second
		p := Plan{Seed: 1, Seeds: c.machines, Machines: c.machines, Losses: c.machines / 2, End: 2*time.Second + 3*each, Rate: c.rate}
		put := func(at time.Duration, i, to int, body string) {
			o := Order{At: at, Kind: "put", Key: "config", Number: uint64(i + 1), Body: fmt.Sprintf("r%d/%s*%d", i+1, body, size)}
			for try := range int(each / patience) {
				o.To = append(o.To, (to+try)%c.machines)
			}
			p.Orders = append(p.Orders, o)
		}
		for i := range 3 {
			at := 2*time.Second + time.Duration(i)*each
			put(at, i, i, "A")
			if c.rivals {
				put(at, i, i+1, "B")
			}
		}
		w := new(world)
		r := w.begin(p, hooks{})
		if len(r.Faults) > 0 {
			t.Errorf("%+v: %v", c, r.Faults)
		}
		first := map[uint64]time.Duration{}
		for _, x := range w.ops {
			if n := x.order.Number; x.order.Kind == "put" && n <= 3 && x.result.Outcome == tide.Done {
				if _, ok := first[n]; !ok {
					first[n] = x.returned - 2*time.Second - time.Duration(n-1)*each
				}
			}
		}
		t.Logf("%+v: acknowledged after %v, longest wait %v, %d events", c, first, r.Backlog, r.Events)
		for n := range uint64(3) {
			if d, ok := first[n+1]; !ok || d > c.most {
				t.Errorf("%+v: number %d was acknowledged after %v (%v)", c, n+1, d, ok)
			}
		}
		if r.Backlog > 4*once {
			t.Errorf("%+v: a message waited %v", c, r.Backlog)
		}
	}
}
