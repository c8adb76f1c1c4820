package testcluster

import (
	"context"
	"time"
)

// MeasureStalls measures the longest stall of this process until the returned function is called. The relays of this process observe
// what is checked later, and they are delayed while the machine is busy with starting processes or the runtime waits for a fork.
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
