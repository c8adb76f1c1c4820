package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"milletmast/internal/mesh/process"
)

// Times of a shutdown. After SIGTERM readiness fails, which clients detect at their second check; until then requests are
// served normally. Then the other proxies are notified, and after that no more requests are accepted. A request that its endpoint is at
// work on may be cut in the last sixth of the grace time only.
const (
	maxAcceptTime       = 2600 * time.Millisecond // from SIGTERM until no more requests are accepted
	acceptFraction      = 0.5                     // limit of the same time, as a fraction of the grace time
	announceMargin      = 600 * time.Millisecond  // before accepting ends: the other proxies are notified
	closeMargin         = 200 * time.Millisecond  // before accepting ends: the endpoint beside this proxy gets no more new requests
	maxKillMargin       = 600 * time.Millisecond  // before SIGKILL: the last connections are closed
	killFraction        = 0.1                     // limit of the same time, as a fraction of the grace time
	maxFinalAnswerTime  = 200 * time.Millisecond  // before the last connections are closed: the proxy responds to all unfinished requests
	finalAnswerFraction = 1.0 / 30                // limit of the same time, as a fraction of the grace time
)

// drainTimes are the times of a shutdown, each counted from SIGTERM.
type drainTimes struct {
	accept time.Duration // until then requests are accepted
	abort  time.Duration // then all unfinished requests are answered
	close  time.Duration // then the last connections are closed
}

// newDrainTimes returns the times of a shutdown within a grace time.
func newDrainTimes(grace time.Duration) drainTimes {
	closeAt := grace - min(maxKillMargin, fractionOf(grace, killFraction))
	return drainTimes{
		accept: min(maxAcceptTime, fractionOf(grace, acceptFraction)),
		abort:  closeAt - min(maxFinalAnswerTime, fractionOf(grace, finalAnswerFraction)),
		close:  closeAt,
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// drain shuts down in order: readiness fails, the other proxies are notified, and accepted requests
// are finished.
func (p *Proxy) drain() {
	startedAt := time.Now()
	p.log.Info().Msg("drain")
	p.draining.Store(true)
	times := newDrainTimes(p.settings.Bounds.Grace)
	announce := p.loop.PostAfter(max(times.accept-announceMargin, 0), func() {
		p.record.Draining = true
		p.announce()
	})
	defer announce.Stop()
	p.inbound.shutdown(startedAt.Add(max(times.accept-closeMargin, 0)))
	abort := time.AfterFunc(times.abort, func() {
		for _, service := range p.upstreamServices() {
			service.abort()
		}
	})
	defer abort.Stop()
	var ports sync.WaitGroup
	ports.Go(func() { p.outboundPort.Drain(times.accept, times.close) })
	ports.Go(func() { p.inboundPort.Drain(times.accept, times.close) })
	ports.Wait()
	var services sync.WaitGroup
	for _, service := range p.upstreamServices() {
		services.Go(service.close)
	}
	services.Wait()
	p.inbound.pool.Close()
}

// upstreamServices returns all services that have been configured since the start.
func (p *Proxy) upstreamServices() []*upstreamService {
	services, _ := process.Call(p.loop, func() []*upstreamService { return slices.Collect(maps.Values(p.services)) })
	return services
}
