// Package configstore is the process of the configuration store, which runs on each core machine and
// owns a disk. The protocol logic does no I/O: package consensus has the replicated registers, package
// membership the changes of the voters. This package carries their messages between processes,
// persists their records before it sends anything that depends on them, and serves the control planes.
package configstore

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"milletmast/internal/mesh/configstore/wire"
	"milletmast/internal/mesh/consensus"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/membership"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/storage"
	"milletmast/internal/mesh/transport"
)

var space = errorx.NewNamespace("configstore")

// Start is the type of errors that prevent a store from starting.
var Start = space.NewType("start")

// Rejected is the type of errors of commands that no store can run. Errors of configurations are of the type meshconfig.Invalid.
var Rejected = space.NewType("rejected")

const (
	tickInterval      = 300 * time.Millisecond // between two ticks if nothing is due earlier
	firstBackoff      = 25 * time.Millisecond  // before a connection to a peer is retried
	idleTimeout       = 2200 * time.Millisecond
	resignTimeout     = 300 * time.Millisecond // for a successor to be agreed on at shutdown
	peerQueueLength   = 256                    // unsent requests to a peer
	defaultAckTimeout = 4 * time.Second        // if the settings give none
	defaultLease      = 2 * time.Second        // if the settings give no time for a configuration to converge
	leaveFraction     = 0.25                   // fraction of the grace time in which a learner may replace this voter
	proposalFraction  = 0.75                   // fraction of the acknowledgement timeout for one proposal; the rest is for retries elsewhere
)

// Server is a running configuration store. Its state is owned by the goroutine of loop.
type Server struct {
	settings *nodeconfig.Settings
	log      zerolog.Logger
	disk     disk
	loop     *process.Loop

	replica        *consensus.Replica
	coordinator    *membership.Coordinator
	storageFailed  bool // the disk failed: nothing is sent until the whole state is on disk again
	peers          map[string]*transport.Outbox
	lastProposalID uint64
	proposals      map[uint64]func(consensus.Result)
	controlPlanes  map[*transport.Outbox]bool // connected ones
	lastPushed     *controlstate.Snapshot
	hadLease       bool        // a lease was held before, so the committed state is known
	lastLogged     loggedState // the state that logState logged last
	wakeTimer      *time.Timer
	stalls         process.StallDetector
	grace          time.Duration                     // time for the shutdown, from the settings at the start
	scale          func(time.Duration) time.Duration // scales a time, by the settings at the start
	goroutines     sync.WaitGroup
	listener       net.Listener

	// ctx ends the goroutines of a running process. Run sets it; functions that the loop runs start
	// goroutines with it.
	ctx context.Context
}

// Address returns the address at which the store of a machine listens for other stores and control
// planes.
func Address(ip string, s *nodeconfig.Settings) string {
	return s.PeerAddr(ip, process.ConfigStorePort)
}

// New opens the disk and the port.
func New(settings *nodeconfig.Settings, log zerolog.Logger) (*Server, error) {
	if settings.StateDir == "" {
		return nil, Start.New("%s: state_dir: is missing; a configuration store needs a directory on a disk", settings.Path)
	}
	store, corrupt, err := storage.Open(settings.StateDir)
	if err != nil {
		return nil, Start.Wrap(err, "open state")
	}
	if corrupt != nil {
		log.Error().Err(corrupt).Msg("treat disk as lost")
	}
	s := &Server{
		settings:      settings,
		grace:         settings.Bounds.Grace,
		scale:         settings.Bounds.Scale,
		log:           log,
		disk:          disk{store, map[string]consensus.Ballot{}},
		loop:          process.NewLoop(256),
		peers:         map[string]*transport.Outbox{},
		proposals:     map[uint64]func(consensus.Result){},
		controlPlanes: map[*transport.Outbox]bool{},
	}
	registers, voters, self, err := s.recoverState(corrupt != nil)
	if err != nil {
		store.Close()
		return nil, err
	}
	proposalTimeout := time.Duration(proposalFraction * float64(cmp.Or(settings.Bounds.Ack, defaultAckTimeout)))
	s.replica = consensus.NewReplica(
		self,
		consensus.Settings{
			Lease:           cmp.Or(settings.Bounds.Converge, defaultLease),
			ProposalTimeout: proposalTimeout,
			TimeScale:       settings.Bounds.TimeScale(),
		},
		voters,
		registers,
	)
	s.coordinator = membership.New(time.Now(), s.replica, settings.FaultBudgetMachines)
	if s.listener, err = net.Listen("tcp", Address(settings.IP, settings)); err != nil {
		store.Close()
		return nil, Start.Wrap(err, "listen")
	}
	return s, nil
}

// Run serves until ctx ends. Then it hands over the coordinator role, waits to be replaced as a voter,
// and closes the disk.
func (s *Server) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	s.ctx = inner
	s.goroutines.Go(func() {
		transport.Serve(inner, s.listener, func(raw net.Conn) { s.goroutines.Go(func() { s.serveConn(raw) }) })
	})
	s.goroutines.Go(func() { s.loop.Run(inner, s.scale(tickInterval), s.tick) })
	s.loop.Post(func() { s.addSeeds(); s.tick() })
	<-ctx.Done()
	s.log.Info().Msg("shut down")
	s.resign()
	s.leave()
	stop()
	s.listener.Close()
	s.goroutines.Wait()
	return s.disk.store.Close()
}

// SettingsChanged applies reloaded settings.
func (s *Server) SettingsChanged(settings *nodeconfig.Settings) {
	s.loop.Post(func() { s.settings = settings; s.addSeeds() })
}

// tick runs the work that is due.
func (s *Server) tick() {
	s.stalls.Tick(time.Now())
	if s.storageFailed {
		s.recoverStorage()
		return
	}
	s.apply(s.coordinator.Tick(time.Now()))
	s.pushSnapshot()
}

// Handshake is the first message of a connection to a store. Exactly one field is set.
type Handshake struct {
	Peer         bool   // another store; each side sends its member next
	ControlPlane string // the node of a control plane
	StatusQuery  bool   // a query; the response is a Status
}

// serveConn serves one connection.
func (s *Server) serveConn(raw net.Conn) {
	conn, err := transport.New(s.ctx, raw, s.scale(idleTimeout))
	if err != nil {
		return
	}
	defer conn.Close()
	var hello wire.Hello
	if err := conn.Receive(&hello); err != nil {
		return
	}
	handshake := decodeHandshake(&hello)
	if handshake.StatusQuery {
		if status, ok := process.Call(s.loop, s.status); ok {
			_ = conn.Send(status.Encode())
		}
		return
	}
	if !handshake.Peer {
		s.serveControlPlane(conn)
		return
	}
	var peer consensuswire.Member
	if conn.Receive(&peer) != nil {
		return
	}
	self := consensuswire.FromMember(s.replica.Self())
	if conn.Send(&self) != nil {
		return
	}
	for {
		var encoded consensuswire.Ask
		if err := conn.Receive(&encoded); err != nil {
			if errorx.IsOfType(err, transport.ProtocolError) {
				s.log.Warn().Err(err).Str("peer", conn.RemoteAddr()).Msg("reject peer message")
			}
			return
		}
		req := encoded.Request()
		req.From = peer.Member()
		resp, ok := process.Call(s.loop, func() *consensus.Response { return s.handleRequest(req) })
		if !ok {
			return
		}
		if resp != nil && conn.Send(consensuswire.FromResponse(resp)) != nil {
			return
		}
	}
}
