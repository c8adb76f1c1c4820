package process

import (
	"context"
	"testing"
	"time"
)

// A delayed function runs in the loop. One that was stopped or is due after the end of the loop does not run.
func TestPostAfter(t *testing.T) {
	loop := NewLoop(1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		loop.Run(ctx, time.Hour, func() {})
		close(ended)
	}()
	ran := make(chan string, 3)
	loop.PostAfter(time.Hour, func() { ran <- "stopped" }).Stop()
	loop.PostAfter(time.Millisecond, func() { ran <- "delayed" })
	if got := <-ran; got != "delayed" {
		t.Fatalf("%s ran first", got)
	}
	cancel()
	<-ended
	late := loop.PostAfter(time.Hour, func() { ran <- "late" })
	late.Reset(0) // due now, after the end
	if _, ok := Call(loop, func() bool { return true }); ok {
		t.Error("a function ran after the end of the loop")
	}
	select {
	case got := <-ran:
		t.Errorf("%s ran", got)
	default:
	}
}
