package operator

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxCell is the highest cell number.
const maxCell = 65535

// checkSource checks the source of a pool's servers. It reads the servers if the source is a file.
func (c *checker) checkSource(path string, p *Pool) {
	s, at := &p.Source, path+".source"
	if s.Type != SourceStatic && len(p.Servers) > 0 {
		c.reportf(path+".server", "servers are allowed here only with a static source, not with %q", s.Type)
	}
	if s.Type != SourceFile && s.Path != "" {
		c.report(at+".path", errors.New("only a source of type file has a path"))
	}
	if s.Type != SourceDiscovery && s.Address != "" {
		c.report(at+".address", errors.New("only a source of type discovery has an address"))
	}
	switch s.Type {
	case SourceStatic:
		c.checkServers(path+".server", p.Servers, p.Zones)
	case SourceFile:
		c.loadSourceFile(at, p)
	case SourceDiscovery:
		if err := validateAddress(s.Address, false); err != nil {
			c.report(at+".address", err)
		}
	default:
		c.reportf(at+".type", "%q is unknown: must be static, file or discovery", s.Type)
	}
}

// loadSourceFile reads the servers of a pool from a file and adds the text of the file to the hash.
func (c *checker) loadSourceFile(at string, p *Pool) {
	s := &p.Source
	c.checkDuration(at+".every", s.Every, 10*time.Millisecond, time.Minute)
	if s.Path == "" {
		c.report(at+".path", errors.New("is missing: it must name a file of servers"))
		return
	}
	ResolvePath(c.folder, &s.Path)
	servers, text, err := readServers(s.Path, p.Zones)
	if err != nil {
		var all Errors
		if errors.As(err, &all) {
			c.errs = append(c.errs, all...)
		} else {
			c.report(at+".path", err)
		}
		return
	}
	c.sum.Write(text)
	c.cfg.FileServers[p.Name] = servers
}

// checkServers checks a list of servers. A server without an id gets its address as id.
func (d *document) checkServers(path string, list []Server, zones []string) {
	if len(list) > maxServers {
		d.reportf(path, "%d servers, over the %d allowed", len(list), maxServers)
		return
	}
	indexByID := map[string]int{}
	for i := range list {
		s, at := &list[i], fmt.Sprintf("%s[%d]", path, i)
		if err := validateAddress(s.Address, false); err != nil {
			d.report(at+".address", err)
		}
		if s.ID == "" {
			s.ID = s.Address
		}
		if first, ok := indexByID[s.ID]; ok {
			d.reportf(at+".id", "the id %q is already used by %s[%d]", s.ID, path, first)
		}
		indexByID[s.ID] = i
		d.checkServer(at, s, zones)
	}
}

func (d *document) checkServer(at string, s *Server, zones []string) {
	if s.State != ServerReady && s.State != ServerDraining {
		d.reportf(at+".state", "%q is unknown: must be ready or draining", s.State)
	}
	if s.Zone != "" && !slices.Contains(zones, s.Zone) {
		d.reportf(at+".zone", "%q is not one of the pool's zones", s.Zone)
	}
	checkRange(d, at+".cell", s.Cell, 0, maxCell)
	checkRange(d, at+".weight", s.Weight, 0, maxWeight)
	if _, err := time.Parse(time.RFC3339, s.Started); s.Started != "" && err != nil {
		d.reportf(at+".started", "%q is not a time as in RFC 3339, such as \"2026-03-01T08:00:00Z\"", s.Started)
	}
}
