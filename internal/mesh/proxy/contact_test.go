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

// A new proxy that reaches only a control plane without contact to a quorum waits for the contact timeout. Then it requests and uses the last
// known snapshot, with the trust level uncertain. It becomes certain once the control plane has contact and sends the confirmed snapshot.
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
		transport.Serve(ctx, ln, func(raw net.Conn) { running.Go(func() { serveIsolatedControlPlane(ctx, raw, contact) }) })
	})
	s := m.settings("new", "127.0.8.1")
	s.Bounds.Contact, s.Bounds.Converge = 700*time.Millisecond, 500*time.Millisecond
	startedAt := time.Now()
	p, err := New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = p.Run(ctx) })
	awaitStatus := func(trust string, version uint64) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			got, err := QueryStatus(p.record.PeerAddr, StatusQuery{}, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if got.Trust == trust && got.Version == version {
				if got.Ready != (version > 0) {
					t.Errorf("r%d, %s: ready %v", version, trust, got.Ready)
				}
				return
			}
			if got.Version > 0 && version == 0 || got.Version > version {
				t.Fatalf("the proxy uses r%d, %s; want r%d, %s", got.Version, got.Trust, version, trust)
			}
		}
		t.Fatalf("the proxy does not reach r%d, %s", version, trust)
	}
	awaitStatus("waiting", 0)
	awaitStatus("uncertain", 2)
	if waited := time.Since(startedAt); waited < s.Bounds.Contact+s.Bounds.Converge {
		t.Errorf("the proxy waited for %v only", waited)
	}
	m.callUntilOK("GET", "http://"+s.Readiness+"/api/readiness", "")
	close(contact)
	awaitStatus("certain", 3)
}

// serveIsolatedControlPlane serves a connection as a control plane without contact, which sends the last known snapshot on request. Once contact
// is closed, it has contact and sends a newer, confirmed snapshot.
func serveIsolatedControlPlane(ctx context.Context, raw net.Conn, contact <-chan struct{}) {
	conn, err := transport.New(ctx, raw, time.Minute)
	if err != nil {
		return
	}
	defer conn.Close()
	var handshake discoverywire.Hello
	if conn.Receive(&handshake) != nil || conn.Send(discoverywire.FromControlMessage(&discovery.ControlMessage{Sequence: 1, Complete: true})) != nil {
		return
	}
	snapshot := func(version string, number uint64, confirmed bool) *controlstate.Snapshot {
		text := strings.Replace(testConfig, `"r2"`, `"`+version+`"`, 1)
		return &controlstate.Snapshot{Config: []byte(text), ConfigVersion: number, Confirmed: confirmed, Epoch: 1}
	}
	for sentLastKnown := false; ; {
		var encoded discoverywire.Up
		if conn.Receive(&encoded) != nil {
			return
		}
		var msg discovery.ControlMessage // a heartbeat, unless a snapshot is added
		select {
		case <-contact:
			msg.HasContact = true
			if encoded.Holds < 3 {
				msg.Sequence, msg.Snapshot = 3, snapshot("r3", 3, true)
			}
		default:
			if encoded.Last && !sentLastKnown {
				sentLastKnown, msg.Sequence, msg.Snapshot = true, 2, snapshot("r2", 2, false)
			}
		}
		if conn.Send(discoverywire.FromControlMessage(&msg)) != nil {
			return
		}
	}
}
