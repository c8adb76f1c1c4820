package lighthouse

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/joomcode/errorx"

	"whinknot/internal/moorings"
)

// Asked is the type of errors of what an operator asks for.
var Asked = space.NewType("asked", errorx.NotFound())

const (
	placeDeep    = 5       // nodes of somebody's own order that are told
	forecastKeys = 100_000 // keys that a forecast samples
)

// nodes are the endpoints of a service that somebody may be kept to, as pilots take them.
func (s *Status) nodes(service string) ([]moorings.Node, error) {
	out := map[string]bool{}
	for _, r := range s.Removed {
		out[r.Life] = !r.Back
	}
	for _, e := range s.Evacs {
		out["zone "+e.Zone] = e.On
	}
	var nodes []moorings.Node
	for _, p := range s.Pilots {
		e := p.Endpoint
		if !p.Takes() || e.Target != service || out[e.ID] || out["zone "+p.Zone] {
			continue
		}
		nodes = append(nodes, moorings.Node{Name: e.ID, Weight: e.Capacity})
	}
	if len(nodes) == 0 {
		return nil, Asked.New("no endpoint of %q takes requests", service)
	}
	return nodes, nil
}

// Place is where somebody's requests go.
type Place struct {
	Service, Key string
	Order        []Stop
}

// Stop is one endpoint of somebody's own order.
type Stop struct {
	Life, Node, Zone string
	Capacity         int
}

// Place tells where somebody's requests to a service go, and where next if that cannot be.
func (s *Status) Place(service, key string) (*Place, error) {
	nodes, err := s.nodes(service)
	if err != nil {
		return nil, err
	}
	p := &Place{Service: service, Key: key}
	for _, life := range moorings.NewTable(nodes).Order(key, placeDeep) {
		for _, at := range s.Pilots {
			if e := at.Endpoint; e != nil && e.ID == life {
				p.Order = append(p.Order, Stop{Life: life, Node: at.Node, Zone: at.Zone, Capacity: e.Capacity})
			}
		}
	}
	return p, nil
}

// Print writes a place for people.
func (p *Place) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\tendpoint\tpilot\tzone\tslots")
	for i, stop := range p.Order {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\n", i+1, stop.Life, stop.Node, stop.Zone, stop.Capacity)
	}
	t.Flush()
}

// Whatif is a forecast of a change of a service's endpoints.
type Whatif struct {
	Service string
	moorings.Forecast
}

// Whatif tells which share of a service's keys would move: +NAME=SLOTS for an endpoint that comes or changes its size, -NAME for one that
// goes.
func (s *Status) Whatif(service string, changes []string) (*Whatif, error) {
	before, err := s.nodes(service)
	if err != nil {
		return nil, err
	}
	after := slices.Clone(before)
	for _, change := range changes {
		name, size, sized := strings.Cut(change, "=")
		if len(name) < 2 || name[0] != '+' && name[0] != '-' || sized != (name[0] == '+') {
			return nil, Asked.New("%q is neither +NAME=SLOTS nor -NAME", change)
		}
		at := slices.IndexFunc(after, func(n moorings.Node) bool { return n.Name == name[1:] })
		if name[0] == '-' {
			if at < 0 {
				return nil, Asked.New("%s: there is no such endpoint of %q", change, service)
			}
			after = slices.Delete(after, at, at+1)
			continue
		}
		weight, err := strconv.Atoi(size)
		if err != nil || weight < 1 {
			return nil, Asked.New("%s: %q is no number of slots", change, size)
		}
		if at >= 0 {
			after[at].Weight = weight
		} else {
			after = append(after, moorings.Node{Name: name[1:], Weight: weight})
		}
	}
	if len(after) == 0 {
		return nil, Asked.New("no endpoint of %q would be left", service)
	}
	return &Whatif{service, moorings.Foresee(before, after, forecastKeys)}, nil
}

// Print writes a forecast for people.
func (f *Whatif) Print(w io.Writer) {
	fmt.Fprintf(w, "%.1f%% of the keys would move; at least %.1f%% must\n", 100*f.Moved, 100*f.Least)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "endpoint\tbefore\tafter")
	all := maps.Clone(f.From)
	maps.Copy(all, f.To)
	for _, life := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(t, "%s\t%.1f%%\t%.1f%%\n", life, 100*f.From[life], 100*f.To[life])
	}
	t.Flush()
}
