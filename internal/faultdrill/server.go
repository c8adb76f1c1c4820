package faultdrill

import (
	"context"
	"sync"
	"time"

	"milletmast/internal/operator"
	"milletmast/internal/testcluster"
)

// server is one server of a tier.
type server struct {
	tier    *tier
	name    string
	slot    int
	zone    string
	cell    int
	started time.Time // start of a cold server; zero for a warm one

	mu       sync.Mutex
	proc     *testcluster.Server
	addr     string
	state    string // in the server lists of discovery; "" if it is not listed
	replaced bool
	faults   testcluster.ServerState
}

// process returns the present process of the server.
func (s *server) process() *testcluster.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc
}

// start starts the process. The server calls the inner tier through the sidecar beside it.
func (s *server) start(ctx context.Context) error {
	tierSpec := s.tier.spec
	spec := testcluster.ServerSpec{
		Name:           s.name,
		Cores:          tierSpec.Cores,
		Queue:          tierSpec.Queue,
		Connections:    tierSpec.Connections,
		Handshake:      time.Duration(tierSpec.Handshake),
		Speed:          1,
		ColdFrom:       tierSpec.ColdFrom,
		Ramp:           time.Duration(tierSpec.Ramp),
		Cold:           !s.started.IsZero(),
		OverloadFactor: tierSpec.Fall,
		OverloadTime:   time.Duration(tierSpec.FallAfter),
	}
	if c := s.tier.sidecarBeside(s.slot); c != nil {
		spec.Next, spec.NextName = c.address()
	}
	if n := len(tierSpec.Speeds); n > 0 {
		spec.Speed = tierSpec.Speeds[s.slot%n]
	}
	if spec.Cold {
		warmAt := testcluster.Now() + int64(spec.Ramp)
		s.tier.run.history.Record(testcluster.Fact{At: warmAt, Kind: testcluster.FactWarm, Server: s.name})
	}
	p, addr, err := s.tier.run.cluster.StartServer(ctx, spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proc, s.addr = p, addr
	return nil
}

// kill kills the process and the sidecar beside it. Links to the server then refuse connections.
func (s *server) kill() {
	p := s.process()
	if c := s.tier.sidecarBeside(s.slot); c != nil {
		c.kill()
	}
	p.Kill()
	for _, c := range s.tier.sidecars {
		if err := c.link(s).SetMode(testcluster.Refusing); err != nil {
			s.tier.run.setError(err)
		}
	}
}

// restart restarts the server as a cold one.
func (s *server) restart(ctx context.Context) error {
	s.tier.run.mu.Lock()
	s.started = time.Now()
	s.tier.run.mu.Unlock()
	if err := s.tier.startBeside(ctx, s.slot); err != nil {
		return err
	}
	if err := s.start(ctx); err != nil {
		return err
	}
	for _, c := range s.tier.sidecars {
		l := c.link(s)
		l.SetTarget(s.addr)
		if err := l.SetMode(testcluster.Accepting); err != nil {
			return err
		}
	}
	s.tier.setListed(s, operator.ServerReady)
	return nil
}

// changeState changes the speed factor or the failure share of the server.
func (s *server) changeState(change func(*testcluster.ServerState)) {
	s.mu.Lock()
	change(&s.faults)
	state, p := s.faults, s.proc
	s.mu.Unlock()
	if p.IsRunning() {
		if err := p.SetState(state); err != nil {
			s.tier.run.setError(err)
		}
	}
}
