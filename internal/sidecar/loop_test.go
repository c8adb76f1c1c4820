package sidecar

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"milletmast/balancer"
)

// idle is a loop with nothing to do that runs in its own goroutine.
func idle(t *testing.T) *eventLoop {
	t.Helper()
	cfg := config(t)
	l, err := newEventLoop(&cfg, newUpstream(balancer.Limits{}, 0, 4))
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	return l
}

// A loop that is told to end while it does what it was asked: who asked waits until that is done, and may read what it wrote.
func TestAskWaitsWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := idle(t)
		taken, release := make(chan struct{}), make(chan struct{})
		var returned atomic.Bool
		n, ran := 0, false
		go func() {
			ran = l.do(func() {
				close(taken)
				<-release
				n = 1
			})
			returned.Store(true)
		}()
		<-taken
		close(l.stop)
		synctest.Wait() // all that can go on without release has
		if returned.Load() {
			t.Error("returned while it runs")
		}
		close(release)
		synctest.Wait()
		if !returned.Load() || !ran || n != 1 {
			t.Errorf("returned %v, ran %v, wrote %d", returned.Load(), ran, n)
		}
	})
}

// What waits in the mail of a loop that ends runs or never does, and who asked is told which.
func TestAskSaysWhetherItRan(t *testing.T) {
	for range 50 { // the loop may take the end or the mail first
		synctest.Test(t, func(t *testing.T) {
			l := idle(t)
			release := make(chan struct{})
			l.post(func() { <-release })
			var wrote atomic.Bool
			said := make(chan bool, 1)
			go func() { said <- l.do(func() { wrote.Store(true) }) }()
			synctest.Wait()
			close(l.stop)
			close(release)
			synctest.Wait()
			if s := <-said; s != wrote.Load() {
				t.Errorf("said %v, wrote %v", s, wrote.Load())
			}
			if l.do(func() {}) {
				t.Error("a loop that is over did what it was asked")
			}
		})
	}
}

// An answer that was given as the last thing before the loop ended is the answer.
func TestLastWordIsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := idle(t)
		taken, release := make(chan struct{}), make(chan struct{})
		answered := make(chan response, 1)
		l.post(func() {
			close(taken)
			<-release
			answered <- response{status: 200}
		})
		<-taken
		close(l.stop)
		synctest.Wait()
		select {
		case <-l.stopped:
			t.Fatal("over while it still gives an answer")
		default:
		}
		close(release)
		<-l.stopped
		if a, ok := pollResponse(answered); !ok || a.status != 200 {
			t.Errorf("%v, %v", a, ok)
		}
	})
}
