package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"

	"milletmast/internal/mesh/process"
)

// drain shuts down in order: readiness fails, the other proxies are notified, and what was accepted
// is finished. The constants of its times are in proxy.go.
func (p *Proxy) drain() {
	begun := time.Now()
	p.log.Info().Msg("drain")
	p.draining.Store(true)
	grace := p.settings.Bounds.Grace
	accept := min(maxAcceptTime, time.Duration(acceptFraction*float64(grace)))
	last := grace - killMargin
	announce := p.loop.PostAfter(max(accept-announceMargin, 0), func() {
		p.record.Draining = true
		p.announce()
	})
	defer announce.Stop()
	p.inbound.shutdown(begun.Add(max(accept-closeMargin, 0)))
	abort := time.AfterFunc(max(last-finalAnswerTime, 0), func() {
		for _, service := range p.upstreamServices() {
			service.abort()
		}
	})
	defer abort.Stop()
	var ports sync.WaitGroup
	ports.Go(func() { p.outboundPort.Drain(accept, last) })
	ports.Go(func() { p.inboundPort.Drain(accept, last) })
	ports.Wait()
	var services sync.WaitGroup
	for _, service := range p.upstreamServices() {
		services.Go(service.close)
	}
	services.Wait()
	p.inbound.pool.Close()
}

// upstreamServices returns all services that were ever configured.
func (p *Proxy) upstreamServices() []*upstreamService {
	known, _ := process.Call(p.loop, func() []*upstreamService { return slices.Collect(maps.Values(p.services)) })
	return known
}
