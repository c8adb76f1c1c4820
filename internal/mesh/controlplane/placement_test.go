package controlplane

import (
	"fmt"
	"strings"
	"testing"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/mesh/registry"
)

func picture() *Status {
	s := &Status{Ejections: []outlier.Ejection{{InstanceID: "i-5", Service: "s"}}, Evacuations: []controlstate.Evacuation{{Zone: "far", Active: true}}}
	for i := range 7 {
		p := ProxyStatus{ObservedRecord: registry.ObservedRecord{NodeRecord: registry.NodeRecord{Node: fmt.Sprint("n-", i), Zone: "near", Endpoint: &registry.Endpoint{
			ID: fmt.Sprint("i-", i), Target: "s", State: registry.Serving, Capacity: 9,
		}}}}
		switch i {
		case 3:
			p.Unreachable = true
		case 4:
			p.Endpoint.State = registry.Draining
		case 6:
			p.Zone = "far"
		}
		s.Proxies = append(s.Proxies, p)
	}
	return s
}

// Only endpoints that take requests hold anybody; a key has one order, and a change moves no more than it must.
func TestPlaceAndWhatif(t *testing.T) {
	s := picture()
	p, err := s.Place("s", "somebody")
	if err != nil || len(p.Ranking) != 3 {
		t.Fatalf("%v, %+v", err, p)
	}
	for _, stop := range p.Ranking {
		if strings.Contains("i-3 i-4 i-5 i-6", stop.InstanceID) {
			t.Errorf("%s holds somebody", stop.InstanceID)
		}
	}
	f, err := s.Whatif("s", []string{"-" + p.Ranking[0].InstanceID, "+i-new=9"})
	if err != nil || f.MinMoved < 0.33 || f.MinMoved > 0.34 || f.Moved > 0.5 {
		t.Fatalf("%v, %+v", err, f)
	}
	var page strings.Builder
	f.Print(&page)
	p.Print(&page)
	if !strings.Contains(page.String(), "i-new") || !strings.Contains(page.String(), "33.3% must") {
		t.Errorf("the page tells\n%s", page.String())
	}
	for _, bad := range [][]string{{"i-1"}, {"-nobody"}, {"+i-1"}, {"+i-1=none"}, {"-i-0", "-i-1", "-i-2"}, {"-i-1=3"}} {
		if _, err := s.Whatif("s", bad); err == nil {
			t.Errorf("%v is taken", bad)
		}
	}
	if _, err := s.Place("other", "somebody"); err == nil {
		t.Error("a service without endpoints holds somebody")
	}
}
