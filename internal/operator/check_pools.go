package operator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"milletmast/internal/loadshed"
)

// Bounds of a pool.
const (
	maxPools       = 256
	maxAttempts    = 4
	maxServers     = 20_000
	maxSubsetSpare = 100
	maxZones       = 250
	maxStreamTime  = 24 * time.Hour
)

func (c *checker) checkPools() {
	list := c.cfg.Pools
	if c.checkCount("pool", len(list), maxPools) {
		return
	}
	seen := map[string]string{}
	for i := range list {
		path := fmt.Sprintf("pool[%d]", i)
		c.checkUniqueName(path, list[i].Name, seen)
		c.checkPool(path, &list[i])
		c.checkSource(path, &list[i])
	}
}

// checkPool checks a pool except for its servers and their source.
func (c *checker) checkPool(path string, p *Pool) {
	checkRange(c.document, path+".attempts", p.Attempts, 1, maxAttempts)
	c.checkProtocol(path, p)
	c.checkTimes(path, p)
	c.checkRetryBudget(path, p)
	checkRange(c.document, path+".cold_from", p.ColdFrom, 0, 1)
	c.checkConnections(path, p)
	c.checkFleet(path, p)
	c.checkSubset(path, p)
	c.checkZones(path, p)
	c.checkClasses(path, p)
	c.checkTenants(path, p)
	c.checkLevels(path, p)
}

// checkProtocol checks the protocol of a pool and the settings that only one protocol has.
func (c *checker) checkProtocol(path string, p *Pool) {
	if p.Protocol != HTTP && p.Protocol != GRPC {
		c.reportf(path+".protocol", "%q is unknown: must be \"http\" or \"grpc\"", p.Protocol)
		return
	}
	checkRange(c.document, path+".streams", p.Streams, 1, maxStreams)
	c.checkDuration(path+".ping_after", p.PingAfter, 100*time.Millisecond, maxStreamTime)
	if p.NotRun != "" && !metadataPattern.MatchString(p.NotRun) {
		c.reportf(path+".not_run", "%q is not a valid metadata name: 1 to 64 lower-case letters, digits and - _ . are allowed", p.NotRun)
	}
	if p.Protocol == GRPC {
		return
	}
	if p.NotRun != "" {
		c.report(path+".not_run", errors.New("is only allowed with protocol \"grpc\"; HTTP/1.1 has the header X-Not-Run"))
	}
	for i := range p.Classes {
		if p.Classes[i].Stream {
			c.report(fmt.Sprintf("%s.class[%d].stream", path, i),
				errors.New("is only allowed with protocol \"grpc\"; with HTTP/1.1 long bodies are always streamed"))
		}
	}
}

func (c *checker) checkTimes(path string, p *Pool) {
	c.checkDuration(path+".connect_timeout", p.ConnectTimeout, time.Millisecond, time.Minute)
	c.checkDuration(path+".idle_timeout", p.IdleTimeout, 10*time.Millisecond, maxTime)
	c.checkDuration(path+".stream_time", p.StreamTime, time.Millisecond, maxStreamTime)
	c.checkDuration(path+".stream_idle", p.StreamIdle, time.Millisecond, maxTime)
	c.checkDuration(path+".drain_grace", p.DrainGrace, 50*time.Millisecond, 500*time.Millisecond)
	c.checkDuration(path+".ramp", p.Ramp, 0, maxTime)
	if p.StreamIdle > p.StreamTime {
		c.reportf(path+".stream_idle", "%v is longer than the stream_time of %v", p.StreamIdle, p.StreamTime)
	}
}

func (c *checker) checkRetryBudget(path string, p *Pool) {
	if p.RetryWindow != 0 {
		c.checkDuration(path+".retry_window", p.RetryWindow, time.Millisecond, maxTime)
	} else if p.RetryShare != 0 || p.RetryFree != 0 {
		c.report(path+".retry_window", errors.New("is missing: retry_share and retry_free apply to this window"))
	}
	checkRange(c.document, path+".retry_share", p.RetryShare, 0, 1)
	if p.RetryFree < 0 {
		c.reportf(path+".retry_free", "%d is negative: must be 0 or more", p.RetryFree)
	}
}

func (c *checker) checkConnections(path string, p *Pool) {
	if p.Connections.Least < 1 {
		c.reportf(path+".connections.least", "%d is too low: must be 1 or more", p.Connections.Least)
	}
	checkRange(c.document, path+".connections.weight", p.Connections.Weight, 0, maxWeight)
}

// checkFleet checks the settings for the replicas that send to the same servers. Only the first error is reported.
func (c *checker) checkFleet(path string, p *Pool) {
	copiesAllowed := p.Copies >= 1 && p.Copies <= maxCopies
	alone := c.cfg.Members.Listen == ""
	switch {
	case copiesAllowed && p.ByMembers && alone:
		c.reportf(path+".by_members", "needs a table members with an address to listen on")
	case copiesAllowed && p.Allot && alone:
		c.reportf(path+".allot", "needs a table members with an address to listen on")
	case copiesAllowed && p.Allot && len(p.Classes) > loadshed.MaxClasses:
		c.reportf(path+".allot", "members exchange the load of up to %d classes, but the pool has %d", loadshed.MaxClasses, len(p.Classes))
	default:
		c.checkCopies(path, p.Copies, p.Rank)
	}
}

func (c *checker) checkSubset(path string, p *Pool) {
	checkRange(c.document, path+".subset", p.Subset, 0, maxServers)
	checkRange(c.document, path+".subset_spare", p.SubsetSpare, 0, maxSubsetSpare)
	zone := slices.Index(p.Zones, p.Zone)
	if p.Subset == 0 || zone < 0 {
		return
	}
	if zoneOfRank := p.Rank % len(p.Zones); zoneOfRank != zone {
		c.reportf(path+".rank", "%d belongs to zone %q, not %q: with a subset, ranks are assigned to the zones in turn",
			p.Rank, p.Zones[zoneOfRank], p.Zone)
	}
}

func (c *checker) checkZones(path string, p *Pool) {
	c.checkCount(path+".zones", len(p.Zones), maxZones)
	for i, zone := range p.Zones {
		if zone == "" || slices.Contains(p.Zones[:i], zone) {
			c.reportf(fmt.Sprintf("%s.zones[%d]", path, i), "%q is empty or listed twice", zone)
		}
	}
	if len(p.Zones) > 0 && !slices.Contains(p.Zones, p.Zone) {
		c.reportf(path+".zone", "%q is not listed in zones", p.Zone)
	} else if len(p.Zones) == 0 && p.Zone != "" {
		c.report(path+".zone", errors.New("needs the list zones, which is empty or missing"))
	}
}

func (c *checker) checkTenants(path string, p *Pool) {
	seen := map[string]string{}
	for i, t := range p.Tenants {
		at := fmt.Sprintf("%s.tenant[%d]", path, i)
		c.checkUniqueName(at, t.Name, seen)
		if t.Quota < 0 {
			c.reportf(at+".quota", "%v is negative: must be 0 or more", t.Quota)
		}
	}
}
