// Package freeport reserves loopback ports for servers whose address has to be known before they listen.
//
// A port that the kernel chose for a socket which was closed again is not free for long: the kernel may give it to the next
// outgoing connection or listener of any process. Ports are therefore reserved below the range from which the kernel chooses
// (ip_local_port_range, see ip(7)), and each reserved port is claimed by a listener at another loopback address, so that two
// test processes never reserve the same port.
//
// No socket that listens at a reserved address is ever opened here, not even to close it again: a process that the caller starts at
// that moment has copies of all descriptors until its exec, and a copy of a listener keeps the port in use.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

const (
	// firstPort and lastPort bound the ports that can be reserved. By default, Linux chooses ports from 32768 on.
	firstPort, lastPort = 20000, 32767
	// claimIP is the loopback address whose listeners mark a port as reserved.
	claimIP = "127.255.255.254"
	// loopbackIP is the address on which servers listen at reserved ports.
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
		return nil, ErrExhausted.New("reserve %d ports: only %d exist between %d and %d", count, lastPort-firstPort+1, firstPort, lastPort)
	}
	for range maxTries {
		r := &Reservation{First: firstPort + rand.IntN(lastPort-firstPort-count+2)}
		if r.claim(count) {
			return r, nil
		}
		r.Release()
	}
	return nil, ErrExhausted.New("reserve %d ports: no consecutive ones are free between %d and %d", count, firstPort, lastPort)
}

// claim claims each port of the range, and reports whether all were free.
func (r *Reservation) claim(count int) bool {
	for port := r.First; port < r.First+count; port++ {
		claim, err := net.Listen("tcp4", address(claimIP, port))
		if err != nil {
			return false
		}
		r.claims = append(r.claims, claim)
		if !isUnused(port) {
			return false
		}
	}
	return true
}

// isUnused reports whether a server can listen at the port of 127.0.0.1. A process that does not use this package may listen there
// already. The check binds a socket without listening: with SO_REUSEADDR, which package net sets too, such a socket does not prevent
// others from listening.
func isUnused(port int) bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	if unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) != nil {
		return false
	}
	loopback := [4]byte(net.ParseIP(loopbackIP).To4())
	return unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback, Port: port}) == nil
}

// Address returns the address of the first port at 127.0.0.1.
func (r *Reservation) Address() string { return address(loopbackIP, r.First) }

// Release frees the ports for others. Servers that listen on them are not affected.
func (r *Reservation) Release() {
	for _, claim := range r.claims {
		claim.Close()
	}
	r.claims = nil
}

// Listen listens at a free port of 127.0.0.1 from the range of the reserved ones. Such a port can be listened at again after the
// listener was closed: no outgoing connection gets it meanwhile.
func Listen() (*net.TCPListener, error) {
	r, err := Reserve(1)
	if err != nil {
		return nil, err
	}
	defer r.Release()
	ln, err := net.Listen("tcp4", r.Address())
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// TestingT is the part of testing.TB that a reservation for a test uses.
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
