package sidecar

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"milletmast/balancer"
)

// startIdleLoop starts an event loop without work, in its own goroutine.
func startIdleLoop(t *testing.T) *eventLoop {
	t.Helper()
	cfg := config(t)
	l, err := newEventLoop(&cfg, newUpstream(balancer.Limits{}, 0, 4))
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	return l
}

// If the event loop is stopped while it runs a function, do must still wait for the function, so that its caller may read what the
// function wrote.
func TestDoWaitsForRunningFunction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startIdleLoop(t)
		started, release := make(chan struct{}), make(chan struct{})
		var returned atomic.Bool
		n, ran := 0, false
		go func() {
			ran = l.do(func() {
				close(started)
				<-release
				n = 1
			})
			returned.Store(true)
		}()
		<-started
		close(l.stop)
		synctest.Wait() // all goroutines wait for release
		if returned.Load() {
			t.Error("do returned while the function was running")
		}
		close(release)
		synctest.Wait()
		if !returned.Load() || !ran || n != 1 {
			t.Errorf("returned %v, ran %v, wrote %d", returned.Load(), ran, n)
		}
	})
}

// A function that is queued when the event loop stops may or may not run, and do must report which.
func TestDoReportsWhetherFunctionRan(t *testing.T) {
	for range 50 { // the loop may receive the stop or the function first
		synctest.Test(t, func(t *testing.T) {
			l := startIdleLoop(t)
			release := make(chan struct{})
			l.post(func() { <-release })
			var wrote atomic.Bool
			reported := make(chan bool, 1)
			go func() { reported <- l.do(func() { wrote.Store(true) }) }()
			synctest.Wait()
			close(l.stop)
			close(release)
			synctest.Wait()
			if ran := <-reported; ran != wrote.Load() {
				t.Errorf("do returned %v, but the function ran: %v", ran, wrote.Load())
			}
			if l.do(func() {}) {
				t.Error("a stopped event loop ran a function")
			}
		})
	}
}

// A response that the event loop sends in its last function before it stops must be delivered.
func TestResponseOfLastFunction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startIdleLoop(t)
		started, release := make(chan struct{}), make(chan struct{})
		responses := make(chan response, 1)
		l.post(func() {
			close(started)
			<-release
			responses <- response{status: 200}
		})
		<-started
		close(l.stop)
		synctest.Wait()
		select {
		case <-l.stopped:
			t.Fatal("the event loop stopped while a function was running")
		default:
		}
		close(release)
		<-l.stopped
		if r, ok := pollResponse(responses); !ok || r.status != 200 {
			t.Errorf("%v, %v", r, ok)
		}
	})
}
