package testcluster

import (
	"context"
	"time"
)

// MeasureStalls measures the longest stall of this process until the function that it returns is called. The relays of this process
// see what is judged, and a machine that starts processes may not run it for a while, nor the runtime while a thread forks.
func MeasureStalls(ctx context.Context) (longestStall func() time.Duration) {
	const interval = 2 * time.Millisecond
	longest, stop, ended := time.Duration(0), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for last := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
			now := time.Now()
			longest, last = max(longest, now.Sub(last)-interval), now
		}
	}()
	return func() time.Duration {
		close(stop)
		<-ended
		return longest
	}
}
