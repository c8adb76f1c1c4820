package controlplane

import (
	"fmt"
	"strings"
	"testing"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/mesh/registry"
)

// testStatus returns a status of seven endpoints of service s, of which i-0, i-1 and i-2 accept
// requests from clients: the others are unreachable, draining, ejected or in an evacuated zone.
func testStatus() *Status {
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

// Only endpoints that accept requests are ranked for a key, and a forecast moves only a bounded share of the keys above the minimum.
// Invalid changes and unknown services are rejected.
func TestPlaceAndWhatif(t *testing.T) {
	s := testStatus()
	p, err := s.Place("s", "somebody")
	if err != nil || len(p.Ranking) != 3 {
		t.Fatalf("%v, %+v", err, p)
	}
	for _, instance := range p.Ranking {
		if strings.Contains("i-3 i-4 i-5 i-6", instance.InstanceID) {
			t.Errorf("%s does not accept requests but is ranked", instance.InstanceID)
		}
	}
	f, err := s.Whatif("s", []string{"-" + p.Ranking[0].InstanceID, "+i-new=9"})
	if err != nil || f.MinMoved < 0.33 || f.MinMoved > 0.34 || f.Moved > 0.5 {
		t.Fatalf("%v, %+v", err, f)
	}
	var text strings.Builder
	f.Print(&text)
	p.Print(&text)
	if !strings.Contains(text.String(), "i-new") || !strings.Contains(text.String(), "33.3% must") {
		t.Errorf("the printed text is\n%s", text.String())
	}
	for _, bad := range [][]string{{"i-1"}, {"-nobody"}, {"+i-1"}, {"+i-1=none"}, {"-i-0", "-i-1", "-i-2"}, {"-i-1=3"}} {
		if _, err := s.Whatif("s", bad); err == nil {
			t.Errorf("the changes %v are accepted", bad)
		}
	}
	if _, err := s.Place("other", "somebody"); err == nil {
		t.Error("a key is placed on a service without endpoints")
	}
}
