package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"milletmast/balancer"
)

// A service that is shut down again, at the same time or later, has ended: a proxy that drained while a configuration replaced a module
// did so, waited for ever and was killed at the end of its grace time.
func TestShutdownAgain(t *testing.T) {
	s, send := panicService(t)
	var sent sync.WaitGroup
	started := make(chan struct{})
	sent.Go(func() {
		reply := send(func() AttemptResult {
			close(started)
			return AttemptResult{Outcome: balancer.OK, Reply: &Reply{Status: http.StatusOK}}
		})
		if reply.Status != http.StatusOK {
			t.Errorf("status %d, want 200", reply.Status)
		}
	})
	<-started
	var ended sync.WaitGroup
	for range 3 {
		ended.Go(func() { s.Shutdown(t.Context(), time.Now().Add(time.Minute)) })
	}
	ended.Wait()
	sent.Wait()
	for range 20 { // each would wait by chance
		s.Shutdown(t.Context(), time.Now())
	}
}
