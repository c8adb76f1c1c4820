package freeport

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
)

// TestReservedPortsAreDistinct reserves many ports at a time: none is reserved twice or is in the range from which the kernel chooses,
// and a server can listen at the first port of each reservation.
func TestReservedPortsAreDistinct(t *testing.T) {
	seen := map[int]bool{}
	for range 200 {
		r := ForTest(t, 3)
		for port := r.First; port < r.First+3; port++ {
			if seen[port] || port < firstPort || port > lastPort {
				t.Fatalf("port %d is reserved twice or out of range", port)
			}
			seen[port] = true
		}
		ln, err := net.Listen("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
	}
}

// TestReleasedPortsAreFree checks that a reserved port can be claimed again only after its release.
func TestReleasedPortsAreFree(t *testing.T) {
	first, err := Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	again := &Reservation{First: first.First}
	if again.claim(1) {
		t.Errorf("port %d is claimed twice", first.First)
	}
	again.Release()
	first.Release()
	if !again.claim(1) {
		t.Errorf("port %d is not free after its release", first.First)
	}
	again.Release()
}

// TestUsedPortIsNotReserved checks that a port is not claimed while a listener without a reservation uses it.
func TestUsedPortIsNotReserved(t *testing.T) {
	r := ForTest(t, 1)
	ln, err := net.Listen("tcp4", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	r.Release()
	if r.claim(1) {
		t.Errorf("port %d is reserved while another listens at it", r.First)
	}
}

// TestTooManyPorts tries to reserve more ports than the range has.
func TestTooManyPorts(t *testing.T) {
	if _, err := Reserve(lastPort - firstPort + 2); !errorx.IsOfType(err, ErrExhausted) {
		t.Errorf("got %v, want %v", err, ErrExhausted)
	}
}

// TestReservedPortWhileProcessesStart listens at reserved ports while the test process starts others. Until its exec, a process
// that was just forked has copies of all descriptors, so that nothing that Reserve opened may block a port after Reserve returns.
func TestReservedPortWhileProcessesStart(t *testing.T) {
	const starters, listeners, portsEach = 2, 2, 200
	var done atomic.Bool
	var starting, listening sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for !done.Load() {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range listeners {
		listening.Go(func() {
			for range portsEach {
				r, err := Reserve(1)
				if err != nil {
					t.Error(err)
					return
				}
				ln, err := net.Listen("tcp4", r.Address())
				if err != nil {
					t.Error(err)
				} else {
					ln.Close()
				}
				r.Release()
			}
		})
	}
	listening.Wait()
	done.Store(true)
	starting.Wait()
}

// TestListenAgain checks that a port of Listen can be listened at again after the listener was closed.
func TestListenAgain(t *testing.T) {
	ln, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	if port := ln.Addr().(*net.TCPAddr).Port; port < firstPort || port > lastPort {
		t.Errorf("port %d is out of range", port)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := net.Listen("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
}
