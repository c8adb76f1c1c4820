package controlplane

import (
	"cmp"
	"net"
	"time"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/transport"
)

const (
	commandShare      = 0.875           // of the time for acknowledging a call; without a result by then, a command is Unknown
	defaultAckTimeout = 4 * time.Second // time for acknowledging a call, if the settings give none
)

// storeClient is the connection to the configuration store on this machine.
type storeClient struct {
	server         *Server
	outbox         *transport.Outbox                     // owned by the loop; nil while there is no connection
	lastID         uint64                                // of a command
	pending        map[uint64]func(*controlstate.Result) // by ID of the command
	commandTimeout time.Duration                         // after which the result is Unknown; a command may have a shorter one
}

func newStoreClient(server *Server) *storeClient {
	ackTimeout := defaultAckTimeout
	if server.settings != nil && server.settings.Bounds.Ack > 0 {
		ackTimeout = server.settings.Bounds.Ack
	}
	return &storeClient{
		server:         server,
		pending:        map[uint64]func(*controlstate.Result){},
		commandTimeout: time.Duration(commandShare * float64(ackTimeout)),
	}
}

// connect keeps a connection to the store.
func (s *storeClient) connect() {
	server := s.server
	backoff := transport.Backoff{Min: firstBackoff, Max: server.scale(tickInterval / 4)}
	transport.KeepConnected(
		server.ctx,
		configstore.Address(server.settings.IP, server.settings),
		server.scale(idleTimeout),
		backoff,
		(&configstore.Handshake{ControlPlane: server.settings.Node}).Encode(),
		func(conn *transport.Conn) {
			outbox := transport.NewOutbox(conn, queueLength)
			server.goroutines.Go(outbox.Run)
			server.loop.Post(func() { s.outbox = outbox; s.heartbeat(time.Now()) })
			defer server.loop.Post(s.connectionLost)
			for {
				var encoded controlstatewire.Word
				if conn.Receive(&encoded) != nil {
					return
				}
				update := encoded.Update()
				server.loop.Post(func() { s.handleUpdate(update) })
			}
		},
	)
}

// heartbeat asks the store for its remaining lease. The lease counts from the time of the request,
// not of the response.
func (s *storeClient) heartbeat(now time.Time) {
	if s.outbox != nil {
		s.outbox.Send(
			controlstatewire.FromCommand(&controlstate.Command{Kind: controlstate.Heartbeat, ID: s.server.contact.StartHeartbeat(now)}),
		)
	}
}

// handleUpdate handles an update of the store.
func (s *storeClient) handleUpdate(update *controlstate.Update) {
	now := time.Now()
	changed, heartbeat := s.server.contact.HandleUpdate(now, update)
	s.server.updateContact(changed)
	if heartbeat {
		s.heartbeat(now)
	}
	for _, m := range update.Members {
		s.server.addMachine(hostOf(m.Addr), m.Zone)
	}
	if r := update.Result; r != nil {
		if done := s.pending[r.ID]; done != nil {
			delete(s.pending, r.ID)
			done(r)
		}
	}
}

// connectionLost handles the loss of the connection: the results of pending commands are Unknown,
// and there is no contact.
func (s *storeClient) connectionLost() {
	now := time.Now()
	s.outbox = nil
	s.server.contact.StoreLost(now)
	s.server.updateContact(false)
	pending := s.pending
	s.pending = map[uint64]func(*controlstate.Result){}
	for _, done := range pending {
		done(&controlstate.Result{Status: controlstate.Unknown, Reason: "the connection to the configuration store was lost"})
	}
}

// runCommand sends a command to the store and calls done once, with the result. A command that was
// received longer than its timeout ago when it leaves the queue is dropped, and so is a change that
// may be old after a stall: its caller has retried at another control plane, and later commands may
// have followed. A read changes nothing, so it may be old.
func (s *storeClient) runCommand(command *controlstate.Command, receivedAt time.Time, done func(*controlstate.Result)) {
	now := time.Now()
	timeout := min(cmp.Or(command.Timeout, s.commandTimeout), s.commandTimeout)
	mayBeOld := command.Kind != controlstate.ReadConfig && s.server.stalls.JustResumed(now)
	switch {
	case s.outbox == nil:
		done(&controlstate.Result{Status: controlstate.Unknown, Reason: "the configuration store cannot be reached"})
		return
	case now.Sub(receivedAt) >= timeout, mayBeOld:
		done(&controlstate.Result{Status: controlstate.Unknown, Reason: "this control plane was stalled, and the command may be old"})
		return
	}
	s.lastID++
	command.ID = s.lastID
	id := command.ID
	s.pending[id] = done
	s.outbox.Send(transport.Deferred(func() any {
		if time.Since(receivedAt) >= timeout {
			return nil
		}
		return controlstatewire.FromCommand(command)
	}))
	s.server.loop.PostAfter(timeout, func() {
		if done := s.pending[id]; done != nil {
			delete(s.pending, id)
			done(&controlstate.Result{Status: controlstate.Unknown, Reason: "the configuration store gave no result in time"})
		}
	})
}

// hostOf returns the host of an address.
func hostOf(addr string) string {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return ip
}
