package proxy

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/transport"
)

// A new proxy that reaches only a control plane without contact waits for its patience to end; then it asks for the last that is known, goes
// by that, says that it is uncertain, and is not any more as soon as the control plane has contact and says what is in force.
func TestNewProxyWithIsolatedControlPlane(t *testing.T) {
	m := newMesh(t)
	m.stopCore()
	core := m.settings("core", coreIP)
	ln, err := net.Listen("tcp", controlplane.Address(coreIP, core))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); ln.Close(); running.Wait() })
	contact := make(chan struct{})
	running.Go(func() {
		transport.Serve(ctx, ln, func(raw net.Conn) { running.Go(func() { cutOff(ctx, raw, contact) }) })
	})
	s := m.settings("new", "127.0.8.1")
	s.Bounds.Contact, s.Bounds.Converge = 700*time.Millisecond, 500*time.Millisecond
	begun := time.Now()
	p, err := New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = p.Run(ctx) })
	goes := func(standing string, version uint64) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			got, err := QueryStatus(p.record.PeerAddr, StatusQuery{}, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if got.Trust == standing && got.Version == version {
				if got.Ready != (version > 0) {
					t.Errorf("r%d, %s: ready %v", version, standing, got.Ready)
				}
				return
			}
			if got.Version > 0 && version == 0 || got.Version > version {
				t.Fatalf("it goes by r%d, %s; want r%d, %s", got.Version, got.Trust, version, standing)
			}
		}
		t.Fatalf("it does not come to r%d, %s", version, standing)
	}
	goes("waiting", 0)
	goes("uncertain", 2)
	if waited := time.Since(begun); waited < s.Bounds.Contact+s.Bounds.Converge {
		t.Errorf("it waited for %v", waited)
	}
	m.until("GET", "http://"+s.Readiness+"/api/readiness", "")
	close(contact)
	goes("certain", 3)
}

// cutOff is a control plane that has no contact, until it has: then something newer is in force.
func cutOff(ctx context.Context, raw net.Conn, contact <-chan struct{}) {
	conn, err := transport.New(ctx, raw, time.Minute)
	if err != nil {
		return
	}
	defer conn.Close()
	var h discoverywire.Hello
	if conn.Receive(&h) != nil || conn.Send(discoverywire.FromControlMessage(&discovery.ControlMessage{Sequence: 1, Complete: true})) != nil {
		return
	}
	in := func(version string, number uint64, settled bool) *controlstate.Snapshot {
		text := strings.Replace(testConfig, `"r2"`, `"`+version+`"`, 1)
		return &controlstate.Snapshot{Config: []byte(text), ConfigVersion: number, Confirmed: settled, Epoch: 1}
	}
	for told := false; ; {
		var up discoverywire.Up
		if conn.Receive(&up) != nil {
			return
		}
		var d discovery.ControlMessage // only says that it is there
		select {
		case <-contact:
			d.HasContact = true
			if up.Holds < 3 {
				d.Sequence, d.Snapshot = 3, in("r3", 3, true)
			}
		default:
			if up.Last && !told {
				told, d.Sequence, d.Snapshot = true, 2, in("r2", 2, false)
			}
		}
		if conn.Send(discoverywire.FromControlMessage(&d)) != nil {
			return
		}
	}
}
