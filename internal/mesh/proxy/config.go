package proxy

import (
	"maps"
	"time"

	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/meshconfig"
)

// applyChange applies a change of the discovery state.
func (p *Proxy) applyChange(changed discovery.Change) {
	if trust := p.state.Trust(); trust != p.loggedTrust {
		p.loggedTrust = trust
		log := p.log.Info()
		if trust == discovery.Uncertain {
			log = p.log.Warn()
		}
		_, version := p.state.Config()
		log.Stringer("trust", trust).Uint64("version", version).Msg("change trust level")
	}
	if changed.Config {
		p.applyConfig()
		p.controlPlanes.announceConfig()
	}
	if changed.Zones || changed.Config {
		p.inbound.applyEjection(p.state)
		p.inbound.applyEvacuation(p.state.Evacuation(p.settings.Zone), p.routing.Load().config)
	}
	if changed.Nodes || changed.Zones || changed.Config {
		p.updateEndpoints()
	}
}

// applyConfig compiles and applies the present configuration.
func (p *Proxy) applyConfig() {
	text, version := p.state.Config()
	c, err := meshconfig.Parse(text)
	if err != nil { // the configuration store has validated it, possibly in another version of this program
		p.log.Error().Err(err).Uint64("version", version).Msg("reject configuration")
		return
	}
	services, err := p.applyModules(c)
	if err != nil {
		p.log.Error().Err(err).Uint64("version", version).Msg("keep configuration in use")
		return
	}
	first := p.routing.Load().config == nil
	p.routing.Store(&routing{config: c, services: services})
	if first {
		close(p.configured)
	}
	p.log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Msg("apply configuration")
}

// applyModules builds the decision modules that a configuration needs, and puts them into use once all of them are built. Those of services
// that it does not name are ended. After an error everything is as before. It returns the services of the configuration.
func (p *Proxy) applyModules(c *meshconfig.Config) (map[string]*upstreamService, error) {
	services := make(map[string]*upstreamService, len(c.Services))
	var changes []moduleChange
	for name := range c.Services {
		service := p.services[name]
		if service == nil {
			service = newUpstreamService(p, name)
		}
		prepared, err := service.prepare(c, p.routing.Load().config)
		changes = append(changes, prepared...)
		if err != nil {
			discardModules(p, changes)
			return nil, err
		}
		services[name] = service
	}
	for i := range changes {
		changes[i].apply()
	}
	for name, service := range p.services {
		if services[name] == nil {
			service.retireModules()
		}
	}
	maps.Copy(p.services, services)
	return services, nil
}

// avoid keeps requests away from an instance for avoidTime, because its proxy rejected one.
func (p *Proxy) avoid(instanceID string) {
	if p.avoided[instanceID].IsZero() {
		p.avoided[instanceID] = time.Now().Add(avoidTime)
		p.updateEndpoints()
	}
}

const avoidTime = time.Second

// updateEndpoints updates the endpoints of every service.
func (p *Proxy) updateEndpoints() {
	nodes := p.state.Nodes()
	p.inbound.guessCapacity(nodes)
	for _, service := range p.services {
		service.updateEndpoints(nodes)
	}
}
