package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"milletmast/internal/mesh/process"
)

// drain shuts down in order: readiness fails, the other proxies are notified, and accepted requests
// are finished. The constants of its times are in proxy.go.
func (p *Proxy) drain() {
	startedAt := time.Now()
	p.log.Info().Msg("drain")
	p.draining.Store(true)
	grace := p.settings.Bounds.Grace
	accept := min(maxAcceptTime, time.Duration(acceptFraction*float64(grace)))
	closeBy := grace - killMargin
	announce := p.loop.PostAfter(max(accept-announceMargin, 0), func() {
		p.record.Draining = true
		p.announce()
	})
	defer announce.Stop()
	p.inbound.shutdown(startedAt.Add(max(accept-closeMargin, 0)))
	abort := time.AfterFunc(max(closeBy-finalAnswerTime, 0), func() {
		for _, service := range p.upstreamServices() {
			service.abort()
		}
	})
	defer abort.Stop()
	var ports sync.WaitGroup
	ports.Go(func() { p.outboundPort.Drain(accept, closeBy) })
	ports.Go(func() { p.inboundPort.Drain(accept, closeBy) })
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
