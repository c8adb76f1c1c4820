package controlplane

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/joomcode/errorx"

	"milletmast/internal/mesh/affinity"
)

// InvalidQuery is the type of errors of a placement query.
var InvalidQuery = space.NewType("invalid_query", errorx.NotFound())

const (
	maxRankedInstances = 5       // reported for a key
	forecastSamples    = 100_000 // keys that a forecast samples
)

// nodes returns the instances of a service that clients may be assigned to, as proxies see them.
func (s *Status) nodes(service string) ([]affinity.Node, error) {
	excluded := map[string]bool{} // instances, and zones with the prefix "zone "
	for _, e := range s.Ejections {
		excluded[e.InstanceID] = !e.Returned
	}
	for _, e := range s.Evacuations {
		excluded["zone "+e.Zone] = e.Active
	}
	var nodes []affinity.Node
	for _, p := range s.Proxies {
		e := p.Endpoint
		if !p.AcceptsRequests() || e.Target != service || excluded[e.ID] || excluded["zone "+p.Zone] {
			continue
		}
		nodes = append(nodes, affinity.Node{Name: e.ID, Weight: e.Capacity})
	}
	if len(nodes) == 0 {
		return nil, InvalidQuery.New("no endpoint of service %q accepts requests", service)
	}
	return nodes, nil
}

// Placement is the ranking of instances for an affinity key: the requests of the key go to the
// first instance that is available.
type Placement struct {
	Service, Key string
	Ranking      []RankedInstance
}

// RankedInstance is one instance of a client's ranking.
type RankedInstance struct {
	InstanceID, Node, Zone string
	Capacity               int
}

// Place returns where the requests of a key to a service go, in order of preference.
func (s *Status) Place(service, key string) (*Placement, error) {
	nodes, err := s.nodes(service)
	if err != nil {
		return nil, err
	}
	p := &Placement{Service: service, Key: key}
	for _, instance := range affinity.NewTable(nodes).Rank(key, maxRankedInstances) {
		for _, proxy := range s.Proxies {
			if e := proxy.Endpoint; e != nil && e.ID == instance {
				p.Ranking = append(p.Ranking, RankedInstance{InstanceID: instance, Node: proxy.Node, Zone: proxy.Zone, Capacity: e.Capacity})
			}
		}
	}
	return p, nil
}

// Print writes the placement as text.
func (p *Placement) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\tendpoint\tproxy\tzone\tcapacity")
	for i, instance := range p.Ranking {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\n", i+1, instance.InstanceID, instance.Node, instance.Zone, instance.Capacity)
	}
	t.Flush()
}

// Whatif is the forecast of a change of the endpoints of a service.
type Whatif struct {
	Service string
	affinity.Forecast
}

// Whatif returns which share of the keys of a service would move: +NAME=SLOTS adds or resizes an
// endpoint, -NAME removes one.
func (s *Status) Whatif(service string, changes []string) (*Whatif, error) {
	before, err := s.nodes(service)
	if err != nil {
		return nil, err
	}
	after := slices.Clone(before)
	for _, change := range changes {
		name, size, sized := strings.Cut(change, "=")
		if len(name) < 2 || name[0] != '+' && name[0] != '-' || sized != (name[0] == '+') {
			return nil, InvalidQuery.New("change %q is neither +NAME=SLOTS nor -NAME", change)
		}
		at := slices.IndexFunc(after, func(n affinity.Node) bool { return n.Name == name[1:] })
		if name[0] == '-' {
			if at < 0 {
				return nil, InvalidQuery.New("change %q: service %q has no such endpoint", change, service)
			}
			after = slices.Delete(after, at, at+1)
			continue
		}
		weight, err := strconv.Atoi(size)
		if err != nil || weight < 1 {
			return nil, InvalidQuery.New("change %q: the number of slots %q is not an integer from 1 on", change, size)
		}
		if at >= 0 {
			after[at].Weight = weight
		} else {
			after = append(after, affinity.Node{Name: name[1:], Weight: weight})
		}
	}
	if len(after) == 0 {
		return nil, InvalidQuery.New("the changes remove all endpoints of service %q", service)
	}
	return &Whatif{service, affinity.PredictChange(before, after, forecastSamples)}, nil
}

// Print writes the forecast as text.
func (f *Whatif) Print(w io.Writer) {
	fmt.Fprintf(w, "%.1f%% of the keys would move; at least %.1f%% must\n", 100*f.Moved, 100*f.MinMoved)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "endpoint\tbefore\tafter")
	all := maps.Clone(f.Before)
	maps.Copy(all, f.After)
	for _, instance := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(t, "%s\t%.1f%%\t%.1f%%\n", instance, 100*f.Before[instance], 100*f.After[instance])
	}
	t.Flush()
}
