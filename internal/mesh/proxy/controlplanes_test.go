package proxy

import (
	"fmt"
	"testing"
	"time"

	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/transport"
)

// A proxy whose connected control planes have all lost contact connects to more of them, and keeps one that has contact.
func TestSearchForControlPlaneWithContact(t *testing.T) {
	now := time.Now()
	l := &controlPlaneLinks{scale: (&nodeconfig.Bounds{}).Scale, proxy: &Proxy{state: discovery.NewClientState(now, discovery.Limits{})}, active: map[string]*controlPlaneLink{}, lastContact: now}
	for n := range maxLinks {
		ip := fmt.Sprint("cut", n)
		l.active[ip] = &controlPlaneLink{ip: ip, conn: &transport.Conn{}}
		l.proxy.state.HandleControlMessage(now, ip, &discovery.ControlMessage{})
	}
	if got := l.limit(now.Add(searchAfter - 1)); got != maxLinks {
		t.Errorf("at once: %d control planes", got)
	}
	if got := l.limit(now.Add(searchAfter)); got != maxSearchLinks {
		t.Errorf("with no contact for a while: %d control planes", got)
	}
	l.active["good"] = &controlPlaneLink{ip: "good", conn: &transport.Conn{}}
	l.proxy.state.HandleControlMessage(now, "good", &discovery.ControlMessage{HasContact: true})
	if got := l.limit(now.Add(searchAfter)); got != maxLinks {
		t.Errorf("with one that has contact: %d control planes", got)
	}
	if k := l.surplus([]string{"cut0", "cut1", "cut2", "good"}, maxLinks); k == nil || k.ip != "cut2" {
		t.Errorf("%v is closed, want the least preferred one without contact", k)
	}
	if k := l.surplus([]string{"cut0", "cut1", "cut2", "good"}, maxLinks+1); k != nil {
		t.Errorf("%s is closed, although there are not too many", k.ip)
	}
}
