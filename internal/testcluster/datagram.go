package testcluster

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	reorderDelay    = 50 * time.Millisecond
	maxFlows        = 4096     // senders of a link
	maxDatagramSize = 64 << 10 // bytes
)

// ListenUDP opens a UDP link at a free port. Responses of the target are sent back to the sender.
func (r *Cluster) ListenUDP(name, target string, seed uint64) (*Link, error) {
	return r.ListenUDPAt(name, "127.0.0.1:0", target, seed)
}

// ListenUDPAt opens a UDP link at an address, such as that of a TCP link.
func (r *Cluster) ListenUDPAt(name, address, target string, seed uint64) (*Link, error) {
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	l := newLink(name, target, seed)
	l.udp = conn
	l.goroutines.Go(func() { l.relayDatagrams(to) })
	r.OnClose(l.Close)
	return l, nil
}

// relayDatagrams relays datagrams to the target until the link is closed.
func (l *Link) relayDatagrams(to *net.UDPAddr) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := l.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if flow := l.flow(from, to); flow != nil {
			l.deliver(Forward, bytes.Clone(buffer[:n]), func(p []byte) { _, _ = flow.Write(p) }) // a failed write is a lost datagram
		}
	}
}

// flow returns the socket that relays the datagrams of one sender; nil if the link is closed or has maxFlows senders.
func (l *Link) flow(from, to *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.flows[from.String()]; f != nil {
		return f
	}
	if l.closed || len(l.flows) >= maxFlows {
		return nil
	}
	f, err := net.DialUDP("udp4", nil, to)
	if err != nil {
		return nil
	}
	l.flows[from.String()] = f
	l.goroutines.Go(func() { l.relayResponses(f, from) })
	return f
}

// relayResponses relays the datagrams that the target sends to one flow.
func (l *Link) relayResponses(f *net.UDPConn, sender *net.UDPAddr) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, err := f.Read(buffer)
		if errors.Is(err, syscall.ECONNREFUSED) { // the target is not listening
			continue
		}
		if err != nil {
			return
		}
		l.deliver(Backward, bytes.Clone(buffer[:n]), func(p []byte) { _, _ = l.udp.WriteToUDP(p, sender) }) // a failed write is a lost datagram
	}
}

// deliver delivers a datagram under the conditions of a direction. It is lost if the direction is blocked.
func (l *Link) deliver(d Direction, p []byte, send func([]byte)) {
	l.mu.Lock()
	c := l.conditions[d]
	isLost := l.random.Float64() < c.Loss
	isDuplicated := l.random.Float64() < c.Duplicate
	isReordered := l.random.Float64() < c.Reorder
	l.mu.Unlock()
	if isLost || c.Blocked {
		return
	}
	delay := c.Delay + l.drawJitter(c.Jitter)
	if isReordered {
		delay += reorderDelay
	}
	copies := 1
	if isDuplicated {
		copies = 2
	}
	for range copies {
		if delay <= 0 {
			send(p)
			continue
		}
		time.AfterFunc(delay, func() { send(p) })
	}
}
