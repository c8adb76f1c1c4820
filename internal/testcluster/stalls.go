package testcluster

import (
	"context"
	"time"
)

// Stall is a time span in which a goroutine of this process was due but did not run, in ns by Now.
type Stall struct{ From, To int64 }

// Stalls are the stalls of a process in the order of their times.
type Stalls []Stall

// Longest returns the length of the longest stall; 0 for none.
func (s Stalls) Longest() (longest time.Duration) {
	for _, one := range s {
		longest = max(longest, time.Duration(one.To-one.From))
	}
	return longest
}

// LongestWithin returns the length of the longest stall that overlaps the time span; 0 for none.
func (s Stalls) LongestWithin(from, to int64) (longest time.Duration) {
	for _, one := range s {
		if one.From <= to && one.To >= from {
			longest = max(longest, time.Duration(one.To-one.From))
		}
	}
	return longest
}

// minStall is the shortest stall that is measured.
const minStall = time.Millisecond

// MeasureStalls measures the stalls of this process until the returned function is called. The relays of this process observe what is
// checked later, and they are delayed while the machine is busy with starting processes or the runtime waits for a fork.
func MeasureStalls(ctx context.Context) (measured func() Stalls) {
	const interval = 2 * time.Millisecond
	var stalls Stalls
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for last := Now(); ; {
			select {
			case <-stop:
				return
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
			due, now := last+int64(interval), Now()
			if now-due >= int64(minStall) {
				stalls = append(stalls, Stall{From: due, To: now})
			}
			last = now
		}
	}()
	return func() Stalls {
		close(stop)
		<-ended
		return stalls
	}
}
