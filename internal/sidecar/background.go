package sidecar

import (
	"context"
	"sync"
)

// RunInBackground runs the instance until the returned function is called. That function waits for the end of the drain and returns
// the error of Run.
func (i *Instance) RunInBackground() (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var err error
	running.Go(func() { err = i.Run(ctx) })
	return func() error {
		cancel()
		running.Wait()
		return err
	}
}
