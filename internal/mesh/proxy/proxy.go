// Package proxy is the process of the data-plane proxy, one beside every endpoint. Outbound, it
// forwards the requests of clients on its machine to the proxies beside other endpoints, with a
// decision module for each service. Inbound, it admits requests to its own endpoint (package
// admission).
package proxy

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
	"milletmast/internal/mesh/eventlog"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/registry"
	"milletmast/internal/mesh/transport"
	"milletmast/internal/sidecar"
)

var space = errorx.NewNamespace("proxy")

var (
	// Start is the type of errors that keep a proxy from starting.
	Start = space.NewType("start")
	// Apply is the type of errors that keep a configuration from being applied.
	Apply = space.NewType("apply_configuration")
)

const (
	tickInterval    = 250 * time.Millisecond
	keepMissing     = 5 * time.Second        // how long a node is kept after no control plane reports it any more
	connIdleTimeout = 20 * time.Second       // of connections between proxies
	headTimeout     = 3 * time.Second        // until the head of a request is received
	apiDrainTimeout = 200 * time.Millisecond // until API calls in flight at shutdown are aborted
)

// Proxy is a running proxy. Its state is owned by the goroutine of loop; requests read the immutable
// routing instead.
type Proxy struct {
	settings *nodeconfig.Settings
	log      zerolog.Logger
	loop     *process.Loop

	state         *discovery.ClientState
	loggedTrust   discovery.TrustLevel // trust level that was last logged
	controlPlanes *controlPlaneLinks
	watchers      *watchers
	record        registry.NodeRecord
	routing       atomic.Pointer[routing]
	configured    chan struct{}               // closed once there is a configuration
	services      map[string]*upstreamService // by name
	buildModule   moduleBuilder
	avoided       map[string]time.Time // instances that get no requests until the given time, because their proxies rejected some
	inbound       *inboundEndpoint
	observer      *callObserver
	events        *eventlog.Recorder
	peerListener  net.Listener
	lastOpinions  time.Time // when opinions on instances were last sent
	bodies        bodyBudget
	localService  atomic.Pointer[string] // service of the endpoint on this machine
	draining      atomic.Bool
	lastFailure   atomic.Int64 // when a request of a client on this machine last failed, in nanoseconds since 1970

	goroutines        sync.WaitGroup
	inboundPort       *sidecar.Port
	outboundPort      *sidecar.Port
	controlListener   net.Listener
	readinessListener net.Listener

	// ctx ends the goroutines of a running process. It is set by Run, as functions of the loop start goroutines too.
	ctx context.Context
}

// routing is the configuration that requests are routed by, and the services of its routes. It is immutable.
type routing struct {
	config   *meshconfig.Config
	services map[string]*upstreamService
}

// New creates a proxy and opens its API, readiness and peer ports.
func New(settings *nodeconfig.Settings, log zerolog.Logger) (*Proxy, error) {
	if settings.Inbound == "" || settings.Outbound == "" || settings.Readiness == "" || settings.Control == "" || settings.LocalApp == "" {
		return nil, Start.New("%s: bind.inbound, bind.outbound, bind.readiness, bind.control and local_app must be set", settings.Path)
	}
	p := &Proxy{
		settings: settings, log: log, loop: process.NewLoop(512), state: discovery.NewClientState(time.Now(), clientLimits(settings)),
		configured: make(chan struct{}), services: map[string]*upstreamService{}, avoided: map[string]time.Time{},
		buildModule: sidecar.NewService,
	}
	p.routing.Store(&routing{})
	p.localService.Store(&settings.Target)
	p.record = registry.NodeRecord{
		Node: settings.Node, Zone: settings.Zone, Incarnation: uint64(time.Now().UnixNano()), Sequence: 1, InboundAddr: settings.Inbound,
		PeerAddr: settings.PeerAddr(settings.IP, process.ProxyPort),
	}
	p.inbound = newInboundEndpoint(p)
	p.observer = newCallObserver()
	p.events = eventlog.New(maxEvents)
	p.controlPlanes = newControlPlaneLinks(p)
	p.watchers = newWatchers(p)
	p.bodies.available.Store(int64(bodyMemoryFraction * float64(settings.MemoryMB) * (1 << 20)))
	var err error
	if p.controlListener, err = net.Listen("tcp", settings.Control); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	if p.readinessListener, err = net.Listen("tcp", settings.Readiness); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	if p.peerListener, err = net.Listen("tcp", p.record.PeerAddr); err != nil {
		return nil, Start.Wrap(err, "listen")
	}
	return p, nil
}

// clientLimits returns the limits of the discovery state: a new proxy waits for a confirmed
// snapshot for as long as control planes may take to regain contact and a configuration to converge.
func clientLimits(settings *nodeconfig.Settings) discovery.Limits {
	return discovery.Limits{KeepMissing: keepMissing, ContactTimeout: settings.Bounds.Converge + settings.Bounds.Contact}
}

// Run serves until ctx ends, then drains.
func (p *Proxy) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer p.goroutines.Wait()
	defer stop()
	p.ctx = running
	var err error
	maxConns := p.settings.Descriptors / 4
	limits := sidecar.PortLimits{MaxConns: maxConns, IdleTimeout: connIdleTimeout, HeadTimeout: headTimeout}
	if p.inboundPort, err = sidecar.NewPort(p.settings.Inbound, limits, p.inbound); err != nil {
		return Start.Wrap(err, "listen")
	}
	if p.outboundPort, err = sidecar.NewPort(p.settings.Outbound, limits, &outboundListener{p}); err != nil {
		return Start.Wrap(err, "listen")
	}
	p.goroutines.Go(func() { p.loop.Run(running, tickInterval, p.tick) })
	p.goroutines.Go(func() {
		transport.Serve(running, p.peerListener, func(raw net.Conn) { p.goroutines.Go(func() { p.servePeerConn(raw) }) })
	})
	defer p.peerListener.Close()
	p.controlPlanes.addSeeds()
	apiServer := &http.Server{Handler: controlapi.NewHandler(p.handleCall)}
	readyServer := &http.Server{Handler: controlapi.NewHandler(p.handleCall)}
	serveErrors := make(chan error, 2)
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	p.goroutines.Go(func() {
		serveErrors <- controlapi.Serve(serving, apiServer, func() error { return apiServer.Serve(p.controlListener) }, apiDrainTimeout)
	})
	p.goroutines.Go(func() {
		serveErrors <- controlapi.Serve(serving, readyServer, func() error { return readyServer.Serve(p.readinessListener) }, apiDrainTimeout)
	})
	p.log.Info().Str("outbound", p.settings.Outbound).Str("target", p.settings.Target).Msg("serve")
	select {
	case err := <-serveErrors:
		return Start.Wrap(err, "serve")
	case <-ctx.Done():
	}
	p.drain()
	p.log.Info().Msg("exit")
	return nil
}

// SettingsChanged applies settings that were read again.
func (p *Proxy) SettingsChanged(s *nodeconfig.Settings) {
	p.localService.Store(&s.Target)
	p.loop.Post(func() { p.controlPlanes.applySettings(s) })
}

// serviceName returns the service of the endpoint on this machine, by the settings as last read.
func (p *Proxy) serviceName() string { return *p.localService.Load() }

// tick runs the periodic tasks. It runs in the loop.
func (p *Proxy) tick() {
	now := time.Now()
	changed := p.state.Merge(now)
	for instanceID, until := range p.avoided {
		if now.After(until) {
			delete(p.avoided, instanceID)
			changed = true
		}
	}
	if changed {
		p.updateEndpoints()
	}
	p.applyChange(p.state.CheckContactTimeout(now))
	p.inbound.checkHealth()
	p.controlPlanes.tick()
	p.watchers.tick(now)
	if now.Sub(p.lastOpinions) >= opinionInterval {
		p.lastOpinions = now
		p.controlPlanes.sendOpinions(now)
	}
}

// announce sends the record, which has changed, to all control planes.
func (p *Proxy) announce() {
	p.record.Sequence++
	p.controlPlanes.announceRecord(p.record)
}

// handleCall handles an API call of the endpoint beside this proxy, or of the platform.
func (p *Proxy) handleCall(c controlapi.Command, done func(controlapi.Result)) {
	switch c := c.(type) {
	case controlapi.Readiness:
		status := http.StatusOK
		if p.draining.Load() || p.routing.Load().config == nil {
			status = http.StatusServiceUnavailable
		}
		done(controlapi.Result{Status: status})
	case controlapi.Heartbeat:
		p.loop.Post(func() {
			p.inbound.heartbeat(&c)
			done(controlapi.Result{Status: http.StatusOK, Body: []byte("{}"), JSON: true})
		})
	case controlapi.Deregister:
		p.loop.Post(func() {
			p.inbound.deregister(c.ID)
			done(controlapi.Result{Status: http.StatusOK, Body: []byte("{}"), JSON: true})
		})
	default:
		done(controlapi.Result{Status: http.StatusNotFound, Body: []byte("the core machines serve this call\n")})
	}
}
