// Package controlplane is the process of the control plane, one on each core machine: the service
// registry, discovery for the proxies, and the control API for endpoints and operators. It keeps
// sessions with proxies, collects their records, pushes numbered updates to them, and runs commands
// through the configuration store beside it.
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"milletmast/internal/mesh/controlapi"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/mesh/transport"
)

var space = errorx.NewNamespace("controlplane")

// Start is the type of errors that keep a control plane from starting.
var Start = space.NewType("start")

const (
	tickInterval      = 500 * time.Millisecond
	heartbeatInterval = 800 * time.Millisecond  // to each proxy and peer that was sent nothing else
	idleTimeout       = 2200 * time.Millisecond // after which a connection counts as lost
	firstBackoff      = 25 * time.Millisecond   // before a connection to a peer is retried
	confirmTicks      = 2                       // ticks between two confirmations of the connected proxies to the peers
	unreachableAfter  = 2500 * time.Millisecond // without a message of a proxy to any control plane
	forgetAfter       = 30 * time.Second        // without a message, for proxies and core machines
	pushDelay         = 10 * time.Millisecond   // within which changes are pushed together
	ackTimeout        = 250 * time.Millisecond  // for proxies to acknowledge the push of a command
	drainTimeout      = 2 * time.Second         // for calls in flight at shutdown
	queueLength       = 256                     // messages that wait for a proxy or peer to read them
)

// Server is a running control plane. Its state is owned by the goroutine of loop.
type Server struct {
	settings *nodeconfig.Settings
	log      zerolog.Logger
	loop     *process.Loop

	registry       *registry.Registry
	proxies        map[*session]bool
	peers          map[string]*session // by address of the machine; nil while there is no connection
	machines       map[string]*machine // by address
	store          *storeClient
	contact        *discovery.StoreContact   // the latest snapshot of the configuration store, and the lease on it
	serveUntil     atomic.Pointer[time.Time] // expiry of the lease of contact; read by the outboxes too
	changedNodes   map[string]bool           // to be pushed to proxies
	nodesForPeers  map[string]bool           // to be sent to peers
	flushScheduled bool
	ticks          int
	stalls         process.StallDetector
	pushWaits      []*pushWait
	tickets        tickets
	ejector        *ejector

	scale        func(time.Duration) time.Duration // scales a time by the settings at the start
	goroutines   sync.WaitGroup
	meshListener net.Listener
	apiListener  net.Listener

	// ctx ends the goroutines of a running process. It is set by Run, as functions of the loop start goroutines too.
	ctx context.Context
}

// Address returns the address at which the control plane of a machine listens for proxies and
// peers.
func Address(ip string, s *nodeconfig.Settings) string {
	return s.PeerAddr(ip, process.ControlPlanePort)
}

// New returns a control plane that listens at its addresses; Run serves them.
func New(settings *nodeconfig.Settings, log zerolog.Logger) (*Server, error) {
	if settings.Control == "" {
		return nil, Start.New("%s: bind.control: is missing; a control plane serves the control API", settings.Path)
	}
	s := &Server{
		settings: settings, scale: settings.Bounds.Scale, log: log, loop: process.NewLoop(512),
		registry: registry.NewRegistry(registry.Limits{Unreachable: settings.Bounds.Scale(unreachableAfter), Forget: forgetAfter}),
		proxies:  map[*session]bool{}, peers: map[string]*session{}, machines: map[string]*machine{}, changedNodes: map[string]bool{},
		nodesForPeers: map[string]bool{}, contact: discovery.NewStoreContact(),
	}
	s.serveUntil.Store(&time.Time{})
	s.ejector = newEjector(s)
	var err error
	if s.meshListener, err = net.Listen("tcp", Address(settings.IP, settings)); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	if s.apiListener, err = net.Listen("tcp", settings.Control); err != nil {
		s.meshListener.Close()
		return nil, Start.Wrap(err, "listen")
	}
	return s, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer s.goroutines.Wait()
	defer stop()
	s.ctx = inner
	s.store = newStoreClient(s)
	s.goroutines.Go(func() { s.loop.Run(inner, s.scale(tickInterval), s.tick) })
	s.goroutines.Go(func() {
		transport.Serve(inner, s.meshListener, func(raw net.Conn) { s.goroutines.Go(func() { s.serveConn(raw) }) })
	})
	s.goroutines.Go(s.store.connect)
	s.loop.Post(s.addSeeds)
	server := &http.Server{Handler: controlapi.NewHandler(s.handleCall)}
	err := controlapi.Serve(ctx, server, func() error { return server.Serve(s.apiListener) }, drainTimeout)
	s.log.Info().Msg("shut down")
	stop()
	s.meshListener.Close()
	if err != nil && ctx.Err() == nil {
		return Start.Wrap(err, "serve")
	}
	return nil
}

// SettingsChanged applies settings that were reloaded.
func (s *Server) SettingsChanged(settings *nodeconfig.Settings) {
	s.loop.Post(func() { s.settings = settings; s.addSeeds() })
}

// tick expires records, sends heartbeats and confirmations, and has the ejector decide.
func (s *Server) tick() {
	now := time.Now()
	s.stalls.Tick(now)
	s.store.heartbeat(now)
	// Without contact or after a stall of this process, missing messages do not show that a proxy is unreachable.
	canExpire := s.hasContact() && !s.stalls.JustResumed(now)
	for _, node := range s.registry.Expire(now, canExpire) {
		s.log.Info().Str("proxy", node).Msg("mark proxy unreachable")
		s.markChanged(node)
	}
	for session := range s.proxies {
		switch {
		case s.hasContact() && session.pushSkipped.Swap(false):
			session.sentConfig = configRef{}
			s.pushUpdate(session, discovery.ControlMessage{Snapshot: s.snapshotFor(session), HasContact: true})
		case session.announcedContact != s.hasContact():
			s.pushUpdate(session, discovery.ControlMessage{HasContact: s.hasContact(), ControlPlanes: s.reachableMachines()})
		case now.Sub(session.lastSent) >= s.scale(heartbeatInterval-tickInterval/2):
			s.sendMessage(session, discovery.ControlMessage{HasContact: session.announcedContact})
		}
	}
	s.ejector.tick(now)
	msg := discovery.PeerMessage{Votes: s.ejector.takeUnsentVotes()}
	if s.ticks++; s.ticks%confirmTicks == 0 {
		for session := range s.proxies {
			if session.incarnation != 0 && now.Sub(session.lastReceived) < s.scale(confirmTicks*tickInterval+tickInterval/2) {
				msg.ConfirmedHashes = append(msg.ConfirmedHashes, registry.IncarnationHash(session.node, session.incarnation))
			}
		}
	}
	for ip, peer := range s.peers {
		if peer == nil {
			continue
		}
		s.machines[ip].lastSeen = now
		if s.ticks%confirmTicks == 0 || len(msg.Votes) > 0 {
			s.send(peer, discoverywire.FromPeerMessage(&msg))
		}
	}
}
