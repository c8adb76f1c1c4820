package pilot

import (
	"fmt"
	"testing"
	"time"

	"whinknot/internal/berth"
	"whinknot/internal/lamp"
	"whinknot/internal/signal"
)

// A pilot whose lighthouses have all lost contact tries those farther away too, and keeps one that has contact.
func TestWhileNoLighthouseHasContactOthersAreTried(t *testing.T) {
	now := time.Now()
	l := &links{pace: (&berth.Bounds{}).Paced, p: &Pilot{room: lamp.NewChartroom(now, lamp.Bounds{})}, active: map[string]*link{}, saw: now}
	for n := range linkCount {
		ip := fmt.Sprint("cut", n)
		l.active[ip] = &link{ip: ip, conn: &signal.Conn{}}
		l.p.room.Hear(now, ip, &lamp.Down{})
	}
	if got := l.most(now.Add(searchAfter - 1)); got != linkCount {
		t.Errorf("at once: %d lighthouses", got)
	}
	if got := l.most(now.Add(searchAfter)); got != searchCount {
		t.Errorf("with no contact for a while: %d lighthouses", got)
	}
	l.active["good"] = &link{ip: "good", conn: &signal.Conn{}}
	l.p.room.Hear(now, "good", &lamp.Down{Sighted: true})
	if got := l.most(now.Add(searchAfter)); got != linkCount {
		t.Errorf("with one that has contact: %d lighthouses", got)
	}
	if k := l.surplus([]string{"cut0", "cut1", "cut2", "good"}, linkCount); k == nil || k.ip != "cut2" {
		t.Errorf("%v is given up, want the farthest without contact", k)
	}
	if k := l.surplus([]string{"cut0", "cut1", "cut2", "good"}, linkCount+1); k != nil {
		t.Errorf("%s is given up, and there are not too many", k.ip)
	}
}
