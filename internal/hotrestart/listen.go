package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens at an address at which another process of the same user may listen too (SO_REUSEPORT, socket(7)).
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, optionErr)
	}}
	lc.SetMultipathTCP(false) // multipath TCP supports no socket filter
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// The slots of the two processes that listen at the address, in the order in which they started. If no process has the
// chosen slot, the kernel distributes connections among all that listen.
const (
	FirstSlot  = 0
	SecondSlot = 1
)

// DirectConnections directs all new connections to the process at a slot. Connections that the kernel has queued for a
// listener are reset when it is closed; a listener that gets no new ones can accept those first. It attaches a socket
// filter of one instruction (SO_ATTACH_REUSEPORT_CBPF, socket(7)).
func DirectConnections(ln net.Listener, slot uint32) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("direct connections: the listener is a %T, not a *net.TCPListener", ln)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("direct connections: %w", err)
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: slot}}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err := errors.Join(err, optionErr); err != nil {
		return fmt.Errorf("direct connections: %w", err)
	}
	return nil
}
