// Package freeport reserves loopback ports for servers whose address has to be known before they listen.
//
// A port that the kernel chose for a socket which was closed again is not free for long: the kernel may give it to the next
// outgoing connection or listener of any process. Ports are therefore reserved below the range from which the kernel chooses
// (ip_local_port_range, see ip(7)), and a listener at an address that nothing else uses claims each number, so that two test
// processes never reserve the same one.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/joomcode/errorx"
)

const (
	// firstPort and lastPort bound the reserved numbers. Linux chooses from 32768 by default.
	firstPort, lastPort = 20000, 32767
	// claimIP is the loopback address whose listeners mark a port as reserved.
	claimIP = "127.255.255.254"
	// loopbackIP is where a reserved port must not be in use by anyone who does not reserve.
	loopbackIP = "127.0.0.1"
	// maxTries bounds the draws of one reservation.
	maxTries = 1000
)

var errorsOf = errorx.NewNamespace("freeport")

// ErrExhausted is the kind of a reservation that found no free ports.
var ErrExhausted = errorsOf.NewType("exhausted")

// Reservation is a range of consecutive ports. Release frees it.
type Reservation struct {
	// First is the lowest port of the range.
	First  int
	claims []net.Listener
}

// Reserve claims count consecutive ports until they are released. It fails with ErrExhausted if it finds none.
func Reserve(count int) (*Reservation, error) {
	if count > lastPort-firstPort+1 {
		return nil, ErrExhausted.New("%d ports are more than there are between %d and %d", count, firstPort, lastPort)
	}
	for range maxTries {
		r := &Reservation{First: firstPort + rand.IntN(lastPort-firstPort-count+2)}
		if r.claim(count) {
			return r, nil
		}
		r.Release()
	}
	return nil, ErrExhausted.New("no %d consecutive ports are free between %d and %d", count, firstPort, lastPort)
}

// claim claims each port of the range, and says whether all were free.
func (r *Reservation) claim(count int) bool {
	for port := r.First; port < r.First+count; port++ {
		claim, err := net.Listen("tcp4", address(claimIP, port))
		if err != nil {
			return false
		}
		r.claims = append(r.claims, claim)
		probe, err := net.Listen("tcp4", address(loopbackIP, port))
		if err != nil {
			return false
		}
		if probe.Close() != nil {
			return false
		}
	}
	return true
}

// Address returns the first port at 127.0.0.1.
func (r *Reservation) Address() string { return address(loopbackIP, r.First) }

// Release frees the ports for others. Servers that listen on them are not affected.
func (r *Reservation) Release() {
	for _, claim := range r.claims {
		claim.Close()
	}
	r.claims = nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// TestingT is what a reservation for a test needs of testing.TB.
type TestingT interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// ForTest reserves count consecutive ports until the test ends.
func ForTest(t TestingT, count int) *Reservation {
	t.Helper()
	r, err := Reserve(count)
	if err != nil {
		t.Fatal(fmt.Errorf("reserve %d ports: %w", count, err))
	}
	t.Cleanup(r.Release)
	return r
}

// AddressForTest reserves one port until the test ends and returns its address at 127.0.0.1.
func AddressForTest(t TestingT) string {
	t.Helper()
	return ForTest(t, 1).Address()
}
