package proxy

import (
	"testing"
	"time"
)

// However long the grace time is, no request that an endpoint is at work on is cut before the last sixth of it: with a grace time below
// 4.8 s it was. What is left until SIGKILL is a tenth of the grace time, or 0.6 s.
func TestDrainTimes(t *testing.T) {
	for grace := 100 * time.Millisecond; grace <= time.Minute; grace += 100 * time.Millisecond {
		times := newDrainTimes(grace)
		if times.abort < grace*5/6 {
			t.Errorf("grace time %v: requests are aborted after %v", grace, times.abort)
		}
		if times.accept > times.abort || times.abort >= times.close || times.close > grace-min(grace/10, 600*time.Millisecond) {
			t.Errorf("grace time %v: %+v", grace, times)
		}
	}
	want := drainTimes{accept: 2600 * time.Millisecond, abort: 5200 * time.Millisecond, close: 5400 * time.Millisecond}
	if times := newDrainTimes(6 * time.Second); times != want {
		t.Errorf("grace time 6 s: %+v, want %+v", times, want)
	}
}
