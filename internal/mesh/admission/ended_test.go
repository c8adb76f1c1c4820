package admission

import (
	"fmt"
	"testing"
	"time"
)

// However many instances follow each other, those that ended last are remembered, and nothing grows.
func TestEndedInstancesAreBounded(t *testing.T) {
	c := New(Limits{})
	now := time.Now()
	const instances = 10 * maxEndedInstances
	for n := range instances {
		c.SetState(now, fmt.Sprint("i-", n), Serving)
		c.SetState(now, fmt.Sprint("other-", n%3), Gone)
	}
	if n := len(c.ended.ids); n != maxEndedInstances {
		t.Errorf("%d ended instances are remembered, want %d", n, maxEndedInstances)
	}
	for n := instances - maxEndedInstances/2; n < instances-1; n++ {
		if c.SetState(now, fmt.Sprint("i-", n), Serving) {
			t.Fatalf("i-%d has ended and serves again", n)
		}
	}
	if state, id := c.State(); state != Serving || id != fmt.Sprint("i-", instances-1) {
		t.Errorf("%s is %v, want the last one serving", id, state)
	}
}
