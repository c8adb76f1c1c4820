package lighthouse

import (
	"fmt"
	"strings"
	"testing"

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/muster"
)

func picture() *Status {
	s := &Status{Removed: []muster.Removal{{Life: "i-5", Service: "s"}}, Evacs: []keeper.Evacuation{{Zone: "far", On: true}}}
	for i := range 7 {
		p := PilotStatus{Known: beacon.Known{Sheet: beacon.Sheet{Node: fmt.Sprint("n-", i), Zone: "near", Endpoint: &beacon.Endpoint{
			ID: fmt.Sprint("i-", i), Target: "s", State: beacon.Serving, Capacity: 9,
		}}}}
		switch i {
		case 3:
			p.Dark = true
		case 4:
			p.Endpoint.State = beacon.Draining
		case 6:
			p.Zone = "far"
		}
		s.Pilots = append(s.Pilots, p)
	}
	return s
}

// Only endpoints that take requests hold anybody; a key has one order, and a change moves no more than it must.
func TestWhereAKeyGoesAndWhatAChangeMoves(t *testing.T) {
	s := picture()
	p, err := s.Place("s", "somebody")
	if err != nil || len(p.Order) != 3 {
		t.Fatalf("%v, %+v", err, p)
	}
	for _, stop := range p.Order {
		if strings.Contains("i-3 i-4 i-5 i-6", stop.Life) {
			t.Errorf("%s holds somebody", stop.Life)
		}
	}
	f, err := s.Whatif("s", []string{"-" + p.Order[0].Life, "+i-new=9"})
	if err != nil || f.Least < 0.33 || f.Least > 0.34 || f.Moved > 0.5 {
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
